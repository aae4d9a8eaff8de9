//! What each backend was sent and has shown, for operators (`/api/backends`).

use crate::backend::Backend;
use crate::concurrency::has_capacity;
use crate::directory::BackendDirectory;
use crate::observation::AttemptCounts;
use crate::Millis;
use std::fmt;

/// Why a backend gets fewer requests than it could execute, or none. [`fmt::Display`] writes the operators' word for
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It gets what it has capacity for.
    Available,
    /// It ends, or has ended with attempts in flight.
    Draining,
    /// Its zone is evacuated.
    Evacuated,
    /// It failed, and is left alone for a while.
    Ejected,
    /// It warms up.
    SlowStart,
    /// All of its capacity is in use.
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

/// One backend as this proxy sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReport {
    /// Name of the instance.
    pub id: String,
    /// Name of its service.
    pub service: String,
    /// Name of its zone.
    pub zone: String,
    /// Requests that it executes at once.
    pub slots: u32,
    /// Attempts of this proxy that have not ended.
    pub in_flight: u32,
    /// Requests of all proxies, estimated.
    pub load: f64,
    /// Moving average of its response times (ms).
    pub latency_estimate_ms: Option<f64>,
    /// Attempts of this proxy by how they ended.
    pub counts: AttemptCounts,
    /// Why it gets less than it could.
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
