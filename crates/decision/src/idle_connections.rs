//! Estimate of how long an idle connection stays usable, from those that broke when they were reused. It is
//! one value for all backends, and decides nothing about requests or quotas.

use crate::interface::{Action, Micros};
use serde::{Deserialize, Serialize};

/// Shortest idle time that is told apart (us), and the number of its doublings: one class of idle times each.
const SHORTEST: Micros = 16_000;
const AGES: usize = 10;
/// Part of requests by which more may break on idle connections than on new ones: a broken request costs far
/// more than a handshake. And the weight, in requests, of the assumption that idle connections are like new
/// ones.
const MARGIN: f64 = 0.05;
const PRIOR: f64 = 8.0;
/// Time constant of the decay of what was observed (us): after that, longer times are tried again.
const DECAY: f64 = 20e6;

/// What was observed of connections.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct IdleConnections {
    /// Requests that a break ended, and all requests: on new connections first, then by class of idle time.
    requests_by_idle_time: [(f64, f64); AGES + 1],
    /// Time of the latest request.
    updated_at: Micros,
    /// The idle time-out last set; none: no limit.
    idle_timeout: Option<Micros>,
}

impl IdleConnections {
    /// Sets the learned idle time-out, if there is one.
    pub fn action(&self) -> Option<Action> {
        self.idle_timeout.map(|idle_timeout| Action::SetIdleTimeout { idle_timeout })
    }

    /// Records a request on a connection that had been idle for a time before (none: it was new), and sets
    /// another idle time-out if the estimate has changed.
    pub fn record_request(
        &mut self,
        now: Micros,
        idle: Option<Micros>,
        did_break: bool,
        actions: &mut Vec<Action>,
    ) {
        let decay = (-((now - self.updated_at) as f64) / DECAY).exp();
        self.updated_at = now;
        for (broken, all) in &mut self.requests_by_idle_time {
            (*broken, *all) = (*broken * decay, *all * decay);
        }
        let class = |idle: Micros| 1 + ((idle / SHORTEST).max(1).ilog2() as usize).min(AGES - 1);
        let (broken, all) = &mut self.requests_by_idle_time[idle.map_or(0, class)];
        (*broken, *all) = (*broken + f64::from(u8::from(did_break)), *all + 1.0);
        let new_rate = self.requests_by_idle_time[0].0 / (self.requests_by_idle_time[0].1 + PRIOR);
        let is_unusable =
            |(broken, all): &(f64, f64)| (broken + PRIOR * new_rate) / (all + PRIOR) > new_rate + MARGIN;
        let first_class = self.requests_by_idle_time[2..].iter().position(is_unusable);
        let idle_timeout = first_class.map(|first_class| SHORTEST << (first_class + 1));
        if std::mem::replace(&mut self.idle_timeout, idle_timeout) != idle_timeout {
            actions.push(Action::SetIdleTimeout { idle_timeout: idle_timeout.unwrap_or(Micros::MAX) });
        }
    }
}
