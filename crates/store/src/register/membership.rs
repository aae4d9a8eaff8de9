//! Who votes. A store without a vote is a learner: the primary sends it the committed state, and gives it the place of
//! a voter that is silent, leaves, or has lost its disk, once it has that state. One change of places at a time: a
//! primary changes the voters of its installed replica set only.

use super::quorum::majority;
use super::{Millis, Peer, Register, Role};
use violetyoke_transport::messages::{ControlState, PeerMessage, StoreNode};

/// Silence after which a voter's place may go to a learner; more than what suspects it.
const REPLACE_AFTER: Millis = 1_300;
/// A replica set is installed for so long before places change again.
const CHANGE_INTERVAL: Millis = 300;
/// The same for a change of data_replicas that only spreads them over zones.
const ZONES_INTERVAL: Millis = 1_500;
/// Pause after an attempt to change the replica set.
const ATTEMPT_INTERVAL: Millis = 500;
/// A snapshot that a learner has not persisted is sent again after so long.
const SNAPSHOT_RETRY: Millis = 1_000;
/// A learner that lacks no more writes than these is caught up: what it lacks comes with the replica set that names it.
const LEARNER_LAG: u64 = 8;

impl Register {
    /// Learners that can be reached and stay.
    fn learners(&self) -> impl Iterator<Item = &Peer> {
        let voters = &self.durable.config.voters;
        let learner = |peer: &&Peer| !voters.contains(&peer.node) && !peer.heartbeat.is_leaving;
        self.peers.values().filter(learner).filter(|peer| self.hears(peer))
    }

    fn caught_up(&self, peer: &Peer) -> bool {
        if !self.guards.learner_first {
            return true;
        }
        let has = peer.heartbeat.persisted;
        let follows = peer.heartbeat.config.epoch == self.durable.config.epoch;
        follows && has.epoch == self.committed.epoch && has.sequence + LEARNER_LAG >= self.committed.sequence
    }

    /// Sends the committed state to learners that have an older one and nothing newer on its way.
    pub(super) fn send_snapshots(&mut self) {
        if !self.active() || self.committed != self.durable.held.revision {
            return;
        }
        let (now, committed, epoch) = (self.now, self.committed, self.durable.config.epoch);
        let behind = |peer: &&Peer| {
            let sent = self.snapshots.get(&peer.node.id);
            let under_way = |(revision, at): &(_, Millis)| {
                peer.heartbeat.persisted < *revision && now < at + SNAPSHOT_RETRY
            };
            peer.heartbeat.config.epoch == epoch
                && peer.heartbeat.persisted < committed
                && !sent.is_some_and(under_way)
        };
        let to: Vec<StoreNode> = self.learners().filter(behind).map(|peer| peer.node.clone()).collect();
        for learner in to {
            self.snapshots.insert(learner.id, (committed, now));
            let state = self.durable.held.clone();
            self.send(learner.ip, PeerMessage::Snapshot { epoch, state });
        }
    }

    /// A learner takes the state of the replica set that it knows. So does a voter that holds nothing and has promised no
    /// higher epoch: the primary takes it for a learner where its address or zone is another by now.
    pub(super) fn snapshot(&mut self, epoch: u64, state: ControlState) {
        let config = &self.durable.config;
        let holder = config.data_replicas.contains(&self.me.id);
        let free = !config.has_voter(self.me.id) || epoch == self.durable.promised;
        if epoch == config.epoch && !holder && free && state.revision > self.durable.held.revision {
            self.durable.held = state;
            self.keep();
        }
    }

    /// Voters as they should be: at most one place changes hands, or a pair is added.
    fn next_voters(&self) -> Vec<StoreNode> {
        let mut next = self.durable.config.voters.clone();
        let ready: Vec<&StoreNode> =
            self.learners().filter(|peer| self.caught_up(peer)).map(|peer| &peer.node).collect();
        // A machine whose disk was lost takes the place of the disk; a disk that is elsewhere now keeps its own.
        for learner in &ready {
            let same = |voter: &StoreNode| voter.ip == learner.ip || voter.id == learner.id;
            if let Some(place) = next.iter().position(same) {
                next[place] = (*learner).clone();
                return next;
            }
        }
        let replaceable = |voter: &StoreNode| {
            voter.id != self.me.id && (self.silent_for(voter.ip) > REPLACE_AFTER || self.leaves(voter.id))
        };
        if let (Some(learner), Some(place)) = (ready.first(), next.iter().position(replaceable)) {
            next[place] = (*learner).clone();
            return next;
        }
        // An even number bears no more losses than the odd one below it.
        let most = (2 * self.tolerance as usize + 1).max(self.seeds.len());
        let added = if next.len().is_multiple_of(2) { 1 } else { 2 };
        if ready.len() >= added && next.len() + added <= most {
            next.extend(ready.into_iter().take(added).cloned());
        }
        next
    }

    /// Has said that it leaves, and is still there.
    fn leaves(&self, id: u64) -> bool {
        self.reachable(id) && !self.eligible(id)
    }

    /// The primary looks for a better arrangement: backups that can be reached, in other zones, and voters that are there.
    pub(super) fn maybe_rearrange(&mut self) {
        if !self.disk || self.leaving || self.now < self.rest_until {
            return;
        }
        let config = &self.durable.config;
        // An order under way is no reason to wait: under a steady load one always is, and it is answered under the next epoch.
        let voters = if self.now > self.settled_at + CHANGE_INTERVAL {
            self.next_voters()
        } else {
            config.voters.clone()
        };
        let changes = voters != config.voters;
        let zones =
            || self.pending.is_none() && self.now > self.settled_at + ZONES_INTERVAL && self.zones_improve();
        let reachable = |id| id == self.me.id || self.reachable(id);
        let worthwhile = changes || self.backup_replaceable(&voters) || zones();
        if worthwhile && majority(&config.voters, reachable) {
            self.rest_until = self.now + ATTEMPT_INTERVAL;
            self.ask(changes.then_some(voters));
        }
    }

    /// A backup is down or leaves, and enough other voters could hold the state.
    fn backup_replaceable(&self, voters: &[StoreNode]) -> bool {
        let copies = voters.len() / 2 + 1;
        let count = |may: &dyn Fn(u64) -> bool| {
            voters.iter().filter(|voter| voter.id == self.me.id || may(voter.id)).count() >= copies
        };
        let backups = self.backups();
        let down = backups.iter().any(|(id, _)| !self.reachable(*id));
        let leaves = backups.iter().any(|(id, _)| !self.eligible(*id));
        down && count(&|id| self.reachable(id)) || leaves && count(&|id| self.eligible(id))
    }

    /// All data_replicas are in one zone, though an eligible voter is in another.
    fn zones_improve(&self) -> bool {
        let config = &self.durable.config;
        let elsewhere = |node: &StoreNode| node.zone != self.me.zone && self.eligible(node.id);
        let mut data_replicas = config.voters.iter().filter(|voter| config.data_replicas.contains(&voter.id));
        config.voters.iter().any(elsewhere) && data_replicas.all(|it| it.zone == self.me.zone)
    }

    /// After `Event::Leave`: others have what this store had, as far as they can. Its place as a voter is waited for
    /// only while a learner is there to take it.
    pub fn may_end(&self) -> bool {
        if !self.leaving || !matches!(self.role, Role::Follower) {
            return false;
        }
        if self.known.is_empty() {
            return true;
        }
        let Some(config) = self.leading_record() else { return false };
        let me = self.me.id;
        let voter = config.has_voter(me);
        let successor = self.peers.values().any(|peer| {
            let newcomer = !config.voters.iter().any(|voter| voter.ip == peer.node.ip);
            newcomer && !peer.heartbeat.is_leaving && self.hears(peer)
        });
        let needed = config.data_replicas.contains(&me) || voter && successor;
        !needed
    }
}
