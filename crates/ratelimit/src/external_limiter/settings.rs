//! The settings of an external limiter.

use super::protocol::Decision;
use crate::breaker::{BreakerSettings, Micros};

/// The decision on a request without a reply of the external server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FallbackPolicy {
    /// The pool's own quota decides alone.
    OwnQuota,
    /// The request is rejected.
    Reject,
}

/// The settings of an external limiter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// The maximum time-out of a query.
    pub max_query_time: Micros,
    /// The maximum time-out of a query, as a fraction of the remaining time of its request.
    pub max_time_fraction: f64,
    /// The maximum number of queries in flight, including those whose late reply may still arrive.
    pub max_in_flight: usize,
    /// How long after its time-out a late reply is still expected.
    pub late_reply_time: Micros,
    /// How long a credit may be used.
    pub credit_ttl: Micros,
    /// The decision on requests without a reply.
    pub fallback_policy: FallbackPolicy,
    /// The maximum `retry_after` of rejected requests; with 0, no time is given.
    pub max_retry_after: Micros,
    /// When failures suspend queries.
    pub breaker: BreakerSettings,
}

impl LimiterSettings {
    /// The decision on a request without a reply. `retry_after` is the time after which another query may be sent; 0 if it
    /// is unknown.
    pub(super) fn fallback_decision(&self, retry_after: Micros) -> Decision {
        match self.fallback_policy {
            FallbackPolicy::OwnQuota => Decision::Proceed,
            FallbackPolicy::Reject => Decision::Reject { retry_after: self.bounded_retry_after(retry_after) },
        }
    }

    pub(super) fn bounded_retry_after(&self, retry_after: Micros) -> Micros {
        retry_after.min(self.max_retry_after)
    }
}
