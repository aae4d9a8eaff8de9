//! Graceful shutdown: other stores take over this store's leadership, data and vote before its process ends.

use super::{Replica, Role};
use crate::consensus::peers::Peer;

impl Replica {
    /// Announces at once that this store is leaving.
    pub(super) fn on_shutdown(&mut self) {
        self.status.is_leaving = true;
        self.request_heartbeat();
        self.send_due_heartbeats();
    }

    /// Whether other stores have taken over after [`Event::Shutdown`](crate::consensus::Event::Shutdown): this store
    /// doesn't lead and holds no data. Its vote has to be taken over only while a learner that can do so is alive.
    #[must_use]
    pub fn is_handover_complete(&self) -> bool {
        if !self.status.is_leaving || !matches!(self.role, Role::Follower) {
            return false;
        }
        if self.peers.addresses().is_empty() {
            return true;
        }
        let Some(config) = self.live_leader_config() else { return false };
        let id = self.settings.node.id;
        let can_take_vote = |peer: &Peer| {
            let is_voter = config.voters.iter().any(|voter| voter.ip == peer.node.ip);
            !is_voter && !peer.heartbeat.is_leaving
        };
        let has_successor = || self.peers.alive(self.now).any(can_take_vote);
        !(config.data_replicas.contains(&id) || config.has_voter(id) && has_successor())
    }
}
