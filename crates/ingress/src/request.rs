//! Validation of client requests. A malformed request is rejected here, before it reaches the decision module
//! or a backend.

use super::backend::{REQ_DEADLINE, REQ_ID};
use super::streaming::{read_up_to, PartialBody, RequestBody, Upload, MAX_STREAMED_BODY, STREAM_PREFIX};
use super::{Clock, MAX_BUFFERED_BODY};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, COOKIE, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use violetyoke_decision::interface::{Idempotency, Micros, Settings};

pub const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const X_TIER: HeaderName = HeaderName::from_static("x-tier");
const X_CALL_TERMS: HeaderName = HeaderName::from_static("x-call-terms");
const REQ_RETRY: HeaderName = HeaderName::from_static("req-retry");
const X_TRY: HeaderName = HeaderName::from_static("x-try");
const X_ACCOUNT: HeaderName = HeaderName::from_static("x-account");

/// How long a request body may take to arrive: the client has to get a response within 3 s.
const BODY_TIMEOUT: Duration = Duration::from_millis(2400);
/// Longest deadline that a client may set; a longer one is cut to it.
const MAX_DEADLINE: Micros = 600_000_000;
/// Bytes of the longest name of an account or an attempt.
const MAX_NAME_LENGTH: usize = 128;

/// Why a request is rejected, with a text that names the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub code: StatusCode,
    pub reason: &'static str,
}

pub const fn bad_request(reason: &'static str) -> Rejection {
    Rejection { code: StatusCode::BAD_REQUEST, reason }
}

/// What requests of a pool are checked against.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Names of the classes and plans by index; an entry that the configuration no longer has is empty.
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    /// Idempotency and default timeouts of the classes by index.
    idempotency: Vec<Idempotency>,
    deadlines: Vec<Micros>,
    /// Most units that one request may have.
    max_units: f64,
    ingress_count: f64,
    format: RequestFormat,
    /// The class of rate limit queries, if the pool has one.
    query_class: Option<u16>,
    /// The plan without a quota for requests that have been counted already, if the pool has one.
    uncounted_plan: Option<u16>,
}

/// Which header fields a request must have.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestFormat {
    /// All of them; the class determines the path and the method.
    Platform,
    /// Only an account; other fields have defaults. `plan` and `class` are the configured default indices.
    Service { plan: Option<u16>, class: Option<u16> },
}

impl Rules {
    pub fn new(
        settings: &Settings,
        classes: Vec<String>,
        plans: Vec<String>,
        format: RequestFormat,
    ) -> Rules {
        Rules {
            classes,
            plans,
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            max_units: settings.max_request_units,
            ingress_count: f64::from(settings.gateways),
            format,
            query_class: settings
                .classes
                .iter()
                .position(|class| class.admission_only)
                .map(|index| index as u16),
            uncounted_plan: None,
        }
    }

    /// Sets the plan for requests that have been counted already.
    pub fn with_uncounted_plan(self, uncounted_plan: u16) -> Rules {
        Rules { uncounted_plan: Some(uncounted_plan), ..self }
    }

    pub fn plan(&self, name: &str) -> Option<u16> {
        index_of(&self.plans, name)
    }

    pub fn default_plan(&self) -> Option<u16> {
        match self.format {
            RequestFormat::Platform => None,
            RequestFormat::Service { plan, .. } => plan,
        }
    }

    pub fn query_class(&self) -> Option<u16> {
        self.query_class
    }

    pub fn uncounted_plan(&self) -> Option<u16> {
        self.uncounted_plan
    }

    pub fn max_units(&self) -> f64 {
        self.max_units
    }

    pub fn ingress_count(&self) -> f64 {
        self.ingress_count
    }

    pub fn class(&self, name: &str) -> Option<u16> {
        index_of(&self.classes, name)
    }
}

/// Reads the body completely or, where streaming is allowed, the prefix of a body that is too long to buffer.
pub async fn read_body(
    rules: &Rules,
    head: &Parts,
    mut body: Incoming,
    clock: Clock,
) -> Result<RequestBody, Rejection> {
    if body.is_end_stream() {
        return Ok(RequestBody::Buffered(Bytes::new()));
    }
    const TOO_LONG: Rejection =
        Rejection { code: StatusCode::PAYLOAD_TOO_LARGE, reason: "body: over 32 MiB" };
    const TOO_LARGE: Rejection =
        Rejection { code: StatusCode::PAYLOAD_TOO_LARGE, reason: "body: over 64 KiB" };
    let allows_body = match rules.format {
        RequestFormat::Platform => head.method == Method::POST,
        RequestFormat::Service { .. } => head.method != Method::GET,
    };
    if !allows_body {
        return Err(bad_request("body: not allowed"));
    }
    let may_stream = rules.format == RequestFormat::Platform;
    let length = body.size_hint().exact();
    let long = match length {
        Some(length) if length > MAX_STREAMED_BODY => return Err(TOO_LONG),
        Some(length) => length > MAX_BUFFERED_BODY as u64,
        None => false,
    };
    if long && !may_stream {
        return Err(TOO_LARGE);
    }
    let max_bytes = if long { STREAM_PREFIX } else { MAX_BUFFERED_BODY };
    match timeout(BODY_TIMEOUT, read_up_to(&mut body, max_bytes)).await {
        Ok(Ok(PartialBody { bytes, complete: true })) => Ok(RequestBody::Buffered(bytes)),
        Ok(Ok(_)) if !may_stream => Err(TOO_LARGE),
        Ok(Ok(PartialBody { bytes, .. })) => {
            Ok(RequestBody::Streamed(Rc::new(Upload::new(bytes, length, body, clock))))
        }
        Ok(Err(_)) => Err(bad_request("body: broken off")),
        Err(_) => Err(BODY_TIMED_OUT),
    }
}

pub const BODY_TIMED_OUT: Rejection =
    Rejection { code: StatusCode::REQUEST_TIMEOUT, reason: "body: did not come in time" };

/// What a request's head states, with defaults filled in.
pub struct RequestTerms {
    /// The client's id of the request, if it gave one.
    pub client_request_id: Option<HeaderValue>,
    pub class: u16,
    pub plan: u16,
    pub customer: u64,
    pub timeout: Micros,
    pub units: f64,
    /// Number of ingresses among which the customer's requests are spread.
    pub gateway_count: f64,
    /// Index of the first of these ingresses.
    pub first_gateway: f64,
    pub is_retry: bool,
    /// The name that the client gave the attempt, if any, which makes counting it idempotent.
    pub attempt_name: Option<String>,
}

/// Validates a request's head. `class` is the route's class for requests that name none. For a tenant's
/// request, plan and customer are determined by the tenant and not read from the head.
pub fn validate_head(
    rules: &Rules,
    head: &Parts,
    class: Option<u16>,
    is_tenant: bool,
) -> Result<RequestTerms, Rejection> {
    // The service reserves memory for a body before reading it, and the length of a chunked body is not known.
    if rules.format != RequestFormat::Platform && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(bad_request("transfer-encoding: not taken"));
    }
    let headers = &head.headers;
    let (default_plan, default_class, is_service) = match rules.format {
        RequestFormat::Platform => (None, None, false),
        RequestFormat::Service { plan, class: default } => (plan, class.or(default), true),
    };
    let class = match single_value(headers, &REQ_KIND, "req-kind: doubled or not text")? {
        Some(kind) => rules
            .class(kind)
            .ok_or(Rejection { code: StatusCode::NOT_FOUND, reason: "req-kind: no such class" })?,
        None => default_class.ok_or(bad_request("req-kind: missing"))?,
    };
    if !is_service {
        let segment = head.uri.path().trim_start_matches('/').split('/').next();
        if segment != Some(rules.classes[usize::from(class)].as_str()) {
            return Err(Rejection { code: StatusCode::NOT_FOUND, reason: "path: not of the class" });
        }
        let method = match rules.idempotency[usize::from(class)] {
            Idempotency::Idempotent => Method::GET,
            Idempotency::Deduplicated | Idempotency::AtMostOnce => Method::POST,
        };
        if head.method != method {
            return Err(bad_request("method: not that of the class"));
        }
    } else if ![Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE].contains(&head.method)
    {
        let code = StatusCode::METHOD_NOT_ALLOWED;
        return Err(Rejection { code, reason: "method: GET, POST, PUT, PATCH and DELETE are taken" });
    }
    let plan = match single_value(headers, &X_TIER, "x-tier: doubled or not text")? {
        _ if is_tenant => 0,
        Some(tier) => index_of(&rules.plans, tier).ok_or(bad_request("x-tier: no such plan"))?,
        None => default_plan.ok_or(bad_request("x-tier: missing"))?,
    };
    let client_request_id = single_value(headers, &REQ_ID, "req-id: doubled or not text")?;
    if client_request_id
        .is_some_and(|id| id.is_empty() || id.len() > 128 || !id.bytes().all(|byte| byte.is_ascii_graphic()))
    {
        return Err(bad_request("req-id: 1 to 128 printable characters"));
    }
    if client_request_id.is_none() && !is_service {
        return Err(bad_request("req-id: missing"));
    }
    let terms = single_value(headers, &X_CALL_TERMS, "x-call-terms: doubled or not text")?;
    if terms.is_none() && !is_service {
        return Err(bad_request("x-call-terms: missing"));
    }
    let terms = terms.unwrap_or_default();
    let term = |name: &str, default: f64| {
        let mut pairs = terms.split(',').filter_map(|pair| pair.trim().split_once('='));
        let Some((_, text)) = pairs.find(|(key, _)| *key == name) else {
            return is_service.then_some(default);
        };
        // If a term is given twice, it is unclear which one applies.
        parse_number(text).filter(|_| pairs.all(|(key, _)| key != name))
    };
    let timeout = match single_value(headers, &REQ_DEADLINE, "req-deadline: doubled or not text")? {
        Some(text) => parse_time(text).ok_or(bad_request("req-deadline: a number and m or u"))?,
        None if is_service => rules.deadlines[usize::from(class)],
        None => return Err(bad_request("req-deadline: missing")),
    };
    let is_integer = |value: &f64| value.fract() == 0.0;
    let attempt_name =
        if is_service { single_value(headers, &X_TRY, "x-try: doubled or not text")? } else { None };
    if attempt_name.is_some_and(|name| name.is_empty() || name.len() > MAX_NAME_LENGTH) {
        return Err(bad_request("x-try: 1 to 128 characters"));
    }
    Ok(RequestTerms {
        client_request_id: headers.get(REQ_ID).cloned(),
        class,
        plan,
        customer: parse_customer(headers, is_service)?,
        timeout,
        units: term("units", 1.0)
            .filter(|units| *units > 0.0 && *units <= rules.max_units)
            .ok_or(bad_request("x-call-terms: units"))?,
        gateway_count: term("spread", rules.ingress_count)
            .filter(|spread| is_integer(spread) && (1.0..=rules.ingress_count).contains(spread))
            .ok_or(bad_request("x-call-terms: spread"))?,
        first_gateway: term("first", 0.0)
            .filter(|first| is_integer(first) && *first < rules.ingress_count)
            .ok_or(bad_request("x-call-terms: first"))?,
        is_retry: headers.get(REQ_RETRY).is_some_and(|value| value == "1"),
        attempt_name: attempt_name.map(String::from),
    })
}

/// The value of a header field: `None` if it is absent, an error if it occurs twice or is not text.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    reason: &'static str,
) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    let text = value.to_str().map_err(|_| bad_request(reason))?;
    if values.next().is_some() {
        return Err(bad_request(reason));
    }
    Ok(Some(text))
}

fn index_of(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|existing| existing == name && !name.is_empty()).map(|index| index as u16)
}

/// The customer's id: 16 hex digits below 2^33 in the cookie `account` or, in the service's format, any name in
/// the field `X-Account`, hashed to 64 bits by SipHash-1-3 (key 0). With `n` accounts, the probability that any
/// two share a quota is below `n^2 / 2^65`.
fn parse_customer(headers: &HeaderMap, is_service: bool) -> Result<u64, Rejection> {
    const INVALID: Rejection = bad_request("cookie account: 16 hex digits below 2^33");
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|text| text.split(';')).filter_map(|pair| pair.trim().split_once('='));
    if let Some((_, text)) = pairs.find(|(name, _)| *name == "account") {
        let has_valid_digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        return u64::from_str_radix(text, 16)
            .ok()
            .filter(|id| has_valid_digits && *id < 1 << 33)
            .ok_or(INVALID);
    }
    if !is_service {
        return Err(INVALID);
    }
    let name = single_value(headers, &X_ACCOUNT, "x-account: doubled or not text")?
        .ok_or(bad_request("x-account: missing"))?;
    customer_id(name).ok_or(bad_request("x-account: 1 to 128 characters"))
}

/// The account's name as the client sent it, for external rate limit servers and tenants.
pub fn account_name(headers: &HeaderMap) -> String {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|text| text.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let header = || headers.get(X_ACCOUNT).and_then(|value| value.to_str().ok());
    let cookie = pairs.find(|(name, _)| *name == "account").map(|(_, text)| text);
    cookie.or_else(header).unwrap_or_default().to_string()
}

/// The customer id for an account's name; `None` if the name is empty or too long.
pub fn customer_id(name: &str) -> Option<u64> {
    let is_valid = (1..=MAX_NAME_LENGTH).contains(&name.len());
    is_valid.then(|| hash(&SipHasher13::new(), name))
}

/// The id of an attempt's claim at the shared counter; the hash key keeps claims apart from accounts. It
/// depends on the account and the units as well, so that an attempt's name is of no use to another account.
pub fn claim_id(customer: u64, units: f64, name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(1, 0);
    hasher.write_u64(customer);
    hasher.write_u64(units.to_bits());
    hash(&hasher, name)
}

fn hash(hasher: &SipHasher13, name: &str) -> u64 {
    let mut hasher = *hasher;
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Parses a number with its unit, `m` for milliseconds or `u` for microseconds.
fn parse_time(text: &str) -> Option<Micros> {
    let (text, factor) = match text.strip_suffix('m') {
        Some(text) => (text, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let time = parse_number(text)? * factor;
    (time >= 1.0).then(|| (time as Micros).min(MAX_DEADLINE))
}

/// Parses a plain decimal number without a sign or an exponent, and neither `inf` nor `nan`.
fn parse_number(text: &str) -> Option<f64> {
    let is_plain = text.len() <= 24 && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| is_plain)
}
