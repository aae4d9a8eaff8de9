//! Commands at the leader. Queued commands are written together (group commit). Each is answered once all data replicas
//! have the state on their disks or, if the state is unchanged, have confirmed the epoch.

use super::{Replica, Role};
use crate::consensus::commands::PreparedReply;
use crate::consensus::event::ClientId;
use crate::consensus::state_machine::apply;
use violetyoke_transport::messages::{Command, ControlState, Epoch, PeerMessage, Revision, StoreId};

impl Replica {
    /// Queues a command. A candidate does so too, because it may become the leader before the command expires.
    pub(super) fn on_command(&mut self, client: ClientId, command: Command) {
        if !self.is_leader() && !self.is_candidate() {
            return self.reject([client]);
        }
        self.commands.enqueue(client, command, self.now);
        self.start_next_batch();
    }

    pub(super) fn reject_expired_commands(&mut self) {
        let expired = self.commands.take_expired(self.now);
        self.reject(expired);
    }

    /// Applies all queued commands, one after the other, and replicates the result as one new state.
    pub(super) fn start_next_batch(&mut self) {
        if !matches!(self.role, Role::Leader) {
            return;
        }
        let Some(batch) = self.commands.take_batch() else { return };
        let mut state = self.durable.state.clone();
        let mut has_changed = false;
        let mut replies = Vec::new();
        for queued in batch {
            let applied = apply(&mut state, queued.command);
            has_changed |= applied.has_changed;
            replies.push(PreparedReply { client: queued.client, outcome: applied.outcome });
        }
        if has_changed {
            self.replicate(replies, state);
        } else {
            self.confirm_leadership(replies);
        }
    }

    /// Writes a state here and sends it to the backups, which write it at the same time. The replies wait for all of
    /// them.
    fn replicate(&mut self, replies: Vec<PreparedReply>, mut state: ControlState) {
        state.revision.sequence += 1;
        self.durable.state = state;
        self.persist();
        self.commands.begin_write(replies, self.outbox.last_requested(), self.now);
        self.send_pending_write();
    }

    /// Sends the pending state to the backups that have not reported it as written.
    fn send_pending_write(&mut self) {
        let backups = self.backups();
        let Some(pending) = self.commands.mark_sent(self.now) else { return };
        let epoch = self.durable.config.epoch;
        for backup in backups.iter().filter(|backup| !pending.is_written_by(backup.id)) {
            let message = PeerMessage::Write { epoch, state: self.durable.state.clone() };
            // The message needn't wait for the leader's disk: the leader's own copy counts only once `on_persisted`
            // reports it, and the state is committed only then.
            self.outbox.send_now(backup.ip, message);
        }
    }

    pub(super) fn resend_pending_write(&mut self) {
        if self.commands.is_resend_due(self.now) {
            self.send_pending_write();
        }
    }

    /// A data replica (this store or a backup) has a state on its disk.
    ///
    /// Invariant: a state is committed, and its commands are acknowledged, only when all data replicas of the installed
    /// replica set have it on their disks.
    pub(super) fn on_written(&mut self, id: StoreId, epoch: Epoch, revision: Revision) {
        let is_current =
            epoch == self.durable.config.epoch && revision == self.durable.state.revision && self.is_leader();
        if !is_current {
            return;
        }
        self.commands.on_written(id);
        let committed = self.commands.take_committed(&self.durable.config.data_replicas);
        let Some(replies) = committed else { return };
        self.committed = self.durable.state.revision;
        self.send_replies(replies);
        self.outbox.notify_watchers_after_fsync();
        self.send_snapshots();
        self.start_next_batch();
    }

    fn send_replies(&mut self, replies: Vec<PreparedReply>) {
        for PreparedReply { client, outcome } in replies {
            self.outbox.reply_after_fsync(client, outcome);
        }
    }

    /// Sends replies that change no state once all backups have confirmed the epoch: if another store led meanwhile,
    /// the replies might be out of date.
    fn confirm_leadership(&mut self, replies: Vec<PreparedReply>) {
        let nonce = self.commands.begin_confirmation(replies, self.now);
        let epoch = self.durable.config.epoch;
        for backup in self.backups() {
            self.outbox.send_after_fsync(backup.ip, PeerMessage::Confirm { epoch, nonce });
        }
        self.on_confirmed(self.settings.node.id, epoch, nonce);
    }

    /// A data replica (this store or a backup) confirms that it has promised no higher epoch.
    ///
    /// Invariant: a read is answered only when all data replicas have confirmed the epoch after the read arrived. Any
    /// newer leader needs the promise of at least one of them.
    pub(super) fn on_confirmed(&mut self, id: StoreId, epoch: Epoch, nonce: u64) {
        if epoch != self.durable.config.epoch || !self.is_leader() {
            return;
        }
        let data_replicas = &self.durable.config.data_replicas;
        if let Some(replies) = self.commands.on_confirmed(id, nonce, data_replicas) {
            self.send_replies(replies);
        }
    }

    /// Rejects the waiting replies if this leader's next epoch starts from a newer state that a voter reported in its
    /// promise: another store has led since, and the replies depend on this store's own state.
    pub(super) fn reject_superseded_replies(&mut self, chosen: Revision) {
        if chosen > self.durable.state.revision {
            let replies = self.commands.take_replies();
            self.reject(replies.into_iter().map(|reply| reply.client));
        }
    }

    /// Sends the waiting replies once this leader's next epoch is installed: all data replicas then have the state that
    /// was pending under the previous epoch.
    pub(super) fn reply_to_committed(&mut self) {
        let replies = self.commands.take_replies();
        self.send_replies(replies);
    }

    /// Notifies watchers when contact with the backups is lost or restored.
    pub(super) fn notify_contact_change(&mut self) {
        let in_contact = self.is_leader_in_contact();
        if in_contact != self.notified_contact {
            self.notified_contact = in_contact;
            self.outbox.notify_watchers_now();
        }
    }
}
