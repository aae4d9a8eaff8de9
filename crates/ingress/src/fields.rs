//! Fields that tell clients of their quota: those of draft-ietf-httpapi-ratelimit-headers-10 (`RateLimit-Policy`
//! and `RateLimit`, structured fields by RFC 9651), and the older `X-RateLimit-*`, whose reset is in seconds
//! from now. Quotas are in units; a request of one unit can be sent while at least one is left.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use violetyoke_config::Fields;
use violetyoke_decision::view::Standing;

const POLICY: HeaderName = HeaderName::from_static("ratelimit-policy");
const LIMIT: HeaderName = HeaderName::from_static("ratelimit");
const OLD_LIMIT: HeaderName = HeaderName::from_static("x-ratelimit-limit");
const OLD_REMAINING: HeaderName = HeaderName::from_static("x-ratelimit-remaining");
const OLD_RESET: HeaderName = HeaderName::from_static("x-ratelimit-reset");

/// Writes the fields that are switched on. What is left is rounded down and times are rounded up: a client that
/// goes by them is not refused for it.
pub fn write(headers: &mut HeaderMap, fields: Fields, standing: &Standing) {
    let quota = standing.burst.floor();
    let left = standing.left.floor();
    let window = (standing.burst / standing.rate).ceil().max(1.0);
    let reset = (standing.until_full as f64 / 1e6).ceil();
    let mut set = |name: HeaderName, text: String| {
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(name, value);
        }
    };
    if fields.draft {
        set(POLICY, format!("\"quota\";q={quota};w={window}"));
        set(LIMIT, format!("\"quota\";r={left};t={reset}"));
    }
    if fields.legacy {
        set(OLD_LIMIT, quota.to_string());
        set(OLD_REMAINING, left.to_string());
        set(OLD_RESET, reset.to_string());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_left_is_rounded_down_and_times_up() {
        let standing = Standing { burst: 10.5, rate: 4.0, left: 3.99, until_full: 1_627_500 };
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
}
