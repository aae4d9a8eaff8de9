//! Connections to the other registries, and the connections that they open to this one.

use super::input::{Input, InputSender};
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_transport::connection::{ConnectionId, Sender};
use violetyoke_transport::peers::PeerConnections;

pub(super) struct RegistryPeers {
    /// Connections to other registries, on which this one sends.
    outbound: PeerConnections,
    /// Connections that other registries have opened, on which this one receives.
    inbound: BTreeMap<ConnectionId, Ipv4Addr>,
    /// When the newest backend list was last reported.
    pub(super) list_reported_at: Millis,
}

impl RegistryPeers {
    pub(super) fn new(port: u16, inputs: &InputSender) -> RegistryPeers {
        let inputs = inputs.clone();
        let on_event = move |registry, event| inputs.send(Input::Peer { registry, event });
        RegistryPeers {
            outbound: PeerConnections::new(port, on_event),
            inbound: BTreeMap::new(),
            list_reported_at: 0,
        }
    }

    pub(super) fn connect_to(&mut self, machines: impl IntoIterator<Item = Ipv4Addr>) {
        self.outbound.connect_to(machines);
    }

    pub(super) fn connected(&mut self, peer: Ipv4Addr, sender: Sender) {
        self.outbound.connected(peer, sender);
    }

    pub(super) fn disconnected(&mut self, peer: Ipv4Addr) {
        self.outbound.disconnected(peer);
    }

    /// The senders to all connected peers.
    pub(super) fn senders(&self) -> impl Iterator<Item = &Sender> {
        self.outbound.senders()
    }

    /// Records which peer has opened a connection.
    pub(super) fn identified(&mut self, connection: ConnectionId, peer: Ipv4Addr) {
        self.inbound.insert(connection, peer);
    }

    /// Handles the end of a connection that a proxy or a peer had opened. Returns the peer if this was its last
    /// connection.
    pub(super) fn inbound_ended(&mut self, connection: ConnectionId) -> Option<Ipv4Addr> {
        let peer = self.inbound.remove(&connection)?;
        let has_other = self.inbound.values().any(|other| *other == peer);
        (!has_other).then_some(peer)
    }

    /// The registries that are connected, including this one, in ascending order.
    pub(super) fn connected_registries(&self, local: Ipv4Addr) -> Vec<Ipv4Addr> {
        let connected: BTreeSet<Ipv4Addr> = self.inbound.values().copied().chain([local]).collect();
        connected.into_iter().collect()
    }
}
