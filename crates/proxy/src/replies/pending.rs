//! Requests to registries that wait for their reply.

use crate::registries::RegistryConnectionId;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use tokio::sync::oneshot;

/// Outstanding requests, by request id.
#[derive(Debug)]
pub(crate) struct PendingReplies<R> {
    by_request_id: HashMap<u32, PendingReply<R>>,
    last_request_id: u32,
}

#[derive(Debug)]
struct PendingReply<R> {
    sent_on: RegistryConnectionId,
    reply: oneshot::Sender<R>,
}

impl<R> Default for PendingReplies<R> {
    fn default() -> PendingReplies<R> {
        PendingReplies { by_request_id: HashMap::new(), last_request_id: 0 }
    }
}

impl<R> PendingReplies<R> {
    /// An id that no other request has.
    pub(crate) fn next_request_id(&mut self) -> u32 {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        self.last_request_id
    }

    /// Adds a request that is sent on the connection `sent_on`. Returns the request id and the receiver of
    /// the reply.
    pub(crate) fn register(&mut self, sent_on: RegistryConnectionId) -> (u32, oneshot::Receiver<R>) {
        let request_id = self.next_request_id();
        let (reply, receiver) = oneshot::channel();
        self.by_request_id.insert(request_id, PendingReply { sent_on, reply });
        (request_id, receiver)
    }

    /// Delivers a reply. Returns whether a request was waiting for it. A reply from another connection than
    /// that of its request is ignored, as it does not belong to this request.
    pub(crate) fn complete(&mut self, from: RegistryConnectionId, request_id: u32, reply: R) -> bool {
        if self.by_request_id.get(&request_id).is_none_or(|pending| pending.sent_on != from) {
            return false;
        }
        let Some(pending) = self.by_request_id.remove(&request_id) else { return false };
        // Fails if the waiting request has just been dropped.
        pending.reply.send(reply).is_ok()
    }

    /// Whether the request still waits for its reply.
    pub(crate) fn is_outstanding(&self, request_id: u32) -> bool {
        self.by_request_id.contains_key(&request_id)
    }

    /// Removes a request whose reply is no longer needed.
    pub(crate) fn cancel(&mut self, request_id: u32) {
        self.by_request_id.remove(&request_id);
    }

    /// Removes all requests that were sent to a registry. Their receivers fail immediately.
    pub(crate) fn fail_all(&mut self, registry: Ipv4Addr) {
        self.by_request_id.retain(|_, pending| pending.sent_on.registry != registry);
    }
}
