//! Runs a proxy in virtual time with a test configuration.

pub(crate) mod backends;
pub(crate) mod client;
mod http;
pub(crate) mod network;
pub(crate) mod operations;
pub(crate) mod registries;
mod registry_script;

use backends::Backend;
use network::{delay_connections, InMemoryNetwork};
use registries::Registry;
use serde_json::{json, Value};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use violetyoke_api::Settings;
use violetyoke_transport::environment::install;
use violetyoke_transport::lifecycle::{Lifecycle, LifecycleSender};
use violetyoke_transport::panic_count::observe;

pub(crate) const FRONT_ADDRESS: &str = "10.1.0.9:8089";
pub(crate) const READINESS_ADDRESS: &str = "10.1.0.9:8085";

/// Runs a test in virtual time and with an in-memory network. Fails if any task panics: the process would have ended.
pub(crate) fn run_in_virtual_time<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    install(Some(Rc::new(InMemoryNetwork::default())));
    delay_connections(Duration::ZERO);
    let ended = observe(|| tokio::task::LocalSet::new().block_on(&runtime, test()));
    install(None);
    ended.expect("a test, and tasks, that don't panic");
}

/// Two routes (`/search/` to the service `finder`, `/book/` to `ledger`) and two tenants: `key-1` without a limit,
/// `key-2` with 20 requests a second.
pub(crate) fn configuration(version: u64) -> Value {
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

/// [`configuration`] with an additional keyed route, `/commit/` to the service `ledger`, whose requests need
/// an operation key.
pub(crate) fn configuration_with_keyed_route(version: u64) -> Value {
    let mut configuration = configuration(version);
    let route = json!(["commit", "rooms.example", "/commit/", "keyed", 2000, 800, 2, "ledger"]);
    configuration["routes"]["rows"].as_array_mut().expect("routes").push(route);
    configuration
}

/// [`configuration_with_keyed_route`] with home regions for the tenant of `key-1`. The proxy is in `west`.
pub(crate) fn configuration_with_tenant_homes(version: u64, homes: &[&str]) -> Value {
    let mut configuration = configuration_with_keyed_route(version);
    let tenants = &mut configuration["tenants"];
    tenants["columns"].as_array_mut().expect("columns").push(json!("home-regions"));
    for (row, homes) in tenants["rows"].as_array_mut().expect("rows").iter_mut().zip([homes, &[]]) {
        row.as_array_mut().expect("a row").push(json!(homes));
    }
    configuration
}

/// [`configuration`] with `east` as the home region of bookings. The proxy is in `west`.
pub(crate) fn configuration_with_distant_home(version: u64) -> Value {
    let mut configuration = configuration(version);
    let routes = &mut configuration["routes"];
    routes["columns"].as_array_mut().expect("columns").push(json!("home-regions"));
    for (row, homes) in routes["rows"].as_array_mut().expect("rows").iter_mut().zip([vec![], vec!["east"]]) {
        row.as_array_mut().expect("a row").push(json!(homes));
    }
    configuration
}

/// [`configuration`] with an additional route for `prefix`.
pub(crate) fn configuration_with_route(version: u64, prefix: &str) -> Value {
    let mut configuration = configuration(version);
    let route = json!([prefix, "rooms.example", prefix, "idempotent", 2000, 800, 2, "finder"]);
    configuration["routes"]["rows"].as_array_mut().expect("routes").push(route);
    configuration
}

/// A running proxy. Dropping the handle shuts it down.
#[must_use]
pub(crate) struct RunningProxy {
    lifecycle: LifecycleSender,
}

impl RunningProxy {
    /// Starts a graceful shutdown, as SIGTERM does.
    pub(crate) fn shut_down(&self) {
        self.lifecycle.shutdown.send(()).expect("a running proxy");
    }
}

/// The numbers in the operators' requirements, as the settings of [`start_proxy`] have them.
pub(crate) fn usual_bounds() -> Value {
    json!({"retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 58, "quota-overshoot": 0.1})
}

/// Starts a proxy with these registries as its seeds.
pub(crate) fn start_proxy(seeds: &[&Registry]) -> RunningProxy {
    start_proxy_with(seeds, &json!({}), &usual_bounds())
}

/// [`start_proxy`] with other settings in `platform` and `terms.bounds`.
pub(crate) fn start_proxy_with(seeds: &[&Registry], platform: &Value, bounds: &Value) -> RunningProxy {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("{}:8083", seed.ip)).collect();
    let text = json!({
        "self": {"node": "edge-1", "ip": "10.1.0.9", "zone": "a", "region": "west", "data-dir": null},
        "network": {"listen": {"front": FRONT_ADDRESS, "ready": READINESS_ADDRESS}, "internal-ports": [7460, 7475],
                    "seeds": seeds, "zones": {"a": "west", "b": "east"}},
        "platform": platform,
        "terms": {"bounds": bounds}
    });
    let settings = Settings::parse(&text.to_string()).expect("settings");
    let (lifecycle, sender) = Lifecycle::new(7);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    tokio::task::spawn_local(async move {
        // Dropping the set ends the proxy's tasks, as the end of a process would.
        let tasks = tokio::task::LocalSet::new();
        tasks.run_until(violetyoke_proxy::daemon::run(settings, lifecycle, log)).await
    });
    RunningProxy { lifecycle: sender }
}

/// Starts a proxy with one registry and these backends, and waits until the proxy is ready.
pub(crate) async fn start_ready_proxy(backends: &[&Backend]) -> (RunningProxy, Registry) {
    start_ready_proxy_with(&configuration(1), backends).await
}

/// [`start_ready_proxy`] with another configuration.
pub(crate) async fn start_ready_proxy_with(
    configuration: &Value,
    backends: &[&Backend],
) -> (RunningProxy, Registry) {
    let registry = Registry::start(1);
    registry.set_state(1, configuration, backends);
    registry.set_membership(1, &[&registry], true);
    let proxy = start_proxy(&[&registry]);
    assert!(client::is_ready_within(Duration::from_secs(5)).await);
    (proxy, registry)
}

/// Waits in virtual time until a condition is met. Returns whether that was within `max_wait`.
pub(crate) async fn wait_until(max_wait: Duration, is_met: impl Fn() -> bool) -> bool {
    let met = timeout(max_wait, async {
        while !is_met() {
            sleep(Duration::from_millis(1)).await;
        }
    });
    met.await.is_ok()
}
