//! Times that are derived from the settings, within the bounds that the processes need.

use crate::settings::Bounds;
use std::time::Duration;

/// Bounds of the interval while the list does not change (ms).
const MIN_LIST_INTERVAL_MS: u64 = 500;
const MAX_LIST_INTERVAL_MS: u64 = 1_250;
/// The time for which a draining backend still serves requests is this multiple of the interval.
const DRAIN_TIME_FACTOR: u64 = 4;

/// Bounds of the grace period: a process needs some time to drain, and doesn't wait longer for a platform that never ends it.
const MIN_GRACE_PERIOD: Duration = Duration::from_millis(500);
const MAX_GRACE_PERIOD: Duration = Duration::from_secs(60);

impl Bounds {
    /// The time from SIGTERM until the platform kills the process.
    #[must_use]
    pub fn grace_period(&self) -> Duration {
        self.grace_s.to_duration().clamp(MIN_GRACE_PERIOD, MAX_GRACE_PERIOD)
    }

    /// The maximum interval between requests of all registries for the list of backends while it does not change (ms). It is
    /// short compared to the time for which a draining backend still serves requests, because the list must reach all
    /// proxies within that time.
    #[must_use]
    pub fn max_list_interval_ms(&self) -> u64 {
        (self.drain_ms.to_millis() / DRAIN_TIME_FACTOR).clamp(MIN_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS)
    }
}
