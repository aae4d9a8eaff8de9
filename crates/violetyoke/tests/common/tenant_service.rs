//! A service with tenants: a control plane, an ingress and a node.

use super::control::{Api, Control, StoreFile};
use super::{service_request, until, Service};
use serde_json::{json, Value};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetyoke_standin::node::{Node, Shape};

/// Options of a control plane without effective rate limits, where a tenant drains for 2 s.
pub const UNLIMITED: &[&str] = &["--rate", "1000000", "--burst", "1000000", "--drain-ms", "2000"];

pub fn node(milliseconds: u64) -> Node {
    let shape = Shape { service: Duration::from_millis(milliseconds), workers: 16, ..Shape::default() };
    Node::start(violetyoke_standin::any_port(), "n", shape).unwrap()
}

/// A control plane with a key for an ingress, the files of both, and a node.
pub struct TenantService {
    pub store: StoreFile,
    pub control: Control,
    pub api: Api,
    key_file: PathBuf,
    pub last_good: PathBuf,
    pub node: Node,
}

impl TenantService {
    pub fn start(node: Node) -> TenantService {
        let store = StoreFile::new();
        let control = Control::start(&store, UNLIMITED);
        let api = control.operator();
        let created = api.create("/v1/keys", json!({"role": "ingress"}));
        let file_beside = |suffix: &str| PathBuf::from(format!("{}{suffix}", store.0.display()));
        let (key_file, last_good) = (file_beside(".key"), file_beside(".last"));
        fs::write(&key_file, created["key"].as_str().unwrap()).unwrap();
        TenantService { control, api, key_file, last_good, node, store }
    }

    /// The configuration file of the ingress, with a control plane at this address.
    pub fn file(&self, control: SocketAddr) -> String {
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

    /// Starts an ingress.
    pub fn serve(&self) -> Service {
        Service::start(&self.file(self.control.address))
    }

    /// Creates a tenant with one plan of this burst, and accounts `a` and `b`.
    pub fn tenant(&self, name: &str, burst: f64, fields: &Value) -> Value {
        let mut body = json!({"name": name, "hosts": [host(name)], "pools": ["reservations"]});
        body.as_object_mut().unwrap().extend(fields.as_object().unwrap().clone());
        let created = self.api.create("/v1/tenants", body);
        let path = format!("/v1/tenants/{name}");
        self.api.create(&format!("{path}/plans"), json!({"name": "basic", "rate": 0.01, "burst": burst}));
        for account in ["a", "b"] {
            self.api.create(&format!("{path}/accounts"), json!({"name": account, "plan": "basic"}));
        }
        let route = json!({"name": "all", "host": host(name), "pool": "reservations"});
        self.api.create(&format!("{path}/routes"), route);
        created
    }

    /// Waits until the current revision of the store is in force at the ingress.
    pub fn wait_until_in_force(&self) {
        let revision = self.api.get("/v1/ingresses").body["revision"].clone();
        let is_in_force =
            || self.api.get("/v1/ingresses").body["items"]["i1"]["held"].as_u64() >= revision.as_u64();
        until("the revision is in force", is_in_force);
    }
}

impl Drop for TenantService {
    fn drop(&mut self) {
        // Some tests have removed a file or never created it.
        for file in [&self.key_file, &self.last_good, &self.store.0] {
            drop(fs::remove_file(file));
        }
    }
}

pub fn host(tenant: &str) -> String {
    format!("{tenant}.example.org")
}

pub fn book(service: &Service, tenant: &str, account: &str) -> u16 {
    service.client().call(service_request("POST", &host(tenant), "/bookings", account, "room=4")).status()
}

pub fn wait_for_booking_status(service: &Service, tenant: &str, account: &str, status: u16) {
    until("the booking gets the status", || book(service, tenant, account) == status);
}
