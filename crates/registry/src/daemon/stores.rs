//! Connections to all stores, and the status that each reports.

use super::input::{Input, InputSender};
use crate::commands::StoreConnection;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_transport::connection::Sender;
use violetyoke_transport::messages::{Epoch, ShardOwners};
use violetyoke_transport::peers::PeerConnections;

/// What a store has reported on its present connection.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreStatus {
    /// The epoch that it is in.
    pub(super) epoch: Epoch,
    /// Whether it leads that epoch and is in contact with all data replicas.
    pub(super) is_leader: bool,
}

/// The connection to the leading store.
pub(super) struct LeaderConnection<'a> {
    pub(super) id: StoreConnection,
    pub(super) sender: &'a Sender,
}

pub(super) struct StoreConnections {
    connections: PeerConnections,
    status: BTreeMap<Ipv4Addr, StoreStatus>,
    /// The addresses of all stores that any store has reported, and of the one on this machine.
    known: BTreeSet<Ipv4Addr>,
    local: Ipv4Addr,
    /// The newest owners of quota shards that any store has reported.
    pub(super) shard_owners: ShardOwners,
}

impl StoreConnections {
    pub(super) fn new(local: Ipv4Addr, port: u16, inputs: &InputSender) -> StoreConnections {
        let inputs = inputs.clone();
        let on_event = move |store, event| inputs.send(Input::Store { store, event });
        StoreConnections {
            connections: PeerConnections::new(port, on_event),
            status: BTreeMap::new(),
            known: BTreeSet::from([local]),
            local,
            shard_owners: ShardOwners::default(),
        }
    }

    pub(super) fn known(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.known.iter().copied()
    }

    /// Adds the addresses of stores that a store has reported.
    pub(super) fn extend_known(&mut self, stores: Vec<Ipv4Addr>) {
        self.known.extend(stores);
    }

    /// Connects to the stores on these machines and on this one.
    pub(super) fn connect_to(&mut self, machines: &BTreeSet<Ipv4Addr>) {
        self.connections.connect_to(machines.iter().copied().chain([self.local]));
    }

    pub(super) fn connected(&mut self, store: Ipv4Addr, sender: Sender) {
        self.connections.connected(store, sender);
    }

    /// Handles the end of a connection to a store, whose status is no longer known. Returns the connection that has
    /// ended.
    pub(super) fn disconnected(&mut self, store: Ipv4Addr) -> StoreConnection {
        self.connections.disconnected(store);
        self.status.remove(&store);
        self.connection_to(store)
    }

    pub(super) fn set_status(&mut self, store: Ipv4Addr, status: StoreStatus) {
        self.status.insert(store, status);
    }

    /// The present connection to a store, or the last one if the store is not connected.
    pub(super) fn connection_to(&self, store: Ipv4Addr) -> StoreConnection {
        StoreConnection { store, generation: self.connections.generation(store) }
    }

    /// The store that leads the highest epoch by its own report, if it is connected.
    pub(super) fn leader(&self) -> Option<LeaderConnection<'_>> {
        let leaders = self.status.iter().filter(|(_, status)| status.is_leader);
        let (store, _) = leaders.max_by_key(|(_, status)| status.epoch)?;
        let sender = self.connections.sender(*store)?;
        Some(LeaderConnection { id: self.connection_to(*store), sender })
    }
}
