//! A tenant's limit, as fixed windows.

use crate::Millis;

/// Shortest window (ms): in a shorter one, the time that an increment travels to the owner blurs the count.
const MIN_WINDOW_MS: f64 = 200.0;
/// Longest window (ms): a longer one holds a burst against its tenant for too long.
const MAX_WINDOW_MS: f64 = 10_000.0;
/// Window of a limit that allows no burst (ms).
const DEFAULT_WINDOW_MS: f64 = 1_000.0;

/// What a tenant may send: a number of requests in each window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Length of a window (ms).
    pub window_ms: Millis,
    /// Most requests in one window.
    pub max_requests: f64,
}

impl Limit {
    /// A limit of `rate_per_s` requests a second with bursts of `burst` requests, or `None` where requests are not limited
    /// (`rate_per_s` is zero, negative or not finite).
    ///
    /// A window is `burst / rate_per_s` long, within bounds, so that the burst is the most that fits into it.
    pub fn new(rate_per_s: f64, burst: f64) -> Option<Limit> {
        if rate_per_s <= 0.0 || !rate_per_s.is_finite() {
            return None;
        }
        let unbounded_ms = if burst > 0.0 { burst / rate_per_s * 1000.0 } else { DEFAULT_WINDOW_MS };
        let window_ms = unbounded_ms.clamp(MIN_WINDOW_MS, MAX_WINDOW_MS).round();
        let max_requests = (rate_per_s * window_ms / 1000.0).max(1.0);
        Some(Limit { window_ms: window_ms as Millis, max_requests })
    }

    /// The part `share` (0 to 1) of this limit, in windows of at least `min_window_ms`. At least one request is allowed
    /// in a window: the window has to be long enough for whole requests.
    #[must_use]
    pub fn scaled(self, share: f64, min_window_ms: Millis) -> Limit {
        let requests_per_ms = self.max_requests / self.window_ms as f64;
        let window_ms = min_window_ms.max(self.window_ms);
        Limit { window_ms, max_requests: (requests_per_ms * window_ms as f64 * share).max(1.0) }
    }
}
