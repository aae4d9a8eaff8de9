//! How an external server is asked.

use super::protocol::Decision;
use crate::breaker::{BreakerSettings, Micros};

/// What silence means, as the configuration states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FallbackPolicy {
    /// The pool's own quota decides alone.
    OwnQuota,
    /// The request is rejected.
    Reject,
}

/// How an external server is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimiterSettings {
    /// How long a reply is waited for at most.
    pub max_query_time: Micros,
    /// The share of the request's remaining time that a reply is waited for at most.
    pub max_time_fraction: f64,
    /// Queries in flight at most, with those whose late reply may still come.
    pub max_in_flight: usize,
    /// How long after its time-out a late reply is waited for, to be accounted for.
    pub late_reply_time: Micros,
    /// How long a credit may be used.
    pub credit_ttl: Micros,
    /// What silence means.
    pub fallback_policy: FallbackPolicy,
    /// Longest time that a rejected client is asked to wait; 0: none is given.
    pub max_retry_after: Micros,
    /// When queries are suspended after failures.
    pub breaker: BreakerSettings,
}

impl LimiterSettings {
    /// What silence means for a request; `retry_after`: after how long another query may be sent, 0 if that isn't known.
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
