//! When a process that has just started may serve: once its configuration and its list of backends are as new as any
//! registry has them, as far as that can be found out in time.

use crate::state::Proxy;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::messages::ListDigest;

/// Once there is a state, registries that may have a newer one are waited for so long.
const REGISTRIES_TIMEOUT: Duration = Duration::from_millis(700);
/// The same while no registry that is connected is in contact with the others and has nothing newer.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);

/// Opens once, when the process may serve.
#[derive(Debug, Default)]
pub(crate) struct ReadinessGate {
    /// Since when there are a configuration and a list of backends.
    state_since: Option<Instant>,
}

impl ReadinessGate {
    /// Whether the process may serve by now.
    pub(crate) fn is_open(&mut self, proxy: &Proxy) -> bool {
        if !has_state(proxy) {
            return false;
        }
        let waited = self.state_since.get_or_insert_with(Instant::now).elapsed();
        let known = proxy.configuration.revision();
        let timeout = if proxy.registries.any_confirms(known) { REGISTRIES_TIMEOUT } else { CONTACT_TIMEOUT };
        proxy.registries.majority_confirms(known) || waited > timeout
    }
}

fn has_state(proxy: &Proxy) -> bool {
    proxy.configuration.snapshot().is_some() && proxy.backends.list_digest() != ListDigest::NONE
}
