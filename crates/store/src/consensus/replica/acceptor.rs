//! Handlers of the requests of candidates and leaders: promising, accepting and writing, as the acceptor of Paxos and
//! as the backup of primary-backup replication. Each reply waits for the disk.

use super::{Replica, Role};
use crate::consensus::role::PHASE_TIMEOUT;
use violetyoke_transport::messages::{
    ControlState, Epoch, InitialState, PeerMessage, ReplicaConfig, Revision, StoreNode,
};

impl Replica {
    fn refuse(&mut self, to: &StoreNode, epoch: Epoch) {
        let promised = self.durable.promised;
        self.outbox.send_after_fsync(to.ip, PeerMessage::Refuse { epoch, promised });
    }

    /// Raises the promise; a leader or candidate of a lower epoch steps down.
    fn raise_promise(&mut self, epoch: Epoch) {
        self.durable.promised = epoch;
        self.highest_epoch = self.highest_epoch.max(epoch);
        if !matches!(self.role, Role::Follower) {
            self.step_down();
        }
    }

    /// Delays this store's own candidacy for the length of a phase, so that the present candidate can finish. Without
    /// the delay, stores would supersede each other's epochs for as long as a voter's disk is slow.
    fn defer_to_candidate(&mut self) {
        self.timers.restart_leaderless(self.now);
        self.timers.extend_backoff(self.now + PHASE_TIMEOUT);
    }

    /// Phase 1 of Paxos: promises to accept nothing of an epoch below `epoch`, and reports what this store has
    /// accepted.
    ///
    /// Invariant: each epoch is promised once, and the promise is on the disk before it is sent.
    pub(super) fn on_prepare(&mut self, from: &StoreNode, epoch: Epoch, newest: Revision) {
        if epoch <= self.durable.promised {
            return self.refuse(from, epoch);
        }
        self.raise_promise(epoch);
        self.persist();
        let (config, revision) = (self.durable.config.clone(), self.durable.state.revision);
        let state = (revision > newest).then(|| self.durable.state.clone());
        let promise = PeerMessage::Promise { epoch, config, revision, state };
        self.outbox.send_after_fsync(from.ip, promise);
        self.defer_to_candidate();
    }

    /// Phase 2 of Paxos: accepts a replica set and, on a data replica, its initial state.
    ///
    /// Invariants: nothing below the promised epoch is accepted; the accepted revision never decreases; a data replica
    /// accepts only if it then has exactly the initial state that the candidate proposed.
    pub(super) fn on_accept(&mut self, from: &StoreNode, config: ReplicaConfig, state: Option<InitialState>) {
        let epoch = config.epoch;
        if epoch < self.durable.promised {
            return self.refuse(from, epoch);
        }
        let accepted = self.durable.state.revision;
        match state {
            None => {}
            Some(InitialState::Full(state)) if state.revision > accepted => self.durable.state = state,
            Some(InitialState::Full(_)) => {}
            Some(InitialState::Promised { from, to }) if from == accepted || to == accepted => {
                self.durable.state.revision = to;
            }
            // This store has another state than the one proposed: it doesn't accept, and the candidate retries after
            // its time-out.
            Some(InitialState::Promised { .. }) => return,
        }
        if epoch > self.durable.promised || !matches!(self.role, Role::Follower) {
            self.raise_promise(epoch);
        }
        self.durable.config = config;
        self.durable.is_bootstrapping = false;
        self.persist();
        self.outbox.send_after_fsync(from.ip, PeerMessage::Accepted { epoch });
        self.defer_to_candidate();
    }

    /// As a backup, writes the leader's state.
    ///
    /// Invariant: the epoch is the accepted one and no higher epoch is promised, so that a superseded leader gets no
    /// acknowledgement.
    pub(super) fn on_write(&mut self, from: &StoreNode, epoch: Epoch, state: ControlState) {
        if !self.is_current_epoch(epoch) {
            return self.refuse(from, epoch);
        }
        let revision = state.revision;
        if revision > self.durable.state.revision {
            self.durable.state = state;
            self.persist();
        }
        self.outbox.send_after_fsync(from.ip, PeerMessage::Written { epoch, revision });
    }

    /// Confirms to the leader that this store has promised no higher epoch, so that the leader may answer a read.
    pub(super) fn on_confirm(&mut self, from: &StoreNode, epoch: Epoch, nonce: u64) {
        if !self.is_current_epoch(epoch) {
            return self.refuse(from, epoch);
        }
        self.outbox.send_after_fsync(from.ip, PeerMessage::Confirmed { epoch, nonce });
    }

    fn is_current_epoch(&self, epoch: Epoch) -> bool {
        epoch == self.durable.config.epoch && epoch == self.durable.promised
    }
}
