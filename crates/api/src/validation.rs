//! What no schema can say of a configuration: names that must be known, keys that must differ, figures that make sense.

use crate::configuration::{Configuration, Route, ValidationError};
use std::collections::{HashMap, HashSet};

/// The longest that a route may hold a request: ten minutes.
const LONGEST_MS: f64 = 600_000.0;

pub(crate) fn check(configuration: &Configuration) -> Result<(), ValidationError> {
    let services: HashSet<&str> =
        configuration.services.iter().map(|service| service.name.as_str()).collect();
    for (number, route) in configuration.routes.iter().enumerate() {
        check_route(route, &services)
            .map_err(|(field, why)| ValidationError::new(format!("routes.rows[{number}].{field}"), why))?;
    }
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for (number, tenant) in configuration.tenants.iter().enumerate() {
        for key in &tenant.api_keys {
            if let Some(other) = owners.insert(key, &tenant.name) {
                let field = format!("tenants.rows[{number}].api-keys");
                return Err(ValidationError::new(field, format!("holds a key of {other} too")));
            }
        }
        if !(tenant.rate_per_s >= 0.0 && tenant.burst >= 0.0) {
            let field = format!("tenants.rows[{number}].rate-per-s");
            return Err(ValidationError::new(field, "is below 0"));
        }
    }
    Ok(())
}

fn check_route(route: &Route, services: &HashSet<&str>) -> Result<(), (&'static str, String)> {
    if !route.path_prefix.starts_with('/') {
        return Err(("path-prefix", "begins with no slash".into()));
    }
    if route.timeout_ms.is_nan() || route.timeout_ms <= 0.0 {
        return Err(("timeout-ms", "is not above 0".into()));
    }
    if route.timeout_ms > LONGEST_MS {
        return Err(("timeout-ms", "is over ten minutes".into()));
    }
    let parts = route.split.as_deref().unwrap_or_default();
    for part in parts {
        if part.weight.is_nan() || part.weight < 0.0 {
            return Err(("split", format!("gives {} a weight below 0", part.service)));
        }
    }
    let named = parts.iter().map(|part| part.service.as_str()).chain(route.service.as_deref());
    for name in named {
        if !services.contains(name) {
            return Err(("service", format!("{name} is no service of this configuration")));
        }
    }
    if route.service.is_none() && parts.is_empty() {
        return Err(("service", "is missing, and there is no split".into()));
    }
    Ok(())
}
