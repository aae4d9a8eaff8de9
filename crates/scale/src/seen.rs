//! When each hollow ingress took which state: from the first to the last.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Takings of states, in the order in which the states were first seen.
#[derive(Debug)]
pub struct Seen<K>(Mutex<Vec<(K, Vec<Instant>)>>);

impl<K> Default for Seen<K> {
    fn default() -> Seen<K> {
        Seen(Mutex::new(Vec::new()))
    }
}

/// How long after a moment a state was taken: by half of all, by 99 in 100, by the last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub last_ms: f64,
}

impl<K: PartialEq> Seen<K> {
    /// An ingress has taken that state now.
    pub fn took(&self, state: K) {
        let now = Instant::now();
        let mut seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match seen.iter_mut().rev().find(|(known, _)| *known == state) {
            Some((_, times)) => times.push(now),
            None => seen.push((state, vec![now])),
        }
    }

    /// How many states were seen.
    pub fn states(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// How many ingresses have taken the newest state, if there is one after the first `known`.
    pub fn took_newest(&self, known: usize) -> usize {
        let seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        seen.iter().skip(known).next_back().map_or(0, |(_, times)| times.len())
    }

    /// How long after `since` the newest state was taken.
    pub fn spread(&self, since: Instant) -> Option<Spread> {
        let seen = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, times) = seen.last()?;
        spread(times.iter().map(|time| time.saturating_duration_since(since)).collect())
    }
}

fn spread(mut times: Vec<Duration>) -> Option<Spread> {
    times.sort();
    let at = |part: f64| {
        let index = ((times.len() as f64 * part).ceil() as usize).saturating_sub(1);
        times.get(index).map(|time| time.as_secs_f64() * 1000.0)
    };
    Some(Spread { p50_ms: at(0.5)?, p99_ms: at(0.99)?, last_ms: at(1.0)? })
}
