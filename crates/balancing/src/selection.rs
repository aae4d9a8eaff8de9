//! The choice of a backend for one attempt: the cheapest by estimated response time and network distance.

use crate::backend::Backend;
use crate::concurrency::{has_capacity, load_factor};
use crate::directory::BackendDirectory;
use crate::load::DEFAULT_LATENCY_MS;
use crate::Millis;

/// What a network path costs, as milliseconds of waiting: traffic between zones and between regions is paid for.
const OTHER_ZONE_COST_MS: f64 = 25.0;
const OTHER_REGION_COST_MS: f64 = 350.0;
/// A backend that warms up is slower by about this factor.
const SLOW_START_FACTOR: f64 = 2.0;
/// Costs that differ by less than this fraction count as equal: all proxies see the same list, and must not all choose
/// the same backend.
const COST_JITTER: f64 = 0.3;

/// What a backend has to meet to get an attempt.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Name of the service that the request goes to.
    pub service: &'a str,
    /// Ids of the backends that this request was sent to already.
    pub attempted: &'a [String],
    /// Regions that the request is bound to, by its route and by its tenant; an empty list binds to none.
    pub home_regions: [&'a [String]; 2],
}

/// The result of a selection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The id of the backend that gets the attempt.
    Backend(String),
    /// There are backends that may get it, and none has capacity now.
    AtCapacity,
    /// No known backend may get it.
    NoBackend,
}

/// The best of the backends looked at so far.
#[derive(Default)]
struct Candidates<'a> {
    any_eligible: bool,
    cheapest: Option<(f64, &'a Backend)>,
    /// Of the idle ones among the ejected, the one whose ejection ends first.
    first_to_return: Option<&'a Backend>,
}

impl<'a> Candidates<'a> {
    fn offer(&mut self, cost: f64, backend: &'a Backend) {
        if self.cheapest.is_none_or(|(least, _)| cost < least) {
            self.cheapest = Some((cost, backend));
        }
    }

    fn offer_ejected(&mut self, backend: &'a Backend) {
        let returns_earlier =
            |other: &Backend| backend.outlier.ejected_until() < other.outlier.ejected_until();
        if backend.in_flight == 0 && self.first_to_return.is_none_or(returns_earlier) {
            self.first_to_return = Some(backend);
        }
    }

    /// Where all backends are ejected, one of them is probed rather than the request refused.
    fn into_selection(self) -> Selection {
        match self.cheapest.map(|(_, backend)| backend).or(self.first_to_return) {
            Some(backend) => Selection::Backend(backend.id.clone()),
            None if self.any_eligible => Selection::AtCapacity,
            None => Selection::NoBackend,
        }
    }
}

impl BackendDirectory {
    /// Selects a backend for one attempt. Nothing is recorded: the caller sends the attempt and calls
    /// [`BackendDirectory::record_attempt_started`].
    #[must_use]
    pub fn select(&self, now: Millis, criteria: SelectionCriteria<'_>) -> Selection {
        let Some(ids) = self.by_service.get(criteria.service) else { return Selection::NoBackend };
        let max_connections = self.max_connections(criteria.service);
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
            if backend.in_flight >= max_connections || backend.is_being_probed() {
                continue;
            }
            if has_capacity(backend.slots, backend.load(now)) {
                let jitter = 1.0 + COST_JITTER * self.rng.sample_uniform();
                candidates.offer(self.cost_ms(now, backend) * jitter, backend);
            }
        }
        candidates.into_selection()
    }

    /// The next random number, uniform in `0.0..1.0`.
    pub fn sample_uniform(&self) -> f64 {
        self.rng.sample_uniform()
    }

    fn is_eligible(&self, backend: &Backend, criteria: SelectionCriteria<'_>) -> bool {
        let is_home = |homes: &&[String]| homes.is_empty() || homes.contains(&backend.region);
        !self.evacuated_zones.contains(&backend.zone)
            && criteria.home_regions.iter().all(is_home)
            && !criteria.attempted.contains(&backend.id)
    }

    fn has_slow_start_capacity(&self, now: Millis, backend: &Backend) -> bool {
        !backend.slow_start.is_active(now)
            || backend.slow_start.has_capacity(now, self.slow_start_share(backend))
    }

    /// The expected response time with the price of the network path (ms).
    fn cost_ms(&self, now: Millis, backend: &Backend) -> f64 {
        let slow_start = if backend.slow_start.is_active(now) { SLOW_START_FACTOR } else { 1.0 };
        let latency_ms = backend.latency_estimate_ms().unwrap_or(DEFAULT_LATENCY_MS) * slow_start;
        latency_ms * load_factor(backend.slots, backend.load(now)) + self.network_cost_ms(backend)
    }

    fn network_cost_ms(&self, backend: &Backend) -> f64 {
        if backend.zone == self.locality.zone {
            0.0
        } else if self.is_same_region(backend) {
            OTHER_ZONE_COST_MS
        } else {
            OTHER_REGION_COST_MS
        }
    }
}
