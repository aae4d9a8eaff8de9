//! Polling. Each poll tells all registries which state this proxy has, and requests newer state. One registry, the primary,
//! sends it at once; the others send it only if this proxy still lacks it some time later (`FALLBACK_DELAY`).

use super::ControlClient;
use crate::registries::registry_rank;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, Revision};

/// The time that the first primary has to send the initial state and backend list before another registry may become the
/// primary. Shorter than the time after which the other registries send them anyway (`FALLBACK_DELAY`).
const FIRST_STATE_TIMEOUT: Duration = Duration::from_millis(500);

impl ControlClient {
    /// Requests newer state from all registries.
    pub(super) fn poll(&mut self) {
        self.poll_since(self.proxy.configuration.revision());
    }

    /// Requests the full state, after a change that does not apply to the configuration in force.
    pub(super) fn poll_full_state(&mut self) {
        self.poll_since(Revision::default());
    }

    /// Polls at once if another registry should now be the primary.
    pub(super) fn poll_if_primary_changed(&mut self) {
        if self.select_primary() != self.primary_registry {
            self.poll();
        }
    }

    fn poll_since(&mut self, revision: Revision) {
        let primary = self.select_primary();
        self.primary_registry = primary;
        self.first_poll_at = self.first_poll_at.or(primary.map(|_| Instant::now()));
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

    /// Whether the initial state was requested less than [`FIRST_STATE_TIMEOUT`] ago and has not arrived. Until then, the
    /// primary does not change: registries connect one after another at the start, and each new primary would send the full
    /// state and backend list again.
    fn awaits_first_state(&self) -> bool {
        let lacks_state = self.proxy.configuration.revision() == Revision::default();
        lacks_state && self.first_poll_at.is_some_and(|polled_at| polled_at.elapsed() < FIRST_STATE_TIMEOUT)
    }

    /// Selects the registry that is to send updates at once, if possible one in contact with a majority of the registries.
    fn select_primary(&self) -> Option<Ipv4Addr> {
        if let Some(primary) = self.primary_registry.filter(|_| self.awaits_first_state()) {
            if self.proxy.registries.is_connected(primary) {
                return Some(primary);
            }
        }
        self.proxy.registries.preferred_registry(|ip| registry_rank(self.incarnation, ip))
    }
}
