//! Clients that disconnect: their queue entries and incomplete bodies must not affect later requests.

use crate::support::backends::{ok_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::{metric, send, start, start_with_body};
use crate::support::{run_in_virtual_time, start_ready_proxy, wait_until};
use std::time::Duration;
use tokio::time::sleep;

/// More than the queue of one service holds (512).
const DISCONNECTING_CLIENTS: usize = 2_000;
/// Concurrent requests that the only backend accepts, which has four slots.
const CAPACITY: usize = 5;

async fn longest_queue() -> u64 {
    metric("violetyoke_proxy_longest_queue").await
}

#[test]
fn requests_of_disconnected_clients_are_removed_from_the_queue() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(|request| match request.attempt_id.as_str() {
            "found" => Behavior::Respond(ok_response("found", "found")),
            _ => Behavior::Hang,
        });
        let _proxy = start_ready_proxy(&[&finder]).await;
        for n in 0..CAPACITY {
            tokio::task::spawn_local(
                async move { start("/search/1", &format!("busy-{n}")).await.wait().await },
            );
        }
        assert!(wait_until(Duration::from_secs(1), || finder.received().len() == CAPACITY).await);

        for batch in 0..DISCONNECTING_CLIENTS / 100 {
            let mut waiting = Vec::new();
            for n in 0..100 {
                waiting.push(start("/search/1", &format!("leaver-{batch}-{n}")).await);
            }
            sleep(Duration::from_millis(2)).await;
            assert_eq!(longest_queue().await, 100, "batch {batch}");
            drop(waiting);
            sleep(Duration::from_millis(2)).await;
            assert_eq!(longest_queue().await, 0, "batch {batch}");
        }
        // The requests in flight end at their deadline, and the backend has free capacity again.
        sleep(Duration::from_secs(3)).await;

        assert_eq!(send("/search/1", "key-1", "found", b"").await.status, 200);
        assert_eq!(
            finder.received().len(),
            CAPACITY + 1,
            "no request of a disconnected client was forwarded"
        );
    });
}

#[test]
fn next_request_is_woken_when_the_client_of_a_woken_request_disconnects() {
    run_in_virtual_time(|| async {
        let finder = Backend::finder(|request| match request.attempt_id.as_str() {
            id if id.starts_with("busy") => Behavior::Hang,
            id => Behavior::Respond(ok_response(id, "found")),
        });
        let _proxy = start_ready_proxy(&[&finder]).await;
        let mut busy = Vec::new();
        for n in 0..CAPACITY {
            busy.push(start("/search/1", &format!("busy-{n}")).await);
        }
        assert!(wait_until(Duration::from_secs(1), || finder.received().len() == CAPACITY).await);
        let disconnecting = start("/search/1", "leaver").await;
        sleep(Duration::from_millis(1)).await;
        let waiting = start("/search/1", "waiting").await;
        sleep(Duration::from_millis(1)).await;

        // Capacity becomes free at the moment in which the client of the first request in the queue
        // disconnects.
        busy.pop();
        drop(disconnecting);

        // The next request is woken at once. It would otherwise check for capacity every 20 ms.
        assert!(wait_until(Duration::from_millis(5), || finder.times_received("waiting") == 1).await);
        assert_eq!(waiting.wait().await.map(|response| response.status), Some(200));
        assert_eq!(longest_queue().await, 0);
    });
}

fn book(request: &ReceivedRequest) -> Behavior {
    Behavior::Respond(ok_response(&request.attempt_id, "booked"))
}

#[test]
fn incomplete_body_of_a_client_does_not_count_as_a_reset_by_the_backend() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, book);
        let _proxy = start_ready_proxy(&[&ledger]).await;
        assert_eq!(send("/book/1", "key-1", "first", b"x").await.status, 200);

        // Too large to be buffered, so it is streamed on the reused connection. The client disconnects before
        // the end.
        let interrupted = start_with_body("/book/1", "cut", 400 << 10, 200 << 10).await;
        sleep(Duration::from_millis(5)).await;
        drop(interrupted);
        sleep(Duration::from_millis(5)).await;

        // A connection that was idle for longer than 60 ms is still reused, so no reset by the backend was
        // recorded.
        assert_eq!(send("/book/1", "key-1", "second", b"x").await.status, 200);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(send("/book/1", "key-1", "third", b"x").await.status, 200);
        let connections = ledger.connections_used();
        assert_eq!(connections[connections.len() - 2..], [2, 2], "{connections:?}");
    });
}

#[test]
fn idle_connections_are_reused_only_briefly_after_a_backend_reset_one() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| match request.attempt_id.as_str() {
            "cut" => Behavior::RespondAndClose(String::new()),
            id => Behavior::Respond(ok_response(id, "booked")),
        });
        let _proxy = start_ready_proxy(&[&ledger]).await;
        assert_eq!(send("/book/1", "key-1", "first", b"x").await.status, 200);
        assert_eq!(send("/book/1", "key-1", "cut", b"x").await.status, 502);
        sleep(Duration::from_secs(1)).await;

        assert_eq!(send("/book/1", "key-1", "second", b"x").await.status, 200);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(send("/book/1", "key-1", "third", b"x").await.status, 200);
        assert_eq!(
            ledger.connections_used(),
            [1, 1, 2, 3],
            "the connection that was idle for 500 ms is not reused"
        );
    });
}
