//! The end of operations: each one is reported to the stores, and an operation that may have been executed is not executed
//! again.

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

/// The time within which the end of an operation is reported if the registry replies.
const REPORT_TIMEOUT: Duration = Duration::from_millis(50);
/// How long responses are kept, by the default settings.
const WINDOW: Duration = Duration::from_secs(60);

fn is_released(stores: &Stores) -> bool {
    matches!(stores.record("k-1"), Some(Record::Released(_)))
}

fn is_executed(stores: &Stores) -> bool {
    matches!(stores.record("k-1"), Some(Record::Executed(_)))
}

/// Guards against a client that gets 503, and whose retries get 409 until the claim has expired.
#[test]
fn rejection_by_the_backend_releases_the_claim() {
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
        assert!(wait_until(REPORT_TIMEOUT, || is_released(&stores)).await);
        // A backend that has rejected a request is not used for a short time.
        sleep(Duration::from_secs(1)).await;
        assert_eq!(send_commit("key-1", "next", KEY).await.status, 200);
    });
}

/// Guards against a second execution after the connection to the backend broke while the request was executed.
#[test]
fn connection_that_breaks_after_the_request_was_sent_leaves_the_operation_unknown() {
    run_in_virtual_time(|| async {
        let script = |_: &ReceivedRequest| Behavior::RespondAndClose("HTTP/1.1 200 OK\r\nx-att".into());
        let ledgers = [Backend::ledger(1, script), Backend::ledger(2, script)];
        let (_proxy, _registry, stores) = start_keyed(&[&ledgers[0], &ledgers[1]]).await;

        assert_eq!(send_commit("key-1", "a", KEY).await.status, 502);
        assert!(wait_until(REPORT_TIMEOUT, || stores.record("k-1") == Some(Record::Unknown)).await);
        assert_eq!(send_commit("key-1", "b", KEY).await.status, 502);

        assert_eq!(ledgers[0].received().len() + ledgers[1].received().len(), 1);
    });
}

/// Guards against an operation that is aborted when its client disconnects, and stays claimed.
#[test]
fn operation_whose_client_disconnects_is_completed_and_its_response_is_recorded() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| {
            Behavior::RespondAfter(Duration::from_millis(500), ok_response(&request.attempt_id, "booked"))
        });
        let (_proxy, _registry, stores) = start_keyed(&[&ledger]).await;

        let client = start_commit("key-1", "disconnected", KEY).await;
        assert!(wait_until(REPORT_TIMEOUT, || ledger.received().len() == 1).await);
        drop(client);

        assert!(wait_until(Duration::from_secs(1), || is_executed(&stores)).await);
        assert_eq!(ledger.disconnected_at("disconnected"), None);
        let repeat = send_commit("key-1", "repeat", KEY).await;
        assert_eq!((repeat.status, repeat.body.as_str()), (200, "booked"));
    });
}

/// Guards against a shutdown that loses an operation whose client has disconnected, or its report.
#[test]
fn process_that_shuts_down_waits_for_operations_and_their_reports() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| {
            Behavior::RespondAfter(Duration::from_millis(500), ok_response(&request.attempt_id, "booked"))
        });
        let (proxy, registry, stores) = start_keyed(&[&ledger]).await;
        proxy.shut_down();
        // Shortly before the process stops accepting connections.
        sleep(Duration::from_millis(2_150)).await;

        let client = start_commit("key-1", "disconnected", KEY).await;
        assert!(wait_until(REPORT_TIMEOUT, || ledger.received().len() == 1).await);
        drop(client);
        registry.set_operation_behavior(OperationBehavior::Hang);
        sleep(Duration::from_millis(1_000)).await;
        registry.set_operation_behavior(OperationBehavior::Decide);

        assert!(wait_until(Duration::from_secs(1), || is_executed(&stores)).await);
        assert!(
            wait_until(Duration::from_millis(100), || !registry.is_connected()).await,
            "the process has ended"
        );
    });
}

/// Guards against a process that is suspended for longer than its claim lasts, and sends the request when it resumes.
#[test]
fn request_that_is_delayed_past_its_deadline_is_not_sent_and_its_claim_is_released() {
    run_in_virtual_time(|| async {
        let ledger = Backend::booking_ledger();
        let (_proxy, _registry, stores) = start_keyed(&[&ledger]).await;
        delay_connections(Duration::from_millis(100));
        let started = start_commit("key-1", "a", KEY).await;
        sleep(Duration::from_millis(50)).await;
        assert!(matches!(stores.record("k-1"), Some(Record::Claimed(_))), "granted, but not sent");

        // Simulates the suspension: all timers that expire within this time, that of the connection among them, fire at once.
        advance(Duration::from_secs(5)).await;

        assert_eq!(started.wait().await.map(|response| response.status), Some(503));
        // The connection to the registry has timed out, so the release is sent on a new one.
        assert!(wait_until(Duration::from_secs(2), || is_released(&stores)).await);
        assert_eq!((ledger.connections_opened(), ledger.received().len()), (1, 0));
    });
}

/// Guards against a report that is lost with a message, and against a client that has to wait for the confirmation.
#[test]
fn report_is_resent_until_it_is_confirmed_and_does_not_delay_the_response() {
    run_in_virtual_time(|| async {
        let ledger = Backend::booking_ledger();
        let (_proxy, registry, stores) = start_keyed(&[&ledger]).await;
        registry.set_operation_behavior(OperationBehavior::GrantOnly);

        assert_eq!(send_commit("key-1", "a", KEY).await.status, 201);
        sleep(Duration::from_secs(5)).await;
        let unconfirmed = registry.operations().len();
        registry.set_operation_behavior(OperationBehavior::Decide);

        assert!(wait_until(Duration::from_secs(3), || is_executed(&stores)).await);
        assert!((4..=12).contains(&unconfirmed), "{unconfirmed}");
        let confirmed = registry.operations().len();
        sleep(Duration::from_secs(5)).await;
        assert_eq!(registry.operations().len(), confirmed, "no reports after the confirmation");
    });
}

/// Sends an operation of a tenant with these home regions, and a repeat of it. The registries and the stores are in the
/// region `west`. Returns the status of the repeat, and the responses that a registry can read from the proxy.
async fn repeat_with_home_regions(home_regions: &[&str]) -> (u16, Vec<RecordedResponse>) {
    let ledger = Backend::booking_ledger().in_zone("b");
    let configuration = configuration_with_tenant_homes(1, home_regions);
    let (_proxy, registry) = start_ready_proxy_with(&configuration, &[&ledger]).await;
    let stores = Stores::default();
    registry.set_stores(&stores);

    assert_eq!(send_commit("key-1", "first", KEY).await.status, 201);
    assert!(wait_until(Duration::from_secs(1), || is_executed(&stores)).await);
    let repeat = send_commit("key-1", "repeat", KEY).await.status;

    assert_eq!(ledger.received().len(), 1);
    let (_, holder) = claims(&registry)[0];
    registry.send(&ProxyReply::ReadResponse { request_id: 1, holder });
    assert!(wait_until(REPORT_TIMEOUT, || !registry.responses().is_empty()).await);
    (repeat, registry.responses().into_iter().flatten().collect())
}

/// Guards against a response that is sent to machines outside the home regions of its tenant.
#[test]
fn response_is_not_recorded_if_the_home_regions_exclude_a_region_of_the_registries() {
    run_in_virtual_time(|| async {
        assert_eq!(repeat_with_home_regions(&["east"]).await, (502, Vec::new()));
    });
}

/// Guards against repeats that get no response although it may be recorded.
#[test]
fn response_is_recorded_if_the_home_regions_include_all_regions_of_the_registries() {
    run_in_virtual_time(|| async {
        let (repeat, read) = repeat_with_home_regions(&["east", "west"]).await;
        let bodies: Vec<_> = read.iter().map(|response| response.body.as_slice()).collect();
        assert_eq!((repeat, bodies), (201, vec![b"booked".as_slice()]));
    });
}

/// Guards against a repeat that gets a truncated response, or is executed again because no response is recorded.
#[test]
fn repeat_of_an_operation_with_a_response_too_large_to_record_is_not_executed() {
    run_in_virtual_time(|| async {
        let body: &str = "x".repeat(200 << 10).leak();
        let ledger = Backend::ledger(1, Behavior::respond_ok(body));
        let (_proxy, _registry, stores) = start_keyed(&[&ledger]).await;

        let response = send_commit("key-1", "a", KEY).await;

        assert_eq!((response.status, response.body.len()), (200, body.len()));
        assert!(wait_until(REPORT_TIMEOUT, || is_executed(&stores)).await);
        assert_eq!(send_commit("key-1", "b", KEY).await.status, 502);
        assert_eq!(ledger.received().len(), 1);
    });
}

/// Guards against responses that are kept for ever, or returned for an operation of another process.
#[test]
fn response_is_kept_for_the_window_and_returned_only_for_its_own_claim() {
    run_in_virtual_time(|| async {
        let ledger = Backend::booking_ledger();
        let (_proxy, registry, _stores) = start_keyed(&[&ledger]).await;
        assert_eq!(send_commit("key-1", "a", KEY).await.status, 201);
        let (_, holder) = claims(&registry)[0];
        let other_holder = ClaimHolder { incarnation: holder.incarnation + 1, ..holder };
        let read = |request_id, holder| registry.send(&ProxyReply::ReadResponse { request_id, holder });

        sleep(WINDOW - Duration::from_secs(1)).await;
        read(1, holder);
        read(2, other_holder);
        sleep(REPORT_TIMEOUT).await;
        sleep(Duration::from_secs(1)).await;
        read(3, holder);
        sleep(REPORT_TIMEOUT).await;

        let is_kept: Vec<bool> = registry.responses().iter().map(Option::is_some).collect();
        assert_eq!(is_kept, [true, false, false]);
    });
}
