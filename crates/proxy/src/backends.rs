//! All backends that this proxy knows: the platform's list as the registries send it, and the observations of attempts.

use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use violetyoke_api::configuration::Service;
use violetyoke_api::Settings;
use violetyoke_balancing::{
    BackendDirectory, BackendReport, ListedBackend, Locality, Millis, Observation, Selection,
    SelectionCriteria, ServiceLimits,
};
use violetyoke_transport::messages::{proxy_id, Backend, BackendList, BackendListChange, ListDigest};

/// How far the platform's list lags behind the real state, if the settings do not give it (ms).
const DEFAULT_PLATFORM_LAG_MS: Millis = 1_000;
/// The maximum time from the platform's reply to a registry until this proxy has the list (ms). It does not include the
/// interval at which registries query the platform.
const LIST_DELIVERY_MS: Millis = 200;

/// The properties of a backend that an attempt to it needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendTarget {
    pub(crate) address: SocketAddrV4,
    pub(crate) is_same_region: bool,
    /// The expected latency of the backend (ms); `None` until a backend of its service has answered.
    pub(crate) latency_estimate_ms: Option<f64>,
}

/// The backends, and the digest of the list that is in force.
#[derive(Debug)]
pub(crate) struct Backends {
    clock: Clock,
    directory: RefCell<BackendDirectory>,
    list_digest: Cell<ListDigest>,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    local_region: String,
    /// By how much a list that arrives now may lag behind the real state (ms).
    list_lag_ms: Millis,
}

impl Backends {
    pub(crate) fn new(settings: &Settings, clock: Clock) -> Backends {
        let local = &settings.local;
        let locality = Locality { zone: local.zone.clone(), region: local.region.clone() };
        let directory = BackendDirectory::new(proxy_id(&local.node), locality);
        let platform = settings.platform.cloud_api.as_ref();
        let platform_lag_ms = platform.map_or(DEFAULT_PLATFORM_LAG_MS, |api| api.lag_ms.to_millis());
        Backends {
            clock,
            directory: RefCell::new(directory),
            list_digest: Cell::new(ListDigest::NONE),
            regions: settings.network.zones.clone(),
            local_region: local.region.clone(),
            list_lag_ms: platform_lag_ms + settings.terms.bounds.max_list_interval_ms() + LIST_DELIVERY_MS,
        }
    }

    /// Selects a backend for an attempt. The attempt counts only from [`Backends::record_attempt_started`] on.
    pub(crate) fn select(&self, criteria: SelectionCriteria<'_>) -> Selection {
        self.directory.borrow().select(self.clock.now(), criteria)
    }

    /// Whether the given sets of home regions permit only backends in other regions. An empty set permits all regions.
    pub(crate) fn excludes_local_region(&self, home_regions: &[Vec<String>]) -> bool {
        home_regions.iter().any(|regions| !regions.is_empty() && !regions.contains(&self.local_region))
    }

    /// Whether a backend has the capacity for an attempt now.
    pub(crate) fn is_selectable(&self, id: &str, criteria: SelectionCriteria<'_>) -> bool {
        self.directory.borrow().is_selectable(self.clock.now(), id, criteria)
    }

    /// Whether a request must be rejected because its backends are overloaded. `left_ms` is the time until its latency
    /// target.
    pub(crate) fn should_shed(&self, criteria: SelectionCriteria<'_>, left_ms: Millis) -> bool {
        self.directory.borrow().should_shed(self.clock.now(), criteria, left_ms)
    }

    /// A random sample of the uniform distribution on 0 to 1.
    pub(crate) fn sample_uniform(&self) -> f64 {
        self.directory.borrow().sample_uniform()
    }

    /// The properties of a backend for an attempt; `None` if the backend has been removed from the list.
    pub(crate) fn target(&self, id: &str) -> Option<BackendTarget> {
        let directory = self.directory.borrow();
        let backend = directory.get(id)?;
        Some(BackendTarget {
            address: backend.address(),
            is_same_region: directory.is_same_region(backend),
            latency_estimate_ms: directory.expected_latency_ms(backend),
        })
    }

    /// Records the start of an attempt.
    pub(crate) fn record_attempt_started(&self, id: &str) {
        self.directory.borrow_mut().record_attempt_started(self.clock.now(), id);
    }

    /// Records the end of an attempt and its outcome.
    pub(crate) fn record_attempt_finished(&self, id: &str, observation: Observation) {
        self.directory.borrow_mut().record_attempt_finished(self.clock.now(), id, observation);
    }

    /// The number of connections that this proxy may have to one backend of a service.
    pub(crate) fn max_connections(&self, service: &str) -> u32 {
        self.directory.borrow().max_connections(service)
    }

    /// Whether a backend is in the list and does not drain.
    pub(crate) fn is_available(&self, id: &str) -> bool {
        self.directory.borrow().get(id).is_some_and(|backend| !backend.is_draining())
    }

    /// The state and the counters of each backend.
    pub(crate) fn report(&self) -> Vec<BackendReport> {
        self.directory.borrow().report(self.clock.now())
    }

    /// The digest of the list in force; [`ListDigest::NONE`] until the first list.
    pub(crate) fn list_digest(&self) -> ListDigest {
        self.list_digest.get()
    }

    /// Replaces the list, and returns whether it was accepted. A list is rejected if a registry requested it from the
    /// platform earlier than the list in force.
    #[must_use]
    pub(crate) fn replace_list(&self, list: BackendList) -> bool {
        let backends = list.backends.into_iter().map(|backend| self.to_listed(backend)).collect();
        let now = self.clock.now();
        let requested_at = now.saturating_sub(list.age_ms);
        let accepted = self.directory.borrow_mut().replace_all(now, requested_at, backends);
        self.update_digest(accepted, list.digest)
    }

    /// Applies a change of the list in force, and returns whether it was accepted.
    #[must_use]
    pub(crate) fn apply_list_change(&self, change: BackendListChange) -> bool {
        let upserted = change.upserted.into_iter().map(|backend| self.to_listed(backend)).collect();
        let now = self.clock.now();
        let requested_at = now.saturating_sub(change.age_ms);
        let accepted = self.directory.borrow_mut().apply_change(now, requested_at, upserted, change.removed);
        self.update_digest(accepted, change.digest)
    }

    /// Applies the limits of the services in a new configuration, and the evacuated zones, which get no requests.
    pub(crate) fn configure(&self, services: &[Service], evacuated: BTreeSet<String>) {
        let limits = services.iter().map(|service| {
            let limits = ServiceLimits {
                slow_start_ms: service.cold_s.to_millis(),
                slow_start_rate_per_s: service.cold_rate_s,
                max_connections: service.max_conns.unwrap_or(0.0) as u32,
            };
            (service.name.clone(), limits)
        });
        self.directory.borrow_mut().configure(
            self.clock.now(),
            limits.collect(),
            evacuated,
            self.list_lag_ms,
        );
    }

    /// Sets the ids of all proxies (ascending). The list is empty while no registry is in contact with a majority: this proxy
    /// then has no share of slow-start rates, and the number of proxies keeps its last value.
    pub(crate) fn set_proxies(&self, proxies: Vec<u32>) {
        self.directory.borrow_mut().update_members(proxies);
    }

    /// Stores the digest of an update that was accepted, and returns `accepted`.
    fn update_digest(&self, accepted: bool, digest: ListDigest) -> bool {
        if accepted {
            self.list_digest.set(digest);
        }
        accepted
    }

    /// Adds the region of a backend's zone.
    fn to_listed(&self, backend: Backend) -> ListedBackend {
        ListedBackend {
            region: self.regions.get(&backend.zone).cloned().unwrap_or_default(),
            id: backend.id,
            service: backend.service,
            address: backend.address,
            zone: backend.zone,
            slots: backend.slots,
            is_draining: backend.draining,
            slow_start_left_ms: backend.slow_start_left_ms,
        }
    }
}
