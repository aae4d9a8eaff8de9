//! A tenant's limit, as fixed windows.

use crate::Millis;

/// Shortest window (ms). In a shorter one, the network delay of increments would distort the count.
const MIN_WINDOW_MS: f64 = 200.0;
/// Longest window (ms). In a longer one, a burst would restrict its tenant for too long.
const MAX_WINDOW_MS: f64 = 10_000.0;
/// Window of a limit without a burst (ms).
const DEFAULT_WINDOW_MS: f64 = 1_000.0;

/// A tenant's limit: a maximum number of requests in each window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Length of a window (ms).
    pub window_ms: Millis,
    /// Maximum number of requests in one window.
    pub max_requests: f64,
}

impl Limit {
    /// A limit of `rate_per_s` requests per second with bursts of `burst` requests, or `None` if requests are
    /// not limited (`rate_per_s` is zero, negative or not finite).
    ///
    /// The window length is `burst / rate_per_s`, within bounds, so that a window admits exactly one burst.
    pub fn new(rate_per_s: f64, burst: f64) -> Option<Limit> {
        if rate_per_s <= 0.0 || !rate_per_s.is_finite() {
            return None;
        }
        let unbounded_ms = if burst > 0.0 { burst / rate_per_s * 1000.0 } else { DEFAULT_WINDOW_MS };
        let window_ms = unbounded_ms.clamp(MIN_WINDOW_MS, MAX_WINDOW_MS).round();
        let max_requests = (rate_per_s * window_ms / 1000.0).max(1.0);
        Some(Limit { window_ms: window_ms as Millis, max_requests })
    }

    /// The fraction `share` (0 to 1) of this limit, in windows of at least `min_window_ms`. A window allows
    /// at least one request, so it should be long enough for the share to amount to one.
    #[must_use]
    pub fn scaled(self, share: f64, min_window_ms: Millis) -> Limit {
        let requests_per_ms = self.max_requests / self.window_ms as f64;
        let window_ms = min_window_ms.max(self.window_ms);
        Limit { window_ms, max_requests: (requests_per_ms * window_ms as f64 * share).max(1.0) }
    }
}
