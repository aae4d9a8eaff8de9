//! Estimates of a backend's latency and of the load that other proxies put on it.

use crate::observation::ReportedLoad;
use crate::Millis;

/// Reported load of other proxies decays with this time constant (ms): it is as old as the last response, and their
/// requests end.
const DECAY_MS: f64 = 600.0;
/// Assumed latency of a backend that has not responded yet (ms).
pub(crate) const DEFAULT_LATENCY_MS: f64 = 100.0;
/// Weight of the newest sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// Exponentially weighted moving average of a backend's response times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LatencyEstimate {
    mean_ms: Option<f64>,
}

impl LatencyEstimate {
    pub(crate) fn record(&mut self, latency_ms: Millis) {
        let sample = latency_ms as f64;
        self.mean_ms = Some(self.mean_ms.map_or(sample, |mean| mean + LATENCY_WEIGHT * (sample - mean)));
    }

    /// The mean (ms); `None` before the first response.
    pub(crate) fn mean_ms(self) -> Option<f64> {
        self.mean_ms
    }
}

/// Requests of other proxies at a backend, as far as its responses report them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ForeignLoad {
    requests: f64,
    reported_at: Millis,
}

impl ForeignLoad {
    /// Takes over a reported load; it counts this proxy's `in_flight` requests too.
    pub(crate) fn report(&mut self, now: Millis, load: ReportedLoad, in_flight: u32) {
        self.requests = (f64::from(load.running + load.waiting) - f64::from(in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// The backend refused a request for want of room: at least all of its slots are taken.
    pub(crate) fn saturate(&mut self, now: Millis, slots: u32) {
        self.requests = f64::from(slots).max(self.requests);
        self.reported_at = now;
    }

    /// What is left of the reported load at `now`.
    pub(crate) fn estimate(&self, now: Millis) -> f64 {
        let age_ms = now.saturating_sub(self.reported_at) as f64;
        self.requests * (-age_ms / DECAY_MS).exp()
    }
}
