//! Numbers and containers that decide nothing: what fades with time, chance, and a map that is looked through in
//! turns.

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

/// What is left, at `now`, of a figure that fades over `span` (us) and was taken at `since`.
pub fn decay(now: Micros, since: Micros, span: f64) -> f64 {
    (-((now - since) as f64) / span).exp()
}

/// A sum whose parts fade with time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct DecayingSum {
    pub value: f64,
    /// When it was last added to.
    pub updated_at: Micros,
}

impl DecayingSum {
    pub fn value_at(&self, now: Micros, span: f64) -> f64 {
        self.value * decay(now, self.updated_at, span)
    }

    pub fn add(&mut self, now: Micros, span: f64, part: f64) {
        *self = DecayingSum { value: part + self.value_at(now, span), updated_at: now };
    }

    /// Raises it to `least`, if it is less.
    pub fn raise_to(&mut self, now: Micros, span: f64, least: f64) {
        *self = DecayingSum { value: least.max(self.value_at(now, span)), updated_at: now };
    }
}

/// What falls due when, for each id once.
#[derive(Debug, Default)]
pub struct Deadlines {
    by_id: BTreeMap<u32, Micros>,
    by_time: BTreeSet<(Micros, u32)>,
}

impl Deadlines {
    /// Sets when `id` falls due, in place of an earlier time.
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

    /// The first time at which something falls due.
    pub fn first(&self) -> Option<Micros> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// Takes out what is due by `now`, the earliest first.
    pub fn pop(&mut self, now: Micros) -> Option<u32> {
        let (_, id) = self.by_time.first().copied().filter(|(at, _)| *at <= now)?;
        self.clear(id);
        Some(id)
    }
}

/// Numbers between 0 and 1, by chance; the same from the same seed.
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

/// A map whose entries are looked at a few at a time, in turn, to drop those that are over.
#[derive(Debug)]
pub struct SweepMap<V> {
    entries: BTreeMap<u64, V>,
    next: u64,
}

impl<V> Default for SweepMap<V> {
    fn default() -> SweepMap<V> {
        SweepMap { entries: BTreeMap::new(), next: 0 }
    }
}

impl<V> SweepMap<V> {
    /// Looks at up to `many` entries, fewer where the last one is reached.
    pub fn sweep(&mut self, many: usize, over: impl Fn(&V) -> bool) {
        for _ in 0..many {
            let Some((key, entry)) = self.entries.range(self.next..).next() else { return self.next = 0 };
            let (key, over) = (*key, over(entry));
            self.next = key.saturating_add(1);
            if over {
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
