//! Which registry a claim is sent to, and to which one next if the first does not decide.

use crate::support::backends::Backend;
use crate::support::client::{send_commit, start_commit};
use crate::support::operations::{claims, start_keyed, OperationBehavior, Stores, KEY};
use crate::support::registries::Registry;
use crate::support::{configuration_with_keyed_route, run_in_virtual_time, wait_until, RunningProxy};
use std::time::Duration;
use tokio::time::sleep;
use violetyoke_transport::messages::ClaimHolder;

/// The time within which a proxy connects to a registry again.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(2);

fn holders(registry: &Registry) -> Vec<ClaimHolder> {
    claims(registry).into_iter().map(|(_, holder)| holder).collect()
}

/// Starts a proxy that is connected to two registries.
async fn start_with_two_registries(ledger: &Backend) -> (RunningProxy, [Registry; 2], Stores) {
    let (proxy, first, stores) = start_keyed(&[ledger]).await;
    let second = Registry::start(2);
    second.set_state(1, &configuration_with_keyed_route(1), &[ledger]);
    second.set_stores(&stores);
    for registry in [&first, &second] {
        registry.set_membership(1, &[&first, &second], true);
    }
    first.send_membership();
    assert!(wait_until(RECONNECT_TIMEOUT, || second.is_connected()).await);
    sleep(Duration::from_secs(1)).await;
    (proxy, [first, second], stores)
}

/// Sends a claim to one of two registries, which does not reply, then calls `fail` with that registry. Checks that the same
/// claim is sent to the other registry within the given time, and the next claim too.
fn assert_claim_is_resent(within: Duration, fail: impl Fn(&Registry)) {
    run_in_virtual_time(|| async move {
        let ledger = Backend::booking_ledger();
        let (_proxy, [first, second], _stores) = start_with_two_registries(&ledger).await;
        for registry in [&first, &second] {
            registry.set_operation_behavior(OperationBehavior::Hang);
        }

        let started = start_commit("key-1", "a", KEY).await;
        sleep(Duration::from_millis(5)).await;
        let (failing, other) = if claims(&first).is_empty() { (second, first) } else { (first, second) };
        assert_eq!((claims(&failing).len(), claims(&other).len()), (1, 0));
        other.set_operation_behavior(OperationBehavior::Decide);
        fail(&failing);

        assert!(wait_until(within, || !claims(&other).is_empty()).await);
        assert_eq!(started.wait().await.map(|response| response.status), Some(201));
        assert_eq!(holders(&other), holders(&failing));
        // The registry that did not reply is suspected, and claims are sent to the other one first.
        assert_eq!(send_commit("key-1", "b", "x-operation-key: k-2\r\n").await.status, 201);
        assert_eq!((claims(&failing).len(), ledger.received().len()), (1, 2));
    });
}

/// Guards against a claim that is lost when its registry disconnects, and against a resent claim with a new holder, which
/// would conflict with the first one.
#[test]
fn claim_whose_registry_disconnects_is_sent_to_another_one_with_the_same_holder() {
    assert_claim_is_resent(Duration::from_millis(50), Registry::disconnect_all);
}

/// Guards against requests that all wait for a registry whose process is stopped.
#[test]
fn claim_whose_registry_does_not_reply_is_sent_to_another_one_with_the_same_holder() {
    assert_claim_is_resent(Duration::from_millis(190), |_| ());
}

/// Guards against a hop between machines for each claim and each report, and against a hint at the leading store that is
/// still used after its registry was lost.
#[test]
fn claims_go_to_the_registry_beside_the_leading_store_until_it_is_lost() {
    run_in_virtual_time(|| async {
        let ledger = Backend::booking_ledger();
        let (_proxy, [first, second], _stores) = start_with_two_registries(&ledger).await;
        assert_eq!(send_commit("key-1", "a", KEY).await.status, 201);
        let (default, beside) = if claims(&first).is_empty() { (second, first) } else { (first, second) };
        assert_eq!(claims(&beside), []);
        default.set_leader(Some(beside.ip));
        beside.set_leader(Some(beside.ip));

        let mut received = Vec::new();
        for number in 2..5 {
            let key = format!("x-operation-key: k-{number}\r\n");
            assert_eq!(send_commit("key-1", "b", &key).await.status, 201);
            sleep(Duration::from_millis(100)).await;
            received.push((claims(&default).len(), claims(&beside).len(), beside.operations().len()));
        }
        assert_eq!(
            received,
            [(2, 0, 1), (2, 1, 3), (2, 2, 5)],
            "after the first hint, all claims and reports go to the registry beside the leading store"
        );

        default.set_leader(None);
        beside.disconnect_all();
        sleep(RECONNECT_TIMEOUT).await;
        assert!(beside.is_connected());
        assert_eq!(send_commit("key-1", "c", "x-operation-key: k-5\r\n").await.status, 201);
        assert_eq!((claims(&default).len(), claims(&beside).len()), (3, 2));
    });
}
