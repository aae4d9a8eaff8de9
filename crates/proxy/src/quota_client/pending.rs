//! Increments whose reply is outstanding.

use crate::registries::RegistryConnectionId;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use tokio::sync::oneshot;
use violetyoke_quota::Admission;

/// What a registry replies to an increment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnerReply {
    /// It owns the tenant's counter, and decided.
    Decided(Admission),
    /// It does not own the tenant's counter.
    NotOwner,
}

/// Outstanding increments, by request id.
#[derive(Debug, Default)]
pub(super) struct PendingIncrements {
    by_request_id: HashMap<u32, PendingIncrement>,
    last_request_id: u32,
}

#[derive(Debug)]
struct PendingIncrement {
    sent_on: RegistryConnectionId,
    reply: oneshot::Sender<OwnerReply>,
}

impl PendingIncrements {
    /// Adds an increment that is sent on a connection. Returns its request id, and where its reply arrives.
    pub(super) fn register(&mut self, sent_on: RegistryConnectionId) -> (u32, oneshot::Receiver<OwnerReply>) {
        self.last_request_id = self.last_request_id.wrapping_add(1);
        let (reply, receiver) = oneshot::channel();
        self.by_request_id.insert(self.last_request_id, PendingIncrement { sent_on, reply });
        (self.last_request_id, receiver)
    }

    /// Passes on a reply. One that came on another connection than the increment was sent on belongs to none of ours.
    pub(super) fn complete(&mut self, from: RegistryConnectionId, request_id: u32, reply: OwnerReply) {
        if self.by_request_id.get(&request_id).is_none_or(|pending| pending.sent_on != from) {
            return;
        }
        if let Some(pending) = self.by_request_id.remove(&request_id) {
            // Lost if the request has just timed out: it was decided locally.
            drop(pending.reply.send(reply));
        }
    }

    /// Drops an increment that is no longer waited for.
    pub(super) fn cancel(&mut self, request_id: u32) {
        self.by_request_id.remove(&request_id);
    }

    /// Drops all increments that were sent to a registry: whoever waits learns at once that no reply will come.
    pub(super) fn fail_all(&mut self, registry: Ipv4Addr) {
        self.by_request_id.retain(|_, pending| pending.sent_on.registry != registry);
    }
}
