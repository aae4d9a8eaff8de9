//! How operations end: each end is reported, and nothing that may have been executed is executed again.

use crate::support::backends::{ok_response, raw_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::{send_commit, start_commit};
use crate::support::network::delay_connections;
use crate::support::operations::{claims, start_keyed, OperationBehavior, Record, Stores, KEY};
use crate::support::{
    configuration_with_tenant_homes, run_in_virtual_time, start_ready_proxy_with, wait_until,
};
use std::time::Duration;
use tokio::time::{advance, sleep};
use violetyoke_transport::messages::{ClaimHolder, ProxyReply, RecordedResponse};

/// Within this an end is reported where registries reply.
const REPORTED: Duration = Duration::from_millis(50);
/// For how long the settings have operations remembered.
const WINDOW: Duration = Duration::from_secs(60);

fn is_released(stores: &Stores) -> bool {
    matches!(stores.record("k-1"), Some(Record::Released(_)))
}

fn is_executed(stores: &Stores) -> bool {
    matches!(stores.record("k-1"), Some(Record::Executed(_)))
}

/// Guards against a client that gets 503, and whose next try gets 409 until the claim has expired.
#[test]
fn refusal_by_the_backend_gives_the_claim_back() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| match request.attempt_id.as_str() {
            "refused" => {
                let headers = format!("x-attempt-id: {}\r\nx-not-executed: 1\r\n", request.attempt_id);
                Behavior::Respond(raw_response(503, &headers, ""))
            }
            id => Behavior::Respond(ok_response(id, "booked")),
        });
        let (_proxy, _registry, stores) = start_keyed(&[&ledger]).await;

        assert_eq!(send_commit("key-1", "refused", KEY).await.status, 503);
        assert!(wait_until(REPORTED, || is_released(&stores)).await);
        // A backend that was full is not used for a moment.
        sleep(Duration::from_secs(1)).await;
        assert_eq!(send_commit("key-1", "next", KEY).await.status, 200);
    });
}

/// Guards against a second execution after a connection that broke once the request was sent.
#[test]
fn connection_that_breaks_after_the_request_was_sent_leaves_the_operation_unknown() {
    run_in_virtual_time(|| async {
        let script = |_: &ReceivedRequest| Behavior::RespondAndClose("HTTP/1.1 200 OK\r\nx-att".into());
        let ledgers = [Backend::ledger(1, script), Backend::ledger(2, script)];
        let (_proxy, _registry, stores) = start_keyed(&[&ledgers[0], &ledgers[1]]).await;

        assert_eq!(send_commit("key-1", "a", KEY).await.status, 502);
        assert!(wait_until(REPORTED, || stores.record("k-1") == Some(Record::Unknown)).await);
        assert_eq!(send_commit("key-1", "b", KEY).await.status, 502);

        assert_eq!(ledgers[0].received().len() + ledgers[1].received().len(), 1);
    });
}

/// Guards against an operation that ends with its client, and stays claimed.
#[test]
fn operation_whose_client_has_left_goes_on_and_its_response_is_kept() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| {
            Behavior::RespondAfter(Duration::from_millis(500), ok_response(&request.attempt_id, "booked"))
        });
        let (_proxy, _registry, stores) = start_keyed(&[&ledger]).await;

        let leaver = start_commit("key-1", "leaver", KEY).await;
        assert!(wait_until(REPORTED, || ledger.received().len() == 1).await);
        drop(leaver);

        assert!(wait_until(Duration::from_secs(1), || is_executed(&stores)).await);
        assert_eq!(ledger.disconnected_at("leaver"), None);
        let repeat = send_commit("key-1", "repeat", KEY).await;
        assert_eq!((repeat.status, repeat.body.as_str()), (200, "booked"));
    });
}

/// Guards against a shutdown in which an operation whose client has left, or its end, is lost.
#[test]
fn process_that_shuts_down_waits_for_operations_and_their_ends() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| {
            Behavior::RespondAfter(Duration::from_millis(500), ok_response(&request.attempt_id, "booked"))
        });
        let (proxy, registry, stores) = start_keyed(&[&ledger]).await;
        proxy.shut_down();
        // The last moment in which clients may still connect.
        sleep(Duration::from_millis(2_150)).await;

        let leaver = start_commit("key-1", "leaver", KEY).await;
        assert!(wait_until(REPORTED, || ledger.received().len() == 1).await);
        drop(leaver);
        registry.set_operation_behavior(OperationBehavior::Hang);
        sleep(Duration::from_millis(1_000)).await;
        registry.set_operation_behavior(OperationBehavior::Decide);

        assert!(wait_until(Duration::from_secs(1), || is_executed(&stores)).await);
        assert!(wait_until(Duration::from_millis(100), || !registry.is_connected()).await, "it has ended");
    });
}

/// Guards against a request that a process sends when it goes on after it was stopped for longer than its claim lasts.
#[test]
fn request_that_was_held_up_past_its_deadline_is_not_sent_and_its_claim_is_given_back() {
    run_in_virtual_time(|| async {
        let ledger = Backend::booking_ledger();
        let (_proxy, _registry, stores) = start_keyed(&[&ledger]).await;
        delay_connections(Duration::from_millis(100));
        let started = start_commit("key-1", "a", KEY).await;
        sleep(Duration::from_millis(50)).await;
        assert!(matches!(stores.record("k-1"), Some(Record::Claimed(_))), "granted, and not sent");

        // Everything that was due meanwhile happens at once, the connection among it.
        advance(Duration::from_secs(5)).await;

        assert_eq!(started.wait().await.map(|response| response.status), Some(503));
        // The connection to the registry has ended meanwhile.
        assert!(wait_until(Duration::from_secs(2), || is_released(&stores)).await);
        assert_eq!((ledger.connections_opened(), ledger.received().len()), (1, 0));
    });
}

/// Guards against an end that is lost with a message, and against a client that waits for its confirmation.
#[test]
fn end_is_reported_until_it_is_confirmed_while_the_client_has_its_response() {
    run_in_virtual_time(|| async {
        let ledger = Backend::booking_ledger();
        let (_proxy, registry, stores) = start_keyed(&[&ledger]).await;
        registry.set_operation_behavior(OperationBehavior::GrantAlone);

        assert_eq!(send_commit("key-1", "a", KEY).await.status, 201);
        sleep(Duration::from_secs(5)).await;
        let unconfirmed = registry.operations().len();
        registry.set_operation_behavior(OperationBehavior::Decide);

        assert!(wait_until(Duration::from_secs(3), || is_executed(&stores)).await);
        assert!((4..=12).contains(&unconfirmed), "{unconfirmed}");
        let confirmed = registry.operations().len();
        sleep(Duration::from_secs(5)).await;
        assert_eq!(registry.operations().len(), confirmed, "nothing after the confirmation");
    });
}

/// Sends an operation of a tenant with these homes, and a repeat of it, where registries and stores are in the region
/// `west`. Returns the status of the repeat, and what a registry gets that asks for the response.
async fn repeat_with_homes(homes: &[&str]) -> (u16, Vec<RecordedResponse>) {
    let ledger = Backend::booking_ledger().in_zone("b");
    let configuration = configuration_with_tenant_homes(1, homes);
    let (_proxy, registry) = start_ready_proxy_with(&configuration, &[&ledger]).await;
    let stores = Stores::default();
    registry.set_stores(&stores);

    assert_eq!(send_commit("key-1", "first", KEY).await.status, 201);
    assert!(wait_until(Duration::from_secs(1), || is_executed(&stores)).await);
    let repeat = send_commit("key-1", "repeat", KEY).await.status;

    assert_eq!(ledger.received().len(), 1);
    let (_, holder) = claims(&registry)[0];
    registry.send(&ProxyReply::ReadResponse { request_id: 1, holder });
    assert!(wait_until(REPORTED, || !registry.responses().is_empty()).await);
    (repeat, registry.responses().into_iter().flatten().collect())
}

/// Guards against a response that goes to machines outside its tenant's homes.
#[test]
fn response_stays_in_the_proxy_where_the_homes_leave_out_a_region_of_the_registries() {
    run_in_virtual_time(|| async {
        assert_eq!(repeat_with_homes(&["east"]).await, (502, Vec::new()));
    });
}

/// Guards against repeats that get no response though it may be kept.
#[test]
fn response_is_read_where_the_homes_include_all_regions_of_the_registries() {
    run_in_virtual_time(|| async {
        let (repeat, read) = repeat_with_homes(&["east", "west"]).await;
        let bodies: Vec<_> = read.iter().map(|response| response.body.as_slice()).collect();
        assert_eq!((repeat, bodies), (201, vec![b"booked".as_slice()]));
    });
}

/// Guards against a repeat that gets a part of a response, or is executed again because there is no response.
#[test]
fn repeat_of_a_response_too_large_to_be_kept_is_not_executed() {
    run_in_virtual_time(|| async {
        let body: &str = "x".repeat(200 << 10).leak();
        let ledger = Backend::ledger(1, Behavior::respond_ok(body));
        let (_proxy, _registry, stores) = start_keyed(&[&ledger]).await;

        let response = send_commit("key-1", "a", KEY).await;

        assert_eq!((response.status, response.body.len()), (200, body.len()));
        assert!(wait_until(REPORTED, || is_executed(&stores)).await);
        assert_eq!(send_commit("key-1", "b", KEY).await.status, 502);
        assert_eq!(ledger.received().len(), 1);
    });
}

/// Guards against responses that are kept for ever, or given to the repeat of another process's operation.
#[test]
fn response_is_kept_for_the_window_and_for_its_own_claim() {
    run_in_virtual_time(|| async {
        let ledger = Backend::booking_ledger();
        let (_proxy, registry, _stores) = start_keyed(&[&ledger]).await;
        assert_eq!(send_commit("key-1", "a", KEY).await.status, 201);
        let (_, holder) = claims(&registry)[0];
        let others = ClaimHolder { incarnation: holder.incarnation + 1, ..holder };
        let read = |request_id, holder| registry.send(&ProxyReply::ReadResponse { request_id, holder });

        sleep(WINDOW - Duration::from_secs(1)).await;
        read(1, holder);
        read(2, others);
        sleep(REPORTED).await;
        sleep(Duration::from_secs(1)).await;
        read(3, holder);
        sleep(REPORTED).await;

        let is_kept: Vec<bool> = registry.responses().iter().map(Option::is_some).collect();
        assert_eq!(is_kept, [true, false, false]);
    });
}
