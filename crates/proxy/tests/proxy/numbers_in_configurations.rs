//! Numbers in configurations that are out of any range. Stores may have such a configuration in force: an earlier build
//! acknowledged it.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::KeepAliveConnection;
use crate::support::{configuration, run_in_virtual_time, start_ready_proxy_with};

/// Serves two requests under a configuration with one limit replaced.
async fn serve_with_limit(field: &str, number: f64) {
    let mut configuration = configuration(1);
    configuration["limits"] = serde_json::json!({
        "max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000, "idle-timeout-ms": 15000
    });
    configuration["limits"][field] = serde_json::json!(number);
    let finder = Backend::finder(Behavior::respond_ok("found"));
    let _proxy = start_ready_proxy_with(&configuration, &[&finder]).await;
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
