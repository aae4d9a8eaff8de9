//! Proxies' requests about operations: each reply reaches the proxy that waits for it, and no other.

#![cfg(test)]

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::proxy::FakeProxy;
use support::registry::{with_registry, FakeStore, LOCAL};
use violetyoke_registry::commands::StoreConnection;
use violetyoke_registry::operation_relay::{OperationRelay, WaitingProxy, REPLY_TIMEOUT};
use violetyoke_transport::connection::ConnectionId;
use violetyoke_transport::messages::{
    ClaimHolder, OperationKey, OperationReply, OperationRequest, ProxyReply, ProxyRequest,
};

const STORE: StoreConnection = StoreConnection { store: Ipv4Addr::new(10, 0, 0, 1), generation: 2 };
const EARLIER: StoreConnection = StoreConnection { generation: 1, ..STORE };
const OTHER_STORE: StoreConnection = StoreConnection { store: Ipv4Addr::new(10, 0, 0, 2), generation: 2 };
const SOON: Duration = Duration::from_millis(100);
/// Long enough for a registry to reconnect.
const RECONNECTED: Duration = Duration::from_secs(2);

fn proxy(number: u64) -> WaitingProxy {
    WaitingProxy { connection: ConnectionId(number), request_id: 1 }
}

fn front(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number), 8080)
}

fn claim(key: &str) -> OperationRequest {
    OperationRequest::Claim {
        key: OperationKey { tenant: "kolkheti".into(), key: key.into() },
        holder: ClaimHolder { incarnation: 1, request: 1 },
        timeout_ms: 2_000,
        is_self_deduplicating: false,
    }
}

fn granted() -> OperationReply {
    OperationReply::Granted { store_regions: vec!["imereti".to_owned()] }
}

/// Sends a claim. All proxies use the same request id, because each proxy numbers its requests itself.
fn send_claim(proxy: &FakeProxy, key: &str) {
    proxy.send(ProxyRequest::Operation { request_id: 7, request: claim(key) });
}

/// The replies that a proxy receives within `time`, each with the machine of the leading store.
async fn replies_with_leader(proxy: &FakeProxy, time: Duration) -> Vec<(OperationReply, Option<Ipv4Addr>)> {
    let replies = proxy.replies_within(time).await;
    let operation_replies = replies.into_iter().filter_map(|(_, reply)| match reply {
        ProxyReply::Operation { request_id: 7, reply, leader } => Some((reply, leader)),
        _ => None,
    });
    operation_replies.collect()
}

async fn operation_replies(proxy: &FakeProxy, time: Duration) -> Vec<OperationReply> {
    replies_with_leader(proxy, time).await.into_iter().map(|(reply, _)| reply).collect()
}

// Guards against a claim that counts as granted by the reply to another one.
#[test]
fn reply_counts_once_and_only_on_the_connection_of_its_request() {
    let mut relay = OperationRelay::new(7_000);
    let first = relay.forward(0, proxy(1), STORE);
    let second = relay.forward(0, proxy(2), STORE);
    for connection in [EARLIER, OTHER_STORE] {
        assert_eq!(relay.complete(connection, first), None, "{connection:?}");
    }
    assert_eq!(relay.complete(STORE, second), Some(proxy(2)));
    assert_eq!(relay.complete(STORE, second), None, "it has been answered");
    assert_eq!(relay.complete(STORE, first), Some(proxy(1)), "replies in any order");
}

// Guards against accepting the reply to a request of the registry's previous process.
#[test]
fn incarnations_of_a_registry_use_different_ids() {
    let mut before = OperationRelay::new(7_000);
    let mut after = OperationRelay::new(u64::MAX);
    let old = before.forward(0, proxy(1), STORE);
    let new = after.forward(0, proxy(2), STORE);
    assert_ne!(old, new);
    assert_eq!(after.complete(STORE, old), None);
}

// Guards against a proxy that waits for a reply which can no longer arrive, and against ending a request that was
// sent on another connection.
#[test]
fn loss_of_a_connection_ends_exactly_its_requests() {
    let mut relay = OperationRelay::new(7_000);
    let lost = relay.forward(0, proxy(1), EARLIER);
    let kept = relay.forward(0, proxy(2), STORE);
    assert_eq!(relay.connection_lost(EARLIER), [proxy(1)]);
    assert_eq!(relay.connection_lost(EARLIER), []);
    assert_eq!(relay.complete(EARLIER, lost), None);
    assert_eq!(relay.complete(STORE, kept), Some(proxy(2)));
}

// Guards against requests that are kept for ever if a store never replies.
#[test]
fn requests_expire_after_the_reply_timeout() {
    let mut relay = OperationRelay::new(7_000);
    let old = relay.forward(0, proxy(1), STORE);
    let new = relay.forward(1, proxy(2), STORE);
    relay.expire(REPLY_TIMEOUT + 1);
    assert_eq!(relay.complete(STORE, old), None);
    assert_eq!(relay.complete(STORE, new), Some(proxy(2)));
}

// Guards against a proxy that receives the reply to another proxy's request with the same id.
#[test]
fn each_proxy_is_sent_the_reply_to_its_own_request() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let (first, second) =
            (FakeProxy::start(front(1), true).await, FakeProxy::start(front(2), true).await);
        send_claim(&first, "k-1");
        send_claim(&second, "k-2");
        tokio::time::sleep(SOON).await;

        let requests = store.take_operations();
        assert_eq!(requests.len(), 2, "each is sent once: {requests:?}");
        for received in requests {
            let reply = if received.request == claim("k-1") { granted() } else { OperationReply::Unknown };
            store.reply_to_operation(received.request_id, reply);
        }
        let leader = Some(LOCAL);
        assert_eq!(replies_with_leader(&first, SOON).await, [(granted(), leader)]);
        assert_eq!(operation_replies(&second, SOON).await, [OperationReply::Unknown]);
    });
}

// Guards against a client that has to wait while no store leads.
#[test]
fn request_is_answered_at_once_while_no_store_leads() {
    with_registry(|| async {
        let proxy = FakeProxy::start(front(1), true).await;
        send_claim(&proxy, "k-1");
        assert_eq!(replies_with_leader(&proxy, SOON).await, [(OperationReply::Unavailable, None)]);
    });
}

// Guards against a request that the registry repeats by itself, and against a late reply on the next connection.
#[test]
fn request_on_a_lost_connection_is_answered_as_unavailable_and_not_repeated() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let proxy = FakeProxy::start(front(1), true).await;
        send_claim(&proxy, "k-1");
        tokio::time::sleep(SOON).await;
        let requests = store.take_operations();
        assert_eq!(requests.len(), 1, "{requests:?}");

        store.disconnect();
        assert_eq!(operation_replies(&proxy, RECONNECTED).await, [OperationReply::Unavailable]);
        store.reply_to_operation(requests[0].request_id, granted());
        assert_eq!(operation_replies(&proxy, SOON).await, []);
        assert_eq!(store.take_operations(), []);
    });
}
