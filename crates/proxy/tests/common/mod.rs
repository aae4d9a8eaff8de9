//! One proxy in virtual time, between registries and backends that do as a test tells them.

#![allow(
    clippy::let_underscore_must_use,
    clippy::needless_pass_by_value,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]
// Each test file uses a part of it.
#![allow(dead_code, unreachable_pub, reason = "each file of tests uses its own part")]

pub mod backends;
pub mod registries;

use backends::Backend;
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use registries::Registry;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::{sleep, timeout};
use violetyoke_api::Settings;
use violetyoke_transport::environment::{install, Disk, Environment, Incoming};
use violetyoke_transport::lifecycle::{Lifecycle, LifecycleSender};
use violetyoke_transport::net;

const FRONT: &str = "10.1.0.9:8089";
const READY: &str = "10.1.0.9:8085";

/// Connections that are there at once; nothing listens elsewhere.
#[derive(Default)]
struct Network {
    listeners: RefCell<HashMap<SocketAddr, UnboundedSender<(DuplexStream, SocketAddr)>>>,
}

impl Environment for Network {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let (ours, theirs) = duplex(64 << 10);
        let from = SocketAddr::from(([10, 1, 0, 9], 10_000));
        let opened = self.listeners.borrow().get(&to).is_some_and(|it| it.send((theirs, from)).is_ok());
        let result = if opened { Ok(ours) } else { Err(io::ErrorKind::ConnectionRefused.into()) };
        async move { result }.boxed_local()
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Incoming> {
        let (opened, taken) = unbounded_channel();
        self.listeners.borrow_mut().insert(at, opened);
        Ok(taken)
    }

    fn disk(&self, _folder: &Path) -> Rc<dyn Disk> {
        unreachable!("a proxy has no disk")
    }
}

/// Runs a test in virtual time.
pub fn play<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    install(Some(Rc::new(Network::default())));
    tokio::task::LocalSet::new().block_on(&runtime, test());
    install(None);
}

pub fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts", "service"],
            "rows": [["search", "rooms.example", "/search/", "idempotent", 2000, 800, 2, "finder"],
                     ["book", "rooms.example", "/book/", "nonidempotent", 2000, 800, 2, "ledger"]]
        },
        "services": {"columns": ["name", "cold-s", "cold-rate-s"], "rows": [["finder", 3, 20], ["ledger", 3, 20]]},
        "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                    "rows": [["kolkheti", ["key-1"], 0, 0], ["svaneti", ["key-2"], 20, 20]]}
    })
}

/// The same with one route more.
pub fn with_route(version: u64, prefix: &str) -> Value {
    let mut configuration = configuration(version);
    let route = json!([prefix, "rooms.example", prefix, "idempotent", 2000, 800, 2, "finder"]);
    configuration["routes"]["rows"].as_array_mut().expect("routes").push(route);
    configuration
}

/// A proxy as it runs.
pub struct Proxy {
    pub words: LifecycleSender,
}

/// Starts a proxy that is told of these seeds.
pub fn start(seeds: &[&Registry]) -> Proxy {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("{}:8083", seed.ip)).collect();
    let text = json!({
        "self": {"node": "edge-1", "ip": "10.1.0.9", "zone": "a", "region": "west", "data-dir": null},
        "network": {"listen": {"front": FRONT, "ready": READY}, "internal-ports": [7460, 7475], "seeds": seeds,
                    "zones": {"a": "west"}},
        "platform": {},
        "terms": {"bounds": {"retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 58, "quota-overshoot": 0.1}}
    });
    let settings = Settings::parse(&text.to_string()).expect("settings");
    let (life, words) = Lifecycle::new(7);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::task::spawn_local(async move { violetyoke_proxy::daemon::run(settings, life, log).await });
    Proxy { words }
}

/// Waits until something holds, in virtual time; whether it did within that time.
pub async fn until(within: Duration, holds: impl Fn() -> bool) -> bool {
    let all = timeout(within, async {
        while !holds() {
            sleep(Duration::from_millis(1)).await;
        }
    });
    all.await.is_ok()
}

/// What a client gets.
#[derive(Debug, PartialEq, Eq)]
pub struct Got {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// One call of a client on a connection of its own; nothing where that ended without an answer.
pub async fn call(to: &str, head: &str, body: &[u8]) -> Option<Got> {
    let mut stream = net::connect(to.parse().expect("an address")).await.ok()?;
    let request = format!("{head}connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all(request.as_bytes()).await.ok()?;
    // A proxy may answer before it has read all.
    let _ = stream.write_all(body).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Got { status, head: head.to_ascii_lowercase(), body: body.to_owned() })
}

/// One request under that attempt's id.
pub async fn send(path: &str, key: &str, id: &str, body: &[u8]) -> Got {
    let method = if path.starts_with("/book/") { "POST" } else { "GET" };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 1500\r\n\
         x-credential: {key}\r\n"
    );
    call(FRONT, &head, body).await.expect("an answer")
}

pub async fn ready() -> bool {
    let got = call(READY, "GET /api/readiness HTTP/1.1\r\nhost: edge\r\n", b"").await;
    got.is_some_and(|got| got.status == 200)
}

/// Waits until the proxy is ready; whether it was within that time.
pub async fn ready_within(within: Duration) -> bool {
    let all = timeout(within, async {
        while !ready().await {
            sleep(Duration::from_millis(10)).await;
        }
    });
    all.await.is_ok()
}

/// A proxy that is ready, with one registry and these backends.
pub async fn stage(backends: &[&Backend]) -> (Proxy, Registry) {
    let registry = Registry::start(1);
    registry.knows(1, configuration(1), backends);
    registry.members(1, &[&registry], true);
    let proxy = start(&[&registry]);
    assert!(ready_within(Duration::from_secs(5)).await);
    (proxy, registry)
}
