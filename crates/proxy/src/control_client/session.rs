//! Sessions with the registries: which ones, and what this proxy announces of itself.

use super::ControlClient;
use bytes::Bytes;
use std::net::{SocketAddr, SocketAddrV4};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, Session};

impl ControlClient {
    /// Opens a connection to each registry that the settings or another registry name and that has none yet. Connections
    /// are never given up: a registry that is out of reach may return.
    pub(crate) fn connect_to_known_registries(&self) {
        let mut known = self.proxy.registries.reported_registries();
        known.extend(self.settings.seeds());
        self.proxy.registries.connect_to(known);
    }

    /// Tells all registries whether clients should be sent here.
    pub(crate) fn announce(&self) {
        self.proxy.registries.broadcast(&self.session_message());
    }

    pub(super) fn session_message(&self) -> Bytes {
        let local = &self.settings.local;
        let front_address = match self.settings.network.listen.front {
            Some(SocketAddr::V4(front)) => front,
            // The process does not start without an address; clients are not sent to an IPv6 one.
            Some(SocketAddr::V6(_)) | None => SocketAddrV4::new(local.ip, 0),
        };
        encode(&RegistryRequest::Proxy(ProxyRequest::Hello(Session {
            node: local.node.clone(),
            front_address,
            zone: local.zone.clone(),
            region: local.region.clone(),
            is_ready: self.proxy.serving.accepts_new_clients(),
        })))
    }
}
