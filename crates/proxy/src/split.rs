//! Draws for routes that split their requests over services.
//!
//! Each proxy draws from a low-discrepancy sequence for each route, in place of independent random numbers: of few
//! requests, too, each service gets nearly the share that its weight says. Sequences outlast a change of the
//! configuration, so that shares hold right after one as well.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

/// Between two numbers of a sequence: the golden ratio's fractional part spreads them most evenly (Weyl sequence).
const STEP: f64 = 0.618_033_988_749_894_9;

/// The sequence of each route, by the route's name.
#[derive(Debug, Default)]
pub(crate) struct SplitSequences(RefCell<HashMap<String, f64>>);

impl SplitSequences {
    /// The next number of a route's sequence, in `0.0..1.0`. A new sequence begins at `start`, which is to be random:
    /// proxies that all began with the same number would all send their first request to the same service.
    pub(crate) fn next(&self, route: &str, start: impl FnOnce() -> f64) -> f64 {
        let mut by_route = self.0.borrow_mut();
        if let Some(last) = by_route.get_mut(route) {
            *last = (*last + STEP).fract();
            return *last;
        }
        let first = start();
        by_route.insert(route.to_owned(), first);
        first
    }

    /// Drops the sequences of routes that no longer exist.
    pub(crate) fn retain(&self, routes: &HashSet<&str>) {
        self.0.borrow_mut().retain(|route, _| routes.contains(route.as_str()));
    }
}
