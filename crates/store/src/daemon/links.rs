//! Connections to other processes, whichever side opened them.

use super::connections::AcceptedConnections;
use std::net::Ipv4Addr;
use violetyoke_transport::connection::Sender;
use violetyoke_transport::peers::PeerConnections;

/// All connections of a store.
pub(super) struct Links {
    /// The connections that this store opens to other stores.
    pub(super) peers: PeerConnections,
    /// The connections that registries and other stores have opened.
    pub(super) accepted: AcceptedConnections,
}

impl Links {
    pub(super) fn new(peers: PeerConnections) -> Links {
        Links { peers, accepted: AcceptedConnections::default() }
    }

    /// The sender to another store, on a connection that either side opened.
    pub(super) fn sender_to(&self, store: Ipv4Addr) -> Option<&Sender> {
        self.peers.sender(store).or_else(|| self.accepted.sender_to_peer(store))
    }
}
