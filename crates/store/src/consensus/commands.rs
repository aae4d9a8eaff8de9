//! Operators' commands at the leader, from their arrival to their reply.

use super::event::{ClientId, Millis, WriteNumber};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use violetyoke_transport::messages::{Command, Outcome, StoreId};

/// A state that a data replica has not reported as written is sent again after this time.
const RESEND_AFTER: Millis = 250;
/// A command waits this long for an epoch to be installed, and a reply for its confirmation: no longer than a registry
/// waits, so that nothing takes effect long after its operator was answered that the outcome is unknown.
const COMMAND_TIMEOUT: Millis = 900;

/// A reply that is ready but for its commit or confirmation.
#[derive(Clone, Debug)]
pub(super) struct PreparedReply {
    pub(super) client: ClientId,
    pub(super) outcome: Outcome,
}

/// A command that waits to be applied.
#[derive(Clone, Debug)]
pub(super) struct QueuedCommand {
    pub(super) client: ClientId,
    pub(super) command: Command,
    queued_at: Millis,
}

/// The state that the leader is replicating. There is one at a time.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    /// The replies of the commands that led to it.
    replies: Vec<PreparedReply>,
    /// The write that makes it durable on this store's own disk.
    pub(super) write: WriteNumber,
    /// Ids of the data replicas that have it on their disks.
    written: BTreeSet<StoreId>,
    sent_at: Millis,
}

/// Replies that wait until all data replicas have confirmed that no higher epoch was promised.
#[derive(Clone, Debug)]
struct Confirmation {
    replies: Vec<PreparedReply>,
    confirmed: BTreeSet<StoreId>,
    since: Millis,
}

/// Commands in each stage.
#[derive(Clone, Debug, Default)]
pub(super) struct CommandsInFlight {
    queued: VecDeque<QueuedCommand>,
    pending: Option<PendingWrite>,
    /// By their nonces.
    confirming: BTreeMap<u64, Confirmation>,
    last_nonce: u64,
}

impl PendingWrite {
    pub(super) fn is_written_by(&self, id: StoreId) -> bool {
        self.written.contains(&id)
    }
}

impl CommandsInFlight {
    pub(super) fn enqueue(&mut self, client: ClientId, command: Command, now: Millis) {
        self.queued.push_back(QueuedCommand { client, command, queued_at: now });
    }

    /// All queued commands, where none is being replicated and there are any.
    #[must_use]
    pub(super) fn take_batch(&mut self) -> Option<VecDeque<QueuedCommand>> {
        let is_ready = self.pending.is_none() && !self.queued.is_empty();
        is_ready.then(|| std::mem::take(&mut self.queued))
    }

    pub(super) fn begin_write(&mut self, replies: Vec<PreparedReply>, write: WriteNumber, now: Millis) {
        self.pending = Some(PendingWrite { replies, write, written: BTreeSet::new(), sent_at: now });
    }

    pub(super) fn pending(&self) -> Option<&PendingWrite> {
        self.pending.as_ref()
    }

    /// The pending write is sent now; what it is, if there is one.
    pub(super) fn mark_sent(&mut self, now: Millis) -> Option<&PendingWrite> {
        let pending = self.pending.as_mut()?;
        pending.sent_at = now;
        Some(pending)
    }

    /// A message may be lost with its connection while both ends are healthy.
    pub(super) fn is_resend_due(&self, now: Millis) -> bool {
        self.pending.as_ref().is_some_and(|pending| now > pending.sent_at + RESEND_AFTER)
    }

    /// A data replica has the pending write on its disk.
    pub(super) fn on_written(&mut self, id: StoreId) {
        if let Some(pending) = &mut self.pending {
            pending.written.insert(id);
        }
    }

    /// Ends the pending write where all data replicas have it; its replies.
    #[must_use]
    pub(super) fn take_committed(&mut self, data_replicas: &[StoreId]) -> Option<Vec<PreparedReply>> {
        let is_committed =
            |pending: &mut PendingWrite| data_replicas.iter().all(|id| pending.written.contains(id));
        self.pending.take_if(is_committed).map(|pending| pending.replies)
    }

    /// Holds replies back until all data replicas have confirmed the returned nonce.
    pub(super) fn begin_confirmation(&mut self, replies: Vec<PreparedReply>, now: Millis) -> u64 {
        self.last_nonce += 1;
        let confirmation = Confirmation { replies, confirmed: BTreeSet::new(), since: now };
        self.confirming.insert(self.last_nonce, confirmation);
        self.last_nonce
    }

    /// A data replica confirms a nonce; the replies, once all have.
    #[must_use]
    pub(super) fn on_confirmed(
        &mut self,
        id: StoreId,
        nonce: u64,
        data_replicas: &[StoreId],
    ) -> Option<Vec<PreparedReply>> {
        let confirmed = &mut self.confirming.get_mut(&nonce)?.confirmed;
        confirmed.insert(id);
        if !data_replicas.iter().all(|id| confirmed.contains(id)) {
            return None;
        }
        self.confirming.remove(&nonce).map(|confirmation| confirmation.replies)
    }

    /// Drops what has waited too long; whose commands those were. A pending write goes on: it may be on other disks.
    #[must_use]
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<ClientId> {
        let is_expired = |since: Millis| now > since + COMMAND_TIMEOUT;
        let mut clients = Vec::new();
        self.queued.retain(|queued| {
            if is_expired(queued.queued_at) {
                clients.push(queued.client);
            }
            !is_expired(queued.queued_at)
        });
        self.confirming.retain(|_, confirmation| {
            if is_expired(confirmation.since) {
                clients.extend(confirmation.replies.iter().map(|reply| reply.client));
            }
            !is_expired(confirmation.since)
        });
        clients
    }

    /// Ends all replies that wait for a commit or a confirmation.
    #[must_use]
    pub(super) fn take_replies(&mut self) -> Vec<PreparedReply> {
        let pending = self.pending.take().map(|pending| pending.replies).into_iter().flatten();
        let confirming = std::mem::take(&mut self.confirming).into_values();
        pending.chain(confirming.flat_map(|confirmation| confirmation.replies)).collect()
    }

    /// Ends all stages; whose commands those were.
    #[must_use]
    pub(super) fn take_clients(&mut self) -> Vec<ClientId> {
        let queued = std::mem::take(&mut self.queued).into_iter().map(|queued| queued.client);
        queued.chain(self.take_replies().into_iter().map(|reply| reply.client)).collect()
    }
}
