//! Reconfiguration by the leader: which stores vote and which hold data. A learner that has caught up replaces a voter
//! that sends no heartbeats, is leaving, or has lost its disk.
//!
//! Invariant: a leader changes only the voters of its own installed replica set, one change at a time, and a change
//! needs a majority of the old voters and one of the new voters (`Proposal`, joint consensus).

use super::Replica;
use crate::consensus::event::Millis;
use crate::consensus::quorum::{data_replica_count, is_majority};
use violetyoke_transport::messages::{StoreId, StoreNode};

/// A voter that has sent no heartbeat for this time may be replaced. Longer than the time after which it is suspected.
const REPLACE_AFTER: Millis = 1_300;
/// The minimum time between the installation of a replica set and a change of its voters.
const CHANGE_INTERVAL: Millis = 300;
/// The minimum time before the data replicas change only to spread them over zones.
const ZONE_CHANGE_INTERVAL: Millis = 1_500;
/// The minimum time between two attempts of a leader to start a new epoch.
pub(super) const ATTEMPT_INTERVAL: Millis = 500;

impl Replica {
    /// Starts a new epoch if a better replica set is possible.
    pub(super) fn maybe_reconfigure(&mut self) {
        let is_backing_off = self.timers.is_backing_off(self.now);
        if !self.status.is_disk_healthy || self.status.is_leaving || is_backing_off {
            return;
        }
        let voters = &self.durable.config.voters;
        // A reconfiguration doesn't wait for pending commands: under a steady load there always are some, and they are
        // answered under the next epoch.
        let mut next_voters =
            if self.is_installed_for(CHANGE_INTERVAL) { self.next_voters() } else { voters.clone() };
        if !self.voter_gate.admits(voters, &next_voters) {
            next_voters.clone_from(voters);
        }
        let voters_change = next_voters != *voters;
        let has_improvement =
            voters_change || self.can_replace_backup(&next_voters) || self.can_spread_zones();
        if has_improvement && is_majority(voters, |id| self.is_local(id) || self.is_reachable(id)) {
            self.timers.set_backoff(self.now + ATTEMPT_INTERVAL);
            self.start_prepare(voters_change.then_some(next_voters));
        }
    }

    fn is_installed_for(&self, interval: Millis) -> bool {
        self.now > self.timers.installed_at() + interval
    }

    /// The voters to change to: at most one voter is replaced, or one or two are added.
    fn next_voters(&self) -> Vec<StoreNode> {
        let ready: Vec<&StoreNode> =
            self.learners().filter(|peer| self.has_caught_up(peer)).map(|peer| &peer.node).collect();
        let mut voters = self.durable.config.voters.clone();
        if let Some((index, learner)) = self.replacement(&ready) {
            voters[index] = learner.clone();
            return voters;
        }
        // An even number of voters tolerates no more failures than the odd number below it.
        let max_voters = (2 * self.settings.fault_tolerance as usize + 1).max(self.settings.seeds.len());
        let added = if voters.len().is_multiple_of(2) { 1 } else { 2 };
        if ready.len() >= added && voters.len() + added <= max_voters {
            voters.extend(ready.into_iter().take(added).cloned());
        }
        voters
    }

    /// The index of a voter to be replaced, and the learner that replaces it.
    fn replacement<'a>(&self, ready: &[&'a StoreNode]) -> Option<(usize, &'a StoreNode)> {
        let voters = &self.durable.config.voters;
        // A learner with a new disk replaces the voter at the same address; a disk that was moved to another machine
        // replaces the voter with the same id.
        let same_store = ready.iter().find_map(|learner| {
            let is_same = |voter: &StoreNode| voter.ip == learner.ip || voter.id == learner.id;
            voters.iter().position(is_same).map(|index| (index, *learner))
        });
        let is_replaceable = |voter: &StoreNode| {
            let is_silent = || self.time_since_heard(voter.ip) > REPLACE_AFTER;
            !self.is_local(voter.id) && (is_silent() || self.is_known_to_leave(voter.id))
        };
        same_store.or_else(|| Some((voters.iter().position(is_replaceable)?, *ready.first()?)))
    }

    /// Whether a store is alive and has announced that it is leaving.
    fn is_known_to_leave(&self, id: StoreId) -> bool {
        self.is_reachable(id) && !self.is_eligible(id)
    }

    /// Whether a backup is down or leaving, and enough other voters can hold data.
    fn can_replace_backup(&self, voters: &[StoreNode]) -> bool {
        let has_enough = |can_hold_data: &dyn Fn(StoreId) -> bool| {
            let candidates = voters.iter().filter(|voter| self.is_local(voter.id) || can_hold_data(voter.id));
            candidates.count() >= data_replica_count(voters)
        };
        let backups = self.backups();
        let is_one_down = backups.iter().any(|backup| !self.is_reachable(backup.id));
        let is_one_leaving = backups.iter().any(|backup| !self.is_eligible(backup.id));
        is_one_down && has_enough(&|id| self.is_reachable(id))
            || is_one_leaving && has_enough(&|id| self.is_eligible(id))
    }

    /// Whether all data replicas are in one zone although an eligible voter is in another, and no write is pending.
    fn can_spread_zones(&self) -> bool {
        let config = &self.durable.config;
        let zone = &self.settings.node.zone;
        let is_elsewhere = |voter: &StoreNode| voter.zone != *zone && self.is_eligible(voter.id);
        let mut data_replicas = config.voters.iter().filter(|voter| config.data_replicas.contains(&voter.id));
        self.commands.pending().is_none()
            && self.is_installed_for(ZONE_CHANGE_INTERVAL)
            && config.voters.iter().any(is_elsewhere)
            && data_replicas.all(|voter| voter.zone == *zone)
    }
}
