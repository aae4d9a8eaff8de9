//! All backends that this proxy knows: the platform's list as registries pass it on, and what each backend has shown.

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

/// How far the platform's list lags behind where the settings don't say (ms).
const DEFAULT_PLATFORM_LAG_MS: f64 = 1_000.0;
/// How much later than the platform's answer a list may get here, beside the time until a registry asks for it (ms).
const LIST_DELIVERY_MS: Millis = 200;

/// What an attempt needs to know of the backend that it goes to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendTarget {
    pub(crate) address: SocketAddrV4,
    pub(crate) is_same_region: bool,
    /// How long its answers are expected to take (ms); `None` until one of its service has answered.
    pub(crate) latency_estimate_ms: Option<f64>,
}

/// The backends, and the digest of the list that they come from.
#[derive(Debug)]
pub(crate) struct Backends {
    clock: Clock,
    directory: RefCell<BackendDirectory>,
    list_digest: Cell<ListDigest>,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    local_region: String,
    list_lag_ms: Millis,
}

impl Backends {
    pub(crate) fn new(settings: &Settings, clock: Clock) -> Backends {
        let local = &settings.local;
        let locality = Locality { zone: local.zone.clone(), region: local.region.clone() };
        let directory = BackendDirectory::new(proxy_id(&local.node), locality);
        let platform = settings.platform.cloud_api.as_ref();
        let platform_lag_ms = platform.map_or(DEFAULT_PLATFORM_LAG_MS, |api| api.lag_ms) as Millis;
        Backends {
            clock,
            directory: RefCell::new(directory),
            list_digest: Cell::new(ListDigest::NONE),
            regions: settings.network.zones.clone(),
            local_region: local.region.clone(),
            list_lag_ms: platform_lag_ms + settings.terms.bounds.max_list_interval_ms() + LIST_DELIVERY_MS,
        }
    }

    /// Selects a backend for an attempt; nothing is recorded of it before [`Backends::record_attempt_started`].
    pub(crate) fn select(&self, criteria: SelectionCriteria<'_>) -> Selection {
        self.directory.borrow().select(self.clock.now(), criteria)
    }

    /// Whether these home regions leave only backends of other regions.
    pub(crate) fn excludes_local_region(&self, home_regions: &[Vec<String>]) -> bool {
        home_regions.iter().any(|homes| !homes.is_empty() && !homes.contains(&self.local_region))
    }

    /// Whether a backend can take an attempt now.
    pub(crate) fn is_selectable(&self, id: &str, criteria: SelectionCriteria<'_>) -> bool {
        self.directory.borrow().is_selectable(self.clock.now(), id, criteria)
    }

    /// Whether a request that has `left_ms` until its latency target is to be refused, as its backends are overloaded.
    pub(crate) fn should_shed(&self, criteria: SelectionCriteria<'_>, left_ms: Millis) -> bool {
        self.directory.borrow().should_shed(self.clock.now(), criteria, left_ms)
    }

    /// A number drawn uniformly from 0 to 1.
    pub(crate) fn sample_uniform(&self) -> f64 {
        self.directory.borrow().sample_uniform()
    }

    /// Where an attempt at a backend goes to; `None` once the backend is gone.
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

    /// Records how an attempt ended.
    pub(crate) fn record_attempt_finished(&self, id: &str, observation: Observation) {
        self.directory.borrow_mut().record_attempt_finished(self.clock.now(), id, observation);
    }

    /// Connections that this proxy may hold to one backend of a service.
    pub(crate) fn max_connections(&self, service: &str) -> u32 {
        self.directory.borrow().max_connections(service)
    }

    /// Whether a backend is known and neither drains nor is gone.
    pub(crate) fn is_available(&self, id: &str) -> bool {
        self.directory.borrow().get(id).is_some_and(|backend| !backend.is_draining())
    }

    /// What each backend was sent and has shown.
    pub(crate) fn report(&self) -> Vec<BackendReport> {
        self.directory.borrow().report(self.clock.now())
    }

    /// The digest of the list in force; [`ListDigest::NONE`] until the first list.
    pub(crate) fn list_digest(&self) -> ListDigest {
        self.list_digest.get()
    }

    /// Replaces the list. Returns whether it was taken: one that the platform was asked for earlier than for the list in
    /// force is not.
    #[must_use]
    pub(crate) fn replace_list(&self, list: BackendList) -> bool {
        let backends = list.backends.into_iter().map(|backend| self.listed(backend)).collect();
        let now = self.clock.now();
        let requested_at = now.saturating_sub(list.age_ms);
        let taken = self.directory.borrow_mut().replace_all(now, requested_at, backends);
        self.note_digest(taken, list.digest)
    }

    /// Applies a change of the list in force. Returns whether it was taken.
    #[must_use]
    pub(crate) fn apply_list_change(&self, change: BackendListChange) -> bool {
        let upserted = change.upserted.into_iter().map(|backend| self.listed(backend)).collect();
        let now = self.clock.now();
        let requested_at = now.saturating_sub(change.age_ms);
        let taken = self.directory.borrow_mut().apply_change(now, requested_at, upserted, change.removed);
        self.note_digest(taken, change.digest)
    }

    /// Applies what a new configuration says of services, and the zones that are to get no requests.
    pub(crate) fn configure(&self, services: &[Service], evacuated: BTreeSet<String>) {
        let limits = services.iter().map(|service| {
            let limits = ServiceLimits {
                slow_start_ms: (service.cold_s * 1000.0) as Millis,
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

    /// Sets the ids of all proxies (ascending). An empty list means that they are not known for certain: this proxy then has
    /// no share of slow-start rates, and the number of proxies stays as it was.
    pub(crate) fn set_proxies(&self, proxies: Vec<u32>) {
        self.directory.borrow_mut().update_members(proxies);
    }

    fn note_digest(&self, taken: bool, digest: ListDigest) -> bool {
        if taken {
            self.list_digest.set(digest);
        }
        taken
    }

    fn listed(&self, backend: Backend) -> ListedBackend {
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
