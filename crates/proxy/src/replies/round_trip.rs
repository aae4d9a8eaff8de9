//! Estimates the round-trip time to a registry, from which the time-out of replies is computed.

use std::time::Duration;
use violetyoke_balancing::Millis;

/// The time-out is this multiple of the estimate, within the bounds below (ms).
const TIMEOUT_MULTIPLE: f64 = 3.0;
const MIN_TIMEOUT_MS: f64 = 40.0;
const MAX_TIMEOUT_MS: f64 = 400.0;
/// Upper limit of the estimate, which gives the longest time-out.
const MAX_ESTIMATE_MS: f64 = MAX_TIMEOUT_MS / TIMEOUT_MULTIPLE;
/// Weight of the newest round trip in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;
/// Each lost reply multiplies the estimate by this factor.
const LOSS_FACTOR: f64 = 1.2;

/// A moving average of one registry's round-trip time (ms).
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundTripEstimate(f64);

impl Default for RoundTripEstimate {
    /// The maximum, until replies have been measured.
    fn default() -> RoundTripEstimate {
        RoundTripEstimate(MAX_ESTIMATE_MS)
    }
}

impl RoundTripEstimate {
    /// Time-out for the next reply, in whole milliseconds.
    pub(crate) fn timeout(self) -> Duration {
        let timeout_ms = (self.0 * TIMEOUT_MULTIPLE).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
        Duration::from_millis(timeout_ms as u64)
    }

    /// The estimated round-trip time.
    pub(crate) fn mean(self) -> Duration {
        Duration::from_millis(self.0 as u64)
    }

    /// Records a reply that arrived after `round_trip` (ms).
    pub(crate) fn record_reply(&mut self, round_trip: Millis) {
        self.0 += NEWEST_WEIGHT * (round_trip as f64 - self.0);
    }

    /// Records that no reply arrived in time.
    pub(crate) fn record_loss(&mut self) {
        self.0 = (self.0 * LOSS_FACTOR).min(MAX_ESTIMATE_MS);
    }
}
