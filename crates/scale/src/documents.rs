//! Configurations and lists of backends of any size.

use serde_json::{json, Value};

/// How large the tables are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tables {
    pub routes: usize,
    pub tenants: usize,
    pub backends: usize,
}

/// Services: one for some thirty backends, as at the target (100,000 in 3,900), and two at least.
pub fn services(tables: Tables) -> usize {
    (tables.backends / 26).max(2)
}

pub fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

/// The rate of each tenant: so high that no add of a run is refused.
const RATE: u32 = 1_000_000;

/// A configuration of that version; each version differs from the one before in one route.
pub fn configuration(tables: Tables, version: u64) -> String {
    let services = services(tables);
    let routes: Vec<Value> = (0..tables.routes)
        .map(|n| {
            let changed = version as usize % tables.routes.max(1) == n;
            let timeout_ms = if changed { 1000 + version % 1000 } else { 2000 };
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
        })
        .collect();
    let tenants: Vec<Value> = (0..tables.tenants)
        .map(|n| json!([tenant(n), [format!("key-{n:016x}"), format!("other-key-{n:012x}")], 0, RATE, RATE]))
        .collect();
    let services: Vec<Value> =
        (0..services).map(|n| json!([format!("service-{n}"), "/health", 130, 3.0, 7.1])).collect();
    json!({
        "version": version,
        "routes": {"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "priority",
                               "attempts", "service"], "rows": routes},
        "services": {"columns": ["name", "health-path", "max-conns", "cold-s", "cold-rate-s"], "rows": services},
        "tenants": {"columns": ["name", "api-keys", "priority", "rate-per-s", "burst"], "rows": tenants},
    })
    .to_string()
}

/// A backend's id.
pub fn backend_id(number: usize) -> String {
    format!("backend-{number:06}")
}

/// A backend's entry on the platform's list.
pub fn backend(tables: Tables, number: usize, state: &str) -> Value {
    let (high, low) = (number / 250 % 250, 2 + number % 250);
    let port = 8080 + number / 62_500;
    json!({
        "service": format!("service-{}", number % services(tables)), "address": format!("10.{}.{high}.{low}:{port}", 128),
        "zone": if number.is_multiple_of(2) { "a" } else { "b" }, "version": "v1", "slots": 4, "state": state,
        "cold-left-ms": 0,
    })
}
