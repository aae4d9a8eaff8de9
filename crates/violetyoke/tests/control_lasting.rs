//! Deletion of tenants at the control plane, and the snapshots of changes for ingresses.

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
fn deletion_of_a_drained_tenant_can_be_awaited_and_is_final() {
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
fn new_tenant_with_the_name_of_a_deleted_one_shares_nothing_with_it() {
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

    // The host of the deleted tenant can be used again.
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
    let apply_snapshot = |directory: &TenantDirectory, response: &ApiResponse| {
        directory.apply(Snapshot::parse(&response.http.body).unwrap()).unwrap()
    };
    let directory = apply_snapshot(&TenantDirectory::default(), &ingress.get("/v1/snapshot?ingress=i1"));
    assert_eq!(directory.tenants.keys().collect::<Vec<_>>(), ["acme", "other"]);
    assert_eq!(directory.tenants["acme"].accounts[0].name, "h");
    // Without a change the call waits, and then gets only the changes.
    let path = format!("/v1/snapshot?held={}&ingress=i1", directory.revision);
    assert_eq!(ingress.get(&path).status, 304);
    let waiting = ingress.clone();
    let wait = thread::spawn(move || waiting.call("GET", &path, "", "Prefer: wait=20\r\n"));
    until("the ingress waits for a snapshot", || {
        api.get("/v1/ingresses").body["items"]["i1"]["held"] == directory.revision
    });
    api.call_any_version("PATCH", "/v1/tenants/acme/plans/basic", r#"{"rate": 5}"#);
    let incremental = wait.join().unwrap();
    assert_eq!(incremental.body["base"], directory.revision);
    let directory = apply_snapshot(&directory, &incremental);
    assert_eq!(incremental.body["tenants"].as_array().unwrap().len(), 1);
    assert_eq!(directory.tenants["acme"].plans[0].rate, 5.0);
    // A snapshot reports that a tenant drains.
    api.call_any_version("DELETE", "/v1/tenants/other", "");
    let directory =
        apply_snapshot(&directory, &ingress.get(&format!("/v1/snapshot?held={}", directory.revision)));
    assert!(directory.tenants["other"].draining && !directory.tenants["acme"].draining);
    // An ingress with a newer revision than the store (after the restore of a backup) gets a full snapshot and
    // rejects it.
    let full = ingress.get("/v1/snapshot?held=999999");
    assert!(TenantDirectory { revision: 999_999, ..TenantDirectory::default() }
        .apply(Snapshot::parse(&full.http.body).unwrap())
        .is_err());
    // The rejected revision and the reason are reported to operators.
    ingress.get("/v1/snapshot?held=3&ingress=i2&rejected=9&reason=no%20such%20pool");
    let state = &api.get("/v1/ingresses").body["items"]["i2"];
    assert_eq!((&state["rejected"], &state["reason"]), (&json!(9), &json!("no such pool")));
}
