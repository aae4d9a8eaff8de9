//! Records the end of an attempt in all cases.

use super::ForwardRequest;
use crate::state::Proxy;
use std::rc::Rc;
use violetyoke_balancing::Observation;

/// A started attempt. Dropping the guard records the end of the attempt, even if the client disconnects and
/// the request's task is dropped before the attempt finishes.
#[must_use = "dropping the guard records the end of the attempt"]
pub(crate) struct AttemptGuard {
    proxy: Rc<Proxy>,
    pub(super) backend_id: String,
    service: String,
    /// The outcome that is recorded when the guard is dropped.
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
