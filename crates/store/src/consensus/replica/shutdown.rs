//! Graceful shutdown: others take over what this store has before its process ends.

use super::{Replica, Role};
use crate::consensus::peers::Peer;

impl Replica {
    /// Announces at once that this store leaves.
    pub(super) fn on_shutdown(&mut self) {
        self.status.is_leaving = true;
        self.request_heartbeat();
        self.send_due_heartbeats();
    }

    /// After [`Event::Shutdown`](crate::consensus::Event::Shutdown): whether others have what this store had, as far as
    /// they can. That another store gets its vote is waited for only while there is a learner that could.
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
        let is_newcomer = |peer: &Peer| {
            let is_voter = config.voters.iter().any(|voter| voter.ip == peer.node.ip);
            !is_voter && !peer.heartbeat.is_leaving
        };
        let has_successor = || self.peers.alive(self.now).any(is_newcomer);
        !(config.data_replicas.contains(&id) || config.has_voter(id) && has_successor())
    }
}
