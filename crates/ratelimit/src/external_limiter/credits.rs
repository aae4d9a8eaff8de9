//! Units that the external server has counted for requests that were not admitted.

use crate::breaker::Micros;
use std::collections::BTreeSet;

/// Credits that are kept at once; those that expire first are dropped first.
const MAX_CREDITS: usize = 4_096;

/// Credits, each of which stands for the units of one query.
#[derive(Default)]
pub(super) struct Credits {
    /// Query key, expiry, and a number that tells equal ones apart.
    by_key: BTreeSet<(u64, Micros, u64)>,
    /// The same by expiry.
    by_expiry: BTreeSet<(Micros, u64, u64)>,
    next: u64,
}

impl Credits {
    pub(super) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// Adds a credit, unless it has expired already.
    pub(super) fn add(&mut self, now: Micros, key: u64, expiry: Micros) {
        if expiry <= now {
            return;
        }
        if self.by_expiry.len() >= MAX_CREDITS {
            self.drop_first();
        }
        self.next += 1;
        self.by_key.insert((key, expiry, self.next));
        self.by_expiry.insert((expiry, key, self.next));
    }

    /// Uses the credit of `key` that expires first; returns its expiry.
    pub(super) fn take(&mut self, key: u64) -> Option<Micros> {
        let range = (key, 0, 0)..=(key, Micros::MAX, u64::MAX);
        let (key, expiry, number) = *self.by_key.range(range).next()?;
        self.by_key.remove(&(key, expiry, number));
        self.by_expiry.remove(&(expiry, key, number));
        Some(expiry)
    }

    /// Drops what has expired.
    pub(super) fn expire(&mut self, now: Micros) {
        while self.by_expiry.first().is_some_and(|(expiry, ..)| *expiry <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((expiry, key, number)) = self.by_expiry.pop_first() {
            self.by_key.remove(&(key, expiry, number));
        }
    }
}
