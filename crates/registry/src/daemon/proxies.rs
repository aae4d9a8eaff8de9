//! Connections of proxies, and which updates each proxy has received.

use crate::updates::ProxyProgress;
use std::collections::BTreeMap;
use violetyoke_transport::codec::encode;
use violetyoke_transport::connection::{ConnectionId, Sender};
use violetyoke_transport::messages::ProxyReply;

/// A connection on which a proxy may have a session.
pub(super) struct ProxyConnection {
    sender: Sender,
    /// Whether a proxy has opened a session. Connections of other registries never have one.
    has_session: bool,
    pub(super) progress: ProxyProgress,
}

impl ProxyConnection {
    pub(super) fn reply(&self, reply: &ProxyReply) {
        self.sender.send(encode(reply));
    }

    pub(super) fn send(&self, message: bytes::Bytes) {
        self.sender.send(message);
    }
}

#[derive(Default)]
pub(super) struct ProxyConnections(BTreeMap<ConnectionId, ProxyConnection>);

impl ProxyConnections {
    pub(super) fn connected(&mut self, connection: ConnectionId, sender: Sender) {
        let progress = ProxyProgress::default();
        self.0.insert(connection, ProxyConnection { sender, has_session: false, progress });
    }

    pub(super) fn disconnected(&mut self, connection: ConnectionId) {
        self.0.remove(&connection);
    }

    pub(super) fn session_started(&mut self, connection: ConnectionId) {
        if let Some(proxy) = self.0.get_mut(&connection) {
            proxy.has_session = true;
        }
    }

    pub(super) fn get(&self, connection: ConnectionId) -> Option<&ProxyConnection> {
        self.0.get(&connection)
    }

    pub(super) fn get_mut(&mut self, connection: ConnectionId) -> Option<&mut ProxyConnection> {
        self.0.get_mut(&connection)
    }

    /// The connections of proxies that have a session.
    pub(super) fn with_session(&self) -> impl Iterator<Item = &ProxyConnection> {
        self.0.values().filter(|proxy| proxy.has_session)
    }

    /// The connections of proxies that have a session.
    pub(super) fn with_session_mut(&mut self) -> impl Iterator<Item = &mut ProxyConnection> {
        self.0.values_mut().filter(|proxy| proxy.has_session)
    }
}
