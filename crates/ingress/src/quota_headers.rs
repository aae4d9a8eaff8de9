//! Response headers that report a client's quota: those of draft-ietf-httpapi-ratelimit-headers-10
//! (`RateLimit-Policy` and `RateLimit`, structured fields by RFC 9651), and the older `X-RateLimit-*`, whose
//! reset is in seconds from now. Quotas are in units; a request of one unit can be sent while at least one is
//! left.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use violetyoke_config::QuotaHeaders;
use violetyoke_decision::view::QuotaState;

const POLICY: HeaderName = HeaderName::from_static("ratelimit-policy");
const LIMIT: HeaderName = HeaderName::from_static("ratelimit");
const LEGACY_LIMIT: HeaderName = HeaderName::from_static("x-ratelimit-limit");
const LEGACY_REMAINING: HeaderName = HeaderName::from_static("x-ratelimit-remaining");
const LEGACY_RESET: HeaderName = HeaderName::from_static("x-ratelimit-reset");

/// Adds the headers that are enabled. The remaining quota is rounded down and times are rounded up, so that a
/// client that relies on them is not rejected.
pub fn write(headers: &mut HeaderMap, enabled: QuotaHeaders, quota_state: &QuotaState) {
    let limit = quota_state.burst.floor();
    let remaining = quota_state.remaining.floor();
    let window = (quota_state.burst / quota_state.rate).ceil().max(1.0);
    let reset = (quota_state.reset_after as f64 / 1e6).ceil();
    let mut set = |name: HeaderName, text: String| {
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(name, value);
        }
    };
    if enabled.draft {
        set(POLICY, format!("\"quota\";q={limit};w={window}"));
        set(LIMIT, format!("\"quota\";r={remaining};t={reset}"));
    }
    if enabled.legacy {
        set(LEGACY_LIMIT, limit.to_string());
        set(LEGACY_REMAINING, remaining.to_string());
        set(LEGACY_RESET, reset.to_string());
    }
}

#[cfg(test)]
mod tests;
