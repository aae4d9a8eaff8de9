//! From one configuration to another: only what differs goes over, and what it leads to is checked.

#![cfg(test)]

use serde_json::{json, Value};
use violetyoke_api::change::{digest, ConfigurationChange};
use violetyoke_api::Configuration;

fn configuration(version: u64, routes: &[(&str, u64)], keys: &[&str]) -> Configuration {
    let rows: Vec<Value> = routes
        .iter()
        .map(|(name, ms)| json!([name, "rooms.example", format!("/{name}/"), "idempotent", ms, "finder"]))
        .collect();
    let document = json!({
        "version": version,
        "routes": {"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "service"], "rows": rows},
        "services": {"columns": ["name"], "rows": [["finder"]]},
        "tenants": {"columns": ["name", "api-keys"], "rows": [["kolkheti", keys]]}
    });
    Configuration::parse(document.to_string().as_bytes()).expect("a configuration")
}

#[test]
fn a_change_holds_what_differs_and_leads_to_the_next() {
    let old = configuration(1, &[("a", 100), ("b", 100), ("c", 100)], &["key-1"]);
    let new = configuration(4, &[("d", 100), ("c", 200), ("a", 100)], &["key-1", "key-2"]);
    let change = ConfigurationChange::between(&old, &new).expect("names are distinct");
    let names: Vec<&str> = change.routes.upserted.iter().map(|route| route.name.as_str()).collect();
    assert_eq!((names, change.routes.removed.as_slice()), (vec!["d", "c"], ["b".to_owned()].as_slice()));
    assert!(change.services.upserted.is_empty());
    let reached = change.apply(&old).expect("the next");
    assert_eq!(digest(&reached), digest(&new));
    assert_eq!((reached.version, reached.routes.len()), (4, 3));
}

#[test]
fn a_change_that_was_made_from_another_configuration_is_not_taken() {
    let old = configuration(1, &[("a", 100), ("b", 100)], &["key-1"]);
    let new = configuration(2, &[("a", 100), ("b", 200)], &["key-1"]);
    let change = ConfigurationChange::between(&old, &new).expect("names are distinct");
    let other = configuration(1, &[("a", 150), ("b", 100)], &["key-1"]);
    assert!(change.apply(&other).is_none());
}

#[test]
fn rows_that_share_a_name_are_told_as_a_whole() {
    let old = configuration(1, &[("a", 100)], &[]);
    let doubled = configuration(2, &[("a", 100), ("a", 200)], &[]);
    assert!(ConfigurationChange::between(&old, &doubled).is_none());
    assert!(ConfigurationChange::between(&doubled, &old).is_none());
}
