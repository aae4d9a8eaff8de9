//! Clients that leave: what they waited for and what they sent leaves nothing behind.

use crate::support::backends::{ok_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::{metric, send, start, start_with_body};
use crate::support::{run_in_virtual_time, start_ready_proxy, wait_until};
use std::time::Duration;
use tokio::time::sleep;

/// More than may wait for one service (512).
const LEAVERS: usize = 2_000;
/// Requests that the only backend, of four slots, takes at once.
const CAPACITY: usize = 5;

async fn longest_queue() -> u64 {
    metric("violetyoke_proxy_longest_queue").await
}

#[test]
fn clients_that_leave_while_they_wait_leave_the_queue() {
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

        for batch in 0..LEAVERS / 100 {
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
        // The busy requests end at their deadline, and the backend has capacity again.
        sleep(Duration::from_secs(3)).await;

        assert_eq!(send("/search/1", "key-1", "found", b"").await.status, 200);
        assert_eq!(finder.received().len(), CAPACITY + 1, "no leaver was sent on");
    });
}

#[test]
fn waiting_request_that_is_woken_and_leaves_passes_its_turn_on() {
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
        let leaver = start("/search/1", "leaver").await;
        sleep(Duration::from_millis(1)).await;
        let waiting = start("/search/1", "waiting").await;
        sleep(Duration::from_millis(1)).await;

        // One place becomes free in the moment in which the request that is first in the queue leaves.
        busy.pop();
        drop(leaver);

        // Not only at its next look of its own, which comes every 20 ms.
        assert!(wait_until(Duration::from_millis(5), || finder.times_received("waiting") == 1).await);
        assert_eq!(waiting.wait().await.map(|response| response.status), Some(200));
        assert_eq!(longest_queue().await, 0);
    });
}

fn book(request: &ReceivedRequest) -> Behavior {
    Behavior::Respond(ok_response(&request.attempt_id, "booked"))
}

#[test]
fn body_that_its_client_breaks_off_says_nothing_of_the_backend() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, book);
        let _proxy = start_ready_proxy(&[&ledger]).await;
        assert_eq!(send("/book/1", "key-1", "first", b"x").await.status, 200);

        // Too large to be buffered, so it is streamed on the reused connection, and breaks off midway.
        let cut = start_with_body("/book/1", "cut", 400 << 10, 200 << 10).await;
        sleep(Duration::from_millis(5)).await;
        drop(cut);
        sleep(Duration::from_millis(5)).await;

        // A connection that was idle for longer than 60 ms is still reused: no reset is remembered.
        assert_eq!(send("/book/1", "key-1", "second", b"x").await.status, 200);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(send("/book/1", "key-1", "third", b"x").await.status, 200);
        let connections = ledger.connections_used();
        assert_eq!(connections[connections.len() - 2..], [2, 2], "{connections:?}");
    });
}

#[test]
fn reused_connection_that_its_backend_breaks_off_is_remembered() {
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
        assert_eq!(ledger.connections_used(), [1, 1, 2, 3], "an idle connection is not trusted for a while");
    });
}
