//! The rate limit headers of a response.

use super::*;

#[test]
fn remaining_quota_is_rounded_down_and_times_up() {
    let quota_state = QuotaState { burst: 10.5, rate: 4.0, remaining: 3.99, reset_after: 1_627_500 };
    let headers_for = |fields| {
        let mut headers = HeaderMap::new();
        write(&mut headers, fields, &quota_state);
        let mut all: Vec<_> =
            headers.iter().map(|(name, value)| format!("{name}: {}", value.to_str().unwrap())).collect();
        all.sort();
        all
    };
    assert_eq!(headers_for(QuotaHeaders::default()), [""; 0]);
    assert_eq!(
        headers_for(QuotaHeaders { draft: true, legacy: false }),
        ["ratelimit-policy: \"quota\";q=10;w=3", "ratelimit: \"quota\";r=3;t=2"]
    );
    assert_eq!(
        headers_for(QuotaHeaders { draft: false, legacy: true }),
        ["x-ratelimit-limit: 10", "x-ratelimit-remaining: 3", "x-ratelimit-reset: 2"]
    );
}
