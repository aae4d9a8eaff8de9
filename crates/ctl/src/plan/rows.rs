//! The rows of a configuration as fields with text, and how two tables of rows differ.

use super::{Action, Entity, EntityChange};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_api::configuration::{Configuration, Route, Tenant};

/// The fields of one row, as an operator reads them.
type Fields = BTreeMap<&'static str, String>;
/// The rows of one table, by name.
type Rows = BTreeMap<String, Fields>;

pub(super) fn routes(configuration: &Configuration) -> Rows {
    configuration.routes.iter().map(|route| (route.name.clone(), route_fields(route))).collect()
}

pub(super) fn services(configuration: &Configuration) -> Rows {
    let row = |service: &violetyoke_api::configuration::Service| {
        let max_connections = service.max_conns.map_or("no bound".into(), |most| most.to_string());
        let fields = BTreeMap::from([
            ("cold-s", service.cold_s.to_string()),
            ("cold-rate-s", service.cold_rate_s.to_string()),
            ("max-conns", max_connections),
            ("self-dedup", service.self_dedup.to_string()),
        ]);
        (service.name.clone(), fields)
    };
    configuration.services.iter().map(row).collect()
}

pub(super) fn tenants(configuration: &Configuration) -> Rows {
    configuration.tenants.iter().map(|tenant| (tenant.name.clone(), tenant_fields(tenant))).collect()
}

fn route_fields(route: &Route) -> Fields {
    BTreeMap::from([
        ("goes to", traffic_split(route)),
        ("at", format!("{}{}", route.host, route.path_prefix)),
        ("route-kind", format!("{:?}", route.route_kind).to_lowercase()),
        ("timeout-ms", route.timeout_ms.to_string()),
        ("target-ms", route.target_ms.map_or("none".into(), |ms| ms.to_string())),
        ("priority", route.priority.to_string()),
        ("attempts", route.attempts.to_string()),
        ("public", route.public.to_string()),
        ("home-regions", region_list(&route.home_regions)),
    ])
}

fn tenant_fields(tenant: &Tenant) -> Fields {
    BTreeMap::from([
        ("api-keys", format!("{} keys", tenant.api_keys.len())),
        ("rate-per-s", tenant.rate_per_s.to_string()),
        ("burst", tenant.burst.to_string()),
        ("priority", tenant.priority.map_or("the route's".into(), |priority| priority.to_string())),
        ("home-regions", region_list(&tenant.home_regions)),
    ])
}

/// The services of a route, with the part of its requests that each gets, in hundredths.
fn traffic_split(route: &Route) -> String {
    let services = route.split.as_deref().unwrap_or_default();
    let total: f64 = services.iter().map(|service| service.weight).sum();
    if total <= 0.0 {
        return route.service.clone().unwrap_or_default();
    }
    let percentage = |weight: f64| (weight / total * 100.0).round();
    let parts = services.iter().map(|part| format!("{} {}%", part.service, percentage(part.weight)));
    parts.collect::<Vec<_>>().join(" + ")
}

fn region_list(regions: &[String]) -> String {
    if regions.is_empty() {
        "anywhere".into()
    } else {
        regions.join(" + ")
    }
}

/// How two tables differ, by name.
pub(super) fn entity_changes(entity: Entity, old: &Rows, new: &Rows) -> Vec<EntityChange> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let change = |name: &String| {
        let (action, fields) = match (old.get(name), new.get(name)) {
            (None, Some(after)) => (Action::Added, added_fields(after)),
            (Some(_), None) => (Action::Removed, Vec::new()),
            (Some(before), Some(after)) if before != after => {
                (Action::Changed, changed_fields(before, after))
            }
            (Some(_), Some(_)) | (None, None) => return None,
        };
        Some(EntityChange { entity, name: name.clone(), action, fields })
    };
    names.into_iter().filter_map(change).collect()
}

fn added_fields(after: &Fields) -> Vec<String> {
    after.iter().map(|(field, value)| format!("{field} {value}")).collect()
}

fn changed_fields(before: &Fields, after: &Fields) -> Vec<String> {
    let changed = after.iter().filter(|(field, value)| before.get(*field) != Some(value));
    let text = |(field, value): (&&'static str, &String)| {
        format!("{field} {} -> {value}", before.get(*field).map_or("none", String::as_str))
    };
    changed.map(text).collect()
}
