//! What a change would do, from the configuration in force to another.
//!
//! ```
//! use violetyoke_ctl::plan::Plan;
//! use violetyoke_api::Configuration;
//!
//! let text = |version: u32, ms: u32| format!(r#"{{"version": {version},
//!   "routes": {{"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "service"],
//!              "rows": [["search", "rooms.example", "/search/", "idempotent", {ms}, "finder"]]}},
//!   "services": {{"columns": ["name"], "rows": [["finder"]]}}}}"#);
//! let old = Configuration::parse(text(1, 1000).as_bytes()).unwrap();
//! let new = Configuration::parse(text(2, 500).as_bytes()).unwrap();
//! let plan = Plan::between(&old, &new);
//! assert_eq!(plan.lines(), ["version 1 -> 2", "route search: changed, timeout-ms 1000 -> 500"]);
//! assert!(plan.takes_effect());
//! ```

mod rows;

use rows::{entity_changes, routes, services, tenants};
use serde::Serialize;
use std::collections::BTreeSet;
use std::fmt;
use violetyoke_api::configuration::Configuration;

/// What a row of a configuration describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Entity {
    /// A route.
    Route,
    /// A service.
    Service,
    /// A tenant.
    Tenant,
    /// The limits of the whole configuration.
    Limits,
}

impl fmt::Display for Entity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Entity::Route => "route",
            Entity::Service => "service",
            Entity::Tenant => "tenant",
            Entity::Limits => "limits",
        })
    }
}

/// What becomes of an entity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// It is new.
    Added,
    /// It is there no more.
    Removed,
    /// Some of its fields have other values.
    Changed,
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Action::Added => "added",
            Action::Removed => "removed",
            Action::Changed => "changed",
        })
    }
}

/// One entity that would be different.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EntityChange {
    /// What it is.
    #[serde(rename = "what")]
    pub entity: Entity,
    /// Its name; empty for limits.
    pub name: String,
    /// What becomes of it.
    #[serde(rename = "how")]
    pub action: Action,
    /// Each field that is new or different, with its values.
    pub fields: Vec<String>,
}

impl fmt::Display for EntityChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.entity)?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        write!(f, ": {}", self.action)?;
        self.fields.iter().try_for_each(|field| write!(f, ", {field}"))
    }
}

/// What a change would do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// The version in force.
    #[serde(rename = "from")]
    pub old_version: u64,
    /// The version that would be sent.
    #[serde(rename = "to")]
    pub new_version: u64,
    /// Routes, services, tenants and limits that would be different, in this order and by name.
    #[serde(rename = "moves")]
    pub changes: Vec<EntityChange>,
    /// What an operator should know before it is sent.
    pub notes: Vec<String>,
}

impl Plan {
    /// What would be different if `new` were in force in place of `old`.
    #[must_use]
    pub fn between(old: &Configuration, new: &Configuration) -> Plan {
        let mut changes = entity_changes(Entity::Route, &routes(old), &routes(new));
        changes.extend(entity_changes(Entity::Service, &services(old), &services(new)));
        changes.extend(entity_changes(Entity::Tenant, &tenants(old), &tenants(new)));
        if old.limits != new.limits {
            let fields = vec![format!("{:?} -> {:?}", old.limits, new.limits)];
            let name = String::new();
            changes.push(EntityChange { entity: Entity::Limits, name, action: Action::Changed, fields });
        }
        Plan { old_version: old.version, new_version: new.version, changes, notes: notes(old, new) }
    }

    /// Whether it would be in force once acknowledged.
    #[must_use]
    pub fn takes_effect(&self) -> bool {
        self.new_version > self.old_version
    }

    /// The plan as text, a line each.
    #[must_use]
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("version {} -> {}", self.old_version, self.new_version)];
        lines.extend(self.changes.iter().map(ToString::to_string));
        lines.extend(self.notes.iter().map(|note| format!("note: {note}")));
        lines
    }
}

/// What is easily overlooked.
fn notes(old: &Configuration, new: &Configuration) -> Vec<String> {
    let mut notes = Vec::new();
    if new.version <= old.version {
        notes.push(
            "the version is not above the one in force: it would be acknowledged and have no effect".into(),
        );
    }
    let removed_keys = keys(old).difference(&keys(new)).count();
    if removed_keys > 0 {
        notes.push(format!("{removed_keys} keys would be refused with 401 from then on"));
    }
    notes.extend(unservable_routes(new));
    notes
}

fn keys(configuration: &Configuration) -> BTreeSet<&str> {
    let tenants = configuration.tenants.iter();
    tenants.flat_map(|tenant| tenant.api_keys.iter().map(String::as_str)).collect()
}

/// A note for each tenant and route that have home regions, and none in common.
fn unservable_routes(configuration: &Configuration) -> Vec<String> {
    let mut notes = Vec::new();
    for tenant in configuration.tenants.iter().filter(|tenant| !tenant.home_regions.is_empty()) {
        for route in configuration.routes.iter().filter(|route| !route.home_regions.is_empty()) {
            if !route.home_regions.iter().any(|region| tenant.home_regions.contains(region)) {
                notes.push(format!(
                    "no region may serve tenant {} on route {}: their homes differ",
                    tenant.name, route.name
                ));
            }
        }
    }
    notes
}
