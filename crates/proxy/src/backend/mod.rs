//! Connections to backends: one request at a time on each, kept for the next while the backend keeps them.

mod answer;
mod exchange;
mod flow;
mod reader;

pub use answer::Answer;
pub use exchange::{attempt, Try};
pub use flow::Flow;

use bytes::BytesMut;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::net::Stream;

/// Idle connections kept to one backend.
const MOST_IDLE: usize = 8;
/// How long an idle connection is kept where the backend does not say.
const USUAL: Duration = Duration::from_secs(5);
/// How old an idle connection may be: for requests that may run again, for others, and for others while backends
/// forget idle ones early.
const ANY: Duration = Duration::from_secs(3600);
const FRESH: Duration = Duration::from_millis(2_500);
const FRESHEST: Duration = Duration::from_millis(60);
/// For so long after one was forgotten.
const FORGETFUL: Duration = Duration::from_secs(20);
/// A connection is given up so much before the backend would close it.
const BEFORE: Duration = Duration::from_millis(700);

/// A connection that carries no request.
pub struct Idle {
    pub stream: Stream,
    pub buffer: BytesMut,
    until: Instant,
    since: Instant,
}

/// Idle connections, by the backend's id.
#[derive(Default)]
pub struct Pools {
    idle: HashMap<String, Vec<Idle>>,
    /// Until when backends are held to forget idle connections early.
    forgetful_until: Option<Instant>,
}

impl Pools {
    /// The newest idle connection that is still whole and silent: bytes that nobody asked for, or an end, make it useless. A request that may run only once goes out on one that
    /// was idle for a short time: where a backend closes one just then, nobody knows whether it ran.
    pub fn take(&mut self, id: &str, repeatable: bool) -> Option<Idle> {
        let forgetful = self.forgetful_until.is_some_and(|until| Instant::now() < until);
        let fresh = match (repeatable, forgetful) {
            (true, _) => ANY,
            (false, false) => FRESH,
            (false, true) => FRESHEST,
        };
        let idle = self.idle.get_mut(id)?;
        while let Some(mut one) = idle.pop() {
            let now = Instant::now();
            if now < one.until && now - one.since < fresh && one.stream.is_silent() {
                return Some(one);
            }
        }
        None
    }

    /// An idle connection was reset as soon as it was used.
    pub fn forgotten(&mut self) {
        self.forgetful_until = Some(Instant::now() + FORGETFUL);
    }

    /// Keeps a connection whose answer was complete; `said`: for how long the backend does.
    pub fn give(&mut self, id: &str, stream: Stream, buffer: BytesMut, said: Option<Duration>, most: u32) {
        let now = Instant::now();
        let keep = said.map_or(USUAL, |said| said.saturating_sub(BEFORE));
        if keep.is_zero() {
            return;
        }
        if !self.idle.contains_key(id) {
            self.idle.insert(id.to_owned(), Vec::new());
        }
        if let Some(idle) = self.idle.get_mut(id) {
            idle.retain(|one| now < one.until);
            if idle.len() < MOST_IDLE.min(most as usize) {
                idle.push(Idle { stream, buffer, until: now + keep, since: now });
            }
        }
    }

    /// Closes connections to backends that are no more.
    pub fn retain(&mut self, is_available: impl Fn(&str) -> bool) {
        let now = Instant::now();
        self.idle.retain(|id, idle| {
            idle.retain(|one| now < one.until);
            !idle.is_empty() && is_available(id)
        });
    }
}
