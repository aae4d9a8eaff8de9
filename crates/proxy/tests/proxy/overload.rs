//! Admission control for keyed requests to overloaded backends.

use crate::support::backends::{raw_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::send_commit;
use crate::support::operations::{claims, start_keyed};
use crate::support::run_in_virtual_time;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// A backend that responds shortly before the latency target of 800 ms and reports 24 queued requests for
/// four slots.
fn overloaded_ledger() -> Backend {
    Backend::ledger(1, |request: &ReceivedRequest| {
        let id = &request.attempt_id;
        let headers = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\nx-server-load: 4, 24, 4\r\n");
        Behavior::RespondAfter(Duration::from_millis(700), raw_response(200, &headers, "booked"))
    })
}

/// Guards against queues at backends that make all requests miss their latency target, and against claims for
/// rejected requests.
#[test]
fn fraction_of_the_requests_is_rejected_at_once_and_without_a_claim() {
    run_in_virtual_time(|| async {
        let ledger = overloaded_ledger();
        let (_proxy, registry, _stores) = start_keyed(&[&ledger]).await;

        let mut rejected = 0;
        for number in 0..40 {
            let sent_at = Instant::now();
            let key = format!("x-operation-key: k-{number}\r\n");
            let response = send_commit("key-1", &format!("a-{number}"), &key).await;
            if response.status == 503 {
                rejected += 1;
                assert!(response.head.contains("retry-after"), "{response:?}");
                assert!(sent_at.elapsed() < Duration::from_millis(50), "{:?}", sent_at.elapsed());
            }
            // Long enough for the reported load to decay, so that the next request does not wait in the
            // proxy's queue.
            sleep(Duration::from_millis(1_200)).await;
        }

        assert!((10..=32).contains(&rejected), "{rejected} of 40");
        assert_eq!(ledger.received().len(), 40 - rejected);
        assert_eq!(claims(&registry).len(), 40 - rejected);
    });
}
