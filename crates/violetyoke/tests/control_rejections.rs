//! Requests that the control plane's API rejects, and by which field.

#![cfg(test)]

mod common;

use common::control::*;
use serde_json::{json, Value};

/// A control plane with tenant `acme`, which has a plan.
fn start_with_plan(file: &StoreFile) -> Control {
    let control = start(file);
    let api = control.operator();
    tenant(&api, "acme");
    api.create("/v1/tenants/acme/plans", PLAN);
    control
}

/// A request that is rejected.
struct Invalid {
    path: &'static str,
    body: Value,
    status: u16,
    /// The field that is not valid, and a part of the reason.
    field: &'static str,
    reason: &'static str,
}

/// An invalid request, with its fields in the order of a table.
fn invalid(
    path: &'static str,
    body: Value,
    status: u16,
    field: &'static str,
    reason: &'static str,
) -> Invalid {
    Invalid { path, body, status, field, reason }
}

const PLANS: &str = "/v1/tenants/acme/plans";
const ACCOUNTS: &str = "/v1/tenants/acme/accounts";
const ROUTES: &str = "/v1/tenants/acme/routes";
const TENANT_KEYS: &str = "/v1/tenants/acme/keys";

fn route() -> Value {
    json!({"name": "all", "host": "acme.example.org", "pool": "reservations"})
}

/// The route with some of its fields replaced.
fn route_with(change: &Value) -> Value {
    let mut body = route();
    body.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
    body
}

fn invalid_tenants() -> Vec<Invalid> {
    let limits = json!({"name": "x", "limits": {"descriptors": {"guaranteed": 5, "most": 3}}});
    let hosts = json!({"name": "x", "hosts": ["acme.example.org"]});
    vec![
        invalid("/v1/tenants", json!({"name": "x y"}), 422, "name", "letters"),
        invalid("/v1/tenants", json!({"name": "x", "weight": 0}), 422, "weight", "1 to 1000"),
        invalid("/v1/tenants", hosts, 422, "hosts[0]", "another tenant's"),
        invalid("/v1/tenants", limits, 422, "limits.descriptors.most", "below"),
        invalid("/v1/tenants", json!({"name": "x", "colour": "red"}), 400, "colour", "unknown field"),
        invalid("/v1/tenants", json!({"weight": 2}), 400, "name", "missing field"),
    ]
}

fn invalid_resources() -> Vec<Invalid> {
    let other_host = route_with(&json!({"name": "r", "host": "other.example.org"}));
    let other_pool = route_with(&json!({"name": "r", "pool": "secret"}));
    let bad_path = route_with(&json!({"name": "r", "path": "no"}));
    vec![
        invalid(PLANS, json!({"name": "p", "rate": 2}), 422, "burst", "1 or more"),
        invalid(PLANS, json!({"name": "p", "rate": -1}), 422, "rate", "0 to"),
        invalid(ACCOUNTS, json!({"name": "", "plan": "basic"}), 422, "name", "1 to 128"),
        invalid(ACCOUNTS, json!({"name": "a", "plan": "gold"}), 422, "plan", "no plan"),
        invalid(ROUTES, other_host, 422, "host", "not a host"),
        invalid(ROUTES, other_pool, 422, "pool", "not a pool"),
        invalid(ROUTES, route_with(&json!({"name": "r"})), 422, "path", "same requests"),
        invalid(ROUTES, bad_path, 422, "path", ""),
    ]
}

fn invalid_keys() -> Vec<Invalid> {
    let of_other = json!({"role": "tenant_admin", "tenant": "other"});
    let expired = json!({"role": "operator", "expires_in_seconds": 0});
    vec![
        invalid(TENANT_KEYS, json!({"role": "operator"}), 422, "role", "tenant_admin"),
        invalid(TENANT_KEYS, of_other, 422, "tenant", "path"),
        invalid("/v1/keys", json!({"role": "king"}), 400, "king", "unknown variant"),
        invalid("/v1/keys", expired, 422, "expires_in_seconds", "1 to"),
    ]
}

fn assert_rejected(told: &ApiResponse, invalid: &Invalid) {
    let Invalid { status, field, reason, .. } = invalid;
    assert_eq!(told.status, *status, "{told:?}");
    assert_eq!(told.http.headers["content-type"], "application/problem+json");
    let error = &told.body["errors"][0];
    assert_eq!(error["field"], *field, "{told:?}");
    assert!(error["reason"].as_str().unwrap().contains(reason), "{told:?}");
    assert_eq!(told.body["status"], *status);
}

#[test]
fn invalid_requests_are_rejected_by_field_and_change_nothing() {
    let file = StoreFile::new();
    let control = start_with_plan(&file);
    let api = control.operator();
    tenant(&api, "other");
    api.create(ROUTES, route());

    for invalid in [invalid_tenants(), invalid_resources(), invalid_keys()].into_iter().flatten() {
        assert_rejected(&api.post(invalid.path, &invalid.body), &invalid);
    }
    assert_rejected(&api.post("/v1/tenants", "{"), &invalid("/v1/tenants", Value::Null, 400, "body", "EOF"));

    assert_eq!(api.get("/v1/tenants").body["items"].as_array().unwrap().len(), 2);
    assert_eq!(api.get(ACCOUNTS).body["items"], json!([]));
}

#[test]
fn tenant_keeps_the_pools_that_its_routes_need() {
    let file = StoreFile::new();
    let control = start_with_plan(&file);
    let api = control.operator();
    api.create(ROUTES, route());

    let told = api.call_any_version("PATCH", "/v1/tenants/acme", r#"{"pools": []}"#);

    assert_eq!((told.status, &told.body["errors"][0]["field"]), (422, &json!("pools")), "{told:?}");
}

#[test]
fn unknown_paths_wrong_methods_and_large_bodies_are_rejected() {
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();

    for (method, path, status) in
        [("GET", "/v1/nothing", 404), ("PUT", "/v1/tenants", 405), ("GET", "/v1/tenants?limit=0", 422)]
    {
        let told = api.call(method, path, "", "");
        assert_eq!((told.status, &told.body["status"]), (status, &json!(status)));
    }
    let large = format!("{{\"name\": \"{}\"}}", "x".repeat(2 << 20));
    assert!(api.try_call("POST", "/v1/tenants", &large, "").is_none_or(|told| told.status == 413));
}
