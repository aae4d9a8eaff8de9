//! Deletion of tenants at the control plane, and the snapshots that ingresses get of changes.

#![cfg(test)]

mod common;

use common::control::*;
use common::*;
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

const ACME: &str = "/v1/tenants/acme";
const PLANS: &str = "/v1/tenants/acme/plans";

/// A control plane with tenant `acme`, whose draining takes 1.5 s.
fn start_draining_quickly(file: &StoreFile) -> Control {
    let control = Control::start(file, &[UNLIMITED_CALLS, &["--drain-ms", "1500"]].concat());
    tenant(&control.operator(), "acme");
    control
}

fn administrator_of_acme(api: &Api) -> Api {
    key(api, "/v1/tenants/acme/keys", json!({"role": "tenant_admin", "tenant": "acme"}))
}

#[test]
fn draining_tenant_cannot_change_and_can_be_restored() {
    let file = StoreFile::new();
    let control = start_draining_quickly(&file);
    let api = control.operator();
    let admin = administrator_of_acme(&api);
    let before = api.get(ACME);

    let drained = api.call_any_version("DELETE", ACME, "");
    assert_eq!((drained.status, &drained.body["state"]), (202, &json!("draining")));
    assert_eq!(api.call_any_version("DELETE", ACME, "").status, 409);
    assert_eq!(admin.post(PLANS, r#"{"name": "p", "rate": 0}"#).status, 409);
    let restored = api.call_any_version("POST", "/v1/tenants/acme/restore", "");
    assert_eq!(
        (restored.status, &restored.body["state"], &restored.body["epoch"]),
        (200, &json!("active"), &before.body["epoch"])
    );
    assert_eq!(admin.post(PLANS, r#"{"name": "p", "rate": 0}"#).status, 201);
}

#[test]
fn end_of_a_tenants_draining_can_be_waited_for_and_is_final() {
    let file = StoreFile::new();
    let control = start_draining_quickly(&file);
    let api = control.operator();
    let admin = administrator_of_acme(&api);

    let drained = api.call_any_version("DELETE", ACME, "");
    let wait = format!("If-None-Match: {}\r\nPrefer: wait=30\r\n", drained.version.unwrap());
    let started = Instant::now();
    let deleted = api.call("GET", ACME, "", &wait);

    assert_eq!(deleted.status, 404);
    assert!(started.elapsed() < Duration::from_secs(15));
    assert_eq!((api.get(PLANS).status, admin.get(ACME).status), (404, 401));
    assert_eq!(api.call_any_version("POST", "/v1/tenants/acme/restore", "").status, 404);
}

#[test]
fn new_tenant_of_a_deleted_ones_name_inherits_nothing() {
    let file = StoreFile::new();
    let control = start_draining_quickly(&file);
    let api = control.operator();
    tenant(&api, "acme-2");
    api.create(PLANS, PLAN);
    api.create("/v1/tenants/acme/accounts", json!({"name": "h", "plan": "basic"}));
    let admin = administrator_of_acme(&api);
    let before = api.get(ACME);
    assert_eq!(api.call_any_version("DELETE", ACME, "").status, 202);
    until("the tenant is deleted", || api.get(ACME).status == 404);

    // Its host is free too.
    tenant(&api, "acme");

    assert!(api.get(ACME).body["epoch"].as_u64() > before.body["epoch"].as_u64());
    for kind in ["plans", "accounts", "routes", "keys"] {
        assert_eq!(api.get(&format!("/v1/tenants/acme/{kind}")).body["items"], json!([]));
    }
    assert_eq!(admin.get(ACME).status, 401);
    assert_eq!(api.get("/v1/tenants/acme-2").status, 200);
}

#[test]
fn ingresses_get_full_and_incremental_snapshots_as_the_store_changes() {
    use violetyoke_tenants::snapshot::{Snapshot, TenantDirectory};
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();
    let ingress = key(&api, "/v1/keys", json!({"role": "ingress"}));
    tenant(&api, "acme");
    api.create("/v1/tenants/acme/plans", PLAN);
    api.create("/v1/tenants/acme/accounts", json!({"name": "h", "plan": "basic"}));
    tenant(&api, "other");
    let take = |held: &TenantDirectory, told: &ApiResponse| {
        held.apply(Snapshot::parse(&told.http.body).unwrap()).unwrap()
    };
    let held = take(&TenantDirectory::default(), &ingress.get("/v1/snapshot?ingress=i1"));
    assert_eq!(held.tenants.keys().collect::<Vec<_>>(), ["acme", "other"]);
    assert_eq!(held.tenants["acme"].accounts[0].name, "h");
    // Nothing new: it waits, and what comes then is only what has changed.
    let path = format!("/v1/snapshot?held={}&ingress=i1", held.revision);
    assert_eq!(ingress.get(&path).status, 304);
    let waiting = ingress.clone();
    let wait = thread::spawn(move || waiting.call("GET", &path, "", "Prefer: wait=20\r\n"));
    until("it waits", || api.get("/v1/ingresses").body["items"]["i1"]["held"] == held.revision);
    api.call_any_version("PATCH", "/v1/tenants/acme/plans/basic", r#"{"rate": 5}"#);
    let part = wait.join().unwrap();
    assert_eq!(part.body["base"], held.revision);
    let held = take(&held, &part);
    assert_eq!(part.body["tenants"].as_array().unwrap().len(), 1);
    assert_eq!(held.tenants["acme"].plans[0].rate, 5.0);
    // Draining is told, and that a tenant is gone.
    api.call_any_version("DELETE", "/v1/tenants/other", "");
    let held = take(&held, &ingress.get(&format!("/v1/snapshot?held={}", held.revision)));
    assert!(held.tenants["other"].draining && !held.tenants["acme"].draining);
    // One that holds what is newer than the store (an old store was put back) gets all, and refuses it.
    let whole = ingress.get("/v1/snapshot?held=999999");
    assert!(TenantDirectory { revision: 999_999, ..TenantDirectory::default() }
        .apply(Snapshot::parse(&whole.http.body).unwrap())
        .is_err());
    // What it refused, and why, is told to operators.
    ingress.get("/v1/snapshot?held=3&ingress=i2&rejected=9&reason=no%20such%20pool");
    let state = &api.get("/v1/ingresses").body["items"]["i2"];
    assert_eq!((&state["rejected"], &state["reason"]), (&json!(9), &json!("no such pool")));
}
