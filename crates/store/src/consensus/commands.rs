//! Operators' commands at the leader, from arrival to reply: queued, then pending (being written) or being confirmed.

use super::event::{ClientId, Millis, WriteNumber};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use violetyoke_transport::messages::{Command, Outcome, StoreId};

/// The leader sends the pending state again after this time to data replicas that have not reported it as written.
const RESEND_AFTER: Millis = 250;
/// Limits how long a command waits for an epoch to be installed, and a reply for its confirmation. A registry waits at
/// least as long, so that no command takes effect long after its operator was told that the outcome is unknown.
const COMMAND_TIMEOUT: Millis = 900;

/// A reply that is sent once the state is committed or the leadership is confirmed.
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
    /// The replies to the commands that were applied to this state.
    replies: Vec<PreparedReply>,
    /// The write that makes the state durable on this store's own disk.
    pub(super) write: WriteNumber,
    /// Ids of the data replicas that have the state on their disks.
    written: BTreeSet<StoreId>,
    sent_at: Millis,
}

/// Replies that wait until all data replicas have confirmed that they have promised no higher epoch.
#[derive(Clone, Debug)]
struct Confirmation {
    replies: Vec<PreparedReply>,
    confirmed: BTreeSet<StoreId>,
    started_at: Millis,
}

/// The commands that are not answered yet, by stage.
#[derive(Clone, Debug, Default)]
pub(super) struct CommandsInFlight {
    queued: VecDeque<QueuedCommand>,
    pending: Option<PendingWrite>,
    /// Confirmations under way, by nonce.
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

    /// Takes all queued commands. `None` if there are none, or if a write is pending.
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

    /// Records that the pending write, if any, is sent now, and returns it.
    pub(super) fn mark_sent(&mut self, now: Millis) -> Option<&PendingWrite> {
        let pending = self.pending.as_mut()?;
        pending.sent_at = now;
        Some(pending)
    }

    /// Whether to send the pending write again: its messages may be lost with a connection.
    pub(super) fn is_resend_due(&self, now: Millis) -> bool {
        self.pending.as_ref().is_some_and(|pending| now > pending.sent_at + RESEND_AFTER)
    }

    /// Records that a data replica has the pending write on its disk.
    pub(super) fn on_written(&mut self, id: StoreId) {
        if let Some(pending) = &mut self.pending {
            pending.written.insert(id);
        }
    }

    /// If all data replicas have the pending write on their disks, ends it and returns its replies.
    #[must_use]
    pub(super) fn take_committed(&mut self, data_replicas: &[StoreId]) -> Option<Vec<PreparedReply>> {
        let is_committed =
            |pending: &mut PendingWrite| data_replicas.iter().all(|id| pending.written.contains(id));
        self.pending.take_if(is_committed).map(|pending| pending.replies)
    }

    /// Delays replies until all data replicas have confirmed the returned nonce.
    pub(super) fn begin_confirmation(&mut self, replies: Vec<PreparedReply>, now: Millis) -> u64 {
        self.last_nonce += 1;
        let confirmation = Confirmation { replies, confirmed: BTreeSet::new(), started_at: now };
        self.confirming.insert(self.last_nonce, confirmation);
        self.last_nonce
    }

    /// Records that a data replica has confirmed a nonce; returns the replies once all data replicas have.
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

    /// Drops commands and replies that have waited too long, and returns their clients. A pending write is not dropped:
    /// other stores may have it on their disks.
    #[must_use]
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<ClientId> {
        let is_expired = |started_at: Millis| now > started_at + COMMAND_TIMEOUT;
        let mut clients = Vec::new();
        self.queued.retain(|queued| {
            if is_expired(queued.queued_at) {
                clients.push(queued.client);
            }
            !is_expired(queued.queued_at)
        });
        self.confirming.retain(|_, confirmation| {
            if is_expired(confirmation.started_at) {
                clients.extend(confirmation.replies.iter().map(|reply| reply.client));
            }
            !is_expired(confirmation.started_at)
        });
        clients
    }

    /// Takes all replies that wait for a commit or a confirmation.
    #[must_use]
    pub(super) fn take_replies(&mut self) -> Vec<PreparedReply> {
        let pending = self.pending.take().map(|pending| pending.replies).into_iter().flatten();
        let confirming = std::mem::take(&mut self.confirming).into_values();
        pending.chain(confirming.flat_map(|confirmation| confirmation.replies)).collect()
    }

    /// Drops all commands and replies, and returns their clients.
    #[must_use]
    pub(super) fn take_clients(&mut self) -> Vec<ClientId> {
        let queued = std::mem::take(&mut self.queued).into_iter().map(|queued| queued.client);
        queued.chain(self.take_replies().into_iter().map(|reply| reply.client)).collect()
    }
}
