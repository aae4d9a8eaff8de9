//! Numbers in responses of backends that no backend in its senses would send.

use crate::support::backends::{ok_response, raw_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::{is_ready_within, send, KeepAliveConnection};
use crate::support::{run_in_virtual_time, start_ready_proxy};
use proptest::prelude::*;
use std::time::Duration;

/// Each case starts a proxy.
const CASES: u32 = 64;

/// A successful response with one more header field.
fn respond_with(field: String) -> impl FnMut(&ReceivedRequest) -> Behavior + Clone + 'static {
    move |request| {
        let id = &request.attempt_id;
        let headers = format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n{field}\r\n");
        Behavior::Respond(raw_response(200, &headers, "found"))
    }
}

// Guards against a proxy that ends because a backend announces a keep-alive time-out beyond the range of the clock
// (docs/incidents/keep-alive-beyond-the-clock.md).
#[test]
fn keep_alive_timeout_of_any_size_ends_no_proxy() {
    for seconds in ["0", "1", "9223372036854775807", "18446744073709551615", "18446744073709551616", "-1", ""]
    {
        run_in_virtual_time(|| async move {
            let finder = Backend::finder(respond_with(format!("keep-alive: timeout={seconds}, max=100")));
            let _proxy = start_ready_proxy(&[&finder]).await;
            let mut connection = KeepAliveConnection::open().await;
            for n in 0..3 {
                connection.send("/search/1", &format!("try-{n}")).await;
                assert_eq!(connection.read_status().await, Some(200), "timeout={seconds}, request {n}");
            }
        });
    }
}

// Guards against one report of a load that no backend has, which made the proxy reject most requests of the service.
#[test]
fn load_beyond_that_of_any_backend_rejects_no_request() {
    run_in_virtual_time(|| async {
        let mut is_first = true;
        let finder = Backend::finder(move |request| {
            let is_spoiled = std::mem::replace(&mut is_first, false);
            let load = if is_spoiled { "4294967295, 4294967295, 4" } else { "1, 0, 4" };
            respond_with(format!("x-server-load: {load}"))(request)
        });
        let _proxy = start_ready_proxy(&[&finder]).await;
        for n in 0..40 {
            assert_eq!(send("/search/1", "key-1", &format!("try-{n}"), b"").await.status, 200, "request {n}");
        }
    });
}

/// The text of any number that a header field may have, and some that are none.
fn any_number_text() -> impl Strategy<Value = String> {
    let edges =
        ["", "-1", "0", "+1", "1e300", "4294967295", "9223372036854775807", "18446744073709551615", "0x10"];
    prop_oneof![
        proptest::sample::select(edges.to_vec()).prop_map(str::to_owned),
        any::<u64>().prop_map(|number| number.to_string()),
        any::<i128>().prop_map(|number| number.to_string()),
        any::<f64>().prop_map(|number| number.to_string()),
    ]
}

/// A response with these numbers: its keep-alive time-out, its load, and the length of its body or of a chunk.
fn response_with(attempt_id: &str, numbers: &[String], is_chunked: bool) -> String {
    let [timeout, running, waiting, length, retry_after, status] = numbers else {
        unreachable!("six numbers")
    };
    let framing = if is_chunked {
        format!("transfer-encoding: chunked\r\n\r\n{length}\r\nfound\r\n0\r\n\r\n")
    } else {
        format!("content-length: {length}\r\n\r\nfound")
    };
    let status = if status.len() == 3 { status } else { "200" };
    format!(
        "HTTP/1.1 {status} Status\r\nx-attempt-id: {attempt_id}\r\nx-server-seal: seal\r\n\
         keep-alive: timeout={timeout}\r\nx-server-load: {running}, {waiting}, 4\r\nretry-after: {retry_after}\r\n{framing}"
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a number in a response that ends the proxy which reads it. Whether the response is forwarded depends on
    // the numbers; the next one, with none of them, is.
    #[test]
    fn response_with_any_numbers_ends_no_proxy(
        numbers in proptest::collection::vec(any_number_text(), 6),
        is_chunked in any::<bool>(),
    ) {
        run_in_virtual_time(|| async {
            let spoiled = numbers.clone();
            let finder = Backend::finder(move |request| match request.attempt_id.as_str() {
                "spoiled" => Behavior::RespondAndClose(response_with("spoiled", &spoiled, is_chunked)),
                id => Behavior::Respond(ok_response(id, "found")),
            });
            let _proxy = start_ready_proxy(&[&finder]).await;
            let mut connection = KeepAliveConnection::open().await;
            connection.send("/search/1", "spoiled").await;
            connection.read_status().await;
            assert!(is_ready_within(Duration::from_secs(1)).await, "{numbers:?}");
            // A backend that sent an invalid response is ejected for a while.
            tokio::time::sleep(Duration::from_secs(5)).await;
            assert_eq!(send("/search/1", "key-1", "next", b"").await.status, 200, "{numbers:?}");
        });
    }
}
