//! Responses to repeated requests are read from the proxy that received them, and from no other.

#![cfg(test)]

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::proxy::FakeProxy;
use support::registry::with_registry;
use tokio::time::sleep;
use violetyoke_registry::response_reads::READ_TIMEOUT;
use violetyoke_transport::messages::{ClaimHolder, ProxyReply, ProxyRequest, RecordedResponse};

const SOON: Duration = Duration::from_millis(100);
/// The claim under which the operation was executed.
const HOLDER: ClaimHolder = ClaimHolder { incarnation: 11, request: 5 };

async fn start_proxy(number: u8, incarnation: u64) -> FakeProxy {
    let front = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number), 8080);
    let proxy = FakeProxy::start(front, true).await;
    proxy.send(ProxyRequest::HolderIncarnation(incarnation));
    sleep(SOON).await;
    proxy
}

/// Requests the response on behalf of a proxy.
async fn send_read(proxy: &FakeProxy) {
    proxy.send(ProxyRequest::ReadResponse { request_id: 7, holder: HOLDER });
    sleep(SOON).await;
}

/// The responses that a requesting proxy receives within `time`.
async fn responses(proxy: &FakeProxy, time: Duration) -> Vec<Option<RecordedResponse>> {
    let replies = proxy.replies_within(time).await.into_iter();
    let responses = replies.filter_map(|(_, reply)| match reply {
        ProxyReply::Response { request_id: 7, response } => Some(response),
        _ => None,
    });
    responses.collect()
}

/// The ids of the requests for the response that a proxy has received.
async fn reads(proxy: &FakeProxy) -> Vec<u64> {
    let replies = proxy.replies_within(SOON).await.into_iter();
    let reads = replies.filter_map(|(_, reply)| match reply {
        ProxyReply::ReadResponse { request_id, holder: HOLDER } => Some(request_id),
        _ => None,
    });
    reads.collect()
}

fn response() -> RecordedResponse {
    RecordedResponse { status: 201, headers: Vec::new(), body: b"booked".to_vec() }
}

// Guards against a repeat that gets no response, or that of another proxy.
#[test]
fn repeat_gets_the_response_from_the_proxy_that_received_it() {
    with_registry(|| async {
        let holder = start_proxy(1, HOLDER.incarnation).await;
        let other = start_proxy(2, 12).await;
        send_read(&other).await;

        let reads = reads(&holder).await;
        assert_eq!(reads.len(), 1);
        let wrong = RecordedResponse { status: 500, ..response() };
        other.send(ProxyRequest::Response { request_id: reads[0], response: Some(wrong) });
        assert_eq!(responses(&other, SOON).await, [], "only the holder's reply counts");
        holder.send(ProxyRequest::Response { request_id: reads[0], response: Some(response()) });

        assert_eq!(responses(&other, SOON).await, [Some(response())]);
    });
}

// Guards against a repeat that waits for a response which no proxy has.
#[test]
fn repeat_is_answered_without_a_response_when_the_response_is_lost() {
    with_registry(|| async {
        let other = start_proxy(2, 12).await;
        send_read(&other).await;
        assert_eq!(responses(&other, SOON).await, [None], "its holder is not connected");

        let holder = start_proxy(1, HOLDER.incarnation).await;
        send_read(&other).await;
        let unread = reads(&holder).await;
        holder.send(ProxyRequest::Response { request_id: unread[0], response: None });
        assert_eq!(responses(&other, SOON).await, [None], "its holder does not have it");

        send_read(&other).await;
        let timeout = Duration::from_millis(READ_TIMEOUT) + SOON;
        assert_eq!(responses(&other, timeout).await, [None], "its holder does not reply");

        send_read(&other).await;
        FakeProxy::disconnect_all(&[holder]);
        assert_eq!(responses(&other, SOON).await, [None], "its holder has disconnected");
    });
}
