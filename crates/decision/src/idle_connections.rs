//! For how long an unused connection can still be used: learned from those that broke. A figure that knows nothing
//! of nodes, requests or quotas, and chooses none of them.

use crate::interface::{Action, Micros};
use serde::{Deserialize, Serialize};

/// The shortest time told apart (us), and how many doublings of it are.
const SHORTEST: Micros = 16_000;
const AGES: usize = 10;
/// By how much more connections of an age may break than new ones: a broken request costs far more than a
/// handshake; and how many requests count as no different.
const MARGIN: f64 = 0.05;
const PRIOR: f64 = 8.0;
/// Time over which what was seen fades (us): then longer is tried again.
const FADE: f64 = 20e6;

/// Requests that a break ended and all, on new connections and on kept ones by their time unused.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct IdleConnections {
    requests_by_idle_time: [(f64, f64); AGES + 1],
    updated_at: Micros,
    idle_timeout: Option<Micros>,
}

impl IdleConnections {
    /// For how long connections may be kept by what has been seen, if that says anything.
    pub fn action(&self) -> Option<Action> {
        self.idle_timeout.map(|idle_timeout| Action::SetIdleTimeout { idle_timeout })
    }

    /// Takes note of a request that a connection carried, which had been unused for that long (none: it was new).
    /// Asks for another time that connections may be kept, where that has changed.
    pub fn record_request(
        &mut self,
        now: Micros,
        unused: Option<Micros>,
        broke: bool,
        actions: &mut Vec<Action>,
    ) {
        let decay = (-((now - self.updated_at) as f64) / FADE).exp();
        self.updated_at = now;
        for (broken, all) in &mut self.requests_by_idle_time {
            (*broken, *all) = (*broken * decay, *all * decay);
        }
        let age = |unused: Micros| 1 + ((unused / SHORTEST).max(1).ilog2() as usize).min(AGES - 1);
        let (broken, all) = &mut self.requests_by_idle_time[unused.map_or(0, age)];
        (*broken, *all) = (*broken + f64::from(u8::from(broke)), *all + 1.0);
        let usual = self.requests_by_idle_time[0].0 / (self.requests_by_idle_time[0].1 + PRIOR);
        let dead = |(broken, all): &(f64, f64)| (broken + PRIOR * usual) / (all + PRIOR) > usual + MARGIN;
        let first = self.requests_by_idle_time[2..].iter().position(dead);
        let longest = first.map(|first| SHORTEST << (first + 1));
        if std::mem::replace(&mut self.idle_timeout, longest) != longest {
            actions.push(Action::SetIdleTimeout { idle_timeout: longest.unwrap_or(Micros::MAX) });
        }
    }
}
