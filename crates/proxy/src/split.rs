//! Number sequences for routes that split their requests over several services.
//!
//! Each proxy uses a low-discrepancy sequence per route instead of independent random numbers, so that even
//! with few requests each service gets nearly the share of its weight. Sequences continue after a change of
//! the configuration, so that the shares are accurate right after the change as well.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

/// Difference between consecutive numbers (Weyl sequence). The fractional part of the golden ratio
/// distributes the numbers most evenly.
const STEP: f64 = 0.618_033_988_749_894_9;

/// The last number of each route's sequence, by the route's name.
#[derive(Debug, Default)]
pub(crate) struct SplitSequences(RefCell<HashMap<String, f64>>);

impl SplitSequences {
    /// The next number of a route's sequence, in `0.0..1.0`. A new sequence begins at `start`, which should
    /// be random: if all proxies began with the same number, all of them would send their first request to
    /// the same service.
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
