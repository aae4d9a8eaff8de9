//! An operator that replaces the configuration repeatedly, and reads it back after each acknowledgement.

use crate::client::send_command;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const REPLACE: &str = "/api/rpc?call=configuration.replace";
const READ: &str = "/api/rpc?call=configuration.read";
const PAUSE: Duration = Duration::from_millis(200);
/// Number of versions whose routes are in force at once, so that an acknowledged version can still be probed after
/// the next one.
const ROUTES: u64 = 60;

/// The path of the service that has backends only in one zone.
pub(super) const ANNEX: &str = "/annex/";

/// The path that only configurations from `version` on serve.
pub(super) fn path_of(version: u64) -> String {
    format!("/versions/{version}/")
}

/// The rate limit (requests per second) and the burst of the tenant with a limit.
const LIMIT: (f64, f64) = (20.0, 20.0);
/// What the settings allow beyond the limit: the fraction `quota-overshoot`, and `quota-slack` requests.
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;

/// Maximum number of requests of the tenant with a limit that may be served in a time.
pub(super) fn allowed(elapsed: Duration) -> f64 {
    let (rate, burst) = LIMIT;
    (1.0 + OVERSHOOT) * (rate * elapsed.as_secs_f64() + burst) + SLACK
}

fn configuration(version: u64) -> Value {
    let columns =
        ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts", "service"];
    let mut routes = vec![
        json!(["search", "rooms.example", "/search/", "idempotent", 2000, 800, 2, "finder"]),
        json!(["annex", "rooms.example", ANNEX, "idempotent", 2000, 800, 2, "annex"]),
        json!(["book", "rooms.example", "/book/", "nonidempotent", 2000, 800, 2, "ledger"]),
    ];
    routes.extend((version.saturating_sub(ROUTES) + 1..=version).map(|version| {
        let (name, path) = (format!("version-{version}"), path_of(version));
        json!([name, "rooms.example", path, "idempotent", 2000, 800, 2, "finder"])
    }));
    json!({
        "version": version,
        "routes": {"columns": columns, "rows": routes},
        "services": {"columns": ["name", "cold-s", "cold-rate-s"], "rows": [["finder", 0, 0], ["ledger", 0, 0], ["annex", 0, 0]]},
        "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                    "rows": [["unlimited", ["key-1"], 0, 0], ["limited", ["key-2"], LIMIT.0, LIMIT.1]]}
    })
}

/// The results of commands and reads.
#[derive(Clone, Debug, Default)]
pub(super) struct Orders {
    /// The newest version that was acknowledged.
    pub(super) newest: u64,
    /// The time from sending each command to its acknowledgement.
    pub(super) acknowledged: Vec<Duration>,
    pub(super) reads: usize,
    /// Commands and reads with a wrong response or none.
    pub(super) faults: Vec<String>,
}

impl Orders {
    /// The results since an earlier call, whose results are `before`.
    pub(super) fn since(&self, before: &Orders) -> Orders {
        Orders {
            newest: self.newest,
            acknowledged: self.acknowledged[before.acknowledged.len()..].to_vec(),
            reads: self.reads - before.reads,
            faults: self.faults[before.faults.len()..].to_vec(),
        }
    }

    pub(super) fn slowest(&self) -> Duration {
        self.acknowledged.iter().copied().max().unwrap_or_default()
    }
}

/// An operator on its own thread, until it is finished or dropped.
pub(super) struct Operator {
    orders: Arc<Mutex<Orders>>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

fn lock(orders: &Mutex<Orders>) -> MutexGuard<'_, Orders> {
    orders.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Operator {
    /// Starts the operator once the first configuration is acknowledged.
    ///
    /// If it is not acknowledged within the 20 s for which a command is repeated.
    pub(super) fn start(controls: Vec<SocketAddr>) -> io::Result<Operator> {
        let mut work = Work { controls, version: 0, texts: BTreeMap::new(), orders: Arc::default() };
        let orders = work.orders.clone();
        work.replace();
        if let Some(fault) = lock(&orders).faults.first() {
            return Err(io::Error::other(fault.clone()));
        }
        let stopped = Arc::new(AtomicBool::new(false));
        let until = stopped.clone();
        let thread = std::thread::Builder::new().name("operator".into()).spawn(move || {
            while !until.load(Ordering::Relaxed) {
                work.replace();
                work.read();
                std::thread::sleep(PAUSE);
            }
        })?;
        Ok(Operator { orders, stopped, thread: Some(thread) })
    }

    pub(super) fn orders(&self) -> Orders {
        lock(&self.orders).clone()
    }

    /// Waits for the last command to end.
    pub(super) fn finish(mut self) -> Orders {
        self.stop();
        self.orders()
    }

    fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            if thread.join().is_err() {
                lock(&self.orders).faults.push("the operator panicked".into());
            }
        }
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Work {
    controls: Vec<SocketAddr>,
    version: u64,
    /// The text that was sent under each version.
    texts: BTreeMap<u64, String>,
    orders: Arc<Mutex<Orders>>,
}

impl Work {
    /// The registries, starting with another one on each call.
    fn rotate(&mut self) -> &[SocketAddr] {
        self.controls.rotate_left(1);
        &self.controls
    }

    fn replace(&mut self) {
        self.version += 1;
        let (version, text) = (self.version, configuration(self.version).to_string());
        self.texts.insert(version, text.clone());
        let started = Instant::now();
        let status = send_command(self.rotate(), REPLACE, text.as_bytes()).map(|answer| answer.status());
        let mut orders = lock(&self.orders);
        match status {
            Some(200) => {
                orders.acknowledged.push(started.elapsed());
                orders.newest = version;
            }
            other => orders.faults.push(format!("version {version} was answered {other:?}")),
        }
    }

    fn read(&mut self) {
        let newest = lock(&self.orders).newest;
        let answer = send_command(self.rotate(), READ, b"");
        let text =
            answer.filter(|it| it.status() == 200).map(|it| String::from_utf8_lossy(&it.body).into_owned());
        let fault = match text {
            None => Some(format!("no read after version {newest}")),
            Some(text) => self.fault_of(newest, &text),
        };
        let mut orders = lock(&self.orders);
        orders.reads += 1;
        orders.faults.extend(fault);
    }

    /// The fault of a read that returns neither the text of the newest acknowledged version nor that of a newer one.
    fn fault_of(&self, newest: u64, text: &str) -> Option<String> {
        let value: Value = serde_json::from_str(text).unwrap_or_default();
        match value["version"].as_u64() {
            Some(version) if version < newest => Some(format!("version {version} was read after {newest}")),
            Some(version) if self.texts.get(&version).map(String::as_str) != Some(text) => {
                Some(format!("version {version} was read with another text"))
            }
            Some(_) => None,
            None => Some(format!("no configuration was read after version {newest}")),
        }
    }
}
