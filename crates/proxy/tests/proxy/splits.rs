//! Routes that split their requests over several services by weight.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::send;
use crate::support::registries::Registry;
use crate::support::{configuration, run_in_virtual_time, start_ready_proxy_with, RunningProxy};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::sleep;
use violetyoke_api::Configuration;
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{Epoch, ProxyReply, Revision};

/// The configuration with searches split over `finder` and `ledger`.
fn split(version: u64, finder: u64, ledger: u64) -> Value {
    let mut configuration = configuration(version);
    let routes = &mut configuration["routes"];
    routes["columns"].as_array_mut().expect("columns").push(json!("split"));
    let parts = json!([{"service": "finder", "weight": finder}, {"service": "ledger", "weight": ledger}]);
    for (row, split) in routes["rows"].as_array_mut().expect("rows").iter_mut().zip([parts, Value::Null]) {
        row.as_array_mut().expect("a row").push(split);
    }
    configuration
}

async fn start(configuration: &Value) -> (RunningProxy, Registry, [Backend; 2]) {
    let backends =
        [Backend::finder(Behavior::respond_ok("found")), Backend::ledger(2, Behavior::respond_ok("found"))];
    let (proxy, registry) = start_ready_proxy_with(configuration, &[&backends[0], &backends[1]]).await;
    (proxy, registry, backends)
}

fn full_state(sequence: u64, configuration: &Value) -> ProxyReply {
    let configuration = Configuration::parse(configuration.to_string().as_bytes()).expect("valid");
    ProxyReply::FullState {
        revision: Revision { epoch: Epoch(1), sequence },
        evacuated: BTreeSet::new(),
        configuration: Compressed::encode(&configuration).expect("encoded"),
    }
}

async fn search(from: usize, count: usize) {
    for n in from..from + count {
        assert_eq!(send("/search/1", "key-1", &format!("try-{n}"), b"").await.status, 200);
    }
}

#[test]
fn shares_of_few_requests_match_the_weights() {
    run_in_virtual_time(|| async {
        let (_proxy, _registry, [finder, ledger]) = start(&split(1, 90, 10)).await;
        for requests in [20, 50, 100, 300] {
            let before = ledger.received().len();
            search(finder.received().len() + before, requests).await;
            let actual = ledger.received().len() - before;
            // With independent random numbers, one of three runs with 300 requests would exceed this
            // difference.
            let expected = requests as f64 / 10.0;
            assert!(
                (actual as f64 - expected).abs() <= 2.0,
                "{actual} of {requests} requests, expected {expected}"
            );
        }
    });
}

#[test]
fn shares_follow_new_weights_right_after_a_change() {
    run_in_virtual_time(|| async {
        let (_proxy, registry, [finder, ledger]) = start(&split(1, 90, 10)).await;
        search(0, 33).await;
        registry.send(&full_state(2, &split(2, 25, 75)));
        sleep(Duration::from_millis(200)).await;
        let before = [finder.received().len(), ledger.received().len()];
        search(100, 40).await;
        let actual = [finder.received().len() - before[0], ledger.received().len() - before[1]];
        assert!((9..=11).contains(&actual[0]) && (29..=31).contains(&actual[1]), "{actual:?}");
    });
}

#[test]
fn service_with_zero_weight_gets_no_requests() {
    run_in_virtual_time(|| async {
        let (_proxy, _registry, [_, ledger]) = start(&split(1, 1, 0)).await;
        search(0, 40).await;
        assert_eq!(ledger.received(), []);
    });
}
