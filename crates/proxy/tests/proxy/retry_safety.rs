//! A non-idempotent request that a backend may have executed is not retried. Each test covers one kind of
//! failure and checks the requests that backends received.

use crate::support::backends::{ok_response, raw_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::{send, Response};
use crate::support::{run_in_virtual_time, start_ready_proxy};

/// Sends one booking to two backends with the same behavior, checks that only one attempt was made, and
/// passes the response to `check`.
fn assert_sent_once(
    body: &'static [u8],
    behavior: impl Fn(&str) -> Behavior + Clone + 'static,
    check: impl Fn(Response),
) {
    run_in_virtual_time(|| async move {
        let script = move |request: &ReceivedRequest| behavior(&request.attempt_id);
        let (first, second) = (Backend::ledger(1, script.clone()), Backend::ledger(2, script));
        let _proxy = start_ready_proxy(&[&first, &second]).await;

        let response = send("/book/1", "key-1", "once", body).await;

        check(response);
        assert_eq!(first.times_received("once") + second.times_received("once"), 1);
    });
}

/// Checks that a booking is sent once, and that the client gets this status and no seal, which would confirm
/// a success.
fn assert_not_retried(status: u16, behavior: impl Fn(&str) -> Behavior + Clone + 'static) {
    assert_sent_once(b"two nights", behavior, |response| {
        assert_eq!(response.status, status, "{response:?}");
        assert!(!response.head.contains("x-server-seal"), "{response:?}");
    });
}

/// Responds to all requests except those with the id `second`, for which it closes the idle connection.
fn closes_before_second(request: &ReceivedRequest) -> Behavior {
    match request.attempt_id.as_str() {
        "second" => Behavior::RespondAndClose(String::new()),
        id => Behavior::Respond(ok_response(id, "booked")),
    }
}

#[test]
fn booking_is_not_retried_after_a_timeout() {
    assert_not_retried(504, |_| Behavior::Hang);
}

#[test]
fn booking_is_not_retried_after_a_close_without_a_response() {
    assert_not_retried(502, |_| Behavior::RespondAndClose(String::new()));
}

#[test]
fn booking_is_not_retried_on_a_half_closed_connection() {
    assert_not_retried(502, |_| Behavior::HalfClose);
}

#[test]
fn booking_is_not_retried_after_an_incomplete_head() {
    assert_not_retried(502, |id| {
        Behavior::RespondAndClose(format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-ser"))
    });
}

#[test]
fn booking_is_not_retried_after_an_invalid_response() {
    assert_not_retried(502, |_| Behavior::Respond("HTTP/1.1 2x0 ?\r\n\r\n".into()));
}

#[test]
fn booking_is_not_retried_after_an_informational_response() {
    assert_not_retried(502, |_| Behavior::RespondAndClose("HTTP/1.1 100 Continue\r\n\r\n".into()));
}

#[test]
fn booking_is_not_retried_after_a_response_without_an_attempt_id() {
    assert_not_retried(504, |_| Behavior::Respond(raw_response(200, "x-server-seal: seal\r\n", "booked")));
}

#[test]
fn booking_is_not_retried_after_a_rejection_with_another_attempt_id() {
    assert_not_retried(504, |_| {
        Behavior::Respond(raw_response(503, "x-attempt-id: another\r\nx-not-executed: 1\r\n", ""))
    });
}

#[test]
fn booking_is_not_retried_after_a_503_that_does_not_rule_out_execution() {
    assert_not_retried(502, |id| {
        let headers = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n");
        Behavior::Respond(raw_response(503, &headers, ""))
    });
}

#[test]
fn response_with_an_invalid_status_code_is_not_forwarded() {
    assert_not_retried(502, |id| {
        let headers = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n");
        Behavior::Respond(raw_response(42, &headers, ""))
    });
}

#[test]
fn truncated_success_is_not_forwarded() {
    assert_not_retried(502, |id| {
        let complete = ok_response(id, "booked");
        Behavior::RespondAndClose(complete[..complete.len() - 3].to_owned())
    });
}

#[test]
fn success_of_unknown_length_is_not_forwarded() {
    assert_not_retried(502, |id| {
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: seal\r\n\r\n");
        Behavior::RespondAndClose(format!("{head}book"))
    });
}

#[test]
fn booking_on_an_idle_connection_that_the_backend_closed_is_not_retried() {
    run_in_virtual_time(|| async {
        let ledgers = [Backend::ledger(1, closes_before_second), Backend::ledger(2, closes_before_second)];
        let _proxy = start_ready_proxy(&[&ledgers[0], &ledgers[1]]).await;
        for n in 0..4 {
            assert_eq!(send("/book/1", "key-1", &format!("first-{n}"), b"x").await.status, 200);
        }

        assert_eq!(send("/book/1", "key-1", "second", b"x").await.status, 502);

        assert_eq!(ledgers[0].times_received("second") + ledgers[1].times_received("second"), 1);
    });
}

#[test]
fn search_on_an_idle_connection_that_the_backend_closed_is_retried_on_a_new_one() {
    run_in_virtual_time(|| async {
        let mut has_closed = false;
        let finder = Backend::finder(move |request| {
            if request.attempt_id == "second" && !std::mem::replace(&mut has_closed, true) {
                Behavior::RespondAndClose(String::new())
            } else {
                Behavior::Respond(ok_response(&request.attempt_id, "found"))
            }
        });
        let _proxy = start_ready_proxy(&[&finder]).await;
        assert_eq!(send("/search/1", "key-1", "first", b"").await.status, 200);

        let response = send("/search/1", "key-1", "second", b"").await;

        assert_eq!((response.status, response.body.as_str()), (200, "found"));
        assert_eq!(finder.connections_used(), [1, 1, 2]);
    });
}

#[test]
fn booking_is_retried_after_a_refused_connection() {
    run_in_virtual_time(|| async {
        let unreachable = Backend::unreachable("ledger-1", "ledger", 1);
        let reachable = Backend::ledger(2, Behavior::respond_ok("booked"));
        let _proxy = start_ready_proxy(&[&unreachable, &reachable]).await;

        for n in 0..4 {
            assert_eq!(send("/book/1", "key-1", &format!("try-{n}"), b"x").await.status, 200);
        }

        assert_eq!(reachable.received().len(), 4);
    });
}

#[test]
fn booking_with_a_streamed_body_is_not_retried_after_a_close_or_a_timeout() {
    const LARGE_BODY: &[u8] = &[7; 300 << 10];
    let check = |response: Response| {
        assert!(response.status == 502 || response.status == 504, "{response:?}");
    };
    assert_sent_once(LARGE_BODY, |_| Behavior::RespondAndClose(String::new()), check);
    assert_sent_once(LARGE_BODY, |_| Behavior::Hang, check);
}
