//! Records the end of an attempt, however it comes.

use super::ForwardRequest;
use crate::state::Proxy;
use std::rc::Rc;
use violetyoke_balancing::Observation;

/// An attempt that has been started. Dropping it records the end, also where the client leaves and the request's task
/// is dropped midway.
#[must_use = "dropping it ends the attempt"]
pub(crate) struct AttemptGuard {
    proxy: Rc<Proxy>,
    pub(super) backend_id: String,
    service: String,
    /// What the attempt showed of the backend.
    pub(super) observation: Observation,
}

impl AttemptGuard {
    pub(super) fn start(proxy: &Rc<Proxy>, request: &ForwardRequest, backend_id: String) -> AttemptGuard {
        proxy.backends.record_attempt_started(&backend_id);
        AttemptGuard {
            proxy: proxy.clone(),
            backend_id,
            service: request.service.clone(),
            observation: Observation::Inconclusive,
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.proxy.backends.record_attempt_finished(&self.backend_id, self.observation);
        self.proxy.pending.wake_first(&self.service);
    }
}
