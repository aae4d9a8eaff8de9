//! An ingress whose control plane dies, sends what cannot be put in force, or has an old store.

#![cfg(test)]

mod common;

use common::control::*;
use common::tenant_service::*;
use common::*;
use serde_json::json;
use std::fs;

#[test]
fn ingress_serves_and_restarts_without_the_control_plane() {
    let mut setup = TenantService::start(node(1));
    let service = setup.serve();
    setup.tenant("acme", 50.0, &json!({}));
    setup.wait_until_in_force();
    let gone = setup.control.address;
    until("it is kept", || setup.last_good.exists());
    setup.control.kill();
    for _ in 0..3 {
        assert_eq!(book(&service, "acme", "a"), 200);
    }
    drop(service);
    // Started anew without it, from what was kept.
    let service = Service::start(&setup.file(gone));
    assert_eq!(book(&service, "acme", "a"), 200);
    drop(service);
    // What was kept is torn: told, and served without tenants until the control plane is there.
    let bytes = fs::read(&setup.last_good).unwrap();
    fs::write(&setup.last_good, &bytes[..bytes.len() / 2]).unwrap();
    setup.control = Control::start(&setup.store, UNLIMITED);
    let service = Service::start(&setup.file(gone));
    assert!(service.log().iter().any(|line| line.contains("not readable")), "{:?}", service.log());
    assert_eq!(book(&service, "acme", "a"), 404);
    drop(service);
    let service = setup.serve();
    wait_for_booking_status(&service, "acme", "a", 200);
}

#[test]
fn rejected_snapshot_leaves_the_old_one_in_force_and_is_reported() {
    let setup = TenantService::start(node(1));
    let service = setup.serve();
    setup.tenant("acme", 50.0, &json!({}));
    setup.wait_until_in_force();
    // A pool that this ingress does not have.
    setup.api.call_any_version("PATCH", "/v1/tenants/acme", r#"{"pools": ["reservations", "spa"]}"#);
    let route = json!({"name": "spa", "host": host("acme"), "path": "/spa/*", "pool": "spa"});
    setup.api.create("/v1/tenants/acme/routes", route);
    let state = || setup.api.get("/v1/ingresses").body["items"]["i1"].clone();
    until("it is told", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("no pool \"spa\""))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
    // More than there is to be guaranteed.
    assert_eq!(setup.api.call_any_version("DELETE", "/v1/tenants/acme/routes/spa", "").status, 204);
    setup.wait_until_in_force();
    let greedy = json!({"limits": {"descriptors": {"guaranteed": 1_000_000, "most": 0}}});
    setup.api.call_any_version("PATCH", "/v1/tenants/acme", greedy);
    until("it is told", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("limits.descriptors"))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
    // A host that the file's own routes have.
    setup.api.call_any_version(
        "PATCH",
        "/v1/tenants/acme",
        json!({"limits": {"descriptors": {"guaranteed": 0}}, "hosts": [host("acme"), "house.example.org"]}),
    );
    setup.wait_until_in_force();
    let route = json!({"name": "house", "host": "house.example.org", "pool": "reservations"});
    setup.api.create("/v1/tenants/acme/routes", route);
    until("it is told", || state()["reason"].as_str().is_some_and(|reason| reason.contains("same requests")));
    assert_eq!(book(&service, "acme", "a"), 200);
    // Mended, it is taken, and nothing is left of the word.
    assert_eq!(setup.api.call_any_version("DELETE", "/v1/tenants/acme/routes/house", "").status, 204);
    setup.wait_until_in_force();
    until("the word is gone", || state()["reason"].is_null());
}

#[test]
fn restored_old_store_does_not_undo_what_is_in_force() {
    let mut setup = TenantService::start(node(1));
    let service = setup.serve();
    setup.wait_until_in_force();
    // A copy of the store as it is before the tenant, with nothing written meanwhile.
    setup.control.kill();
    let copy = StoreFile::new();
    for end in ["", "-wal", ".pepper"] {
        let name = |file: &StoreFile| format!("{}{end}", file.0.display());
        if fs::exists(name(&setup.store)).unwrap() {
            fs::copy(name(&setup.store), name(&copy)).unwrap();
        }
    }
    let key = setup.api.key.clone();
    let address = setup.control.address;
    let listen = address.to_string();
    setup.control = Control::start(&setup.store, &[UNLIMITED, &["--listen", &listen]].concat());
    setup.api = setup.control.api(&key);
    setup.tenant("acme", 50.0, &json!({}));
    wait_for_booking_status(&service, "acme", "a", 200);
    setup.control.kill();
    setup.control = Control::start(&copy, &[UNLIMITED, &["--listen", &listen]].concat());
    setup.api = setup.control.api(&key);
    let state = || setup.api.get("/v1/ingresses").body["items"]["i1"].clone();
    until("it is told", || state()["reason"].as_str().is_some_and(|reason| reason.contains("is older than")));
    assert_eq!(book(&service, "acme", "a"), 200);
}
