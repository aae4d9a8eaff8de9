//! Configurations and lists of backends of any size.

use serde_json::{json, Value};

/// How large the tables are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TableSizes {
    /// Routes.
    pub routes: usize,
    /// Tenants.
    pub tenants: usize,
    /// Backends.
    pub backends: usize,
}

/// Services: one for some thirty backends, as at the target (100,000 in 3,900), and two at least.
fn service_count(tables: TableSizes) -> usize {
    (tables.backends / 26).max(2)
}

/// A tenant's name.
pub(crate) fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

/// The rate limit and the burst of each tenant: so high that no increment of a run is refused.
const RATE: u32 = 1_000_000;

/// The configuration of a version; each version differs from the one before in one route.
#[must_use]
pub fn configuration(tables: TableSizes, version: u64) -> String {
    let services = service_count(tables);
    let route = |n: usize| {
        let is_changed = version as usize % tables.routes.max(1) == n;
        let timeout_ms = if is_changed { 1000 + version % 1000 } else { 2000 };
        json!([
            format!("route-{n}"),
            format!("host-{}.example", n % 97),
            format!("/path-{n}/"),
            "idempotent",
            timeout_ms,
            500,
            2,
            2,
            format!("service-{}", n % services)
        ])
    };
    let tenant_row = |n: usize| {
        json!([tenant(n), [format!("key-{n:016x}"), format!("other-key-{n:012x}")], 0, RATE, RATE])
    };
    let service = |n: usize| json!([format!("service-{n}"), "/health", 130, 3.0, 7.1]);
    json!({
        "version": version,
        "routes": {"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "priority",
                               "attempts", "service"],
                   "rows": (0..tables.routes).map(route).collect::<Vec<_>>()},
        "services": {"columns": ["name", "health-path", "max-conns", "cold-s", "cold-rate-s"],
                     "rows": (0..services).map(service).collect::<Vec<_>>()},
        "tenants": {"columns": ["name", "api-keys", "priority", "rate-per-s", "burst"],
                    "rows": (0..tables.tenants).map(tenant_row).collect::<Vec<_>>()},
    })
    .to_string()
}

/// A backend's id.
pub(crate) fn backend_id(number: usize) -> String {
    format!("backend-{number:06}")
}

/// A backend's entry on the platform's list.
#[must_use]
pub fn backend(tables: TableSizes, number: usize, state: &str) -> Value {
    let (high, low) = (number / 250 % 250, 2 + number % 250);
    let port = 8080 + number / 62_500;
    json!({
        "service": format!("service-{}", number % service_count(tables)), "address": format!("10.{}.{high}.{low}:{port}", 128),
        "zone": if number.is_multiple_of(2) { "a" } else { "b" }, "version": "v1", "slots": 4, "state": state,
        "cold-left-ms": 0,
    })
}
