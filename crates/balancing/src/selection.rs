//! Selects a backend for one attempt by estimated response time and network distance.

use crate::backend::Backend;
use crate::candidates::{Candidates, Distance, Selection};
use crate::concurrency::{has_capacity, load_factor};
use crate::directory::BackendDirectory;
use crate::load::{ServiceEstimate, DEFAULT_LATENCY_MS};
use crate::Millis;

/// Cost of a network path in equivalent latency (ms). Traffic between zones and regions is billed.
const OTHER_ZONE_COST_MS: f64 = 25.0;
const OTHER_REGION_COST_MS: f64 = 350.0;
/// Latency of a backend that warms up, relative to its usual latency.
const SLOW_START_FACTOR: f64 = 2.0;
/// Largest random increase of a cost, as a fraction. All proxies have the same list, and without jitter they
/// would all select the same backend.
const COST_JITTER: f64 = 0.3;

/// Requirements on the backend for one attempt.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Ids of the backends that this request was already sent to.
    pub attempted: &'a [String],
    /// Regions in which the request may be executed, by its route and by its tenant; an empty list allows
    /// all.
    pub home_regions: [&'a [String]; 2],
}

impl BackendDirectory {
    /// Selects a backend for one attempt without recording anything. The caller sends the attempt and calls
    /// [`BackendDirectory::record_attempt_started`].
    #[must_use]
    pub fn select(&self, now: Millis, criteria: SelectionCriteria<'_>) -> Selection {
        let Some(ids) = self.by_service.get(criteria.service) else { return Selection::NoBackend };
        let max_connections = self.max_connections(criteria.service);
        let service = self.service_estimate(criteria.service);
        let mut candidates = Candidates::default();
        for backend in ids.iter().filter_map(|id| self.backends.get(id)) {
            if !self.is_eligible(backend, criteria) {
                continue;
            }
            candidates.any_eligible = true;
            if !self.has_slow_start_capacity(now, backend) {
                continue;
            }
            if backend.outlier.is_ejected(now) {
                candidates.offer_ejected(backend);
                continue;
            }
            if can_accept_attempt(now, backend, max_connections) {
                let jitter = 1.0 + COST_JITTER * self.rng.sample_uniform();
                let cost = self.cost_ms(now, backend, &service) * jitter;
                candidates.offer(cost, backend, self.distance(backend), backend.load_knowledge(now));
            }
        }
        candidates.into_selection(&self.rng)
    }

    /// Whether a backend that was selected earlier may still get the attempt.
    #[must_use]
    pub fn is_selectable(&self, now: Millis, id: &str, criteria: SelectionCriteria<'_>) -> bool {
        let Some(backend) = self.backends.get(id) else { return false };
        !backend.is_draining
            && backend.service == criteria.service
            && self.is_eligible(backend, criteria)
            && self.has_slow_start_capacity(now, backend)
            && !backend.outlier.is_ejected(now)
            && can_accept_attempt(now, backend, self.max_connections(criteria.service))
    }

    /// The next random number, uniform in `0.0..1.0`.
    pub fn sample_uniform(&self) -> f64 {
        self.rng.sample_uniform()
    }

    pub(crate) fn is_eligible(&self, backend: &Backend, criteria: SelectionCriteria<'_>) -> bool {
        let is_home = |regions: &&[String]| regions.is_empty() || regions.contains(&backend.region);
        !self.evacuated_zones.contains(&backend.zone)
            && criteria.home_regions.iter().all(is_home)
            && !criteria.attempted.contains(&backend.id)
    }

    fn has_slow_start_capacity(&self, now: Millis, backend: &Backend) -> bool {
        !backend.slow_start.is_active(now)
            || backend.slow_start.has_capacity(now, self.slow_start_share(backend))
    }

    /// The expected response time plus the cost of the network path (ms).
    fn cost_ms(&self, now: Millis, backend: &Backend, service: &ServiceEstimate) -> f64 {
        let slow_start = if backend.slow_start.is_active(now) { SLOW_START_FACTOR } else { 1.0 };
        let is_same_region = self.is_same_region(backend);
        let usual_ms = service.latency_ms(is_same_region).unwrap_or(DEFAULT_LATENCY_MS);
        let latency_ms = backend.latency.expected_ms(usual_ms) * slow_start;
        let load = backend.expected_load(now, service.load_per_slot(is_same_region));
        latency_ms * load_factor(backend.slots, load) + self.network_cost_ms(backend)
    }

    fn network_cost_ms(&self, backend: &Backend) -> f64 {
        match self.distance(backend) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => OTHER_ZONE_COST_MS,
            Distance::OtherRegion => OTHER_REGION_COST_MS,
        }
    }

    fn distance(&self, backend: &Backend) -> Distance {
        if backend.zone == self.locality.zone {
            Distance::SameZone
        } else if self.is_same_region(backend) {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}

/// Whether a healthy backend can accept one more attempt, with respect to its capacity and to this proxy's
/// share of its connections.
fn can_accept_attempt(now: Millis, backend: &Backend, max_connections: u32) -> bool {
    backend.in_flight < max_connections
        && !backend.is_being_probed()
        && has_capacity(backend.slots, backend.load(now))
}
