//! Tenants from the control plane in a running service: what is put in force, what is refused, and what goes on when
//! the control plane does not.

#![cfg(test)]
#![allow(
    clippy::let_underscore_must_use,
    clippy::needless_pass_by_value,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod common;

use common::control::*;
use common::*;
use serde_json::{json, Value};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use violetyoke_standin::limiter::Limiter;
use violetyoke_standin::node::{Node, Shape};

const FREE: &[&str] = &["--rate", "1000000", "--burst", "1000000", "--drain-ms", "2000"];

fn node(milliseconds: u64) -> Node {
    let shape = Shape { service: Duration::from_millis(milliseconds), workers: 16, ..Shape::default() };
    Node::start(violetyoke_standin::any(), "n", shape).unwrap()
}

/// A control plane with a key for an ingress, the files of both, and a node.
struct Hosted {
    store: StoreFile,
    control: Control,
    api: Api,
    key_file: PathBuf,
    last_good: PathBuf,
    node: Node,
}

impl Hosted {
    fn start(node: Node) -> Hosted {
        let store = StoreFile::new();
        let control = Control::start(&store, FREE);
        let api = control.operator();
        let made = api.make("/v1/keys", json!({"role": "ingress"}));
        let beside = |end: &str| PathBuf::from(format!("{}{end}", store.0.display()));
        let (key_file, last_good) = (beside(".key"), beside(".last"));
        fs::write(&key_file, made["key"].as_str().unwrap()).unwrap();
        Hosted { control, api, key_file, last_good, node, store }
    }

    fn file(&self, control: SocketAddr) -> String {
        format!(
            r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 9000, deadline_ms = 10000 }}]
plan = [{{ name = "house", rate = 0 }}]
[[route]]
host = "house.example.org"
pool = "reservations"
[control]
address = "{control}"
key_file = "{}"
name = "i1"
last_good = "{}"
"#,
            self.node.address,
            self.key_file.display(),
            self.last_good.display()
        )
    }

    fn serve(&self) -> Service {
        Service::start(&self.file(self.control.address))
    }

    /// A tenant with one plan of so many units and accounts `a` and `b`.
    fn tenant(&self, name: &str, burst: f64, more: Value) -> Value {
        let mut body = json!({"name": name, "hosts": [host(name)], "pools": ["reservations"]});
        body.as_object_mut().unwrap().extend(more.as_object().unwrap().clone());
        let made = self.api.make("/v1/tenants", body);
        let path = format!("/v1/tenants/{name}");
        self.api.make(&format!("{path}/plans"), json!({"name": "basic", "rate": 0.01, "burst": burst}));
        for account in ["a", "b"] {
            self.api.make(&format!("{path}/accounts"), json!({"name": account, "plan": "basic"}));
        }
        let route = json!({"name": "all", "host": host(name), "pool": "reservations"});
        self.api.make(&format!("{path}/routes"), route);
        made
    }

    /// Until the ingress holds what the store has now.
    fn in_force(&self) {
        let revision = self.api.get("/v1/ingresses").body["revision"].clone();
        let holds =
            || self.api.get("/v1/ingresses").body["items"]["i1"]["held"].as_u64() >= revision.as_u64();
        until("the ingress holds it", holds);
    }
}

impl Drop for Hosted {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.key_file);
        let _ = fs::remove_file(&self.last_good);
        let _ = fs::remove_file(&self.store.0);
    }
}

fn host(tenant: &str) -> String {
    format!("{tenant}.example.org")
}

fn book(service: &Service, tenant: &str, account: &str) -> u16 {
    service.client().call(open_request("POST", &host(tenant), "/bookings", account, "room=4")).status()
}

fn until_booked(service: &Service, tenant: &str, account: &str, code: u16) {
    until("the tenant is served so", || book(service, tenant, account) == code);
}

#[test]
fn tenants_are_served_each_from_its_own_accounts() {
    let hosted = Hosted::start(node(1));
    let service = hosted.serve();
    assert_eq!(book(&service, "acme", "a"), 404);
    hosted.tenant("acme", 3.0, json!({}));
    hosted.tenant("zeta", 2.0, json!({}));
    hosted.in_force();
    // The same names are other accounts, and each has its quota.
    let codes = |tenant: &str, account: &str| -> Vec<u16> {
        (0..4).map(|_| book(&service, tenant, account)).collect()
    };
    assert_eq!(codes("acme", "a"), [200, 200, 200, 429]);
    assert_eq!(codes("acme", "b"), [200, 200, 200, 429]);
    assert_eq!(codes("zeta", "a"), [200, 200, 429, 429]);
    assert_eq!(book(&service, "acme", "c"), 403);
    // What a client says of its plan counts nothing, and the file's own routes are served as before.
    let request = open_request("POST", &host("acme"), "/bookings", "a", "x");
    let bold = request.replacen("X-Account", "X-Tier: house\r\nX-Account", 1);
    assert_eq!(service.client().call(bold).status(), 429);
    assert_eq!(
        service.client().call(open_request("POST", "house.example.org", "/x", "a", "x")).status(),
        200
    );
    // An account that is made is known, and one that is deleted is not.
    hosted.api.make("/v1/tenants/acme/accounts", json!({"name": "hotel 7/ü", "plan": "basic"}));
    hosted.in_force();
    let request = open_request("POST", &host("acme"), "/bookings", "hotel 7/ü", "x");
    assert_eq!(
        service.client().call(request).status(),
        400,
        "a field is ASCII: such an account comes over gRPC only"
    );
    assert_eq!(hosted.api.force("DELETE", "/v1/tenants/acme/accounts/b", "").status, 204);
    until_booked(&service, "acme", "b", 403);
}

#[test]
fn a_plan_lowered_in_the_middle_of_a_window_hands_out_nothing_anew() {
    let hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.tenant("acme", 10.0, json!({}));
    hosted.in_force();
    for _ in 0..6 {
        assert_eq!(book(&service, "acme", "a"), 200);
    }
    // Six are used: of eight, two are left, and of five, none.
    hosted.api.force("PATCH", "/v1/tenants/acme/plans/basic", r#"{"burst": 8}"#);
    hosted.in_force();
    let codes: Vec<u16> = (0..4).map(|_| book(&service, "acme", "a")).collect();
    assert_eq!(codes, [200, 200, 429, 429]);
    hosted.api.force("PATCH", "/v1/tenants/acme/plans/basic", r#"{"burst": 5}"#);
    hosted.in_force();
    assert_eq!(book(&service, "acme", "a"), 429);
    let fresh: Vec<u16> = (0..6).map(|_| book(&service, "acme", "b")).collect();
    assert_eq!(fresh, [200, 200, 200, 200, 200, 429]);
}

#[test]
fn a_tenant_deleted_in_flight_is_answered_and_one_made_anew_inherits_nothing() {
    let hosted = Hosted::start(node(4_000));
    let service = hosted.serve();
    hosted.tenant("acme", 2.0, json!({}));
    hosted.in_force();
    let mut client = service.client();
    client.send(open_request("POST", &host("acme"), "/bookings", "a", "room=4"));
    until("the booking is out", || hosted.node.came().len() == 1);
    // Draining: nothing new, on whatever connection.
    let mut kept = service.client();
    assert_eq!(hosted.api.force("DELETE", "/v1/tenants/acme", "").status, 202);
    hosted.in_force();
    assert_eq!(book(&service, "acme", "b"), 503);
    kept.send(open_request("POST", &host("acme"), "/bookings", "b", "x"));
    assert_eq!(kept.answer().unwrap().status(), 503);
    // Gone, while the booking is still out: it gets its one answer.
    until("it is gone", || hosted.api.get("/v1/tenants/acme").status == 404);
    until_booked(&service, "acme", "a", 404);
    assert_eq!(client.answer().expect("one answer").status(), 200);
    assert_eq!(hosted.node.came().len(), 1);
    // Anew under the name: its quota is whole, although the old one's account had used some of it.
    hosted.tenant("acme", 2.0, json!({}));
    hosted.in_force();
    let calls: Vec<_> = (0..3)
        .map(|_| {
            let address = service.address;
            thread::spawn(move || {
                let request = open_request("POST", &host("acme"), "/bookings", "a", "room=4");
                Client::try_open(address).unwrap().call(request).status()
            })
        })
        .collect();
    let mut codes: Vec<u16> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    codes.sort();
    assert_eq!(codes, [200, 200, 429]);
}

#[test]
fn a_draining_tenant_that_is_restored_goes_on_with_what_it_had() {
    let hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.tenant("acme", 2.0, json!({}));
    hosted.in_force();
    assert_eq!(book(&service, "acme", "a"), 200);
    hosted.api.force("DELETE", "/v1/tenants/acme", "");
    hosted.in_force();
    assert_eq!(book(&service, "acme", "a"), 503);
    assert_eq!(hosted.api.force("POST", "/v1/tenants/acme/restore", "").status, 200);
    hosted.in_force();
    assert_eq!((book(&service, "acme", "a"), book(&service, "acme", "a")), (200, 429));
}

#[test]
fn with_the_control_plane_dead_the_ingress_serves_on_and_starts_anew() {
    let mut hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.tenant("acme", 50.0, json!({}));
    hosted.in_force();
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
    hosted.control = Control::start(&hosted.store, FREE);
    let service = Service::start(&hosted.file(gone));
    assert!(service.log().iter().any(|line| line.contains("not readable")), "{:?}", service.log());
    assert_eq!(book(&service, "acme", "a"), 404);
    drop(service);
    let service = hosted.serve();
    until_booked(&service, "acme", "a", 200);
}

#[test]
fn a_snapshot_that_does_not_fit_leaves_the_old_one_in_force_and_is_told() {
    let hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.tenant("acme", 50.0, json!({}));
    hosted.in_force();
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
    hosted.in_force();
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
    hosted.in_force();
    let route = json!({"name": "house", "host": "house.example.org", "pool": "reservations"});
    hosted.api.make("/v1/tenants/acme/routes", route);
    until("it is told", || state()["reason"].as_str().is_some_and(|reason| reason.contains("same requests")));
    assert_eq!(book(&service, "acme", "a"), 200);
    // Mended, it is taken, and nothing is left of the word.
    assert_eq!(hosted.api.force("DELETE", "/v1/tenants/acme/routes/house", "").status, 204);
    hosted.in_force();
    until("the word is gone", || state()["reason"].is_null());
}

#[test]
fn an_old_store_that_is_put_back_does_not_undo_what_is_in_force() {
    let mut hosted = Hosted::start(node(1));
    let service = hosted.serve();
    hosted.in_force();
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
    hosted.control = Control::start(&hosted.store, &[FREE, &["--listen", &listen]].concat());
    hosted.api = hosted.control.api(&key);
    hosted.tenant("acme", 50.0, json!({}));
    until_booked(&service, "acme", "a", 200);
    hosted.control.kill();
    hosted.control = Control::start(&copy, &[FREE, &["--listen", &listen]].concat());
    hosted.api = hosted.control.api(&key);
    let state = || hosted.api.get("/v1/ingresses").body["items"]["i1"].clone();
    until("it is told", || state()["reason"].as_str().is_some_and(|reason| reason.contains("is older than")));
    assert_eq!(book(&service, "acme", "a"), 200);
}

#[test]
fn a_tenant_at_its_limit_is_refused_and_another_has_its_room() {
    let hosted = Hosted::start(node(800));
    let service = hosted.serve();
    hosted.tenant("acme", 50.0, json!({"limits": {"open_requests": {"guaranteed": 0, "most": 2}}}));
    hosted.tenant("zeta", 50.0, json!({"limits": {"open_requests": {"guaranteed": 3, "most": 0}}}));
    hosted.in_force();
    let address = service.address;
    let call = |tenant: &'static str| {
        thread::spawn(move || {
            let request = open_request("POST", &host(tenant), "/bookings", "a", "room=4");
            Client::try_open(address).unwrap().call(request).status()
        })
    };
    let open: Vec<_> = (0..2).map(|_| call("acme")).collect();
    until("two are out", || hosted.node.came().len() == 2);
    assert_eq!(book(&service, "acme", "b"), 503);
    assert_eq!(book(&service, "zeta", "b"), 200);
    assert!(open.into_iter().all(|call| call.join().unwrap() == 200));
    assert_eq!(book(&service, "acme", "b"), 200);
}

#[test]
fn accounts_of_one_name_are_two_to_an_outside_server_too() {
    let hosted = Hosted::start(node(1));
    let limiter = Limiter::start(violetyoke_standin::any(), 1, Duration::from_secs(3_600)).unwrap();
    let consult = format!(
        "[pool.consult]\naddress = \"{}\"\ndomain = \"partners\"\nwhen_silent = \"refuse\"\n\
         budget_ms = 2000\n[[route]]",
        limiter.address
    );
    let service = Service::start(&hosted.file(hosted.control.address).replacen("[[route]]", &consult, 1));
    hosted.tenant("acme", 50.0, json!({}));
    hosted.tenant("zeta", 50.0, json!({}));
    hosted.in_force();
    let codes = ["acme", "zeta", "acme", "zeta"].map(|tenant| book(&service, tenant, "a"));
    assert_eq!(codes, [200, 200, 429, 429]);
    assert_eq!(limiter.seen()[1].entries, [("account".to_string(), "zeta/a".to_string())]);
}

#[test]
fn a_reload_of_the_file_keeps_tenants_and_a_file_that_does_not_fit_them_is_refused() {
    let hosted = Hosted::start(node(1));
    let mut service = hosted.serve();
    hosted.tenant("acme", 3.0, json!({}));
    hosted.in_force();
    assert_eq!(book(&service, "acme", "a"), 200);
    let text = hosted.file(hosted.control.address);
    service.reload(&text.replace("house.example.org", "home.example.org"));
    assert_eq!(
        (book(&service, "acme", "a"), book(&service, "acme", "a"), book(&service, "acme", "a")),
        (200, 200, 429)
    );
    service.reload_refused(&text.replace("house.example.org", &host("acme")));
    service.reload_refused(&text.replace("\"reservations\"", "\"rooms\""));
    assert_eq!(book(&service, "acme", "b"), 200);
}
