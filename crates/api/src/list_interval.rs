//! How often the platform is asked for its list of backends, as far as the operators' rules bound it.

use crate::settings::Bounds;

/// The list of backends is asked for at least as often as this (ms), and no more often while it changes.
const MIN_LIST_INTERVAL_MS: f64 = 500.0;
const MAX_LIST_INTERVAL_MS: f64 = 1_250.0;
/// The part of the time for which a draining backend serves on that may pass until the list is asked for.
const LIST_INTERVAL_FRACTION: f64 = 0.25;

impl Bounds {
    /// How long no registry may ask for the list of backends while it stays the same (ms): short beside the time for which a
    /// backend serves on that drains, as the list has to reach all proxies within that.
    #[must_use]
    pub fn max_list_interval_ms(&self) -> u64 {
        (self.drain_ms * LIST_INTERVAL_FRACTION).clamp(MIN_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS) as u64
    }
}
