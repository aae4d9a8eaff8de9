//! Reads recorded responses from the proxies that received them, when a request is repeated at another proxy; without
//! sockets and clocks.

use crate::operation_relay::WaitingProxy;
use crate::Millis;
use std::collections::{BTreeMap, HashMap};
use violetyoke_transport::connection::ConnectionId;
use violetyoke_transport::messages::ClaimHolder;

/// If the proxy that holds a response does not reply within this time (ms), the response counts as lost.
pub const READ_TIMEOUT: Millis = 1_000;

/// A request for a response, to the proxy that received the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseRead {
    /// The connection to that proxy.
    pub to: ConnectionId,
    /// The id that the registry gave the request.
    pub request_id: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    reader: WaitingProxy,
    to: ConnectionId,
    sent_at: Millis,
}

/// The connections to the proxies that hold responses, and the reads that are pending.
#[derive(Clone, Debug, Default)]
pub struct ResponseReads {
    /// By the incarnation of the proxy that holds the responses.
    connections: HashMap<u64, ConnectionId>,
    pending: BTreeMap<u64, PendingRead>,
    last_request_id: u64,
}

impl ResponseReads {
    /// Registers the connection on which the responses of a proxy's incarnation can be read.
    pub fn add_holder(&mut self, connection: ConnectionId, incarnation: u64) {
        self.connections.insert(incarnation, connection);
    }

    /// Begins a read of a response for the proxy `reader`. Returns `None` if the holder has no connection to this
    /// registry.
    #[must_use]
    pub fn begin(&mut self, now: Millis, reader: WaitingProxy, holder: ClaimHolder) -> Option<ResponseRead> {
        let to = *self.connections.get(&holder.incarnation)?;
        self.last_request_id += 1;
        self.pending.insert(self.last_request_id, PendingRead { reader, to, sent_at: now });
        Some(ResponseRead { to, request_id: self.last_request_id })
    }

    /// Completes a read when the holder has replied. Returns the proxy that waits for the response; `None` if the
    /// request was sent on another connection or has expired.
    #[must_use]
    pub fn complete(&mut self, from: ConnectionId, request_id: u64) -> Option<WaitingProxy> {
        if self.pending.get(&request_id).is_none_or(|pending| pending.to != from) {
            return None;
        }
        self.pending.remove(&request_id).map(|pending| pending.reader)
    }

    /// Handles the end of a connection. Returns the proxies that wait for a response from it.
    #[must_use]
    pub fn connection_lost(&mut self, connection: ConnectionId) -> Vec<WaitingProxy> {
        self.connections.retain(|_, holder| *holder != connection);
        self.remove_pending(|pending| pending.to == connection)
    }

    /// Drops the reads that are older than [`READ_TIMEOUT`]. Returns the proxies that wait for them.
    #[must_use]
    pub fn expire(&mut self, now: Millis) -> Vec<WaitingProxy> {
        self.remove_pending(|pending| now > pending.sent_at + READ_TIMEOUT)
    }

    fn remove_pending(&mut self, is_removed: impl Fn(&PendingRead) -> bool) -> Vec<WaitingProxy> {
        let removed = self.pending.values().filter(|pending| is_removed(pending));
        let removed = removed.map(|pending| pending.reader).collect();
        self.pending.retain(|_, pending| !is_removed(pending));
        removed
    }
}
