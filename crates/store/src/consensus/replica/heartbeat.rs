//! Heartbeats: who can be reached, who leads, which replica set is the newest, and what is committed.

use super::{Replica, Role};
use crate::consensus::event::Millis;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Heartbeat, PeerMessage, ReplicaConfig, StoreNode};

impl Replica {
    /// Makes the next heartbeat due at once, for instance because a connection to another store was made.
    pub fn request_heartbeat(&mut self) {
        self.timers.request_heartbeat();
    }

    /// Sends a heartbeat to each known address when one is due.
    ///
    /// Heartbeats don't wait for the disk: receivers conclude nothing binding from a replica set before its leader
    /// reports that it is installed, which it is only after it was persisted.
    pub(super) fn send_due_heartbeats(&mut self) {
        if !self.timers.is_heartbeat_due(self.now) {
            return;
        }
        self.timers.on_heartbeat_sent(self.now);
        let heartbeat = Heartbeat {
            config: self.durable.config.clone(),
            is_leader: self.has_installed_config(),
            committed: self.committed,
            persisted: self.status.persisted,
            disk_healthy: self.status.is_disk_healthy,
            is_leaving: self.status.is_leaving,
            is_bootstrapping: self.durable.is_bootstrapping,
            known_stores: self.known_stores(),
        };
        for to in self.peers.addresses() {
            self.outbox.send_now(*to, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }

    /// Whether this store leads, or prepares the epoch after the one that it leads. It says so beside a slow disk, where
    /// its request for promises waits for its own: a backup that stood meanwhile, under the same epoch, would get no
    /// promise and leave none for the leader.
    fn has_installed_config(&self) -> bool {
        match &self.role {
            Role::Leader => true,
            Role::Preparing(preparing) => preparing.is_reconfiguration,
            Role::Proposing(_) | Role::Follower => false,
        }
    }

    pub(super) fn on_heartbeat(&mut self, from: StoreNode, heartbeat: Heartbeat) {
        self.highest_epoch = self.highest_epoch.max(heartbeat.config.epoch);
        self.peers.add_addresses(heartbeat.known_stores.iter().copied());
        if heartbeat.is_leader && heartbeat.config.data_replicas.first() == Some(&from.id) {
            self.learn_installed_config(&heartbeat.config);
            self.learn_committed(&heartbeat);
        }
        self.peers.update(from, heartbeat, self.now);
    }

    /// A leader's heartbeat says that its replica set is installed. A voter that has accepted it drops the voters
    /// before it; a store that missed it learns it, and thereby whether it is still a voter.
    ///
    /// Invariant: the epoch of the accepted replica set and the promise never decrease. A replica set may be learnt
    /// under a higher promise: once installed it is no vote any more, and a candidate finds it at any majority.
    fn learn_installed_config(&mut self, config: &ReplicaConfig) {
        let accepted = &self.durable.config;
        if config.epoch == accepted.epoch {
            return self.clear_previous_voters();
        }
        // A data replica has accepted the replica set, with the state, before it could be installed.
        let is_data_replica = config.data_replicas.contains(&self.settings.node.id);
        if is_data_replica || config.epoch < accepted.epoch || !config.previous_voters.is_empty() {
            return;
        }
        if self.is_leader() || self.is_candidate() {
            self.step_down();
        }
        self.durable.promised = self.durable.promised.max(config.epoch);
        self.durable.config = config.clone();
        self.durable.is_bootstrapping = false;
        self.timers.clear_leaderless();
        self.persist();
    }

    /// The accepted replica set is installed: the voters before it have no say any more.
    pub(super) fn clear_previous_voters(&mut self) {
        if !self.durable.config.previous_voters.is_empty() {
            self.durable.config.previous_voters.clear();
            self.persist();
        }
    }

    /// A backup learns from its leader that all data replicas have the state that it has itself.
    fn learn_committed(&mut self, heartbeat: &Heartbeat) {
        let has_same_state = heartbeat.config.epoch == self.durable.config.epoch
            && heartbeat.committed == self.durable.state.revision;
        let is_newly_committed = self.committed != heartbeat.committed;
        if has_same_state && is_newly_committed && self.is_data_replica() && self.outbox.is_all_persisted() {
            self.committed = heartbeat.committed;
            self.outbox.notify_watchers_now();
        }
    }

    /// The newest replica set that this store or a live one has accepted.
    pub(super) fn newest_config(&self) -> &ReplicaConfig {
        let newest = self.peers.newest_config(self.now);
        newest.filter(|config| config.epoch > self.durable.config.epoch).unwrap_or(&self.durable.config)
    }

    /// The replica set of a live leader that is to stay, where none newer is accepted here.
    pub(super) fn live_leader_config(&self) -> Option<&ReplicaConfig> {
        self.peers.leader_config(self.durable.config.epoch, self.now)
    }

    /// The time since the store at an address was last heard, or since the replica set was installed where it never was.
    pub(super) fn time_since_heard(&self, ip: Ipv4Addr) -> Millis {
        let since = self.peers.at(ip).map_or(self.timers.installed_at(), |peer| peer.last_heard);
        self.now - since
    }
}
