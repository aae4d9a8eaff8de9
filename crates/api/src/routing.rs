//! The table that requests are looked up in: an immutable snapshot of one configuration, swapped whole.

use crate::configuration::{Configuration, Limits, RouteKind, Service, Tenant};
use std::collections::HashMap;

/// A route, ready for use.
#[derive(Debug)]
pub struct RouteEntry {
    pub name: String,
    pub repeatable: bool,
    pub timeout_ms: f64,
    pub target_ms: f64,
    pub priority: i64,
    pub attempts: u32,
    pub public: bool,
    pub homes: Vec<String>,
    /// Services by their number in the table, with the sum of weights up to and with each.
    pub parts: Vec<(usize, f64)>,
}

#[derive(Debug)]
pub struct RoutingTable {
    pub version: u64,
    pub limits: Limits,
    pub services: Vec<Service>,
    pub tenants: Vec<Tenant>,
    routes: Vec<RouteEntry>,
    prefixes: HashMap<String, HashMap<String, usize>>,
    keys: HashMap<String, usize>,
}

/// What a client's key says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// No key is wanted.
    Anonymous,
    Tenant(usize),
    Unknown,
}

impl RoutingTable {
    pub fn new(configuration: &Configuration) -> RoutingTable {
        let numbers: HashMap<&str, usize> = configuration
            .services
            .iter()
            .enumerate()
            .map(|(number, it)| (it.name.as_str(), number))
            .collect();
        let mut prefixes: HashMap<String, HashMap<String, usize>> = HashMap::new();
        let mut routes = Vec::with_capacity(configuration.routes.len());
        for (number, route) in configuration.routes.iter().enumerate() {
            prefixes
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .insert(route.path_prefix.clone(), number);
            let mut sum = 0.0;
            let mut parts: Vec<(usize, f64)> = Vec::new();
            for part in route.split.as_deref().unwrap_or_default() {
                sum += part.weight;
                parts.extend(numbers.get(part.service.as_str()).map(|number| (*number, sum)));
            }
            if sum <= 0.0 {
                parts = route
                    .service
                    .iter()
                    .filter_map(|name| Some((*numbers.get(name.as_str())?, 1.0)))
                    .collect();
            }
            routes.push(RouteEntry {
                name: route.name.clone(),
                repeatable: route.route_kind == RouteKind::Idempotent,
                timeout_ms: route.timeout_ms,
                target_ms: route.target_ms.unwrap_or(route.timeout_ms),
                priority: route.priority,
                attempts: route.attempts.max(1),
                public: route.public,
                homes: route.home_regions.clone(),
                parts,
            });
        }
        let mut keys = HashMap::new();
        for (number, tenant) in configuration.tenants.iter().enumerate() {
            keys.extend(tenant.api_keys.iter().map(|key| (key.clone(), number)));
        }
        RoutingTable {
            version: configuration.version,
            limits: configuration.limits,
            services: configuration.services.clone(),
            tenants: configuration.tenants.clone(),
            routes,
            prefixes,
            keys,
        }
    }

    /// The route of a request: of those for its host, the one whose prefix is the longest that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let name = host.rsplit_once(':').filter(|(_, port)| port.bytes().all(|b| b.is_ascii_digit()));
        let host = name.map_or(host, |(name, _)| name);
        let of_host = self.prefixes.get(host).or_else(|| self.prefixes.get(&host.to_ascii_lowercase()))?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(number) = of_host.get(&path[..=slash]) {
                return self.routes.get(*number);
            }
            end = slash;
        }
        None
    }

    /// Whose request this is; `keys` are all values of the header that carries one.
    pub fn caller(&self, entry: &RouteEntry, key: Option<&str>) -> Caller {
        if self.tenants.is_empty() {
            return Caller::Anonymous;
        }
        match key.and_then(|key| self.keys.get(key)) {
            Some(number) => Caller::Tenant(*number),
            None if entry.public => Caller::Anonymous,
            None => Caller::Unknown,
        }
    }
}

impl RouteEntry {
    /// The service that gets a request, `draw` being uniform in 0..1.
    pub fn service(&self, draw: f64) -> Option<usize> {
        let total = self.parts.last()?.1;
        let at = draw * total;
        self.parts.iter().find(|(_, until)| at < *until).or(self.parts.last()).map(|(number, _)| *number)
    }
}
