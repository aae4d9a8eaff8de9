//! The difference between two configurations: it must contain only the rows that differ, and its result must be verified.

#![cfg(test)]

use serde_json::{json, Value};
use violetyoke_api::change::{ChangeError, ConfigurationChange};
use violetyoke_api::digest::digest;
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
fn change_contains_only_the_rows_that_differ_and_results_in_the_new_configuration() {
    let old = configuration(1, &[("a", 100), ("b", 100), ("c", 100)], &["key-1"]);
    let new = configuration(4, &[("d", 100), ("c", 200), ("a", 100)], &["key-1", "key-2"]);

    let change = ConfigurationChange::between(&old, &new).expect("names are distinct");

    let names: Vec<&str> = change.routes.upserted.iter().map(|route| route.name.as_str()).collect();
    assert_eq!((names, change.routes.removed.as_slice()), (vec!["d", "c"], ["b".to_owned()].as_slice()));
    assert!(change.services.upserted.is_empty());
    let result = change.apply(&old).expect("the new configuration");
    assert_eq!(digest(&result).expect("a digest"), digest(&new).expect("a digest"));
    assert_eq!((result.version, result.routes.len()), (4, 3));
}

#[test]
fn change_based_on_another_configuration_is_rejected() {
    let old = configuration(1, &[("a", 100), ("b", 100)], &["key-1"]);
    let new = configuration(2, &[("a", 100), ("b", 200)], &["key-1"]);
    let change = ConfigurationChange::between(&old, &new).expect("names are distinct");
    let other = configuration(1, &[("a", 150), ("b", 100)], &["key-1"]);

    let error = change.apply(&other).expect_err("rejected");

    let expected = change.digest;
    assert!(matches!(error, ChangeError::DigestMismatch { expected: digest, .. } if digest == expected));
}

#[test]
fn there_is_no_change_between_tables_with_duplicate_names() {
    let old = configuration(1, &[("a", 100)], &[]);
    let duplicated = configuration(2, &[("a", 100), ("a", 200)], &[]);
    for (from, to) in [(&old, &duplicated), (&duplicated, &old)] {
        let error = ConfigurationChange::between(from, to).expect_err("rejected");
        assert!(matches!(error, ChangeError::DuplicateName { table: "routes" }), "{error}");
    }
}
