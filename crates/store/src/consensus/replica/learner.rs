//! Learners: stores without a vote that replicate the committed state and may replace a voter.

use super::Replica;
use crate::consensus::peers::Peer;
use violetyoke_transport::messages::{ControlState, Epoch, PeerMessage, StoreNode};

/// A learner that lacks at most this many writes has caught up: it gets the rest with the replica set that includes it.
const MAX_LEARNER_LAG: u64 = 8;

impl Replica {
    /// Learners that are alive and not leaving.
    pub(super) fn learners(&self) -> impl Iterator<Item = &Peer> {
        let voters = &self.durable.config.voters;
        let is_learner = |peer: &&Peer| !voters.contains(&peer.node) && !peer.heartbeat.is_leaving;
        self.peers.alive(self.now).filter(is_learner)
    }

    pub(super) fn has_caught_up(&self, learner: &Peer) -> bool {
        if !self.settings.checks.learners_catch_up {
            return true;
        }
        let persisted = learner.heartbeat.persisted;
        learner.heartbeat.config.epoch == self.durable.config.epoch
            && persisted.epoch == self.committed.epoch
            && persisted.sequence.saturating_add(MAX_LEARNER_LAG) >= self.committed.sequence
    }

    /// Sends the committed state to learners that have an older one, unless a newer state is on its way to them.
    pub(super) fn send_snapshots(&mut self) {
        if !self.is_leader() || self.committed != self.durable.state.revision {
            return;
        }
        let (now, committed, epoch) = (self.now, self.committed, self.durable.config.epoch);
        let is_behind = |peer: &&Peer| {
            let persisted = peer.heartbeat.persisted;
            peer.heartbeat.config.epoch == epoch
                && persisted < committed
                && !self.snapshots.is_in_flight(peer.node.id, persisted, now)
        };
        let behind: Vec<StoreNode> =
            self.learners().filter(is_behind).map(|peer| peer.node.clone()).collect();
        for learner in behind {
            self.snapshots.record(learner.id, committed, now);
            let state = self.durable.state.clone();
            self.outbox.send_after_fsync(learner.ip, PeerMessage::Snapshot { epoch, state });
        }
    }

    /// Accepts the committed state from the leader of the accepted replica set, on a learner. A witness that has
    /// promised no higher epoch accepts it too: the leader treats a witness as a learner if its address or zone has
    /// changed.
    ///
    /// Invariants: the accepted revision never decreases, and a data replica changes its state only by `on_accept` and
    /// `on_write`.
    pub(super) fn on_snapshot(&mut self, epoch: Epoch, state: ControlState) {
        let config = &self.durable.config;
        let may_accept = !config.has_voter(self.settings.node.id) || epoch == self.durable.promised;
        let is_newer = state.revision > self.durable.state.revision;
        if epoch == config.epoch && !self.is_data_replica() && may_accept && is_newer {
            self.durable.state = state;
            self.persist();
        }
    }
}
