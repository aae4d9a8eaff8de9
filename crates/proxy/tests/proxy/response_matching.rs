//! Responses are matched to requests by connection and attempt id.

use crate::support::backends::{ok_response, raw_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::send;
use crate::support::{run_in_virtual_time, start_ready_proxy};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// A rejection without an attempt id.
fn anonymous_rejection() -> String {
    raw_response(503, "x-not-executed: 1\r\n", "")
}

/// A response with status 500.
fn failure(request: &ReceivedRequest) -> Behavior {
    let headers = format!("x-attempt-id: {}\r\nx-server-seal: seal\r\n", request.attempt_id);
    Behavior::Respond(raw_response(500, &headers, "no"))
}

#[test]
fn late_response_to_an_earlier_request_is_skipped() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| {
            let id = &request.attempt_id;
            let earlier = ok_response("earlier", "of another");
            Behavior::Respond(format!("{earlier}{}", ok_response(id, &format!("booked {id}"))))
        });
        let _proxy = start_ready_proxy(&[&ledger]).await;

        for id in ["a", "b", "c"] {
            let response = send("/book/1", "key-1", id, b"x").await;
            assert_eq!((response.status, response.body), (200, format!("booked {id}")));
            assert_eq!(ledger.times_received(id), 1);
        }
    });
}

#[test]
fn connection_is_closed_after_a_second_response_to_one_request() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, |request| {
            let id = &request.attempt_id;
            let (first, second) = (ok_response(id, &format!("booked {id}")), ok_response(id, "booked twice"));
            Behavior::Respond(format!("{first}{second}"))
        });
        let _proxy = start_ready_proxy(&[&ledger]).await;

        for id in ["a", "b", "c"] {
            let response = send("/book/1", "key-1", id, b"x").await;
            assert_eq!((response.status, response.body), (200, format!("booked {id}")));
        }

        assert_eq!(ledger.connections_used(), [1, 2, 3]);
    });
}

#[test]
fn duplicate_rejection_is_not_matched_to_the_next_request() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, move |request| match request.attempt_id.as_str() {
            "rejected" => Behavior::Respond(anonymous_rejection().repeat(2)),
            id => Behavior::Respond(ok_response(id, "booked")),
        });
        let _proxy = start_ready_proxy(&[&ledger]).await;
        assert_eq!(send("/book/1", "key-1", "rejected", b"x").await.status, 503);
        sleep(Duration::from_secs(1)).await;

        let response = send("/book/1", "key-1", "next", b"x").await;

        assert_eq!((response.status, response.body.as_str()), (200, "booked"));
        assert_eq!(ledger.times_received("next"), 1);
    });
}

#[test]
fn rejection_without_an_attempt_id_is_inconclusive_on_a_reused_connection() {
    run_in_virtual_time(|| async {
        let script = |request: &ReceivedRequest| match request.attempt_id.as_str() {
            // Could be a second response to the previous request while the backend executes this one.
            "second" => Behavior::Respond(anonymous_rejection()),
            id => Behavior::Respond(ok_response(id, "booked")),
        };
        let ledgers = [Backend::ledger(1, script), Backend::ledger(2, script)];
        let _proxy = start_ready_proxy(&[&ledgers[0], &ledgers[1]]).await;
        for n in 0..4 {
            assert_eq!(send("/book/1", "key-1", &format!("first-{n}"), b"x").await.status, 200);
        }

        let response = send("/book/1", "key-1", "second", b"x").await;

        assert!(response.status == 502 || response.status == 504, "{response:?}");
        assert_eq!(ledgers[0].times_received("second") + ledgers[1].times_received("second"), 1);
    });
}

#[test]
fn rejection_with_the_attempt_id_is_retried_on_another_backend() {
    run_in_virtual_time(|| async {
        // The backend that gets the first attempt rejects the request.
        let rejected_ids = Rc::new(RefCell::new(BTreeSet::new()));
        let script = move |request: &ReceivedRequest| {
            let id = &request.attempt_id;
            let is_first = rejected_ids.borrow_mut().insert(id.clone());
            let rejection = || raw_response(503, &format!("x-attempt-id: {id}\r\nx-not-executed: 1\r\n"), "");
            Behavior::Respond(if is_first { rejection() } else { ok_response(id, "booked") })
        };
        let (first, second) = (Backend::ledger(1, script.clone()), Backend::ledger(2, script));
        let _proxy = start_ready_proxy(&[&first, &second]).await;

        for n in 0..4 {
            let id = format!("try-{n}");
            let response = send("/book/1", "key-1", &id, b"x").await;
            assert_eq!((response.status, response.body.as_str()), (200, "booked"));
            assert_eq!((first.times_received(&id), second.times_received(&id)), (1, 1));
            // A backend gets no attempts for a while after it rejected one.
            sleep(Duration::from_secs(1)).await;
        }
    });
}

#[test]
fn server_error_keeps_its_status_and_its_seal() {
    run_in_virtual_time(|| async {
        let ledger = Backend::ledger(1, failure);
        let _proxy = start_ready_proxy(&[&ledger]).await;

        let response = send("/book/1", "key-1", "fails", b"x").await;

        assert_eq!((response.status, response.body.as_str()), (500, "no"));
        assert!(response.head.contains("x-server-seal: seal"));
    });
}

#[test]
fn attempts_do_not_exceed_the_maximum_of_the_route() {
    run_in_virtual_time(|| async {
        let finders: Vec<Backend> = [("finder-1", 1), ("finder-2", 2), ("finder-3", 3)]
            .into_iter()
            .map(|(id, number)| Backend::start(id, "finder", number, failure))
            .collect();
        let _proxy = start_ready_proxy(&finders.iter().collect::<Vec<_>>()).await;

        for n in 0..6 {
            let id = format!("try-{n}");
            send("/search/1", "key-1", &id, b"").await;
            let attempts: usize = finders.iter().map(|finder| finder.times_received(&id)).sum();
            assert!((1..=2).contains(&attempts), "{attempts}");
        }
    });
}
