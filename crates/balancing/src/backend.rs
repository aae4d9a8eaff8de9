//! One instance of a backend, from its start to its end: its properties, and what attempts have shown of it.

use crate::load::{ForeignLoad, LatencyEstimate};
use crate::observation::{AttemptCounts, Observation};
use crate::outlier::OutlierDetector;
use crate::slow_start::{rank_seed, SlowStart};
use crate::Millis;
use std::net::SocketAddrV4;

/// A backend as a list of the platform describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedBackend {
    /// Name of this instance; a restarted one has another.
    pub id: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Name of its zone.
    pub zone: String,
    /// Name of its region.
    pub region: String,
    /// Requests that it executes at once; 0 counts as 1.
    pub slots: u32,
    /// It ends soon, and is to get no further requests.
    pub is_draining: bool,
    /// How long it still warms up (ms), from when the list was requested; 0: it is warm.
    pub slow_start_left_ms: Millis,
}

/// What is known of a backend's present load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadKnowledge {
    /// It has reported lately that a slot is free.
    Free,
    /// It has reported lately, or has a request of this proxy.
    Known,
    /// Nothing that still holds.
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
    /// Listed as draining, gone from the list, or another instance has its address.
    pub(crate) is_draining: bool,
    /// Orders the members for its slow start.
    pub(crate) rank_seed: u64,
    pub(crate) slow_start: SlowStart,
    /// Attempts of this proxy that have not ended.
    pub(crate) in_flight: u32,
    pub(crate) latency: LatencyEstimate,
    pub(crate) outlier: OutlierDetector,
    pub(crate) counts: AttemptCounts,
    foreign_load: ForeignLoad,
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
            foreign_load: ForeignLoad::default(),
        }
    }

    /// Where it takes requests.
    #[must_use]
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Name of the region that it runs in.
    #[must_use]
    pub fn region(&self) -> &str {
        &self.region
    }

    /// It gets no further requests, and no connection to it needs to be kept.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Moving average of its response times (ms); `None` before the first response.
    #[must_use]
    pub fn latency_estimate_ms(&self) -> Option<f64> {
        self.latency.mean_ms()
    }

    /// Requests of all proxies that are there now, as far as responses reported them.
    pub(crate) fn load(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.foreign_load.estimate(now)
    }

    /// Requests of all proxies that are to be expected there now, where the usual load of its service is known.
    pub(crate) fn expected_load(&self, now: Millis, usual_per_slot: f64) -> f64 {
        let usual = usual_per_slot * f64::from(self.slots);
        f64::from(self.in_flight) + self.foreign_load.expected(now, usual)
    }

    /// What this proxy knows of its present load: a response came lately, or one is awaited.
    pub(crate) fn load_knowledge(&self, now: Millis) -> LoadKnowledge {
        let is_fresh = self.foreign_load.is_fresh(now);
        if is_fresh && self.load(now) + 1.0 <= f64::from(self.slots) {
            LoadKnowledge::Free
        } else if is_fresh || self.in_flight > 0 {
            LoadKnowledge::Known
        } else {
            LoadKnowledge::Unknown
        }
    }

    /// It responded to nothing since it was ejected, and one attempt is probing it.
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
                    // The report was made while the finished request was still counted.
                    self.foreign_load.report(now, load, in_flight);
                }
            }
            Observation::Rejected => {
                self.foreign_load.saturate(now, self.slots);
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
