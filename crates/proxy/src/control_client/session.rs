//! Sessions with the registries: which registries to connect to, and what this proxy announces to them.

use super::ControlClient;
use bytes::Bytes;
use std::net::{SocketAddr, SocketAddrV4};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, Session};

impl ControlClient {
    /// Opens a connection to each registry that is named by the settings or by another registry and has no connection yet.
    /// Connections are retried without end, as an unreachable registry may return.
    pub(crate) fn connect_to_known_registries(&self) {
        let mut known = self.proxy.registries.reported_registries();
        known.extend(self.settings.seeds());
        self.proxy.registries.connect_to(known);
    }

    /// Announces to all registries whether clients should be sent to this proxy.
    pub(crate) fn announce(&self) {
        self.proxy.registries.broadcast(&self.session_message());
    }

    pub(super) fn session_message(&self) -> Bytes {
        let local = &self.settings.local;
        let front_address = match self.settings.network.listen.front {
            Some(SocketAddr::V4(front)) => front,
            // Port 0: clients are not sent to an IPv6 address. Without any address, the process does not start.
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
