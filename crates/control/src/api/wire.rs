//! Heads and answers on the wire.

use super::{Answer, Outcome, Problem};
use crate::store::Revision;
use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, ETAG, LOCATION, RETRY_AFTER, WWW_AUTHENTICATE};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::response::Response;
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest that a client may wait for something new.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// The versions of a list of ETags; none of them: `*`.
pub(super) fn versions(text: &str) -> Result<Vec<Revision>, Problem> {
    if text.trim() == "*" {
        return Ok(Vec::new());
    }
    let one = |text: &str| text.trim().strip_prefix('"')?.strip_suffix('"')?.parse().ok();
    let list: Option<Vec<Revision>> = text.split(',').map(one).collect();
    list.ok_or_else(|| Problem::field("If-Match", "must be ETags as they were given, or *"))
}

/// `Prefer: wait=SECONDS` (RFC 7240).
pub(super) fn waited(headers: &HeaderMap) -> Result<Duration, Problem> {
    let Some(text) = headers.get("prefer").and_then(|value| value.to_str().ok()) else {
        return Ok(Duration::ZERO);
    };
    let mut waits = text.split(',').filter_map(|part| part.trim().strip_prefix("wait="));
    let Some(text) = waits.next() else { return Ok(Duration::ZERO) };
    let seconds: f64 =
        text.parse().map_err(|_| Problem::field("Prefer", "wait must be a number of seconds"))?;
    let wait = Duration::try_from_secs_f64(seconds);
    Ok(wait.map_err(|_| Problem::field("Prefer", "wait must be 0 or more"))?.min(LONGEST_WAIT))
}

pub(super) fn queried(text: &str) -> Result<BTreeMap<String, String>, Problem> {
    let uri = axum::http::Uri::try_from(format!("/?{text}"));
    let uri = uri.map_err(|_| Problem::field("query", "is not readable"))?;
    let query = axum::extract::Query::<BTreeMap<String, String>>::try_from_uri(&uri);
    Ok(query.map_err(|error| Problem::field("query", error.to_string()))?.0)
}

pub(super) fn response(outcome: Outcome) -> Response {
    let mut response = Response::new(Body::empty());
    let (status, body, kind) = match outcome {
        Ok(answer) => {
            let Answer { status, body, version, location, .. } = answer;
            if let Some(value) =
                version.and_then(|version| HeaderValue::try_from(format!("\"{version}\"")).ok())
            {
                response.headers_mut().insert(ETAG, value);
            }
            if let Some(value) = location.and_then(|location| HeaderValue::try_from(location).ok()) {
                response.headers_mut().insert(LOCATION, value);
            }
            (status, body, "application/json")
        }
        Err(problem) => {
            if problem.status == 401 {
                response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            }
            if let Some(time) = problem.retry_after {
                if let Ok(value) = HeaderValue::try_from(format!("{}", time.ceil())) {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
            }
            if let Some(version) = problem.current_version {
                if let Ok(value) = HeaderValue::try_from(format!("\"{version}\"")) {
                    response.headers_mut().insert(ETAG, value);
                }
            }
            (problem.status, serde_json::to_value(&problem).ok(), "application/problem+json")
        }
    };
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(body) = body {
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        *response.body_mut() = Body::from(body.to_string());
    }
    response
}
