//! When simulated proxies have installed which state: from the first to the last.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// When one state was installed.
#[derive(Debug)]
struct Installation<K> {
    state: K,
    times: Vec<Instant>,
}

/// Installations of states, in the order in which the states were first seen.
#[derive(Debug)]
pub struct Installations<K>(Mutex<Vec<Installation<K>>>);

impl<K> Default for Installations<K> {
    fn default() -> Installations<K> {
        Installations(Mutex::new(Vec::new()))
    }
}

/// How long after a moment a state was installed (ms): by half of all, by 99 in 100, by the last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// By half of all.
    pub p50_ms: f64,
    /// By 99 in 100.
    pub p99_ms: f64,
    /// By the last.
    pub last_ms: f64,
}

impl<K: PartialEq> Installations<K> {
    fn lock(&self) -> MutexGuard<'_, Vec<Installation<K>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A proxy has installed a state now.
    pub fn record(&self, state: K) {
        let now = Instant::now();
        let mut installations = self.lock();
        match installations.iter_mut().rev().find(|known| known.state == state) {
            Some(installation) => installation.times.push(now),
            None => installations.push(Installation { state, times: vec![now] }),
        }
    }

    /// How many states were seen.
    #[must_use]
    pub fn state_count(&self) -> usize {
        self.lock().len()
    }

    /// How many proxies have installed the newest state, if there is one after the first `known`.
    #[must_use]
    pub fn newest_count(&self, known: usize) -> usize {
        self.lock().iter().skip(known).next_back().map_or(0, |newest| newest.times.len())
    }

    /// How long after `since` the newest state was installed.
    #[must_use]
    pub fn spread(&self, since: Instant) -> Option<Spread> {
        let installations = self.lock();
        let times = installations.last()?.times.iter();
        spread(times.map(|time| time.saturating_duration_since(since)).collect())
    }
}

fn spread(mut times: Vec<Duration>) -> Option<Spread> {
    times.sort();
    let percentile = |part: f64| {
        let index = ((times.len() as f64 * part).ceil() as usize).saturating_sub(1);
        times.get(index).map(|time| time.as_secs_f64() * 1000.0)
    };
    Some(Spread { p50_ms: percentile(0.5)?, p99_ms: percentile(0.99)?, last_ms: percentile(1.0)? })
}
