//! An ingress whose control plane dies, sends what cannot be put in force, or has an old store.

#![cfg(test)]

mod common;

use common::control::*;
use common::hosted::*;
use common::*;
use serde_json::json;
use std::fs;

#[test]
fn ingress_serves_and_restarts_without_the_control_plane() {
    let mut hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.tenant("acme", 50.0, &json!({}));
    hosted.wait_until_in_force();
    let gone = hosted.control.address;
    until("it is kept", || hosted.last_good.exists());
    hosted.control.kill();
    for _ in 0..3 {
        assert_eq!(book(&service, "acme", "a"), 200);
    }
    drop(service);
    // Started anew without it, from what was kept.
    let service = Service::start(&hosted.file(gone));
    assert_eq!(book(&service, "acme", "a"), 200);
    drop(service);
    // What was kept is torn: told, and served without tenants until the control plane is there.
    let bytes = fs::read(&hosted.last_good).unwrap();
    fs::write(&hosted.last_good, &bytes[..bytes.len() / 2]).unwrap();
    hosted.control = Control::start(&hosted.store, UNLIMITED);
    let service = Service::start(&hosted.file(gone));
    assert!(service.log().iter().any(|line| line.contains("not readable")), "{:?}", service.log());
    assert_eq!(book(&service, "acme", "a"), 404);
    drop(service);
    let service = hosted.serve();
    wait_until_booking_gives(&service, "acme", "a", 200);
}

#[test]
fn rejected_snapshot_leaves_the_old_one_in_force_and_is_reported() {
    let hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.tenant("acme", 50.0, &json!({}));
    hosted.wait_until_in_force();
    // A pool that this ingress does not have.
    hosted.api.force("PATCH", "/v1/tenants/acme", r#"{"pools": ["reservations", "spa"]}"#);
    let route = json!({"name": "spa", "host": host("acme"), "path": "/spa/*", "pool": "spa"});
    hosted.api.make("/v1/tenants/acme/routes", route);
    let state = || hosted.api.get("/v1/ingresses").body["items"]["i1"].clone();
    until("it is told", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("no pool \"spa\""))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
    // More than there is to be guaranteed.
    assert_eq!(hosted.api.force("DELETE", "/v1/tenants/acme/routes/spa", "").status, 204);
    hosted.wait_until_in_force();
    let greedy = json!({"limits": {"descriptors": {"guaranteed": 1_000_000, "most": 0}}});
    hosted.api.force("PATCH", "/v1/tenants/acme", greedy);
    until("it is told", || {
        state()["reason"].as_str().is_some_and(|reason| reason.contains("limits.descriptors"))
    });
    assert_eq!(book(&service, "acme", "a"), 200);
    // A host that the file's own routes have.
    hosted.api.force(
        "PATCH",
        "/v1/tenants/acme",
        json!({"limits": {"descriptors": {"guaranteed": 0}}, "hosts": [host("acme"), "house.example.org"]}),
    );
    hosted.wait_until_in_force();
    let route = json!({"name": "house", "host": "house.example.org", "pool": "reservations"});
    hosted.api.make("/v1/tenants/acme/routes", route);
    until("it is told", || state()["reason"].as_str().is_some_and(|reason| reason.contains("same requests")));
    assert_eq!(book(&service, "acme", "a"), 200);
    // Mended, it is taken, and nothing is left of the word.
    assert_eq!(hosted.api.force("DELETE", "/v1/tenants/acme/routes/house", "").status, 204);
    hosted.wait_until_in_force();
    until("the word is gone", || state()["reason"].is_null());
}

#[test]
fn restored_old_store_does_not_undo_what_is_in_force() {
    let mut hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.wait_until_in_force();
    // A copy of the store as it is before the tenant, with nothing written meanwhile.
    hosted.control.kill();
    let copy = StoreFile::new();
    for end in ["", "-wal", ".pepper"] {
        let name = |file: &StoreFile| format!("{}{end}", file.0.display());
        if fs::exists(name(&hosted.store)).unwrap() {
            fs::copy(name(&hosted.store), name(&copy)).unwrap();
        }
    }
    let key = hosted.api.key.clone();
    let address = hosted.control.address;
    let listen = address.to_string();
    hosted.control = Control::start(&hosted.store, &[UNLIMITED, &["--listen", &listen]].concat());
    hosted.api = hosted.control.api(&key);
    hosted.tenant("acme", 50.0, &json!({}));
    wait_until_booking_gives(&service, "acme", "a", 200);
    hosted.control.kill();
    hosted.control = Control::start(&copy, &[UNLIMITED, &["--listen", &listen]].concat());
    hosted.api = hosted.control.api(&key);
    let state = || hosted.api.get("/v1/ingresses").body["items"]["i1"].clone();
    until("it is told", || state()["reason"].as_str().is_some_and(|reason| reason.contains("is older than")));
    assert_eq!(book(&service, "acme", "a"), 200);
}
