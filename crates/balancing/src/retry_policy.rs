//! How long a request waits for capacity, after how long an attempt is given up, and whether another may be made.
//!
//! ```
//! use violetyoke_balancing::retry_policy::RetryPolicy;
//!
//! let search =
//!     RetryPolicy { is_idempotent: true, max_attempts: 2, latency_target_ms: 400, deadline_ms: 1_000 };
//! assert_eq!(search.max_queue_wait_ms(), 88);
//! // A backend that usually takes 50 ms is given 360 ms where enough time is left for another attempt.
//! assert_eq!(search.attempt_timeout_ms(1_000, Some(50.0)), Some(360));
//! assert_eq!(search.attempt_timeout_ms(420, Some(50.0)), None);
//! let booking = RetryPolicy { is_idempotent: false, ..search };
//! assert_eq!(booking.attempt_timeout_ms(1_000, Some(50.0)), None);
//! ```

use crate::load::DEFAULT_LATENCY_MS;
use crate::Millis;

/// With less time than this until the deadline no attempt is made (ms).
pub const MIN_ATTEMPT_MS: Millis = 20;
/// Clients whose request was refused for want of capacity are told to retry after this (ms).
pub const RETRY_AFTER_MS: Millis = 120;

/// A request waits for capacity no longer than this fraction of its latency target.
const QUEUE_WAIT_FRACTION: f64 = 0.22;
/// An attempt is given this multiple of the backend's usual latency, and at least [`TIMEOUT_TARGET_FRACTION`] of the
/// latency target.
const TIMEOUT_LATENCY_FACTOR: f64 = 6.0;
const TIMEOUT_TARGET_FRACTION: f64 = 0.9;

/// What bounds the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The request may be executed more than once.
    pub is_idempotent: bool,
    /// Backends that it may be sent to.
    pub max_attempts: u32,
    /// A response within this time has its full value (ms from arrival).
    pub latency_target_ms: Millis,
    /// The client waits no longer than this (ms from arrival).
    pub deadline_ms: Millis,
}

impl RetryPolicy {
    /// How long the request may wait for capacity (ms from its arrival).
    #[must_use]
    pub fn max_queue_wait_ms(&self) -> Millis {
        ((self.latency_target_ms as f64 * QUEUE_WAIT_FRACTION) as Millis).min(self.deadline_ms)
    }

    /// After how long an attempt may be given up for another one (ms). `left_ms` is the time until the deadline,
    /// `latency_ms` the backend's usual latency where it is known. `None` where another attempt would be too late or
    /// may not be made.
    #[must_use]
    pub fn attempt_timeout_ms(&self, left_ms: Millis, latency_ms: Option<f64>) -> Option<Millis> {
        let usual_ms = latency_ms.unwrap_or(DEFAULT_LATENCY_MS);
        let target_ms = self.latency_target_ms as f64 * TIMEOUT_TARGET_FRACTION;
        let timeout_ms = (usual_ms * TIMEOUT_LATENCY_FACTOR).max(target_ms);
        let is_worthwhile = left_ms as f64 >= timeout_ms + usual_ms * 2.0;
        (self.is_idempotent && is_worthwhile).then_some(timeout_ms as Millis)
    }

    /// Whether the route allows one more attempt after `made`.
    #[must_use]
    pub fn allows_another_attempt(&self, made: usize) -> bool {
        (made as u32) < self.max_attempts
    }
}
