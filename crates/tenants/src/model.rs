//! What there is: tenants, and each one's plans, accounts and routes. What is wrong with one is told with its field.

use serde::{Deserialize, Serialize};
use violetyoke_routes::{Host, HostError, Path, PathError, Route as Rule, RouteTable};

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct Fault {
    /// The field, with dots and brackets: `limits.open_requests`.
    pub field: String,
    pub reason: String,
}

impl Fault {
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> Fault {
        Fault { field: field.into(), reason: reason.into() }
    }
}

/// A thing that a tenant has, or a tenant itself.
pub trait Resource: Clone + Serialize + for<'de> Deserialize<'de> {
    /// The word for it in paths.
    const COLLECTION: &'static str;

    fn name(&self) -> &str;

    fn check(&self) -> Vec<Fault>;
}

/// A tenant as administrators write it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// 1 to 40 letters, digits, - or _.
    pub name: String,
    /// Its part of the core against other tenants': 1 to 1000.
    #[serde(default = "one")]
    pub weight: u32,
    #[serde(default)]
    pub limits: Limits,
    /// Hosts that its routes may be for, exact or `*.` and a domain. No two tenants have the same.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Pools of the ingresses that its routes may lead to.
    #[serde(default)]
    pub pools: Vec<String>,
}

/// What is kept for a tenant, and what it may use at most while others leave room. 0 at most: no bound of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub open_requests: Part,
    pub descriptors: Part,
    pub buffered_bytes: Part,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Part {
    pub guaranteed: u64,
    pub most: u64,
}

/// Where a tenant stands. Only the control plane writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum State {
    Active,
    /// Nothing new is taken for it; at `gone_at` (Unix time in milliseconds) it and all that is its own goes.
    Draining {
        gone_at: u64,
    },
}

/// A tenant as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct StoredTenant {
    #[serde(flatten)]
    pub tenant: Tenant,
    /// The revision at which it was made. A tenant made anew under the name has another, and so its accounts have
    /// other numbers: nothing is inherited.
    pub epoch: u64,
    #[serde(flatten)]
    pub state: State,
}

/// A plan: quotas of each account that has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Units a second; 0: no quota.
    pub rate: f64,
    /// Units at once.
    #[serde(default)]
    pub burst: f64,
    /// Requests on their way to nodes at once; 0: no bound.
    #[serde(default)]
    pub open: u32,
    /// Worth against other plans where not all can be served.
    #[serde(default = "one_whole")]
    pub worth: f64,
    /// Held even while the counter does not answer; 0: none.
    #[serde(default)]
    pub ceiling_rate: f64,
    #[serde(default)]
    pub ceiling_burst: f64,
}

/// An account, by any name that its tenant gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// 1 to 128 characters.
    pub name: String,
    /// One of the tenant's plans.
    pub plan: String,
}

/// A route to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: String,
    /// One of the tenant's hosts.
    pub host: String,
    /// As in the file of a service: exact, `/prefix/*` or a template.
    #[serde(default = "everything")]
    pub path: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// The pool, one of the tenant's.
    pub pool: String,
    /// Class of requests that state none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_class: Option<String>,
}

fn one() -> u32 {
    1
}

fn one_whole() -> f64 {
    1.0
}

fn everything() -> String {
    "/*".into()
}

/// Names that stand in paths, file names and logs.
fn plain(field: &str, name: &str) -> Option<Fault> {
    let good = (1..=40).contains(&name.len())
        && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_');
    (!good).then(|| Fault::new(field, "must be 1 to 40 letters, digits, - or _"))
}

fn within(faults: &mut Vec<Fault>, field: &str, value: f64, most: f64) {
    if !(0.0..=most).contains(&value) {
        faults.push(Fault::new(field, format!("must be 0 to {most}")));
    }
}

impl Resource for Tenant {
    const COLLECTION: &'static str = "tenants";

    fn name(&self) -> &str {
        &self.name
    }

    fn check(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = plain("name", &self.name).into_iter().collect();
        if !(1..=1_000).contains(&self.weight) {
            faults.push(Fault::new("weight", "must be 1 to 1000"));
        }
        let Limits { open_requests, descriptors, buffered_bytes } = self.limits;
        for (field, part) in [
            ("open_requests", open_requests),
            ("descriptors", descriptors),
            ("buffered_bytes", buffered_bytes),
        ] {
            if part.most > 0 && part.most < part.guaranteed {
                faults.push(Fault::new(format!("limits.{field}.most"), "is below what is guaranteed"));
            }
            if part.guaranteed.max(part.most) > 1 << 40 {
                faults.push(Fault::new(format!("limits.{field}"), "is too large"));
            }
        }
        for (number, host) in self.hosts.iter().enumerate() {
            let field = format!("hosts[{number}]");
            match host.parse::<Host>() {
                Ok(Host::Any) => faults.push(Fault::new(field, "must name a host or a domain")),
                Ok(_) if self.hosts[..number].contains(host) => {
                    faults.push(Fault::new(field, "stands there twice"))
                }
                Ok(_) => {}
                Err(reason) => faults.push(Fault::new(field, reason.to_string())),
            }
        }
        for (number, pool) in self.pools.iter().enumerate() {
            faults.extend(plain(&format!("pools[{number}]"), pool));
        }
        faults
    }
}

impl Resource for Plan {
    const COLLECTION: &'static str = "plans";

    fn name(&self) -> &str {
        &self.name
    }

    fn check(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = plain("name", &self.name).into_iter().collect();
        for (field, value) in [
            ("rate", self.rate),
            ("burst", self.burst),
            ("ceiling_rate", self.ceiling_rate),
            ("ceiling_burst", self.ceiling_burst),
        ] {
            within(&mut faults, field, value, 1e9);
        }
        if !(1e-6..=1e6).contains(&self.worth) {
            faults.push(Fault::new("worth", "must be 0.000001 to 1000000"));
        }
        if self.rate > 0.0 && self.burst < 1.0 {
            faults.push(Fault::new("burst", "must be 1 or more where there is a rate"));
        }
        if self.ceiling_rate > 0.0 && (self.ceiling_rate < self.rate || self.ceiling_burst < self.burst) {
            faults.push(Fault::new(
                "ceiling_rate",
                "rate and burst of the ceiling must not be below the plan's",
            ));
        }
        faults
    }
}

impl Resource for Account {
    const COLLECTION: &'static str = "accounts";

    fn name(&self) -> &str {
        &self.name
    }

    fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if !(1..=128).contains(&self.name.chars().count()) || self.name.chars().any(char::is_control) {
            faults.push(Fault::new("name", "must be 1 to 128 characters, none of them a control character"));
        }
        faults.extend(plain("plan", &self.plan));
        faults
    }
}

impl Resource for Route {
    const COLLECTION: &'static str = "routes";

    fn name(&self) -> &str {
        &self.name
    }

    fn check(&self) -> Vec<Fault> {
        let mut faults: Vec<Fault> = plain("name", &self.name).into_iter().collect();
        faults.extend(self.host.parse::<Host>().err().map(|reason| Fault::new("host", reason.to_string())));
        faults.extend(self.path.parse::<Path>().err().map(|reason| Fault::new("path", reason.to_string())));
        let known = ["GET", "POST", "PUT", "PATCH", "DELETE"];
        if self.method.as_ref().is_some_and(|method| !known.contains(&method.as_str())) {
            faults.push(Fault::new("method", "is none of GET, POST, PUT, PATCH, DELETE"));
        }
        faults.extend(plain("pool", &self.pool));
        faults.extend(self.default_class.as_ref().and_then(|class| plain("default_class", class)));
        faults
    }
}

impl Route {
    /// As the table of routes has it; it must have been checked.
    pub fn rule(&self) -> Result<Rule, String> {
        let host = self.host.parse().map_err(|error: HostError| error.to_string())?;
        let path = self.path.parse().map_err(|error: PathError| error.to_string())?;
        Ok(Rule { host, path, method: self.method.clone(), class: None })
    }
}

/// What is wrong with a tenant's routes together: one that matches the same requests as another, or goes where the
/// tenant may not.
pub fn check_routes(tenant: &Tenant, routes: &[Route]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for route in routes {
        if !tenant.hosts.contains(&route.host) {
            faults.push(Fault::new("host", format!("{:?} is not a host of the tenant", route.host)));
        }
        if !tenant.pools.contains(&route.pool) {
            faults.push(Fault::new("pool", format!("{:?} is not a pool of the tenant", route.pool)));
        }
    }
    let rules: Result<Vec<Rule>, String> = routes.iter().map(Route::rule).collect();
    match rules {
        Err(reason) => faults.push(Fault::new("path", reason)),
        Ok(rules) => {
            for conflict in RouteTable::build(&rules).err().into_iter().flatten() {
                let other = &routes[conflict.first].name;
                let reason =
                    format!("matches the same requests as route {other:?}, and neither is more specific");
                faults.push(Fault::new("path", reason));
            }
        }
    }
    faults
}
