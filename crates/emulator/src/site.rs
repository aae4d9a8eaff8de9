//! A deployment: machines, services, tenants, kinds of requests, and the bounds of the rules.

mod rooms;

use crate::net::Delays;
use serde_json::{json, Value};
use violetyoke_api::configuration::RouteKind;
use violetyoke_api::settings::Bounds;

/// A service and its backends.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: &'static str,
    /// The number of backends in each zone.
    pub backends: Vec<usize>,
    /// The number of requests that a backend executes concurrently.
    pub slots: u32,
    /// The duration of a new backend's slow start (s).
    pub slow_start_s: f64,
    /// The request rate (per second) that all proxies together may send to a backend during its slow start.
    pub slow_start_rate_per_s: f64,
    /// The speeds of the backends, assigned in turn. The execution time is the work divided by the speed.
    pub speeds: Vec<f64>,
    /// Whether the backends deduplicate operations by key themselves.
    pub self_dedup: bool,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct RequestKind {
    /// Its name, which is also that of its route.
    pub name: &'static str,
    /// The index of the service that it goes to.
    pub service: usize,
    /// The prefix of its paths.
    pub path: &'static str,
    /// The kind of route, which decides how often the request may be executed.
    pub route_kind: RouteKind,
    /// The relative frequency of the kind of request.
    pub weight: f64,
    /// The mean execution time (ms).
    pub work_ms: f64,
    /// The latency target (ms).
    pub target_ms: u64,
    /// The deadline of clients (ms).
    pub deadline_ms: u64,
    /// The regions that may execute it; empty if all may.
    pub home_regions: Vec<&'static str>,
}

/// A zone.
#[derive(Clone, Copy, Debug)]
pub struct Zone {
    /// Its name.
    pub name: &'static str,
    /// The index of its region.
    pub region: usize,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// The zones.
    pub zones: Vec<Zone>,
    /// The names of the regions.
    pub regions: Vec<&'static str>,
    /// The number of edge machines in each zone.
    pub edges: Vec<usize>,
    /// The number of core machines in each zone.
    pub cores: Vec<usize>,
    /// The number of core machines that may be lost at the same time.
    pub tolerance: u32,
    /// The network delays.
    pub delays: Delays,
    /// The duration of a disk sync (ms).
    pub sync_ms: f64,
    /// Whether disks report syncs of slots that they have not done (the negative control).
    pub has_lying_disks: bool,
    /// Whether disks report syncs of logs that they have not done (the negative control).
    pub has_lying_logs: bool,
    /// The services.
    pub services: Vec<Service>,
    /// The kinds of requests.
    pub request_kinds: Vec<RequestKind>,
    /// The number of tenants.
    pub tenants: usize,
    /// Requests per second of each zone's clients.
    pub requests_per_s: f64,
    /// Tenants' rate limits, as a multiple of their usual rates.
    pub limit_factor: f64,
    /// The lag of the platform's list (ms).
    pub lag_ms: u64,
    /// The bounds of the rules.
    pub bounds: Bounds,
}

/// The host of all requests.
pub(crate) const HOST: &str = "rooms.example";

impl Site {
    /// The number of core machines.
    pub(crate) fn core_count(&self) -> usize {
        self.cores.iter().sum()
    }

    /// The number of edge machines.
    pub(crate) fn edge_count(&self) -> usize {
        self.edges.iter().sum()
    }

    /// The index of a zone's region.
    pub(crate) fn region(&self, zone: usize) -> usize {
        self.zones.get(zone).map_or(0, |zone| zone.region)
    }

    /// A tenant's fraction of all requests; it decreases with the tenant's number, so that a few are large.
    pub(crate) fn traffic_share(&self, tenant: usize) -> f64 {
        let weight = |n: usize| 1.0 / (n + 1) as f64;
        weight(tenant) / (0..self.tenants).map(weight).sum::<f64>()
    }

    /// A tenant's rate limit (per second) and burst, which exceed its usual rate.
    pub(crate) fn rate_limit(&self, tenant: usize) -> f64 {
        let all = self.requests_per_s * self.zones.len() as f64;
        (all * self.traffic_share(tenant) * self.limit_factor).max(5.0).ceil()
    }

    /// The configuration of a version, with the tenants added (`joined`) and the tenants whose keys were revoked so
    /// far, and `extra_routes` additional routes.
    pub(crate) fn configuration(
        &self,
        version: u64,
        joined: &[String],
        revoked: &[usize],
        extra_routes: usize,
    ) -> Value {
        let route = |kind: &RequestKind| {
            let service = self.services[kind.service].name;
            json!([
                kind.name,
                HOST,
                kind.path,
                kind.route_kind,
                kind.deadline_ms,
                kind.target_ms,
                2,
                kind.home_regions,
                service
            ])
        };
        let extra_route = |n: usize| {
            json!([
                format!("more-{n}"),
                HOST,
                format!("/more/{n}/"),
                "idempotent",
                1000,
                400,
                2,
                [],
                "finder"
            ])
        };
        let service =
            |it: &Service| json!([it.name, it.slow_start_s, it.slow_start_rate_per_s, 100, it.self_dedup]);
        let initial = |n: usize| {
            let keys: Vec<String> = if revoked.contains(&n) { Vec::new() } else { vec![key(n)] };
            json!([tenant(n), keys, self.rate_limit(n), self.rate_limit(n)])
        };
        let newcomer = |name: &String| json!([name, [format!("key-{name}")], 20, 20]);
        let routes = self.request_kinds.iter().map(route).chain((0..extra_routes).map(extra_route));
        let tenants = (0..self.tenants).map(initial).chain(joined.iter().map(newcomer));
        json!({
            "version": version,
            "routes": {"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts",
                                   "home-regions", "service"], "rows": routes.collect::<Vec<_>>()},
            "services": {"columns": ["name", "cold-s", "cold-rate-s", "max-conns", "self-dedup"],
                         "rows": self.services.iter().map(service).collect::<Vec<_>>()},
            "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                        "rows": tenants.collect::<Vec<_>>()},
        })
    }
}

/// A tenant's name.
pub(crate) fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

/// A tenant's credential.
pub(crate) fn key(number: usize) -> String {
    format!("key-{number}")
}

/// The credential of a tenant by its name, for initial tenants and those added during the day.
pub(crate) fn credential(tenant: &str) -> String {
    format!("key-{}", tenant.strip_prefix("tenant-").unwrap_or(tenant))
}

/// The tenant that a credential belongs to.
pub(crate) fn owner(credential: &str) -> Option<String> {
    let name = credential.strip_prefix("key-")?;
    Some(name.parse().map_or_else(|_| name.to_owned(), tenant))
}
