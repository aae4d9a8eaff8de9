//! What a change would move, from the configuration in force to another.
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

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_api::configuration::{Configuration, Route, Tenant};

/// One thing that would be another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Move {
    /// `route`, `service`, `tenant` or `limits`.
    pub what: &'static str,
    pub name: String,
    /// `added`, `removed` or `changed`.
    pub how: &'static str,
    /// Each field with what it is and would be.
    pub fields: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Plan {
    pub from: u64,
    pub to: u64,
    pub moves: Vec<Move>,
    /// What an operator should know before it is sent.
    pub notes: Vec<String>,
}

type Fields = BTreeMap<&'static str, String>;
type Rows = BTreeMap<String, Fields>;

/// Parts of a route's requests by service, in hundredths.
fn shares(route: &Route) -> String {
    let parts = route.split.as_deref().unwrap_or_default();
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    if total <= 0.0 {
        return route.service.clone().unwrap_or_default();
    }
    let share = |weight: f64| (weight / total * 100.0).round();
    parts
        .iter()
        .map(|part| format!("{} {}%", part.service, share(part.weight)))
        .collect::<Vec<_>>()
        .join(" + ")
}

fn list(names: &[String]) -> String {
    if names.is_empty() {
        "anywhere".into()
    } else {
        names.join(" + ")
    }
}

fn route(route: &Route) -> Fields {
    BTreeMap::from([
        ("goes to", shares(route)),
        ("at", format!("{}{}", route.host, route.path_prefix)),
        ("route-kind", format!("{:?}", route.route_kind).to_lowercase()),
        ("timeout-ms", route.timeout_ms.to_string()),
        ("target-ms", route.target_ms.map_or("none".into(), |ms| ms.to_string())),
        ("priority", route.priority.to_string()),
        ("attempts", route.attempts.to_string()),
        ("public", route.public.to_string()),
        ("home-regions", list(&route.home_regions)),
    ])
}

fn tenant(tenant: &Tenant) -> Fields {
    BTreeMap::from([
        ("api-keys", format!("{} keys", tenant.api_keys.len())),
        ("rate-per-s", tenant.rate_per_s.to_string()),
        ("burst", tenant.burst.to_string()),
        ("priority", tenant.priority.map_or("the route's".into(), |priority| priority.to_string())),
        ("home-regions", list(&tenant.home_regions)),
    ])
}

/// What differs between two tables of rows by name.
fn moves(what: &'static str, old: Rows, new: Rows) -> Vec<Move> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let mut out = Vec::new();
    for name in names {
        let (how, fields) = match (old.get(name), new.get(name)) {
            (None, Some(after)) => {
                ("added", after.iter().map(|(field, value)| format!("{field} {value}")).collect())
            }
            (Some(_), None) => ("removed", Vec::new()),
            (Some(before), Some(after)) => {
                let other = after.iter().filter(|(field, value)| before.get(*field) != Some(value));
                let told = |(field, value): (&&'static str, &String)| {
                    format!("{field} {} -> {value}", before.get(*field).map_or("none", String::as_str))
                };
                ("changed", other.map(told).collect::<Vec<_>>())
            }
            (None, None) => continue,
        };
        if how != "changed" || !fields.is_empty() {
            out.push(Move { what, name: name.to_owned(), how, fields });
        }
    }
    out
}

impl Plan {
    pub fn between(old: &Configuration, new: &Configuration) -> Plan {
        let routes = |of: &Configuration| -> Rows {
            of.routes.iter().map(|it| (it.name.clone(), route(it))).collect()
        };
        let tenants = |of: &Configuration| -> Rows {
            of.tenants.iter().map(|it| (it.name.clone(), tenant(it))).collect()
        };
        let services = |of: &Configuration| -> Rows {
            let fields = |cold_s: f64, rate: f64, most: Option<f64>| {
                BTreeMap::from([
                    ("cold-s", cold_s.to_string()),
                    ("cold-rate-s", rate.to_string()),
                    ("max-conns", most.map_or("no bound".into(), |most| most.to_string())),
                ])
            };
            of.services
                .iter()
                .map(|it| (it.name.clone(), fields(it.cold_s, it.cold_rate_s, it.max_conns)))
                .collect()
        };
        let mut all = moves("route", routes(old), routes(new));
        all.extend(moves("service", services(old), services(new)));
        all.extend(moves("tenant", tenants(old), tenants(new)));
        if old.limits != new.limits {
            let fields = vec![format!("{:?} -> {:?}", old.limits, new.limits)];
            all.push(Move { what: "limits", name: String::new(), how: "changed", fields });
        }
        let notes = notes(old, new);
        Plan { from: old.version, to: new.version, moves: all, notes }
    }

    /// Whether it would be in force once acknowledged.
    pub fn takes_effect(&self) -> bool {
        self.to > self.from
    }

    /// In words, a line each.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("version {} -> {}", self.from, self.to)];
        for one in &self.moves {
            let name =
                if one.name.is_empty() { one.what.to_owned() } else { format!("{} {}", one.what, one.name) };
            let rest =
                if one.fields.is_empty() { String::new() } else { format!(", {}", one.fields.join(", ")) };
            lines.push(format!("{name}: {}{rest}", one.how));
        }
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
    let keys = |of: &Configuration| -> BTreeSet<String> {
        of.tenants.iter().flat_map(|tenant| tenant.api_keys.iter().cloned()).collect()
    };
    let gone = keys(old).difference(&keys(new)).count();
    if gone > 0 {
        notes.push(format!("{gone} keys would be refused with 401 from then on"));
    }
    for tenant in &new.tenants {
        for route in new.routes.iter().filter(|route| !route.home_regions.is_empty()) {
            let shared = route.home_regions.iter().any(|home| tenant.home_regions.contains(home));
            if !tenant.home_regions.is_empty() && !shared {
                notes.push(format!(
                    "no region may serve tenant {} on route {}: their homes differ",
                    tenant.name, route.name
                ));
            }
        }
    }
    notes
}
