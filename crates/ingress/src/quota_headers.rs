//! Fields that tell clients of their quota: those of draft-ietf-httpapi-ratelimit-headers-10 (`RateLimit-Policy`
//! and `RateLimit`, structured fields by RFC 9651), and the older `X-RateLimit-*`, whose reset is in seconds
//! from now. Quotas are in units; a request of one unit can be sent while at least one is left.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use violetyoke_config::Fields;
use violetyoke_decision::view::QuotaState;

const POLICY: HeaderName = HeaderName::from_static("ratelimit-policy");
const LIMIT: HeaderName = HeaderName::from_static("ratelimit");
const OLD_LIMIT: HeaderName = HeaderName::from_static("x-ratelimit-limit");
const OLD_REMAINING: HeaderName = HeaderName::from_static("x-ratelimit-remaining");
const OLD_RESET: HeaderName = HeaderName::from_static("x-ratelimit-reset");

/// Writes the fields that are switched on. What is left is rounded down and times are rounded up: a client that
/// goes by them is not refused for it.
pub fn write(headers: &mut HeaderMap, fields: Fields, standing: &QuotaState) {
    let quota = standing.burst.floor();
    let left = standing.remaining.floor();
    let window = (standing.burst / standing.rate).ceil().max(1.0);
    let reset = (standing.reset_after as f64 / 1e6).ceil();
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
mod tests;
