//! Admission control: whether the backends can respond to one more request within its latency target.
//!
//! The queue length is estimated for all backends of a service in a region together. With many proxies, each
//! one rarely hears from a single backend, so its last report of that backend is old. In overload a fraction
//! of the requests is rejected before any work is done for them, so that the admitted ones get their
//! responses in time.

use crate::directory::BackendDirectory;
use crate::load::{ServiceEstimate, DEFAULT_LATENCY_MS};
use crate::selection::SelectionCriteria;
use crate::Millis;

/// The mean wait in a backend's queue that is accepted, as a fraction of the time until the latency target
/// minus the execution time. The rest is headroom for queues and executions that are longer than average.
const QUEUE_WAIT_FRACTION: f64 = 0.3;
/// Queued requests per slot that are always accepted: backends that merely have all of their slots in use are
/// not overloaded.
const MIN_QUEUE_PER_SLOT: f64 = 0.5;
/// Upper limit of the rejected fraction. Some requests are always admitted, because their responses show when
/// the overload has ended.
const MAX_REJECTED_FRACTION: f64 = 0.8;

impl BackendDirectory {
    /// Whether to reject a request because the queues of the backends eligible for it are too long. The
    /// decision is random, with a probability that grows with the overload: if all proxies decided by the
    /// same threshold, they would stop and resume sending at the same moment. `remaining_ms` is the time
    /// until the request's latency target.
    #[must_use]
    pub fn should_shed(&self, now: Millis, criteria: SelectionCriteria<'_>, remaining_ms: Millis) -> bool {
        let service = self.service_estimate(criteria.service);
        // The less loaded region decides where backends of both are eligible.
        let regions = [true, false]
            .into_iter()
            .filter(|is_same_region| self.has_eligible_backend(criteria, *is_same_region));
        let fractions =
            regions.map(|is_same_region| rejected_fraction(now, &service, is_same_region, remaining_ms));
        let fraction = fractions.min_by(f64::total_cmp).unwrap_or(0.0);
        fraction > 0.0 && self.sample_uniform() < fraction
    }

    /// Whether a backend of this proxy's region (`is_same_region`), or of another region, is eligible for a
    /// request.
    fn has_eligible_backend(&self, criteria: SelectionCriteria<'_>, is_same_region: bool) -> bool {
        let ids = self.by_service.get(criteria.service).into_iter().flatten();
        let mut backends = ids.filter_map(|id| self.backends.get(id));
        backends.any(|backend| {
            self.is_same_region(backend) == is_same_region && self.is_eligible(backend, criteria)
        })
    }
}

/// The fraction of the requests to reject, if all of them went to the backends of one region.
fn rejected_fraction(
    now: Millis,
    service: &ServiceEstimate,
    is_same_region: bool,
    remaining_ms: Millis,
) -> f64 {
    let queued_per_slot = service.queue(is_same_region).per_slot(now);
    let latency_ms = service.latency_ms(is_same_region).unwrap_or(DEFAULT_LATENCY_MS);
    // The observed latency includes the execution of the requests queued before.
    let execution_ms = (latency_ms / (1.0 + queued_per_slot)).max(1.0);
    let allowed_wait_ms = (remaining_ms as f64 - execution_ms) * QUEUE_WAIT_FRACTION;
    let allowed_per_slot = (allowed_wait_ms / execution_ms).max(MIN_QUEUE_PER_SLOT);
    (queued_per_slot / allowed_per_slot - 1.0).clamp(0.0, MAX_REJECTED_FRACTION)
}
