//! State, load and attempt counts of each backend, for operators (`/api/backends`).

use crate::backend::Backend;
use crate::concurrency::has_capacity;
use crate::directory::BackendDirectory;
use crate::observation::AttemptCounts;
use crate::Millis;
use std::fmt;

/// Why a backend gets no requests, or fewer than it could execute. [`fmt::Display`] writes the name that the
/// API for operators uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Gets as many requests as it has capacity for.
    Available,
    /// Shutting down, or terminated with attempts still in flight.
    Draining,
    /// In an evacuated zone.
    Evacuated,
    /// Ejected after failures.
    Ejected,
    /// Warming up.
    SlowStart,
    /// Without free capacity.
    AtCapacity,
}

impl fmt::Display for BackendState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BackendState::Available => "well",
            BackendState::Draining => "leaving",
            BackendState::Evacuated => "evacuated",
            BackendState::Ejected => "resting",
            BackendState::SlowStart => "cold",
            BackendState::AtCapacity => "full",
        })
    }
}

/// One backend from the point of view of this proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReport {
    /// Name of the instance.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Name of the zone.
    pub zone: String,
    /// Number of requests that it executes concurrently.
    pub slots: u32,
    /// Unfinished attempts of this proxy.
    pub in_flight: u32,
    /// Estimated number of requests of all proxies at the backend.
    pub load: f64,
    /// Moving average of the response times (ms).
    pub latency_estimate_ms: Option<f64>,
    /// Attempts of this proxy, by outcome.
    pub counts: AttemptCounts,
    /// Whether the backend can get requests, and if not, why.
    pub state: BackendState,
}

impl BackendDirectory {
    /// All backends, by service and id.
    #[must_use]
    pub fn report(&self, now: Millis) -> Vec<BackendReport> {
        let mut reports: Vec<BackendReport> =
            self.backends.values().map(|backend| self.report_backend(now, backend)).collect();
        reports.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        reports
    }

    fn report_backend(&self, now: Millis, backend: &Backend) -> BackendReport {
        BackendReport {
            id: backend.id.clone(),
            service: backend.service.clone(),
            zone: backend.zone.clone(),
            slots: backend.slots,
            in_flight: backend.in_flight,
            load: backend.load(now),
            latency_estimate_ms: backend.latency_estimate_ms(),
            counts: backend.counts,
            state: self.state(now, backend),
        }
    }

    fn state(&self, now: Millis, backend: &Backend) -> BackendState {
        if backend.is_draining {
            BackendState::Draining
        } else if self.evacuated_zones.contains(&backend.zone) {
            BackendState::Evacuated
        } else if backend.outlier.is_ejected(now) {
            BackendState::Ejected
        } else if backend.slow_start.is_active(now) {
            BackendState::SlowStart
        } else if has_capacity(backend.slots, backend.load(now)) {
            BackendState::Available
        } else {
            BackendState::AtCapacity
        }
    }
}
