//! Validation of the fields of resources.

use super::field_error::FieldError;
use super::resource::{Account, Limits, Plan, Resource, Route, Tenant};
use thiserror::Error;
use violetyoke_routes::{
    Conflict, HostError, HostPattern, PathError, PathPattern, Route as TableRoute, RouteTable,
};

/// Checks a name that is used in paths, file names and logs.
fn check_name(field: &str, name: &str) -> Option<FieldError> {
    let is_valid = (1..=40).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_');
    (!is_valid).then(|| FieldError::new(field, "must be 1 to 40 letters, digits, - or _"))
}

fn check_range(errors: &mut Vec<FieldError>, field: &str, value: f64, max: f64) {
    if !(0.0..=max).contains(&value) {
        errors.push(FieldError::new(field, format!("must be 0 to {max}")));
    }
}

impl Resource for Tenant {
    const COLLECTION: &'static str = "tenants";

    fn name(&self) -> &str {
        &self.name
    }

    fn validate(&self) -> Vec<FieldError> {
        let mut errors: Vec<FieldError> = check_name("name", &self.name).into_iter().collect();
        if !(1..=1_000).contains(&self.weight) {
            errors.push(FieldError::new("weight", "must be 1 to 1000"));
        }
        errors.extend(self.limits.errors());
        errors.extend(host_errors(&self.hosts));
        for (index, pool) in self.pools.iter().enumerate() {
            errors.extend(check_name(&format!("pools[{index}]"), pool));
        }
        errors
    }
}

impl Limits {
    fn errors(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let Limits { open_requests, descriptors, buffered_bytes } = *self;
        for (field, bounds) in [
            ("open_requests", open_requests),
            ("descriptors", descriptors),
            ("buffered_bytes", buffered_bytes),
        ] {
            if bounds.max > 0 && bounds.max < bounds.guaranteed {
                errors.push(FieldError::new(format!("limits.{field}.most"), "is below what is guaranteed"));
            }
            if bounds.guaranteed.max(bounds.max) > 1 << 40 {
                errors.push(FieldError::new(format!("limits.{field}"), "is too large"));
            }
        }
        errors
    }
}

/// Each host must be a valid name or domain, and occur once.
fn host_errors(hosts: &[String]) -> Vec<FieldError> {
    let mut errors = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let field = format!("hosts[{index}]");
        match host.parse::<HostPattern>() {
            Ok(HostPattern::Any) => errors.push(FieldError::new(field, "must name a host or a domain")),
            Ok(_) if hosts[..index].contains(host) => {
                errors.push(FieldError::new(field, "stands there twice"));
            }
            Ok(_) => {}
            Err(reason) => errors.push(FieldError::new(field, reason.to_string())),
        }
    }
    errors
}

impl Resource for Plan {
    const COLLECTION: &'static str = "plans";

    fn name(&self) -> &str {
        &self.name
    }

    fn validate(&self) -> Vec<FieldError> {
        let mut errors: Vec<FieldError> = check_name("name", &self.name).into_iter().collect();
        for (field, value) in [
            ("rate", self.rate),
            ("burst", self.burst),
            ("ceiling_rate", self.hard_limit_rate),
            ("ceiling_burst", self.hard_limit_burst),
        ] {
            check_range(&mut errors, field, value, 1e9);
        }
        if !(1e-6..=1e6).contains(&self.value) {
            errors.push(FieldError::new("worth", "must be 0.000001 to 1000000"));
        }
        if self.rate > 0.0 && self.burst < 1.0 {
            errors.push(FieldError::new("burst", "must be 1 or more where there is a rate"));
        }
        if self.hard_limit_rate > 0.0
            && (self.hard_limit_rate < self.rate || self.hard_limit_burst < self.burst)
        {
            errors.push(FieldError::new(
                "ceiling_rate",
                "rate and burst of the ceiling must not be below the plan's",
            ));
        }
        errors
    }
}

impl Resource for Account {
    const COLLECTION: &'static str = "accounts";

    fn name(&self) -> &str {
        &self.name
    }

    fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        if !(1..=128).contains(&self.name.chars().count()) || self.name.chars().any(char::is_control) {
            errors.push(FieldError::new(
                "name",
                "must be 1 to 128 characters, none of them a control character",
            ));
        }
        errors.extend(check_name("plan", &self.plan));
        errors
    }
}

impl Resource for Route {
    const COLLECTION: &'static str = "routes";

    fn name(&self) -> &str {
        &self.name
    }

    fn validate(&self) -> Vec<FieldError> {
        let mut errors: Vec<FieldError> = check_name("name", &self.name).into_iter().collect();
        errors.extend(
            self.host.parse::<HostPattern>().err().map(|reason| FieldError::new("host", reason.to_string())),
        );
        errors.extend(
            self.path.parse::<PathPattern>().err().map(|reason| FieldError::new("path", reason.to_string())),
        );
        let methods = ["GET", "POST", "PUT", "PATCH", "DELETE"];
        if self.method.as_ref().is_some_and(|method| !methods.contains(&method.as_str())) {
            errors.push(FieldError::new("method", "is none of GET, POST, PUT, PATCH, DELETE"));
        }
        errors.extend(check_name("pool", &self.pool));
        errors.extend(self.default_class.as_ref().and_then(|class| check_name("default_class", class)));
        errors
    }
}

/// Why the host or the path of a route is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// The host is not a valid host pattern.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The path is not a valid path pattern.
    #[error(transparent)]
    Path(#[from] PathError),
}

impl Route {
    /// Converts the route to a route of the route table.
    ///
    /// # Errors
    /// If the host or the path is invalid, which [`Resource::validate`] reports as well.
    pub fn to_table_route(&self) -> Result<TableRoute, RouteError> {
        let (host, path) = (self.host.parse()?, self.path.parse()?);
        Ok(TableRoute { host, path, method: self.method.clone(), class: None })
    }
}

/// Checks a tenant's routes against the tenant and against each other. Returns an error for each route with a host or a pool
/// that is not the tenant's, and for each route that conflicts with an earlier one.
pub fn validate_routes(tenant: &Tenant, routes: &[Route]) -> Vec<FieldError> {
    let mut errors = Vec::new();
    for route in routes {
        if !tenant.hosts.contains(&route.host) {
            errors.push(FieldError::new("host", format!("{:?} is not a host of the tenant", route.host)));
        }
        if !tenant.pools.contains(&route.pool) {
            errors.push(FieldError::new("pool", format!("{:?} is not a pool of the tenant", route.pool)));
        }
    }
    let table_routes: Result<Vec<TableRoute>, RouteError> =
        routes.iter().map(Route::to_table_route).collect();
    match table_routes {
        Err(error) => errors.push(FieldError::new("path", error.to_string())),
        Ok(table_routes) => errors.extend(conflict_errors(routes, &table_routes)),
    }
    errors
}

fn conflict_errors(routes: &[Route], table_routes: &[TableRoute]) -> Vec<FieldError> {
    let conflicts = RouteTable::build(table_routes).err().unwrap_or_default();
    let error = |conflict: Conflict| {
        let other = &routes[conflict.first].name;
        let reason = format!("matches the same requests as route {other:?}, and neither is more specific");
        FieldError::new("path", reason)
    };
    conflicts.into_iter().map(error).collect()
}
