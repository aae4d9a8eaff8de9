//! Heartbeats: stores learn which stores are alive, which one leads, the newest replica set and the committed revision.

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
    /// Heartbeats don't wait for the disk: a receiver relies on a replica set only when its leader reports that it is
    /// installed, and it is installed only after it was persisted.
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

    /// Whether this store leads, or led when it started to prepare the next epoch. With a slow disk, the requests for
    /// promises wait for the leader's own promise to be written. If the leader did not report itself as the leader
    /// meanwhile, a backup could prepare the same epoch, and neither would get enough promises.
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

    /// Handles the replica set in a leader's heartbeat, which is installed. A voter that has accepted it drops the
    /// previous voters from it. A store that has not accepted it adopts it, and so learns whether it is still a voter.
    ///
    /// Invariant: neither the epoch of the accepted replica set nor the promise decreases. A store may adopt a replica
    /// set below its promise: adopting an installed set is not a vote, and any majority already reports it to a
    /// candidate.
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

    /// Drops the previous voters of the accepted replica set once it is installed: their majorities are not needed any
    /// more.
    pub(super) fn clear_previous_voters(&mut self) {
        if !self.durable.config.previous_voters.is_empty() {
            self.durable.config.previous_voters.clear();
            self.persist();
        }
    }

    /// On a backup: marks the own state as committed once the leader reports its revision as committed.
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

    /// The replica set of a live leader that is not leaving, unless this store has accepted a newer one.
    pub(super) fn live_leader_config(&self) -> Option<&ReplicaConfig> {
        self.peers.leader_config(self.durable.config.epoch, self.now)
    }

    /// The time since the last heartbeat from an address; without any, the time since the replica set was installed.
    pub(super) fn time_since_heard(&self, ip: Ipv4Addr) -> Millis {
        let last_contact = self.peers.peer_at(ip).map_or(self.timers.installed_at(), |peer| peer.last_heard);
        self.now - last_contact
    }
}
