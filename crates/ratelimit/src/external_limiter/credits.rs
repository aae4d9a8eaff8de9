//! Credits: units that the external server has counted for requests that were not admitted.

use crate::breaker::Micros;
use std::collections::BTreeSet;

/// The maximum number of credits. When it is reached, a new credit replaces the one that expires first.
const MAX_CREDITS: usize = 4_096;

/// All unused credits. Each one stands for the units of one query.
#[derive(Default)]
pub(super) struct Credits {
    /// The key of the query, the expiry, and a number that distinguishes credits with equal keys and expiries.
    by_key: BTreeSet<(u64, Micros, u64)>,
    /// The same credits, ordered by expiry.
    by_expiry: BTreeSet<(Micros, u64, u64)>,
    last_number: u64,
}

impl Credits {
    pub(super) fn len(&self) -> usize {
        self.by_expiry.len()
    }

    /// Adds a credit, unless it has already expired.
    pub(super) fn add(&mut self, now: Micros, key: u64, expiry: Micros) {
        if expiry <= now {
            return;
        }
        if self.by_expiry.len() >= MAX_CREDITS {
            self.drop_first();
        }
        self.last_number += 1;
        self.by_key.insert((key, expiry, self.last_number));
        self.by_expiry.insert((expiry, key, self.last_number));
    }

    /// Removes the credit for `key` that expires first, and returns its expiry.
    pub(super) fn take(&mut self, key: u64) -> Option<Micros> {
        let range = (key, 0, 0)..=(key, Micros::MAX, u64::MAX);
        let (key, expiry, number) = *self.by_key.range(range).next()?;
        self.by_key.remove(&(key, expiry, number));
        self.by_expiry.remove(&(expiry, key, number));
        Some(expiry)
    }

    /// Drops expired credits.
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
