//! Connections that proxies and other registries open to this one.

use super::registry::Registry;
use slog::warn;
use violetyoke_transport::codec::decode;
use violetyoke_transport::connection::{ConnectionId, Event};
use violetyoke_transport::messages::RegistryRequest;

impl Registry {
    pub(super) fn on_inbound_event(&mut self, connection: ConnectionId, event: Event) {
        match event {
            Event::Connected(sender) => self.proxies.connected(connection, sender),
            Event::Disconnected => self.on_inbound_ended(connection),
            Event::Message(message) => match decode(&message) {
                Ok(RegistryRequest::Proxy(request)) => self.on_proxy_request(connection, request),
                Ok(RegistryRequest::Registry(gossip)) => self.on_gossip(self.now(), connection, gossip),
                Err(error) => warn!(self.log, "undecodable message"; "error" => %error),
            },
        }
    }

    /// Handles the end of a connection that a proxy or another registry had opened.
    fn on_inbound_ended(&mut self, connection: ConnectionId) {
        self.proxies.disconnected(connection);
        self.on_holder_lost(connection);
        if let Some(peer) = self.peers.inbound_ended(connection) {
            self.sessions.remove_peer(peer);
        }
        if self.sessions.remove(connection) {
            self.batch.sessions_changed();
        }
        self.batch.request_publication();
    }
}
