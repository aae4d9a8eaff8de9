//! Limits on concurrent requests and connections per backend.

use crate::Millis;

/// Requests that may be queued at a backend, as a fraction of its slots. Small, so that a queued request
/// waits only briefly.
const QUEUE_FRACTION: f64 = 0.34;

/// Limits that operators configured for the backends of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLimits {
    /// Duration of the warm-up after a backend's start (ms).
    pub slow_start_ms: Millis,
    /// Requests per second that a backend accepts from all proxies together while it warms up.
    pub slow_start_rate_per_s: f64,
    /// Connections that a backend accepts from all proxies together; 0 means no limit.
    pub max_connections: u32,
}

impl ServiceLimits {
    /// Connections that each of `proxy_count` proxies may hold to one backend: an even share of nine tenths
    /// of the limit. The last tenth is reserved for proxies that have just joined.
    pub(crate) fn connections_per_proxy(&self, proxy_count: usize) -> u32 {
        match self.max_connections {
            0 => u32::MAX,
            limit => {
                let share = u64::from(limit) * 9 / 10 / proxy_count as u64;
                u32::try_from(share).unwrap_or(u32::MAX).max(1)
            }
        }
    }
}

/// Whether a backend with `slots` and an estimated `load` can accept one more request, with at most a short
/// wait in its queue.
pub(crate) fn has_capacity(slots: u32, load: f64) -> bool {
    let slots = f64::from(slots);
    load + 1.0 <= (slots * (1.0 + QUEUE_FRACTION)).max(slots + 1.0).floor()
}

/// Factor (at least 1) by which the load increases the latency of one more request. It covers queueing, and
/// it grows with the occupied slots: load reports are old and other proxies select by them too, so emptier
/// backends are preferred even while slots are free.
pub(crate) fn load_factor(slots: u32, load: f64) -> f64 {
    let slots = f64::from(slots);
    let queueing = (load + 1.0 - slots).max(0.0) / slots;
    let occupancy = 0.5 * (load / slots).min(1.0);
    1.0 + queueing + occupancy
}
