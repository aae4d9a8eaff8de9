//! Queries and settings of a replica between events.

use super::{Replica, Role};
use crate::consensus::safety_checks::SafetyChecks;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{ControlState, Epoch, StoreNode};

impl Replica {
    /// The state that is on the disks of all data replicas, as far as this store knows.
    #[must_use]
    pub fn committed_state(&self) -> Option<&ControlState> {
        let is_committed =
            self.committed == self.durable.state.revision && self.committed.epoch > Epoch::default();
        is_committed.then_some(&self.durable.state)
    }

    /// Adds the seeds of new settings to the known addresses.
    pub fn add_seeds(&mut self, seeds: impl IntoIterator<Item = Ipv4Addr>) {
        self.peers.add_addresses(seeds);
    }

    /// This store, as others know it.
    #[must_use]
    pub fn node(&self) -> &StoreNode {
        &self.settings.node
    }

    /// The epoch of the newest replica set accepted here.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.durable.config.epoch
    }

    /// Whether this store leads under an installed replica set, as far as it knows.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader)
    }

    /// Whether this store leads and all its backups are alive. Only then does it announce itself to registries as the
    /// leader: a partitioned leader keeps its role until it hears from others, but can't answer commands.
    #[must_use]
    pub fn is_leader_in_contact(&self) -> bool {
        self.is_leader() && self.backups().iter().all(|backup| self.is_reachable(backup.id))
    }

    /// The highest epoch that this store has promised.
    #[must_use]
    pub fn promised(&self) -> Epoch {
        self.durable.promised
    }

    /// The voters of the accepted replica set.
    #[must_use]
    pub fn voters(&self) -> &[StoreNode] {
        &self.durable.config.voters
    }

    /// The voters of the replica sets that this store's newest proposal replaces: a majority of each list has promised
    /// the proposal's epoch.
    #[must_use]
    pub fn base_voters(&self) -> &[Vec<StoreNode>] {
        &self.base_voters
    }

    /// The other stores that are alive, with a vote or without.
    #[must_use]
    pub fn live_peers(&self) -> Vec<StoreNode> {
        self.peers.alive(self.now).map(|peer| peer.node.clone()).collect()
    }

    /// The addresses of all known stores, including this one.
    #[must_use]
    pub fn known_stores(&self) -> Vec<Ipv4Addr> {
        self.peers.addresses().iter().copied().chain([self.settings.node.ip]).collect()
    }

    /// Sets the safety checks. Only for the tests of this crate, see [`SafetyChecks`].
    #[doc(hidden)]
    pub fn set_safety_checks(&mut self, checks: SafetyChecks) {
        self.settings.checks = checks;
    }
}
