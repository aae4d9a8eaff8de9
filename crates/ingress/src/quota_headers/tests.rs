//! The rate limit fields of an answer.

use super::*;

#[test]
fn what_is_left_is_rounded_down_and_times_up() {
    let standing = QuotaState { burst: 10.5, rate: 4.0, remaining: 3.99, reset_after: 1_627_500 };
    let text = |fields| {
        let mut headers = HeaderMap::new();
        write(&mut headers, fields, &standing);
        let mut all: Vec<_> =
            headers.iter().map(|(name, value)| format!("{name}: {}", value.to_str().unwrap())).collect();
        all.sort();
        all
    };
    assert_eq!(text(Fields::default()), [""; 0]);
    assert_eq!(
        text(Fields { draft: true, legacy: false }),
        ["ratelimit-policy: \"quota\";q=10;w=3", "ratelimit: \"quota\";r=3;t=2"]
    );
    assert_eq!(
        text(Fields { draft: false, legacy: true }),
        ["x-ratelimit-limit: 10", "x-ratelimit-remaining: 3", "x-ratelimit-reset: 2"]
    );
}
