//! Decides when a process that has just started may serve clients. It needs a configuration and a list of backends, and
//! waits for a limited time for the registries to confirm that these are the newest.

use crate::state::Proxy;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::messages::ListDigest;

/// The maximum wait for a majority of the registries to confirm the state, if one registry in contact with a majority has
/// confirmed it.
const MAJORITY_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum wait for a confirmation while no registry in contact with a majority has confirmed the state.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Decides when the process may serve clients.
#[derive(Debug, Default)]
pub(crate) struct ReadinessGate {
    /// The time at which the process first had a configuration and a list of backends.
    state_at: Option<Instant>,
}

impl ReadinessGate {
    /// Whether the process may serve clients now.
    pub(crate) fn is_open(&mut self, proxy: &Proxy) -> bool {
        if !has_state(proxy) {
            return false;
        }
        let waited = self.state_at.get_or_insert_with(Instant::now).elapsed();
        let known = proxy.configuration.revision();
        let timeout = if proxy.registries.any_confirms(known) { MAJORITY_TIMEOUT } else { CONTACT_TIMEOUT };
        proxy.registries.majority_confirms(known) || waited > timeout
    }
}

fn has_state(proxy: &Proxy) -> bool {
    proxy.configuration.snapshot().is_some() && proxy.backends.list_digest() != ListDigest::NONE
}
