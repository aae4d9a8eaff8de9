//! How many requests and connections a backend gets at once.

use crate::Millis;

/// Requests beyond its slots that a backend may have queued, as a fraction of its slots: one that waits there waits for a
/// short while at most.
const QUEUE_FRACTION: f64 = 0.34;

/// What the operators configured for the backends of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceLimits {
    /// How long a backend warms up after its start (ms).
    pub slow_start_ms: Millis,
    /// What a backend that warms up takes from all proxies together (requests a second).
    pub slow_start_rate_per_s: f64,
    /// Connections that one backend takes from all proxies together; 0: no limit.
    pub max_connections: u32,
}

impl ServiceLimits {
    /// Connections that one of `proxy_count` proxies may hold to one backend: its even share, less a tenth that is left
    /// for proxies that have just joined.
    pub(crate) fn connections_per_proxy(&self, proxy_count: usize) -> u32 {
        match self.max_connections {
            0 => u32::MAX,
            limit => (limit * 9 / 10 / proxy_count as u32).max(1),
        }
    }
}

/// Whether a backend with `slots` and an estimated `load` takes one more request, queueing it for a short while at
/// most.
pub(crate) fn has_capacity(slots: u32, load: f64) -> bool {
    let slots = f64::from(slots);
    load + 1.0 <= (slots * (1.0 + QUEUE_FRACTION)).max(slots + 1.0).floor()
}

/// How much longer than usual one more request takes because of the load, as a factor of at least 1: queueing, and a
/// bias towards the emptier of free backends, as load reports are old and other proxies choose by them too.
pub(crate) fn load_factor(slots: u32, load: f64) -> f64 {
    let slots = f64::from(slots);
    let queueing = (load + 1.0 - slots).max(0.0) / slots;
    let occupancy = 0.5 * (load / slots).min(1.0);
    1.0 + queueing + occupancy
}
