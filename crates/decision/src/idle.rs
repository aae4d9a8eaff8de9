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
pub struct Idle {
    carried: [(f64, f64); AGES + 1],
    at: Micros,
    longest: Option<Micros>,
}

impl Idle {
    /// For how long connections may be kept by what has been seen, if that says anything.
    pub fn word(&self) -> Option<Action> {
        self.longest.map(|idle_timeout| Action::SetIdleTimeout { idle_timeout })
    }

    /// Takes note of a request that a connection carried, which had been unused for that long (none: it was new).
    /// Asks for another time that connections may be kept, where that has changed.
    pub fn carried(&mut self, now: Micros, unused: Option<Micros>, broke: bool, actions: &mut Vec<Action>) {
        let faded = (-((now - self.at) as f64) / FADE).exp();
        self.at = now;
        for (broken, all) in &mut self.carried {
            (*broken, *all) = (*broken * faded, *all * faded);
        }
        let age = |unused: Micros| 1 + ((unused / SHORTEST).max(1).ilog2() as usize).min(AGES - 1);
        let (broken, all) = &mut self.carried[unused.map_or(0, age)];
        (*broken, *all) = (*broken + f64::from(u8::from(broke)), *all + 1.0);
        let usual = self.carried[0].0 / (self.carried[0].1 + PRIOR);
        let dead = |(broken, all): &(f64, f64)| (broken + PRIOR * usual) / (all + PRIOR) > usual + MARGIN;
        let first = self.carried[2..].iter().position(dead);
        let longest = first.map(|first| SHORTEST << (first + 1));
        if std::mem::replace(&mut self.longest, longest) != longest {
            actions.push(Action::SetIdleTimeout { idle_timeout: longest.unwrap_or(Micros::MAX) });
        }
    }
}
