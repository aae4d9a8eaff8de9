//! Forwards proxies' requests about operations to the leading store; without sockets and clocks.
//!
//! A request is sent to the leader once, and its reply is returned on the connection of its proxy. The relay does not
//! retry: the proxy knows how long its client waits, and sends a request again if it gets no reply.

use crate::commands::StoreConnection;
use crate::Millis;
use std::collections::BTreeMap;
use violetyoke_transport::connection::ConnectionId;

/// A request without a reply is dropped after this time (ms), when its proxy no longer waits.
pub const REPLY_TIMEOUT: Millis = 3_000;

/// The request of a proxy that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingProxy {
    /// The connection on which the request came.
    pub connection: ConnectionId,
    /// The id that the proxy gave the request.
    pub request_id: u32,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    proxy: WaitingProxy,
    sent_to: StoreConnection,
    sent_at: Millis,
}

/// The requests that have no reply yet, by the ids that the registry gave them.
#[derive(Clone, Debug)]
pub struct OperationRelay {
    pending: BTreeMap<u64, PendingRequest>,
    last_request_id: u64,
}

impl OperationRelay {
    /// A relay without requests. Ids start at the random `incarnation`, so that successive incarnations of a registry
    /// do not use the same ids.
    #[must_use]
    pub fn new(incarnation: u64) -> OperationRelay {
        OperationRelay { pending: BTreeMap::new(), last_request_id: incarnation }
    }

    /// Records a request that is to be sent to a store. Returns the id for the request to the store.
    #[must_use]
    pub fn forward(&mut self, now: Millis, proxy: WaitingProxy, sent_to: StoreConnection) -> u64 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.pending.insert(self.last_request_id, PendingRequest { proxy, sent_to, sent_at: now });
        self.last_request_id
    }

    /// Completes a request when a store has replied. Returns the proxy that waits for the reply; `None` if the
    /// request was sent on another connection or has expired.
    #[must_use]
    pub fn complete(&mut self, from: StoreConnection, request_id: u64) -> Option<WaitingProxy> {
        let is_expected = self.pending.get(&request_id).is_some_and(|pending| pending.sent_to == from);
        let pending = if is_expected { self.pending.remove(&request_id) } else { None };
        pending.map(|pending| pending.proxy)
    }

    /// Drops the requests that were sent on a connection that has ended. Returns the proxies that wait for their
    /// replies.
    #[must_use]
    pub fn connection_lost(&mut self, connection: StoreConnection) -> Vec<WaitingProxy> {
        let is_lost = |pending: &PendingRequest| pending.sent_to == connection;
        let lost =
            self.pending.values().filter(|pending| is_lost(pending)).map(|pending| pending.proxy).collect();
        self.pending.retain(|_, pending| !is_lost(pending));
        lost
    }

    /// Drops the requests that are older than [`REPLY_TIMEOUT`].
    pub fn expire(&mut self, now: Millis) {
        self.pending.retain(|_, pending| now <= pending.sent_at + REPLY_TIMEOUT);
    }
}
