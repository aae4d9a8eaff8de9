//! Estimated queue length at the backends of a service, from the load reports in their responses.

use crate::Millis;

/// Number of reports in the moving average. It is small because overload builds up within a second.
const REMEMBERED_REPORTS: f64 = 4.0;
/// Without new reports, the average decays with this time constant (ms).
const DECAY_MS: f64 = 3_000.0;

/// Moving average of the queued requests per slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QueueEstimate {
    mean_per_slot: f64,
    reported_at: Millis,
}

impl QueueEstimate {
    /// Adds the report of one backend.
    pub(crate) fn record(&mut self, now: Millis, waiting_per_slot: f64) {
        let mean_per_slot = self.per_slot(now);
        self.mean_per_slot = mean_per_slot + (waiting_per_slot - mean_per_slot) / REMEMBERED_REPORTS;
        self.reported_at = now;
    }

    /// The estimate at `now` of the queued requests per slot.
    pub(crate) fn per_slot(self, now: Millis) -> f64 {
        let age_ms = now.saturating_sub(self.reported_at) as f64;
        self.mean_per_slot * (-age_ms / DECAY_MS).exp()
    }
}
