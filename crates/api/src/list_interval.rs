//! The interval at which the platform's list of backends is requested.

use crate::settings::Bounds;

/// Bounds of the interval while the list does not change (ms).
const MIN_LIST_INTERVAL_MS: f64 = 500.0;
const MAX_LIST_INTERVAL_MS: f64 = 1_250.0;
/// The interval, as a fraction of the time for which a draining backend still serves requests.
const LIST_INTERVAL_FRACTION: f64 = 0.25;

impl Bounds {
    /// The maximum interval between requests of all registries for the list of backends while it does not change (ms). It is
    /// short compared to the time for which a draining backend still serves requests, because the list must reach all
    /// proxies within that time.
    #[must_use]
    pub fn max_list_interval_ms(&self) -> u64 {
        (self.drain_ms * LIST_INTERVAL_FRACTION).clamp(MIN_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS) as u64
    }
}
