//! How long a registry's replies usually take, and so how long they are waited for.

use std::time::Duration;
use violetyoke_balancing::Millis;

/// A reply is waited for as long as replies usually take, several times over, within bounds (ms).
const TIMEOUT_MULTIPLE: f64 = 3.0;
const MIN_TIMEOUT_MS: f64 = 40.0;
const MAX_TIMEOUT_MS: f64 = 400.0;
/// The longest estimate: it gives the longest time-out.
const MAX_ESTIMATE_MS: f64 = MAX_TIMEOUT_MS / TIMEOUT_MULTIPLE;
/// Weight of the newest reply in the estimate.
const NEWEST_WEIGHT: f64 = 0.1;
/// The estimate grows by this factor with each lost reply.
const LOSS_FACTOR: f64 = 1.2;

/// A moving average of one registry's round-trip time (ms).
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundTripEstimate(f64);

impl Default for RoundTripEstimate {
    /// The longest: nothing is known yet.
    fn default() -> RoundTripEstimate {
        RoundTripEstimate(MAX_ESTIMATE_MS)
    }
}

impl RoundTripEstimate {
    /// How long the next reply is waited for, in whole milliseconds.
    pub(crate) fn timeout(self) -> Duration {
        let timeout_ms = (self.0 * TIMEOUT_MULTIPLE).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
        Duration::from_millis(timeout_ms as u64)
    }

    /// How long a reply usually takes.
    pub(crate) fn mean(self) -> Duration {
        Duration::from_millis(self.0 as u64)
    }

    /// A reply came after `round_trip` (ms).
    pub(crate) fn record_reply(&mut self, round_trip: Millis) {
        self.0 += NEWEST_WEIGHT * (round_trip as f64 - self.0);
    }

    /// No reply came in time.
    pub(crate) fn record_loss(&mut self) {
        self.0 = (self.0 * LOSS_FACTOR).min(MAX_ESTIMATE_MS);
    }
}
