//! Tenants in a running service: accounts, limits, changes of plans, deletion and reloads.

#![cfg(test)]

mod common;

use common::tenant_service::*;
use common::*;
use serde_json::json;
use std::thread;
use std::time::Duration;
use violetyoke_standin::rate_limit_server::RateLimitServer;

#[test]
fn each_tenant_is_served_from_its_own_accounts() {
    let setup = TenantService::start(node(1));
    let service = setup.serve();
    assert_eq!(book(&service, "acme", "a"), 404);
    setup.tenant("acme", 3.0, &json!({}));
    setup.tenant("zeta", 2.0, &json!({}));
    setup.wait_until_in_force();
    // The same names are other accounts, and each has its quota.
    let codes = |tenant: &str, account: &str| -> Vec<u16> {
        (0..4).map(|_| book(&service, tenant, account)).collect()
    };
    assert_eq!(codes("acme", "a"), [200, 200, 200, 429]);
    assert_eq!(codes("acme", "b"), [200, 200, 200, 429]);
    assert_eq!(codes("zeta", "a"), [200, 200, 429, 429]);
    assert_eq!(book(&service, "acme", "c"), 403);
    // What a client says of its plan counts nothing, and the file's own routes are served as before.
    let request = service_request("POST", &host("acme"), "/bookings", "a", "x");
    let bold = request.replacen("X-Account", "X-Tier: house\r\nX-Account", 1);
    assert_eq!(service.client().call(bold).status(), 429);
    assert_eq!(
        service.client().call(service_request("POST", "house.example.org", "/x", "a", "x")).status(),
        200
    );
    // An account that is made is known, and one that is deleted is not.
    setup.api.create("/v1/tenants/acme/accounts", json!({"name": "hotel 7/ü", "plan": "basic"}));
    setup.wait_until_in_force();
    let request = service_request("POST", &host("acme"), "/bookings", "hotel 7/ü", "x");
    assert_eq!(
        service.client().call(request).status(),
        400,
        "a field is ASCII: such an account comes over gRPC only"
    );
    assert_eq!(setup.api.call_any_version("DELETE", "/v1/tenants/acme/accounts/b", "").status, 204);
    wait_for_booking_status(&service, "acme", "b", 403);
}

#[test]
fn plan_lowered_within_a_window_grants_no_new_units() {
    let setup = TenantService::start(node(1));
    let service = setup.serve();
    setup.tenant("acme", 10.0, &json!({}));
    setup.wait_until_in_force();
    for _ in 0..6 {
        assert_eq!(book(&service, "acme", "a"), 200);
    }
    // Six are used: of eight, two are left, and of five, none.
    setup.api.call_any_version("PATCH", "/v1/tenants/acme/plans/basic", r#"{"burst": 8}"#);
    setup.wait_until_in_force();
    let codes: Vec<u16> = (0..4).map(|_| book(&service, "acme", "a")).collect();
    assert_eq!(codes, [200, 200, 429, 429]);
    setup.api.call_any_version("PATCH", "/v1/tenants/acme/plans/basic", r#"{"burst": 5}"#);
    setup.wait_until_in_force();
    assert_eq!(book(&service, "acme", "a"), 429);
    let fresh: Vec<u16> = (0..6).map(|_| book(&service, "acme", "b")).collect();
    assert_eq!(fresh, [200, 200, 200, 200, 200, 429]);
}

#[test]
fn request_in_flight_outlives_its_tenant_and_a_successor_inherits_nothing() {
    let setup = TenantService::start(node(4_000));
    let service = setup.serve();
    setup.tenant("acme", 2.0, &json!({}));
    setup.wait_until_in_force();
    let mut client = service.client();
    client.send(service_request("POST", &host("acme"), "/bookings", "a", "room=4"));
    until("the booking is out", || setup.node.received().len() == 1);
    // Draining: nothing new, on whatever connection.
    let mut kept = service.client();
    assert_eq!(setup.api.call_any_version("DELETE", "/v1/tenants/acme", "").status, 202);
    setup.wait_until_in_force();
    assert_eq!(book(&service, "acme", "b"), 503);
    kept.send(service_request("POST", &host("acme"), "/bookings", "b", "x"));
    assert_eq!(kept.read_response().unwrap().status(), 503);
    // Gone, while the booking is still out: it gets its one answer.
    until("it is gone", || setup.api.get("/v1/tenants/acme").status == 404);
    wait_for_booking_status(&service, "acme", "a", 404);
    assert_eq!(client.read_response().expect("one answer").status(), 200);
    assert_eq!(setup.node.received().len(), 1);
    // Anew under the name: its quota is whole, although the old one's account had used some of it.
    setup.tenant("acme", 2.0, &json!({}));
    setup.wait_until_in_force();
    let calls: Vec<_> = (0..3)
        .map(|_| {
            let address = service.address;
            thread::spawn(move || {
                let request = service_request("POST", &host("acme"), "/bookings", "a", "room=4");
                Client::try_open(address).unwrap().call(request).status()
            })
        })
        .collect();
    let mut codes: Vec<u16> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    codes.sort();
    assert_eq!(codes, [200, 200, 429]);
}

#[test]
fn restored_tenant_continues_with_its_usage() {
    let setup = TenantService::start(node(1));
    let service = setup.serve();
    setup.tenant("acme", 2.0, &json!({}));
    setup.wait_until_in_force();
    assert_eq!(book(&service, "acme", "a"), 200);
    setup.api.call_any_version("DELETE", "/v1/tenants/acme", "");
    setup.wait_until_in_force();
    assert_eq!(book(&service, "acme", "a"), 503);
    assert_eq!(setup.api.call_any_version("POST", "/v1/tenants/acme/restore", "").status, 200);
    setup.wait_until_in_force();
    assert_eq!((book(&service, "acme", "a"), book(&service, "acme", "a")), (200, 429));
}

#[test]
fn tenant_at_its_limit_is_rejected_and_another_keeps_its_capacity() {
    let setup = TenantService::start(node(800));
    let service = setup.serve();
    setup.tenant("acme", 50.0, &json!({"limits": {"open_requests": {"guaranteed": 0, "most": 2}}}));
    setup.tenant("zeta", 50.0, &json!({"limits": {"open_requests": {"guaranteed": 3, "most": 0}}}));
    setup.wait_until_in_force();
    let address = service.address;
    let call = |tenant: &'static str| {
        thread::spawn(move || {
            let request = service_request("POST", &host(tenant), "/bookings", "a", "room=4");
            Client::try_open(address).unwrap().call(request).status()
        })
    };
    let open: Vec<_> = (0..2).map(|_| call("acme")).collect();
    until("two are out", || setup.node.received().len() == 2);
    assert_eq!(book(&service, "acme", "b"), 503);
    assert_eq!(book(&service, "zeta", "b"), 200);
    assert!(open.into_iter().all(|call| call.join().unwrap() == 200));
    assert_eq!(book(&service, "acme", "b"), 200);
}

#[test]
fn external_limiter_counts_accounts_of_two_tenants_apart() {
    let setup = TenantService::start(node(1));
    let limiter =
        RateLimitServer::start(violetyoke_standin::any_port(), 1, Duration::from_secs(3_600)).unwrap();
    let consult = format!(
        "[pool.consult]\naddress = \"{}\"\ndomain = \"partners\"\nwhen_silent = \"refuse\"\n\
         budget_ms = 2000\n[[route]]",
        limiter.address
    );
    let service = Service::start(&setup.file(setup.control.address).replacen("[[route]]", &consult, 1));
    setup.tenant("acme", 50.0, &json!({}));
    setup.tenant("zeta", 50.0, &json!({}));
    setup.wait_until_in_force();
    let codes = ["acme", "zeta", "acme", "zeta"].map(|tenant| book(&service, tenant, "a"));
    assert_eq!(codes, [200, 200, 429, 429]);
    assert_eq!(limiter.received()[1].entries, [("account".to_string(), "zeta/a".to_string())]);
}

#[test]
fn reload_keeps_tenants_and_rejects_a_file_that_conflicts_with_them() {
    let setup = TenantService::start(node(1));
    let mut service = setup.serve();
    setup.tenant("acme", 3.0, &json!({}));
    setup.wait_until_in_force();
    assert_eq!(book(&service, "acme", "a"), 200);
    let text = setup.file(setup.control.address);
    service.reload(&text.replace("house.example.org", "home.example.org"));
    assert_eq!(
        (book(&service, "acme", "a"), book(&service, "acme", "a"), book(&service, "acme", "a")),
        (200, 200, 429)
    );
    service.reload_rejected(&text.replace("house.example.org", &host("acme")));
    service.reload_rejected(&text.replace("\"reservations\"", "\"rooms\""));
    assert_eq!(book(&service, "acme", "b"), 200);
}
