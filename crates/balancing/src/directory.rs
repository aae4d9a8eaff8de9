//! The backends of all services, updated from the platform's lists and from the attempts of this proxy.

use crate::backend::{Backend, ListedBackend};
use crate::concurrency::ServiceLimits;
use crate::load::ServiceEstimate;
use crate::membership::{Locality, Membership};
use crate::observation::Observation;
use crate::rng::SplitMix64;
use crate::Millis;
use std::collections::{BTreeSet, HashMap};

/// How long terminated instances are remembered (ms). No list lags behind by more than this.
const TERMINATED_TTL_MS: Millis = 60_000;

/// All known backends, with the limits and the membership that determine how this proxy uses them.
#[derive(Debug, Default)]
pub struct BackendDirectory {
    pub(crate) backends: HashMap<String, Backend>,
    /// Ids of the backends of each service that are not draining, sorted.
    pub(crate) by_service: HashMap<String, Vec<String>>,
    pub(crate) evacuated_zones: BTreeSet<String>,
    pub(crate) locality: Locality,
    pub(crate) rng: SplitMix64,
    membership: Membership,
    limits: HashMap<String, ServiceLimits>,
    /// Latency and load of the backends of each service taken together.
    estimates: HashMap<String, ServiceEstimate>,
    /// When the newest applied list was requested from the platform.
    list_requested_at: Option<Millis>,
    /// Greatest lag of a list behind the actual state (ms).
    list_lag_ms: Millis,
    /// Terminated instances with the time of their removal, so that an older list does not add them again.
    terminated: HashMap<String, Millis>,
}

impl BackendDirectory {
    /// An empty directory for the proxy `proxy_id`. The id also seeds the random number generator.
    #[must_use]
    pub fn new(proxy_id: u32, locality: Locality) -> BackendDirectory {
        BackendDirectory {
            locality,
            rng: SplitMix64::new(u64::from(proxy_id) << 32),
            membership: Membership::new(proxy_id),
            ..BackendDirectory::default()
        }
    }

    /// Replaces all backends with a list that was requested at `requested_at`. Returns whether the list was
    /// applied; one that is older than an already applied list is ignored.
    pub fn replace_all(&mut self, now: Millis, requested_at: Millis, listed: Vec<ListedBackend>) -> bool {
        if self.is_outdated(requested_at) {
            return false;
        }
        self.list_requested_at = Some(requested_at);
        self.terminated.retain(|_, since| now < *since + TERMINATED_TTL_MS);
        let listed_ids: BTreeSet<&str> = listed.iter().map(|backend| backend.id.as_str()).collect();
        let removed: Vec<String> =
            self.backends.keys().filter(|id| !listed_ids.contains(id.as_str())).cloned().collect();
        self.terminate(now, removed);
        self.upsert(listed, requested_at);
        true
    }

    /// Applies the difference between the newest applied list and one that was requested at `requested_at`.
    /// Returns whether the difference was applied, see [`Self::replace_all`].
    pub fn apply_change(
        &mut self,
        now: Millis,
        requested_at: Millis,
        upserted: Vec<ListedBackend>,
        removed: Vec<String>,
    ) -> bool {
        if self.is_outdated(requested_at) {
            return false;
        }
        self.list_requested_at = Some(requested_at);
        self.terminate(now, removed);
        self.upsert(upserted, requested_at);
        true
    }

    fn is_outdated(&self, requested_at: Millis) -> bool {
        self.list_requested_at.is_some_and(|newest| requested_at < newest)
    }

    fn terminate(&mut self, now: Millis, removed: Vec<String>) {
        for id in removed {
            match self.backends.get_mut(&id) {
                // Removed when its last attempt finishes.
                Some(backend) if backend.in_flight > 0 => backend.is_draining = true,
                _ => {
                    self.backends.remove(&id);
                }
            }
            self.terminated.insert(id, now);
        }
    }

    fn upsert(&mut self, listed: Vec<ListedBackend>, requested_at: Millis) {
        for listed in listed {
            if self.terminated.contains_key(&listed.id) {
                continue;
            }
            let (slots, is_draining) = (listed.slots.max(1), listed.is_draining);
            let slow_start_until = match listed.slow_start_left_ms {
                0 => 0,
                remaining_ms => requested_at + remaining_ms,
            };
            let backend = self.backends.entry(listed.id.clone()).or_insert_with(|| Backend::new(listed));
            backend.slots = slots;
            // An instance that drains never becomes ready again.
            backend.is_draining |= is_draining;
            backend.slow_start.set_listed_until(slow_start_until);
        }
        self.rebuild_service_index();
    }

    fn rebuild_service_index(&mut self) {
        self.by_service.clear();
        for backend in self.backends.values().filter(|backend| !backend.is_draining) {
            self.by_service.entry(backend.service.clone()).or_default().push(backend.id.clone());
        }
        for ids in self.by_service.values_mut() {
            ids.sort_unstable();
        }
    }

    /// Applies a new configuration: limits by service name, zones that must not get requests, and the
    /// greatest lag of lists behind the actual state (`list_lag_ms`).
    pub fn configure(
        &mut self,
        now: Millis,
        limits: HashMap<String, ServiceLimits>,
        evacuated_zones: BTreeSet<String>,
        list_lag_ms: Millis,
    ) {
        (self.limits, self.list_lag_ms) = (limits, list_lag_ms);
        self.estimates.retain(|service, _| self.limits.contains_key(service));
        for zone in self.evacuated_zones.difference(&evacuated_zones) {
            // Backends of the zone may have restarted during the evacuation. Lists show that only after a
            // lag.
            for backend in self.backends.values_mut().filter(|backend| backend.zone == *zone) {
                let warm_up_ms = self.limits.get(&backend.service).map_or(0, |limits| limits.slow_start_ms);
                backend.slow_start.assume_until(now + warm_up_ms + list_lag_ms);
            }
        }
        self.evacuated_zones = evacuated_zones;
    }

    /// Replaces the proxies that share the backends, given as sorted ids including this proxy's. An empty
    /// list means that membership is unknown: this proxy then has no share of slow-start rates, and its share
    /// of connections is unchanged.
    pub fn update_members(&mut self, members: Vec<u32>) {
        self.membership.update(members);
    }

    /// Connections that this proxy may hold to one backend of a service.
    #[must_use]
    pub fn max_connections(&self, service: &str) -> u32 {
        let limits = self.limits.get(service).copied().unwrap_or_default();
        limits.connections_per_proxy(self.membership.proxy_count())
    }

    /// Requests per second that this proxy may send to `backend` while the backend warms up.
    pub(crate) fn slow_start_share(&self, backend: &Backend) -> u32 {
        let rate_per_s = self.limits.get(&backend.service).map_or(0.0, |limits| limits.slow_start_rate_per_s);
        self.membership.rate_share(backend.rank_seed, rate_per_s)
    }

    pub(crate) fn service_estimate(&self, service: &str) -> ServiceEstimate {
        self.estimates.get(service).copied().unwrap_or_default()
    }

    /// Expected response time of a backend (ms); `None` before the first response of any backend of its
    /// service.
    #[must_use]
    pub fn expected_latency_ms(&self, backend: &Backend) -> Option<f64> {
        let prior_ms = self.service_estimate(&backend.service).latency_ms(self.is_same_region(backend))?;
        Some(backend.latency.expected_ms(prior_ms))
    }

    /// The backend with this id, which may be draining.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Whether a backend runs in this proxy's region.
    #[must_use]
    pub fn is_same_region(&self, backend: &Backend) -> bool {
        backend.region == self.locality.region
    }

    /// Records that an attempt is sent to a backend. Each call must be followed by one call of
    /// [`Self::record_attempt_finished`].
    pub fn record_attempt_started(&mut self, now: Millis, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.record_attempt_started(now);
        }
    }

    /// Records how an attempt ended.
    pub fn record_attempt_finished(&mut self, now: Millis, id: &str, observation: Observation) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        if let Observation::Response { latency_ms, load } = observation {
            let load = load.map(|load| (load, backend.slots));
            let is_same_region = backend.region == self.locality.region;
            // `get_mut` first: the `entry` API would copy the service name on each call.
            if let Some(estimate) = self.estimates.get_mut(&backend.service) {
                estimate.record(now, latency_ms, load, is_same_region);
            } else {
                let estimate = self.estimates.entry(backend.service.clone()).or_default();
                estimate.record(now, latency_ms, load, is_same_region);
            }
        }
        let (was_draining, was_unreachable) = (backend.is_draining, backend.outlier.is_unreachable());
        backend.record_attempt_finished(now, observation);
        let is_unreachable = backend.outlier.is_unreachable();
        if was_unreachable || is_unreachable {
            // An unreachable instance may have lost power and warms up again after its start. Lists show that
            // only after a lag.
            let warm_up_ms = self.limits.get(&backend.service).map_or(0, |limits| limits.slow_start_ms);
            let assumed_ms = self.list_lag_ms + if is_unreachable { warm_up_ms } else { 0 };
            backend.slow_start.assume_until(now + assumed_ms);
        }
        if backend.is_draining && backend.in_flight == 0 && self.terminated.contains_key(id) {
            self.backends.remove(id);
            self.rebuild_service_index();
        } else if backend.is_draining != was_draining {
            self.rebuild_service_index();
        }
    }
}
