//! One instance of a backend: its listed properties, and its load, latency and failures as attempts of this
//! proxy observed them.

use crate::load::{LatencyEstimate, PeerLoad};
use crate::observation::{AttemptCounts, Observation};
use crate::outlier::OutlierDetector;
use crate::slow_start::{rank_seed, SlowStart};
use crate::Millis;
use std::net::SocketAddrV4;

/// A backend as the platform's list of backends describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedBackend {
    /// Name of this instance; a restarted instance gets a new one.
    pub id: String,
    /// Name of the service that the instance belongs to.
    pub service: String,
    /// Address on which the backend accepts requests.
    pub address: SocketAddrV4,
    /// Name of its zone.
    pub zone: String,
    /// Name of its region.
    pub region: String,
    /// Number of requests that it executes concurrently; 0 is treated as 1.
    pub slots: u32,
    /// The instance is shutting down and must not get new requests.
    pub is_draining: bool,
    /// Remaining warm-up time (ms) when the list was requested; 0 if the warm-up is finished.
    pub slow_start_left_ms: Millis,
}

/// How much this proxy knows about the current load of a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadKnowledge {
    /// A fresh load report says that a slot is free.
    Free,
    /// There is a fresh load report, or a request of this proxy is in flight.
    Known,
    /// There is no fresh load report, and no request of this proxy is in flight.
    Unknown,
}

/// A backend of the directory.
#[derive(Clone, Debug)]
pub struct Backend {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) address: SocketAddrV4,
    pub(crate) zone: String,
    pub(crate) region: String,
    pub(crate) slots: u32,
    /// Listed as draining, removed from the list, or replaced at its address by another instance.
    pub(crate) is_draining: bool,
    /// Determines the order in which proxies get shares of its slow-start rate, see [`rank_seed()`].
    pub(crate) rank_seed: u64,
    pub(crate) slow_start: SlowStart,
    /// Unfinished attempts of this proxy.
    pub(crate) in_flight: u32,
    pub(crate) latency: LatencyEstimate,
    pub(crate) outlier: OutlierDetector,
    pub(crate) counts: AttemptCounts,
    peer_load: PeerLoad,
}

impl Backend {
    pub(crate) fn new(listed: ListedBackend) -> Backend {
        Backend {
            rank_seed: rank_seed(&listed.id),
            id: listed.id,
            service: listed.service,
            address: listed.address,
            zone: listed.zone,
            region: listed.region,
            slots: listed.slots.max(1),
            is_draining: false,
            slow_start: SlowStart::default(),
            in_flight: 0,
            latency: LatencyEstimate::default(),
            outlier: OutlierDetector::default(),
            counts: AttemptCounts::default(),
            peer_load: PeerLoad::default(),
        }
    }

    /// Address on which the backend accepts requests.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Name of the region that the backend runs in.
    #[must_use]
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Whether the backend gets no new requests. Idle connections to it can be closed.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Moving average of the backend's response times (ms); `None` before the first response.
    #[must_use]
    pub fn latency_estimate_ms(&self) -> Option<f64> {
        self.latency.mean_ms()
    }

    /// Estimated number of requests of all proxies at the backend, from its load reports.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.peer_load.estimate(now)
    }

    /// Expected number of requests of all proxies at the backend. As load reports age, the estimate
    /// approaches the service's mean load, `usual_per_slot` (requests per slot).
    pub(crate) fn expected_load(&self, now: Millis, usual_per_slot: f64) -> f64 {
        let usual_load = usual_per_slot * f64::from(self.slots);
        f64::from(self.in_flight) + self.peer_load.with_prior(now, usual_load)
    }

    /// How much this proxy knows about the backend's current load.
    pub(crate) fn load_knowledge(&self, now: Millis) -> LoadKnowledge {
        let is_fresh = self.peer_load.is_fresh(now);
        if is_fresh && self.load(now) + 1.0 <= f64::from(self.slots) {
            LoadKnowledge::Free
        } else if is_fresh || self.in_flight > 0 {
            LoadKnowledge::Known
        } else {
            LoadKnowledge::Unknown
        }
    }

    /// Whether the backend has not responded since its ejection and an attempt that probes it is in flight.
    pub(crate) fn is_being_probed(&self) -> bool {
        self.outlier.is_on_probation() && self.in_flight > 0
    }

    pub(crate) fn record_attempt_started(&mut self, now: Millis) {
        self.in_flight += 1;
        self.counts.sent += 1;
        self.slow_start.record_sent(now);
    }

    pub(crate) fn record_attempt_finished(&mut self, now: Millis, observation: Observation) {
        self.counts.record(observation);
        let in_flight = self.in_flight;
        self.in_flight = self.in_flight.saturating_sub(1);
        match observation {
            Observation::Response { latency_ms, load } => {
                self.outlier.record_success();
                self.latency.record(latency_ms);
                if let Some(load) = load {
                    // The report was made while the backend still counted the finished request.
                    self.peer_load.report(now, load, in_flight);
                }
            }
            Observation::Rejected => {
                self.peer_load.saturate(now, self.slots);
                self.outlier.record_rejection(now);
            }
            Observation::Unreachable => self.outlier.record_unreachable(now),
            Observation::TimedOut => self.outlier.record_timeout(now),
            Observation::Broken => self.outlier.record_failure(now),
            Observation::WrongInstance => self.is_draining = true,
            Observation::Inconclusive => {}
        }
    }
}
