//! Numbers in responses of backends that no backend in its senses would send.

use crate::support::backends::{raw_response, Backend, Behavior, ReceivedRequest};
use crate::support::client::KeepAliveConnection;
use crate::support::{run_in_virtual_time, start_ready_proxy};

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
