//! Settings of the tests, and a helper that starts queries.

use violetyoke_ratelimit::breaker::BreakerSettings;
use violetyoke_ratelimit::external_limiter::{ExternalLimiter, FallbackPolicy, LimiterSettings, Start};

pub(crate) const MS: u64 = 1_000;

pub(crate) fn settings(fallback_policy: FallbackPolicy) -> LimiterSettings {
    LimiterSettings {
        max_query_time: 100 * MS,
        max_time_fraction: 0.25,
        max_in_flight: 4,
        late_reply_time: 1_000 * MS,
        credit_ttl: 1_000 * MS,
        fallback_policy,
        max_retry_after: 5_000 * MS,
        breaker: BreakerSettings { failures: 3, pause: 1_000 * MS, max_pause: 8_000 * MS },
    }
}

/// Starts a query with this key, and returns its id and its time-out.
pub(crate) fn query(limiter: &mut ExternalLimiter, now: u64, key: u64) -> (u64, u64) {
    match limiter.start(now, now + 2_000 * MS, key) {
        Start::Query { id, until } => (id, until),
        other => panic!("{other:?}"),
    }
}
