//! Settings, and queries that have to be sent.

use violetyoke_ratelimit::breaker::BreakerSettings;
use violetyoke_ratelimit::consult::{ExternalLimiter, LimiterSettings, OnSilence, Start};

pub(crate) const MS: u64 = 1_000;

pub(crate) fn settings(on_silence: OnSilence) -> LimiterSettings {
    LimiterSettings {
        budget: 100 * MS,
        budget_share: 0.25,
        max_in_flight: 4,
        late_reply_time: 1_000 * MS,
        credit_time: 1_000 * MS,
        on_silence,
        max_retry_after: 5_000 * MS,
        breaker: BreakerSettings { failures: 3, pause: 1_000 * MS, max_pause: 8_000 * MS },
    }
}

pub(crate) fn query(limiter: &mut ExternalLimiter, now: u64, about: u64) -> (u64, u64) {
    match limiter.start(now, now + 2_000 * MS, about) {
        Start::Query { id: number, until } => (number, until),
        other => panic!("{other:?}"),
    }
}
