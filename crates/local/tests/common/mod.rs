//! A whole system for one test: three core machines, four edges, stand-in backends, list and operator.

#![allow(clippy::needless_pass_by_value, reason = "not yet revised for readers: see docs/ROADMAP.md")]
// Each test file uses a part of it.
#![allow(dead_code, unreachable_pub, reason = "each file of tests uses its own part")]

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use violetyoke_local::backends::Backend;
use violetyoke_local::calls::{call, order};
use violetyoke_local::machines::{Plan, System};
use violetyoke_local::platform::Platform;
use violetyoke_rig::driven::Driven;
use violetyoke_rig::until;
use violetyoke_standin::http::Http;

pub const LONG: Duration = Duration::from_secs(20);
pub const REPLACE: &str = "/api/rpc?call=configuration.replace";
pub const READ: &str = "/api/rpc?call=configuration.read";

pub struct Stage {
    pub system: System,
    pub platform: Platform,
    pub finders: Vec<Backend>,
    pub ledgers: Vec<Backend>,
    pub driven: Driven,
    pub next: u32,
    /// How long clients say that they wait.
    pub waits_ms: u32,
}

pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts",
                        "home-regions", "service"],
            "rows": [["search", "rooms.example", "/search/", "idempotent", 2000, 800, 2, [], "finder"],
                     ["book", "rooms.example", "/book/", "nonidempotent", 2000, 800, 2, ["west"], "ledger"]]
        },
        "services": {"columns": ["name", "cold-s", "cold-rate-s"], "rows": [["finder", 3, 20], ["ledger", 3, 20]]},
        "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                    "rows": [["kolkheti", ["key-1"], 0, 0], ["svaneti", ["key-2"], 20, 20]]}
    })
}

pub fn stage() -> Stage {
    let driven = Driven::start().expect("a runtime");
    let platform = Platform::start(driven.handle()).expect("a platform");
    let start = |service: &str, n: usize| {
        let zone = ["a", "b"][n % 2];
        let id = format!("{service}-{n}");
        let backend = Backend::start(driven.handle(), &id, service, zone, Duration::from_millis(10))
            .expect("a backend");
        platform.set(&id, Some(backend.line()));
        backend
    };
    let finders: Vec<Backend> = (0..4).map(|n| start("finder", n)).collect();
    let ledgers: Vec<Backend> = (0..2).map(|n| start("ledger", n * 2)).collect();
    let plan = Plan {
        cores: &[("a", "west"), ("a", "west"), ("c", "west")],
        edges: &[("a", "west"), ("c", "west"), ("b", "east"), ("b", "east")],
        platform: platform.address,
        tolerance: 1,
    };
    let system =
        System::start(Path::new(env!("CARGO_BIN_EXE_violetyoke-local")), &plan).expect("the processes");
    let stage = Stage { system, platform, finders, ledgers, driven, next: 0, waits_ms: 1_500 };
    stage.put(configuration(1));
    stage.all_ready();
    stage
}

impl Stage {
    pub fn put(&self, configuration: Value) {
        let text = configuration.to_string();
        let answer = order(&self.system.controls(), REPLACE, text.as_bytes()).expect("a clear answer");
        assert_eq!(answer.status(), 200, "{}", String::from_utf8_lossy(&answer.body));
    }

    pub fn all_ready(&self) {
        let edges = self.system.edges.iter();
        let ready =
            |to: SocketAddr| call(to, "GET", "/api/readiness", &[], b"").map(|it| it.status()) == Some(200);
        for edge in edges {
            assert!(
                until(LONG, || ready(edge.ready)),
                "{} is not ready: {:?}",
                edge.name,
                edge.proxy.lines()
            );
        }
    }

    /// One request to one edge, under an id of its own.
    pub fn send(&mut self, edge: usize, target: &str, key: &str, body: &[u8]) -> (String, Option<Http>) {
        self.next += 1;
        let id = format!("try-{}", self.next);
        let waits = self.waits_ms.to_string();
        let fields = [
            ("host", "rooms.example"),
            ("x-attempt-id", &id),
            ("x-deadline-ms", waits.as_str()),
            ("x-credential", key),
        ];
        let method = if body.is_empty() { "GET" } else { "POST" };
        (id.clone(), call(self.system.edges[edge].front, method, target, &fields, body))
    }

    pub fn status(&mut self, edge: usize, target: &str, key: &str, body: &[u8]) -> u16 {
        self.send(edge, target, key, body).1.map_or(0, |answer| answer.status())
    }

    pub fn version(&self) -> u64 {
        let answer = order(&self.system.controls(), READ, b"").expect("a clear answer");
        let held: Value = serde_json::from_slice(&answer.body).expect("a configuration");
        held["version"].as_u64().expect("a version")
    }
}
