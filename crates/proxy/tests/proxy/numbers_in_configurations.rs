//! Numbers in configurations and settings that are out of any range. Stores may have such a configuration in force: an earlier
//! build acknowledged it.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::{is_ready_within, KeepAliveConnection};
use crate::support::registries::Registry;
use crate::support::{configuration, run_in_virtual_time, start_proxy, start_proxy_with, RunningProxy};
use proptest::prelude::*;
use serde_json::{json, Value};
use std::time::Duration;

/// Each case starts a proxy.
const CASES: u32 = 48;

/// Any number of a JSON document: usual ones, those at the edges of types, and any other.
fn any_number() -> impl Strategy<Value = f64> {
    let edges = [-1.0, 0.0, -0.5, 1e-300, 1e9, 1e18, 1e19, 1e22, 1e300, f64::MAX, f64::MIN, u64::MAX as f64];
    prop_oneof![
        proptest::sample::select(edges.to_vec()),
        any::<f64>().prop_filter("JSON", |it| it.is_finite())
    ]
}

/// Starts a proxy under a configuration that need not be valid, and waits until the proxy is ready.
async fn start_under(configuration: &Value, finder: &Backend) -> (RunningProxy, Registry) {
    let registry = Registry::start(1);
    registry.set_accepted_state(1, configuration, &[finder]);
    registry.set_membership(1, &[&registry], true);
    let proxy = start_proxy(&[&registry]);
    assert!(is_ready_within(Duration::from_secs(5)).await, "{configuration}");
    (proxy, registry)
}

/// Sends two requests on one connection and checks that the proxy accepts connections afterwards. Whether the requests are
/// served depends on the numbers.
async fn check_that_the_proxy_survives(described: &Value) {
    for n in 0..2 {
        let mut connection = KeepAliveConnection::open().await;
        connection.send("/search/1", &format!("try-{n}")).await;
        connection.read_status().await;
    }
    assert!(is_ready_within(Duration::from_secs(1)).await, "{described}");
}

/// Serves two requests under a configuration with one limit replaced.
async fn serve_with_limit(field: &str, number: f64) {
    let mut configuration = configuration(1);
    configuration["limits"] = json!({
        "max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000, "idle-timeout-ms": 15000
    });
    configuration["limits"][field] = json!(number);
    let finder = Backend::finder(Behavior::respond_ok("found"));
    let _proxy = start_under(&configuration, &finder).await;
    let mut connection = KeepAliveConnection::open().await;
    for n in 0..2 {
        connection.send("/search/1", &format!("try-{n}")).await;
        assert_eq!(connection.read_status().await, Some(200), "{field} {number}, request {n}");
    }
}

// Guards against proxies that end at each connection of a client, because a limit is no duration
// (docs/incidents/limit-below-zero.md).
#[test]
fn limits_of_any_size_end_no_proxy() {
    let fields = ["max-header-bytes", "max-body-bytes", "header-timeout-ms", "idle-timeout-ms"];
    for field in fields {
        for number in [-1.0, -1e300, 1e19, 1e22, 1e300, f64::MAX] {
            run_in_virtual_time(|| serve_with_limit(field, number));
        }
    }
}

/// A configuration with these numbers in its routes, services, tenants and limits.
fn configuration_with(numbers: &[f64]) -> Value {
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "split", "service"],
            "rows": [["search", "rooms.example", "/search/", "idempotent", numbers[0], numbers[1],
                      [{"service": "finder", "weight": numbers[2]}, {"service": "finder", "weight": 1}], "finder"]]
        },
        "services": {"columns": ["name", "cold-s", "cold-rate-s", "max-conns"],
                     "rows": [["finder", numbers[3], numbers[4], numbers[5]]]},
        "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                    "rows": [["kolkheti", ["key-1"], numbers[6], numbers[7]]]},
        "limits": {"max-header-bytes": numbers[8], "max-body-bytes": numbers[9],
                   "header-timeout-ms": numbers[10], "idle-timeout-ms": numbers[11]}
    })
}

/// The numbers of [`configuration_with`].
const CONFIGURATION_NUMBERS: usize = 12;
/// The times and factors in the settings.
const BOUNDS: [&str; 8] = [
    "drain-ms",
    "grace-s",
    "retry-ratio",
    "retry-window-s",
    "retry-slack",
    "dedup-window-s",
    "quota-window-s",
    "quota-overshoot",
];

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a number of a configuration that ends the proxies which install it, or serve by it.
    #[test]
    fn configuration_with_any_numbers_ends_no_proxy(
        numbers in proptest::collection::vec(any_number(), CONFIGURATION_NUMBERS),
    ) {
        let configuration = configuration_with(&numbers);
        run_in_virtual_time(|| async {
            let finder = Backend::finder(Behavior::respond_ok("found"));
            let _proxy = start_under(&configuration, &finder).await;
            check_that_the_proxy_survives(&configuration).await;
        });
    }

    // Guards against a number of the settings that ends the process at its start, while it serves, or while it drains.
    #[test]
    fn settings_with_any_numbers_end_no_proxy(
        numbers in proptest::collection::vec(any_number(), BOUNDS.len()),
        lag_ms in any_number().prop_map(f64::abs),
    ) {
        let bounds: serde_json::Map<String, Value> =
            BOUNDS.iter().zip(&numbers).map(|(name, number)| ((*name).to_owned(), json!(number))).collect();
        let platform = json!({"cloud-api": {"address": "10.201.0.1:8082", "lag-ms": lag_ms}});
        run_in_virtual_time(|| async {
            let finder = Backend::finder(Behavior::respond_ok("found"));
            let registry = Registry::start(1);
            registry.set_state(1, &configuration(1), &[&finder]);
            registry.set_membership(1, &[&registry], true);
            let proxy = start_proxy_with(&[&registry], &platform, &Value::Object(bounds.clone()));
            assert!(is_ready_within(Duration::from_secs(5)).await, "{bounds:?}");
            check_that_the_proxy_survives(&json!(bounds)).await;
            proxy.shut_down();
            let mut late = KeepAliveConnection::open().await;
            late.send("/search/1", "late").await;
            assert_eq!(late.read_status().await, Some(200), "{bounds:?}");
        });
    }
}
