//! Polling: all registries are asked for what is newer than what is known here, and one of them, the primary, is to send it.
//! The others send it only when it is still missing a while later.

use super::ControlClient;
use std::net::Ipv4Addr;
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, Revision};

impl ControlClient {
    /// Asks all registries for what is newer than what is known here.
    pub(super) fn poll(&mut self) {
        self.poll_since(self.proxy.configuration.revision());
    }

    /// Asks for the full state, after a change that does not apply to the configuration in force.
    pub(super) fn poll_full_state(&mut self) {
        self.poll_since(Revision::default());
    }

    /// Asks for another primary's updates at once, if another registry should be the primary by now.
    pub(super) fn poll_if_primary_changed(&mut self) {
        if self.select_primary() != self.primary_registry {
            self.poll();
        }
    }

    fn poll_since(&mut self, revision: Revision) {
        let primary = self.select_primary();
        self.primary_registry = primary;
        let backend_list = self.proxy.backends.list_digest();
        self.proxy.registries.send_to_each(|registry, membership| {
            encode(&RegistryRequest::Proxy(ProxyRequest::Poll {
                revision,
                backend_list,
                membership: membership.digest,
                is_primary: primary == Some(registry),
            }))
        });
    }

    /// The registry that is to send updates first: one that is in contact with the others, if there is any. The rank
    /// depends on the incarnation, so that proxies spread over the registries.
    fn select_primary(&self) -> Option<Ipv4Addr> {
        let incarnation = self.incarnation as u32;
        self.proxy.registries.preferred_registry(|ip| u32::from(ip).wrapping_mul(0x9e37_79b9) ^ incarnation)
    }
}
