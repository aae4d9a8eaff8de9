//! How long a request waits for capacity, when an attempt times out, and whether a retry is allowed.
//!
//! ```
//! use violetyoke_balancing::retry_policy::RetryPolicy;
//!
//! let search =
//!     RetryPolicy { is_idempotent: true, max_attempts: 2, latency_target_ms: 400, deadline_ms: 1_000 };
//! assert_eq!(search.max_queue_wait_ms(), 88);
//! // A backend with a usual latency of 50 ms gets 360 ms if enough time remains for a retry.
//! assert_eq!(search.attempt_timeout_ms(1_000, Some(50.0)), Some(360));
//! assert_eq!(search.attempt_timeout_ms(420, Some(50.0)), None);
//! let booking = RetryPolicy { is_idempotent: false, ..search };
//! assert_eq!(booking.attempt_timeout_ms(1_000, Some(50.0)), None);
//! ```

use crate::load::DEFAULT_LATENCY_MS;
use crate::Millis;

/// No attempt is made with less time than this until the deadline (ms).
pub const MIN_ATTEMPT_MS: Millis = 20;
/// `Retry-After` of requests that were rejected for lack of capacity (ms).
pub const RETRY_AFTER_MS: Millis = 120;

/// Longest wait for capacity, as a fraction of the latency target.
const QUEUE_WAIT_FRACTION: f64 = 0.22;
/// An attempt's time-out is this multiple of the backend's usual latency, but at least
/// [`TIMEOUT_TARGET_FRACTION`] of the latency target.
const TIMEOUT_LATENCY_FACTOR: f64 = 6.0;
const TIMEOUT_TARGET_FRACTION: f64 = 0.9;

/// Limits on the attempts of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The request may be executed more than once.
    pub is_idempotent: bool,
    /// Maximum number of attempts, each at another backend.
    pub max_attempts: u32,
    /// Latency target (ms from arrival). Later responses are of less value to the client.
    pub latency_target_ms: Millis,
    /// Deadline (ms from arrival), after which the client no longer waits for a response.
    pub deadline_ms: Millis,
}

impl RetryPolicy {
    /// How long the request may wait for capacity (ms from arrival).
    #[must_use]
    pub fn max_queue_wait_ms(&self) -> Millis {
        ((self.latency_target_ms as f64 * QUEUE_WAIT_FRACTION) as Millis).min(self.deadline_ms)
    }

    /// Time after which an attempt may be abandoned for a retry (ms). `remaining_ms` is the time until the
    /// deadline, `latency_ms` the backend's usual latency if known. `None` if a retry is not allowed or would
    /// be too late.
    #[must_use]
    pub fn attempt_timeout_ms(&self, remaining_ms: Millis, latency_ms: Option<f64>) -> Option<Millis> {
        let usual_ms = latency_ms.unwrap_or(DEFAULT_LATENCY_MS);
        let target_ms = self.latency_target_ms as f64 * TIMEOUT_TARGET_FRACTION;
        let timeout_ms = (usual_ms * TIMEOUT_LATENCY_FACTOR).max(target_ms);
        let leaves_time_for_retry = remaining_ms as f64 >= timeout_ms + usual_ms * 2.0;
        (self.is_idempotent && leaves_time_for_retry).then_some(timeout_ms as Millis)
    }

    /// Whether the route allows one more attempt after `made` attempts.
    #[must_use]
    pub fn allows_another_attempt(&self, made: usize) -> bool {
        (made as u32) < self.max_attempts
    }
}
