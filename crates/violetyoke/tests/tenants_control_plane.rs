//! An ingress whose control plane is killed, sends an incompatible snapshot, or has an old store.

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
    let old_address = setup.control.address;
    until("the snapshot is stored", || setup.last_good.exists());
    setup.control.kill();
    for _ in 0..3 {
        assert_eq!(book(&service, "acme", "a"), 200);
    }
    drop(service);
    // The ingress restarts without the control plane, from the stored snapshot.
    let service = Service::start(&setup.file(old_address));
    assert_eq!(book(&service, "acme", "a"), 200);
    drop(service);
    // The stored snapshot is truncated: it is reported, and the ingress serves without tenants until the
    // control plane responds.
    let bytes = fs::read(&setup.last_good).unwrap();
    fs::write(&setup.last_good, &bytes[..bytes.len() / 2]).unwrap();
    setup.control = Control::start(&setup.store, UNLIMITED);
    let service = Service::start(&setup.file(old_address));
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
    // The snapshot names a pool that this ingress does not have.
    setup.api.call_any_version("PATCH", "/v1/tenants/acme", r#"{"pools": ["reservations", "spa"]}"#);
    let route = json!({"name": "spa", "host": host("acme"), "path": "/spa/*", "pool": "spa"});
    setup.api.create("/v1/tenants/acme/routes", route);
    let state = || setup.api.get("/v1/ingresses").body["items"]["i1"].clone();
    until("the rejection is reported", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("no pool \"spa\""))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
    // The guaranteed descriptors exceed those of the ingress.
    assert_eq!(setup.api.call_any_version("DELETE", "/v1/tenants/acme/routes/spa", "").status, 204);
    setup.wait_until_in_force();
    let too_high_guarantee = json!({"limits": {"descriptors": {"guaranteed": 1_000_000, "most": 0}}});
    setup.api.call_any_version("PATCH", "/v1/tenants/acme", too_high_guarantee);
    until("the rejection is reported", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("limits.descriptors"))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
    // The host is also in a route of the file.
    setup.api.call_any_version(
        "PATCH",
        "/v1/tenants/acme",
        json!({"limits": {"descriptors": {"guaranteed": 0}}, "hosts": [host("acme"), "house.example.org"]}),
    );
    setup.wait_until_in_force();
    let route = json!({"name": "house", "host": "house.example.org", "pool": "reservations"});
    setup.api.create("/v1/tenants/acme/routes", route);
    until("the rejection is reported", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("same requests"))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
    // After the correction the snapshot is in force, and the reason is cleared.
    assert_eq!(setup.api.call_any_version("DELETE", "/v1/tenants/acme/routes/house", "").status, 204);
    setup.wait_until_in_force();
    until("the reason is cleared", || state()["reason"].is_null());
}

#[test]
fn restored_old_store_does_not_replace_the_newer_snapshot_in_force() {
    let mut setup = TenantService::start(node(1));
    let service = setup.serve();
    setup.wait_until_in_force();
    // A copy of the store from before the tenant is created.
    setup.control.kill();
    let copy = StoreFile::new();
    for suffix in ["", "-wal", ".pepper"] {
        let name = |file: &StoreFile| format!("{}{suffix}", file.0.display());
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
    until("the rejection is reported", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("is older than"))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
}
