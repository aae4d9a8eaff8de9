//! Admission control: whether the backends can answer one more request by its latency target.
//!
//! Queues are judged for all backends of a service in a region together: where there are many proxies, a proxy's last report
//! of the single backend is old. In overload a part of the requests is refused before anything is spent on them, so that
//! those that are admitted are answered in time.

use crate::directory::BackendDirectory;
use crate::load::{ServiceEstimate, DEFAULT_LATENCY_MS};
use crate::selection::SelectionCriteria;
use crate::Millis;

/// The part of the time until the latency target, less the execution itself, that a request may wait at a backend on
/// average. The rest is for longer queues and longer executions than usual.
const QUEUE_WAIT_FRACTION: f64 = 0.3;
/// So much may wait for each slot in any case: backends whose slots are just all in use are not overloaded.
const MIN_QUEUE_PER_SLOT: f64 = 0.5;
/// The largest part of the requests that is refused: the responses to the others tell when the overload is over.
const MAX_REFUSED_FRACTION: f64 = 0.8;

impl BackendDirectory {
    /// Whether to refuse a request because too much waits at the backends that may get it. Decided at random, in proportion to
    /// the overload, so that proxies that know the same don't all stop and start at once. `left_ms` is the time until the
    /// request's latency target.
    #[must_use]
    pub fn should_shed(&self, now: Millis, criteria: SelectionCriteria<'_>, left_ms: Millis) -> bool {
        let service = self.service_estimate(criteria.service);
        // Both, where the request may be sent to either.
        let regions = [true, false]
            .into_iter()
            .filter(|is_same_region| self.has_eligible_backend(criteria, *is_same_region));
        let fractions =
            regions.map(|is_same_region| refused_fraction(now, &service, is_same_region, left_ms));
        let fraction = fractions.min_by(f64::total_cmp).unwrap_or(0.0);
        fraction > 0.0 && self.sample_uniform() < fraction
    }

    /// Whether a request may be sent to a backend of this proxy's region (`true`), or of another one.
    fn has_eligible_backend(&self, criteria: SelectionCriteria<'_>, is_same_region: bool) -> bool {
        let ids = self.by_service.get(criteria.service).into_iter().flatten();
        let mut backends = ids.filter_map(|id| self.backends.get(id));
        backends.any(|backend| {
            self.is_same_region(backend) == is_same_region && self.is_eligible(backend, criteria)
        })
    }
}

/// The part of the requests to refuse that would go to backends of one region.
fn refused_fraction(now: Millis, service: &ServiceEstimate, is_same_region: bool, left_ms: Millis) -> f64 {
    let queued_per_slot = service.queue(is_same_region).per_slot(now);
    let latency_ms = service.latency_ms(is_same_region).unwrap_or(DEFAULT_LATENCY_MS);
    // What waits for a slot is executed before the request.
    let execution_ms = (latency_ms / (1.0 + queued_per_slot)).max(1.0);
    let allowed_wait_ms = (left_ms as f64 - execution_ms) * QUEUE_WAIT_FRACTION;
    let allowed_per_slot = (allowed_wait_ms / execution_ms).max(MIN_QUEUE_PER_SLOT);
    (queued_per_slot / allowed_per_slot - 1.0).clamp(0.0, MAX_REFUSED_FRACTION)
}
