//! Selects a backend with capacity for an attempt. If there is none, the request waits for a limited time.

use super::ForwardRequest;
use crate::pending::PendingRequest;
use crate::state::Proxy;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use violetyoke_balancing::{Millis, Selection};

/// A pending request checks for capacity at this interval even if it is not woken, because the decay of
/// reported loads and the renewal of slow-start shares wake no requests.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The id of a backend that is not among the `attempted`. `None` if no backend is eligible, the queue is
/// full, or no backend had capacity in time.
pub(super) async fn select_backend(
    proxy: &Proxy,
    request: &ForwardRequest,
    attempted: &[String],
) -> Option<String> {
    // Requests that are already queued are served first.
    if proxy.pending.is_empty(&request.service) {
        if let Some(id) = take_preconnected(proxy, request, attempted) {
            return Some(id);
        }
        match select_now(proxy, request, attempted) {
            Selection::Backend(id) => return Some(id),
            Selection::NoBackend => return None,
            Selection::AtCapacity => {}
        }
    }
    let max_wait = Duration::from_millis(request.policy.max_queue_wait_ms());
    let wait_until = (request.arrived_at + max_wait).min(request.deadline);
    let wait_ms = wait_until.saturating_duration_since(Instant::now()).as_millis() as Millis;
    let expires_at = proxy.now() + wait_ms;
    let mut pending = proxy.pending.enqueue(&request.service, request.priority, expires_at)?;
    let backend_id = wait_for_capacity(proxy, request, attempted, &mut pending, wait_until).await?;
    pending.finish();
    Some(backend_id)
}

/// Whether a first attempt should be rejected without waiting: the queue is full, no backend is eligible, or
/// admission control rejects the request because of the backends' queues.
pub(super) fn is_rejected_immediately(proxy: &Proxy, request: &ForwardRequest) -> bool {
    let target = Duration::from_millis(request.policy.latency_target_ms);
    let remaining = (request.arrived_at + target).saturating_duration_since(Instant::now());
    proxy.pending.is_full(&request.service)
        || matches!(select_now(proxy, request, &[]), Selection::NoBackend)
        || proxy.backends.should_shed(request.criteria(&[]), remaining.as_millis() as Millis)
}

/// The backend to which a connection was opened in advance for this request, if it may still get the request.
fn take_preconnected(proxy: &Proxy, request: &ForwardRequest, attempted: &[String]) -> Option<String> {
    let id = request.preconnected.take()?;
    proxy.backends.is_selectable(&id, request.criteria(attempted)).then_some(id)
}

fn select_now(proxy: &Proxy, request: &ForwardRequest, attempted: &[String]) -> Selection {
    proxy.backends.select(request.criteria(attempted))
}

async fn wait_for_capacity(
    proxy: &Proxy,
    request: &ForwardRequest,
    attempted: &[String],
    pending: &mut PendingRequest<'_>,
    wait_until: Instant,
) -> Option<String> {
    loop {
        match select_now(proxy, request, attempted) {
            Selection::Backend(id) => return Some(id),
            Selection::NoBackend => return None,
            Selection::AtCapacity => {}
        }
        let recheck_at = wait_until.min(Instant::now() + RECHECK_INTERVAL);
        let is_woken = timeout_at(recheck_at, pending.woken()).await.is_ok();
        if Instant::now() >= wait_until {
            return None;
        }
        if is_woken {
            pending.rearm();
        }
    }
}
