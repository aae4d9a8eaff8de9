//! Headers and responses on the wire.

use super::call::IfMatch;
use super::problem::Problem;
use super::reply::{HandlerResult, Reply};
use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, ETAG, LOCATION, RETRY_AFTER, WWW_AUTHENTICATE};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::response::Response;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a client may wait for a change at most.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Parses a list of ETags, or `*`.
pub(super) fn parse_versions(text: &str) -> Result<IfMatch, Problem> {
    if text.trim() == "*" {
        return Ok(IfMatch::Any);
    }
    let parse_tag = |text: &str| text.trim().strip_prefix('"')?.strip_suffix('"')?.parse().ok();
    let versions = text.split(',').map(parse_tag).collect::<Option<Vec<_>>>();
    let versions = versions.map(IfMatch::Versions);
    versions.ok_or_else(|| Problem::field("If-Match", "must be ETags as they were given, or *"))
}

/// How long the client waits for a change: `Prefer: wait=SECONDS` (RFC 7240).
pub(super) fn requested_wait(headers: &HeaderMap) -> Result<Duration, Problem> {
    let Some(text) = headers.get("prefer").and_then(|value| value.to_str().ok()) else {
        return Ok(Duration::ZERO);
    };
    let mut waits = text.split(',').filter_map(|part| part.trim().strip_prefix("wait="));
    let Some(text) = waits.next() else { return Ok(Duration::ZERO) };
    let seconds: f64 =
        text.parse().map_err(|_| Problem::field("Prefer", "wait must be a number of seconds"))?;
    let wait = Duration::try_from_secs_f64(seconds);
    Ok(wait.map_err(|_| Problem::field("Prefer", "wait must be 0 or more"))?.min(MAX_WAIT))
}

/// Parses the query of a path.
pub(super) fn parse_query(text: &str) -> Result<BTreeMap<String, String>, Problem> {
    let uri = axum::http::Uri::try_from(format!("/?{text}"));
    let uri = uri.map_err(|_| Problem::field("query", "is not readable"))?;
    let query = axum::extract::Query::<BTreeMap<String, String>>::try_from_uri(&uri);
    Ok(query.map_err(|error| Problem::field("query", error.to_string()))?.0)
}

/// The HTTP response of a handler's result.
pub(super) fn to_response(result: HandlerResult) -> Response {
    match result {
        Ok(reply) => reply_response(reply),
        Err(problem) => problem_response(&problem),
    }
}

fn reply_response(reply: Reply) -> Response {
    let Reply { status, body, version, location, .. } = reply;
    let mut response = json_response(status, body, "application/json");
    if let Some(version) = version {
        set_header(&mut response, ETAG, format!("\"{version}\""));
    }
    if let Some(location) = location {
        set_header(&mut response, LOCATION, location);
    }
    response
}

fn problem_response(problem: &Problem) -> Response {
    let body = serde_json::to_value(problem).ok();
    let mut response = json_response(problem.status, body, "application/problem+json");
    if problem.status == 401 {
        response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(seconds) = problem.retry_after {
        set_header(&mut response, RETRY_AFTER, format!("{}", seconds.ceil()));
    }
    if let Some(version) = problem.current_version {
        set_header(&mut response, ETAG, format!("\"{version}\""));
    }
    response
}

fn json_response(status: u16, body: Option<Value>, content_type: &'static str) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(body) = body {
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        *response.body_mut() = Body::from(body.to_string());
    }
    response
}

/// Sets a header, unless the value cannot be one.
fn set_header(response: &mut Response, name: HeaderName, value: String) {
    if let Ok(value) = HeaderValue::try_from(value) {
        response.headers_mut().insert(name, value);
    }
}
