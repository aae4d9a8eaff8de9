//! The routing table: an immutable index of one configuration, which is replaced as a unit.

use crate::configuration::{Configuration, Limits, Route, RouteKind, Service, Tenant, MAX_TIMEOUT};
use std::collections::HashMap;
use std::time::Duration;

/// A route, prepared for lookups.
#[derive(Debug)]
pub struct RouteEntry {
    /// The name of the route.
    pub name: String,
    /// How often its requests may be executed.
    pub kind: RouteKind,
    /// The time-out of requests; at most [`MAX_TIMEOUT`].
    pub timeout: Duration,
    /// The latency target: a response within this time has its full value; at most [`MAX_TIMEOUT`].
    pub target: Duration,
    /// The priority of requests whose tenant has none; 0 is the highest.
    pub priority: i64,
    /// The maximum number of backends that one request is sent to; at least 1.
    pub max_attempts: u32,
    /// Whether its requests need no API key.
    pub is_public: bool,
    /// The regions whose backends may execute its requests; all regions if empty.
    pub home_regions: Vec<String>,
    split: Vec<SplitTarget>,
}

/// A service in the split of a route.
#[derive(Clone, Copy, Debug)]
struct SplitTarget {
    /// The index in [`RoutingTable::services`].
    service: usize,
    /// The sum of the weights of this service and of those before it.
    cumulative_weight: f64,
}

/// Routes by host and path prefix, and tenants by key.
#[derive(Debug)]
pub struct RoutingTable {
    /// The limits of clients' connections and requests.
    pub limits: Limits,
    /// All services. Routes refer to them by index.
    pub services: Vec<Service>,
    /// All tenants. Callers refer to them by index.
    pub tenants: Vec<Tenant>,
    routes: Vec<RouteEntry>,
    /// The indices of routes, by host (in lower case) and path prefix.
    routes_by_host: HashMap<String, HashMap<String, usize>>,
    /// The indices of tenants, by API key.
    tenants_by_key: HashMap<String, usize>,
}

/// The sender of a request, identified by its API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// There is no tenant, and none is required.
    Anonymous,
    /// The index of the tenant in [`RoutingTable::tenants`].
    Tenant(usize),
    /// There is no tenant, although one is required.
    Unknown,
}

impl RoutingTable {
    /// Creates the table of a valid configuration.
    #[must_use]
    pub fn new(configuration: &Configuration) -> RoutingTable {
        RoutingTable {
            limits: configuration.limits,
            services: configuration.services.clone(),
            tenants: configuration.tenants.clone(),
            routes: route_entries(configuration),
            routes_by_host: index_routes(&configuration.routes),
            tenants_by_key: index_tenants(&configuration.tenants),
        }
    }

    /// Finds the route of a request: the route for its host with the longest matching path prefix. `host` may contain a port.
    /// Prefixes end with a slash.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let host = without_port(host);
        // Most hosts are in lower case already, so the first lookup usually avoids a copy.
        let by_prefix =
            self.routes_by_host.get(host).or_else(|| self.routes_by_host.get(&host.to_ascii_lowercase()))?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = by_prefix.get(&path[..=slash]) {
                return self.routes.get(*index);
            }
            end = slash;
        }
        None
    }

    /// The sender of a request to `route` with an API key. If there are no tenants, all senders are anonymous.
    #[must_use]
    pub fn caller(&self, route: &RouteEntry, key: Option<&str>) -> Caller {
        if self.tenants.is_empty() {
            return Caller::Anonymous;
        }
        match key.and_then(|key| self.tenants_by_key.get(key)) {
            Some(index) => Caller::Tenant(*index),
            None if route.is_public => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }
}

fn without_port(host: &str) -> &str {
    let is_port = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) => name,
        _ => host,
    }
}

fn route_entries(configuration: &Configuration) -> Vec<RouteEntry> {
    let names = configuration.services.iter().map(|service| service.name.as_str());
    let services: HashMap<&str, usize> = names.enumerate().map(|(index, name)| (name, index)).collect();
    configuration.routes.iter().map(|route| RouteEntry::new(route, &services)).collect()
}

fn index_routes(routes: &[Route]) -> HashMap<String, HashMap<String, usize>> {
    let mut by_host: HashMap<String, HashMap<String, usize>> = HashMap::new();
    for (index, route) in routes.iter().enumerate() {
        let by_prefix = by_host.entry(route.host.to_ascii_lowercase()).or_default();
        by_prefix.insert(route.path_prefix.clone(), index);
    }
    by_host
}

fn index_tenants(tenants: &[Tenant]) -> HashMap<String, usize> {
    let mut by_key = HashMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        by_key.extend(tenant.api_keys.iter().map(|key| (key.clone(), index)));
    }
    by_key
}

impl RouteEntry {
    /// `services` contains the index of each service, by name.
    fn new(route: &Route, services: &HashMap<&str, usize>) -> RouteEntry {
        RouteEntry {
            name: route.name.clone(),
            kind: route.route_kind,
            timeout: route.timeout_ms.to_duration().min(MAX_TIMEOUT),
            target: route.target_ms.unwrap_or(route.timeout_ms).to_duration().min(MAX_TIMEOUT),
            priority: route.priority,
            max_attempts: route.attempts.max(1),
            is_public: route.public,
            home_regions: route.home_regions.clone(),
            split: split_targets(route, services),
        }
    }

    /// Whether its requests may be executed more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent
    }

    /// Selects the service of a request, and returns its index. `sample` must be uniformly distributed in `0.0..1.0`.
    #[must_use]
    pub fn service(&self, sample: f64) -> Option<usize> {
        let last = self.split.last()?;
        let point = sample * last.cumulative_weight;
        let target = self.split.iter().find(|target| point < target.cumulative_weight).unwrap_or(last);
        Some(target.service)
    }
}

/// The split of a route. If it has no weights above 0, the split consists of the route's service.
fn split_targets(route: &Route, services: &HashMap<&str, usize>) -> Vec<SplitTarget> {
    let mut cumulative_weight = 0.0;
    let mut targets = Vec::new();
    for weighted in route.split.as_deref().unwrap_or_default() {
        cumulative_weight += weighted.weight;
        let service = services.get(weighted.service.as_str());
        targets.extend(service.map(|service| SplitTarget { service: *service, cumulative_weight }));
    }
    if cumulative_weight <= 0.0 {
        let service = route.service.as_deref().and_then(|name| services.get(name));
        targets = service
            .map(|service| SplitTarget { service: *service, cumulative_weight: 1.0 })
            .into_iter()
            .collect();
    }
    targets
}
