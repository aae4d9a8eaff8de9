//! Reports between registries: their sessions, partitioned proxies, and backend lists.

use super::registry::Registry;
use crate::Millis;
use bytes::Bytes;
use std::net::Ipv4Addr;
use violetyoke_transport::codec::encode;
use violetyoke_transport::connection::{ConnectionId, Event};
use violetyoke_transport::messages::{BackendList, Gossip, RegistryRequest};

impl Registry {
    pub(super) fn on_peer_event(&mut self, peer: Ipv4Addr, event: Event) {
        match event {
            Event::Connected(sender) => {
                sender.send(self.report(self.backend_lists.newest(self.now())));
                self.peers.connected(peer, sender);
            }
            Event::Disconnected => self.peers.disconnected(peer),
            // Peers send only on the connections that they open themselves.
            Event::Message(_) => {}
        }
    }

    /// Handles a report of a peer.
    pub(super) fn on_gossip(&mut self, now: Millis, connection: ConnectionId, gossip: Gossip) {
        let Gossip { from, sessions, partitioned, backends } = gossip;
        self.peers.identified(connection, from);
        self.sessions.merge_peer(from, sessions);
        self.quota.merge_partitioned(now, &partitioned);
        if let Some(list) = backends {
            self.backend_lists.merge_peer_list(now, list);
        }
        self.batch.request_publication();
    }

    /// Reports this registry's sessions to all others, together with `backends` if that list is new or confirmed as
    /// current.
    pub(super) fn report_to_peers(&self, backends: Option<BackendList>) {
        let message = self.report(backends);
        for sender in self.peers.senders() {
            sender.send(message.clone());
        }
    }

    /// The encoded report of this registry's sessions.
    fn report(&self, backends: Option<BackendList>) -> Bytes {
        let gossip = Gossip {
            from: self.settings.local.ip,
            sessions: self.sessions.local(),
            partitioned: self.quota.partitioned(),
            backends,
        };
        encode(&RegistryRequest::Registry(gossip))
    }
}
