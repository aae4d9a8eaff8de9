//! Validates what a schema can't check in a configuration: references between tables, unique keys, and ranges.

use crate::configuration::{Configuration, Limits, Route, Tenant, WeightedService, MAX_TIMEOUT};
use crate::error::ValidationError;
use crate::quantity::Milliseconds;
use std::collections::{HashMap, HashSet};

/// Validates a configuration. The error names the first invalid field.
pub(crate) fn validate(configuration: &Configuration) -> Result<(), ValidationError> {
    validate_limits(&configuration.limits).map_err(|error| error.within("limits"))?;
    let services: HashSet<&str> =
        configuration.services.iter().map(|service| service.name.as_str()).collect();
    for (index, route) in configuration.routes.iter().enumerate() {
        validate_route(route, &services)
            .map_err(|error| error.within(format_args!("routes.rows[{index}]")))?;
    }
    let mut key_owners = HashMap::new();
    for (index, tenant) in configuration.tenants.iter().enumerate() {
        validate_tenant(tenant, &mut key_owners)
            .map_err(|error| error.within(format_args!("tenants.rows[{index}]")))?;
    }
    Ok(())
}

fn validate_limits(limits: &Limits) -> Result<(), ValidationError> {
    let checks = [
        ("max-header-bytes", limits.max_header_bytes.is_valid()),
        ("max-body-bytes", limits.max_body_bytes.is_valid()),
        ("header-timeout-ms", limits.header_timeout_ms.is_valid()),
        ("idle-timeout-ms", limits.idle_timeout_ms.is_valid()),
    ];
    match checks.into_iter().find(|(_, is_valid)| !is_valid) {
        Some((field, _)) => Err(ValidationError::new(field, "is below 0")),
        None => Ok(()),
    }
}

/// Validates a tenant. `key_owners` contains the API keys of the tenants before it, with their tenants.
fn validate_tenant<'a>(
    tenant: &'a Tenant,
    key_owners: &mut HashMap<&'a str, &'a str>,
) -> Result<(), ValidationError> {
    for key in &tenant.api_keys {
        if let Some(other) = key_owners.insert(key, &tenant.name) {
            return Err(ValidationError::new("api-keys", format_args!("holds a key of {other} too")));
        }
    }
    // The condition is negated so that NaN is rejected too.
    if !(tenant.rate_per_s >= 0.0 && tenant.burst >= 0.0) {
        return Err(ValidationError::new("rate-per-s", "is below 0"));
    }
    Ok(())
}

fn validate_route(route: &Route, services: &HashSet<&str>) -> Result<(), ValidationError> {
    if !route.path_prefix.starts_with('/') {
        return Err(ValidationError::new("path-prefix", "begins with no slash"));
    }
    validate_timeout(route.timeout_ms)?;
    validate_targets(route, services)
}

fn validate_timeout(timeout: Milliseconds) -> Result<(), ValidationError> {
    if timeout.stated().is_nan() || timeout.stated() <= 0.0 {
        return Err(ValidationError::new("timeout-ms", "is not above 0"));
    }
    if timeout.stated() > MAX_TIMEOUT.as_millis() as f64 {
        return Err(ValidationError::new("timeout-ms", "is over ten minutes"));
    }
    Ok(())
}

/// Checks that a route has a service or a split, and that all services that it names exist.
fn validate_targets(route: &Route, services: &HashSet<&str>) -> Result<(), ValidationError> {
    let split: &[WeightedService] = route.split.as_deref().unwrap_or_default();
    if let Some(target) = split.iter().find(|target| target.weight.is_nan() || target.weight < 0.0) {
        let reason = format!("gives {} a weight below 0", target.service);
        return Err(ValidationError::new("split", reason));
    }
    let mut names = split.iter().map(|target| target.service.as_str()).chain(route.service.as_deref());
    if let Some(unknown) = names.find(|name| !services.contains(name)) {
        let reason = format!("{unknown} is no service of this configuration");
        return Err(ValidationError::new("service", reason));
    }
    if route.service.is_none() && split.is_empty() {
        return Err(ValidationError::new("service", "is missing, and there is no split"));
    }
    Ok(())
}
