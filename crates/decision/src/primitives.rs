//! Decaying sums, random numbers, deadlines, and a map with an incremental sweep. Nothing is decided here.

use crate::interface::Micros;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Deref, DerefMut};

/// A well-mixed 64-bit value.
pub fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The factor by which a value of the time `since` has decayed exponentially at `now`, with time constant
/// `span` (us).
pub fn decay(now: Micros, since: Micros, span: f64) -> f64 {
    (-((now - since) as f64) / span).exp()
}

/// A sum whose summands decay exponentially.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct DecayingSum {
    /// The sum at its latest update.
    pub value: f64,
    /// Time of its latest update.
    pub updated_at: Micros,
}

impl DecayingSum {
    /// The sum at `now`, with time constant `span` (us).
    pub fn value_at(&self, now: Micros, span: f64) -> f64 {
        self.value * decay(now, self.updated_at, span)
    }

    pub fn add(&mut self, now: Micros, span: f64, summand: f64) {
        *self = DecayingSum { value: summand + self.value_at(now, span), updated_at: now };
    }

    /// Raises the sum to `least` if it is less.
    pub fn raise_to(&mut self, now: Micros, span: f64, least: f64) {
        *self = DecayingSum { value: least.max(self.value_at(now, span)), updated_at: now };
    }
}

/// Deadlines, one for each id.
#[derive(Debug, Default)]
pub struct Deadlines {
    by_id: BTreeMap<u32, Micros>,
    by_time: BTreeSet<(Micros, u32)>,
}

impl Deadlines {
    /// Sets the deadline of `id`, in place of an earlier one.
    pub fn set(&mut self, id: u32, at: Micros) {
        self.clear(id);
        self.by_id.insert(id, at);
        self.by_time.insert((at, id));
    }

    pub fn clear(&mut self, id: u32) {
        if let Some(at) = self.by_id.remove(&id) {
            self.by_time.remove(&(at, id));
        }
    }

    /// The earliest deadline.
    pub fn first(&self) -> Option<Micros> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Removes and returns the id with the earliest deadline, if that is not after `now`.
    pub fn pop(&mut self, now: Micros) -> Option<u32> {
        let (_, id) = self.by_time.first().copied().filter(|(at, _)| *at <= now)?;
        self.clear(id);
        Some(id)
    }
}

/// Random numbers between 0 and 1; the same seed gives the same numbers.
#[derive(Debug, Default)]
pub struct Rng(Cell<u64>);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(Cell::new(seed))
    }

    pub fn sample(&self) -> f64 {
        self.0.set(mix(self.0.get()));
        self.0.get() as f64 / u64::MAX as f64
    }
}

/// A map that is swept incrementally: a few entries at a time, in the order of their keys.
#[derive(Debug)]
pub struct SweepMap<V> {
    entries: BTreeMap<u64, V>,
    /// Key from which the next sweep continues.
    next: u64,
}

impl<V> Default for SweepMap<V> {
    fn default() -> SweepMap<V> {
        SweepMap { entries: BTreeMap::new(), next: 0 }
    }
}

impl<V> SweepMap<V> {
    /// Checks up to `count` entries, fewer if it reaches the last one, and removes those that are expired.
    pub fn sweep(&mut self, count: usize, is_expired: impl Fn(&V) -> bool) {
        for _ in 0..count {
            let Some((key, entry)) = self.entries.range(self.next..).next() else { return self.next = 0 };
            let (key, is_expired) = (*key, is_expired(entry));
            self.next = key.saturating_add(1);
            if is_expired {
                self.entries.remove(&key);
            }
        }
    }
}

impl<V> Deref for SweepMap<V> {
    type Target = BTreeMap<u64, V>;
    fn deref(&self) -> &Self::Target {
        &self.entries
    }
}

impl<V> DerefMut for SweepMap<V> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.entries
    }
}
