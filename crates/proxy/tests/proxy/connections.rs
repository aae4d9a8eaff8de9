//! Persistent client connections: idle time-outs, pipelined requests, shutdown, and clients that disconnect
//! during the execution of their request.

use crate::support::backends::{ok_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::{start, KeepAliveConnection};
use crate::support::{
    configuration, run_in_virtual_time, start_ready_proxy, start_ready_proxy_with, wait_until,
};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How long a backend takes to execute a request.
const EXECUTION_TIME: Duration = Duration::from_millis(800);

fn respond_after_execution(request: &ReceivedRequest) -> Behavior {
    Behavior::RespondAfter(EXECUTION_TIME, ok_response(&request.attempt_id, "found"))
}

/// A configuration with an idle time-out of two seconds.
fn with_short_idle_timeout() -> serde_json::Value {
    let mut configuration = configuration(1);
    configuration["limits"] = serde_json::json!({
        "max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 500, "idle-timeout-ms": 2000
    });
    configuration
}

#[test]
fn request_after_four_fifths_of_the_idle_timeout_is_served() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let _proxy = start_ready_proxy_with(&with_short_idle_timeout(), &[&finder]).await;
        let mut connection = KeepAliveConnection::open().await;
        for n in 0..6 {
            connection.send("/search/1", &format!("try-{n}")).await;
            assert_eq!(connection.read_status().await, Some(200), "request {n}");
            sleep(Duration::from_millis(1_600)).await;
        }
        sleep(Duration::from_secs(1)).await;
        assert_eq!(connection.read_status().await, None, "the connection is closed after the idle time-out");
    });
}

#[test]
fn request_sent_as_the_idle_timeout_expires_is_served_or_not_forwarded() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(Behavior::respond_ok("found"));
        let _proxy = start_ready_proxy_with(&with_short_idle_timeout(), &[&finder]).await;
        for after_ms in 1_990..2_010 {
            let mut connection = KeepAliveConnection::open().await;
            connection.send("/search/1", "first").await;
            assert_eq!(connection.read_status().await, Some(200));
            sleep(Duration::from_millis(after_ms)).await;
            let id = format!("crossing-{after_ms}");
            connection.send("/search/1", &id).await;
            let is_answered = connection.read_status().await == Some(200);
            assert_eq!(finder.times_received(&id), usize::from(is_answered), "after {after_ms} ms");
        }
    });
}

#[test]
fn pipelined_requests_are_each_forwarded_once_and_answered() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(respond_after_execution);
        let _proxy = start_ready_proxy(&[&finder]).await;
        let mut connection = KeepAliveConnection::open().await;
        for id in ["a", "b"] {
            connection.send("/search/1", id).await;
        }
        assert_eq!(connection.read_status().await, Some(200));
        assert_eq!(connection.read_status().await, Some(200));
        assert_eq!((finder.times_received("a"), finder.times_received("b")), (1, 1));
    });
}

#[test]
fn connection_to_the_backend_is_closed_soon_after_the_client_disconnects() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(|request| {
            Behavior::RespondAfter(Duration::from_secs(5), ok_response(&request.attempt_id, "found"))
        });
        let _proxy = start_ready_proxy(&[&finder]).await;
        let request = start("/search/1", "left").await;
        assert!(wait_until(Duration::from_secs(1), || finder.times_received("left") == 1).await);
        let disconnected_at = Instant::now();
        drop(request);

        assert!(wait_until(Duration::from_millis(500), || finder.disconnected_at("left").is_some()).await);
        assert!(finder
            .disconnected_at("left")
            .is_some_and(|at| at < disconnected_at + Duration::from_millis(100)));
        sleep(Duration::from_secs(3)).await;
        assert_eq!(finder.times_received("left"), 1, "no further attempt is made");
    });
}

#[test]
fn requests_that_arrive_two_seconds_after_the_start_of_a_shutdown_are_served() {
    run_in_virtual_time(|| async {
        // All executions finish within the grace period (6 s).
        let ledger = Backend::ledger(1, |request| {
            Behavior::RespondAfter(Duration::from_millis(1_800), ok_response(&request.attempt_id, "booked"))
        });
        let (proxy, _registry) = start_ready_proxy(&[&ledger]).await;
        let mut in_flight = KeepAliveConnection::open().await;
        in_flight.send("/book/1", "before").await;
        assert!(wait_until(Duration::from_secs(1), || ledger.times_received("before") == 1).await);

        proxy.shut_down();
        // Clients that were directed here before the shutdown still connect.
        sleep(Duration::from_millis(2_000)).await;
        let mut late = KeepAliveConnection::open().await;
        late.send("/book/1", "late").await;

        assert_eq!(in_flight.read_status().await, Some(200));
        assert_eq!(late.read_status().await, Some(200), "a request that arrived two seconds after the start");
        assert_eq!(late.read_status().await, None, "the connection is closed after the response");
    });
}

#[test]
fn timeout_of_the_route_applies_to_clients_with_a_longer_deadline() {
    run_in_virtual_time(|| async {
        let backends = [Backend::finder(|_| Behavior::Hang), Backend::ledger(1, |_| Behavior::Hang)];
        let _proxy = start_ready_proxy(&[&backends[0], &backends[1]]).await;
        for path in ["/search/1", "/book/1"] {
            let mut connection = KeepAliveConnection::open().await;
            let sent_at = Instant::now();
            connection.send_with_deadline(path, path, 9_000).await;
            let status = connection.read_status().await;
            let elapsed = sent_at.elapsed();
            assert!(matches!(status, Some(502 | 504)), "{path}: {status:?}");
            assert!((1_900..2_500).contains(&elapsed.as_millis()), "{path}: {elapsed:?}");
        }
    });
}

#[test]
fn deadline_in_the_requests_to_backends_is_the_remaining_time() {
    run_in_virtual_time(|| async {
        // The first attempt is rejected after 300 ms, and the request is retried at the other backend.
        let rejection = |id: &str| {
            format!(
                "HTTP/1.1 503 Full\r\nx-attempt-id: {id}\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            )
        };
        let rejecting = move |request: &ReceivedRequest| {
            Behavior::RespondAfter(Duration::from_millis(300), rejection(&request.attempt_id))
        };
        let first = Backend::ledger(1, rejecting);
        let second = Backend::ledger(2, rejecting);
        let _proxy = start_ready_proxy(&[&first, &second]).await;
        let mut connection = KeepAliveConnection::open().await;
        connection.send_with_deadline("/book/1", "a", 1_000).await;
        assert_eq!(connection.read_status().await, Some(503), "both backends rejected the request");

        let mut deadlines = [first.deadlines_ms("a"), second.deadlines_ms("a")].concat();
        deadlines.sort_unstable();
        assert!(matches!(deadlines[..], [590..=700, 900..=1_000]), "{deadlines:?}");
    });
}

#[test]
fn rest_of_a_body_after_an_early_response_is_not_taken_for_another_request() {
    run_in_virtual_time(|| async {
        let mut is_first = true;
        let ledger = Backend::early_responding_ledger(move |id| {
            let status = if std::mem::replace(&mut is_first, false) { 400 } else { 200 };
            let headers = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n");
            crate::support::backends::raw_response(status, &headers, "early")
        });
        let _proxy = start_ready_proxy(&[&ledger]).await;
        let mut connection = KeepAliveConnection::open().await;
        connection.send_body("/book/1", "large", &[b'y'; 300 << 10]).await;
        assert_eq!(connection.read_status().await, Some(400));
        let mut next = KeepAliveConnection::open().await;
        next.send_body("/book/1", "next", b"x").await;
        assert_eq!(next.read_status().await, Some(200));
        assert_eq!(ledger.connections_used(), [1, 2], "the first connection is not reused");
    });
}
