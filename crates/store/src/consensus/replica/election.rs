//! When a follower becomes a candidate: on the first start of the system, and when no live leader is known.

use super::{Replica, Role};
use crate::consensus::event::Millis;
use crate::consensus::quorum::{is_joint_majority, jitter};
use violetyoke_transport::messages::{Epoch, StoreNode};

/// Each backup starts its attempt this much later than the backup before it in the list of data replicas.
const BACKUP_DELAY: Millis = 150;
/// A witness starts its attempt after this time, so that backups try first.
const WITNESS_DELAY: Millis = 300;
/// The maximum jitter between stores with the same delay.
const MAX_JITTER: Millis = 60;

impl Replica {
    pub(super) fn is_candidate(&self) -> bool {
        matches!(self.role, Role::Preparing(_) | Role::Proposing(_))
    }

    /// Becomes a candidate if no live leader is known, after a delay by rank. The delay only matters for availability:
    /// any store may prepare an epoch at any time without violating safety.
    pub(super) fn maybe_start_election(&mut self) {
        if self.newest_config().epoch == Epoch::default() {
            return self.maybe_bootstrap();
        }
        let checked = self.settings.checks.data_replicas_vote;
        let config = if checked { self.newest_config() } else { &self.durable.config };
        let id = self.settings.node.id;
        let is_voter = config.has_voter(id);
        let rank = config.data_replicas.iter().skip(1).position(|replica| *replica == id);
        let hears_majority = is_joint_majority(config, |id| self.is_local(id) || self.is_reachable(id));
        if !is_voter || self.status.is_leaving || self.live_leader_config().is_some() {
            return self.timers.clear_leaderless();
        }
        let leaderless_since = self.timers.leaderless_since(self.now);
        let delay = rank.map_or(WITNESS_DELAY, |rank| rank as Millis * BACKUP_DELAY);
        let wait = delay + jitter(id, self.highest_epoch, MAX_JITTER);
        let is_due = self.now >= leaderless_since + wait && !self.timers.is_backing_off(self.now);
        if self.status.is_disk_healthy && hears_majority && is_due {
            self.start_prepare(None);
        }
    }

    /// Starts the first epoch, if this store is the first seed and all seeds are reachable with empty disks.
    fn maybe_bootstrap(&mut self) {
        let is_first = self.settings.seeds.first() == Some(&self.settings.node.ip);
        if !self.durable.is_bootstrapping || !is_first || !self.status.is_disk_healthy {
            return;
        }
        if let Some(voters) = self.bootstrap_voters() {
            self.durable.config.voters = voters;
            self.start_prepare(None);
        }
    }

    /// The seeds, if this store is one of them and all others are reachable and bootstrapping.
    fn bootstrap_voters(&self) -> Option<Vec<StoreNode>> {
        let node = &self.settings.node;
        let mut voters = Vec::new();
        for seed in &self.settings.seeds {
            match self.peers.peer_at(*seed) {
                _ if *seed == node.ip => voters.push(node.clone()),
                Some(peer) if peer.heartbeat.is_bootstrapping && self.is_reachable(peer.node.id) => {
                    voters.push(peer.node.clone());
                }
                _ => return None,
            }
        }
        voters.contains(node).then_some(voters)
    }
}
