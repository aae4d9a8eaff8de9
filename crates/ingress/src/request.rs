//! What a well-formed client request is. A request that is not one is turned down here, before the decision
//! module or a backend hears of it.

use super::backend::{REQ_DEADLINE, REQ_ID};
use super::config::{Config, Names};
use super::LARGEST_BODY;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, COOKIE, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use std::time::Duration;
use tokio::time::timeout;
use violetyoke_decision::interface::{Effect, Micros};

const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const TIER: HeaderName = HeaderName::from_static("x-tier");
const TERMS: HeaderName = HeaderName::from_static("x-call-terms");
const RETRY: HeaderName = HeaderName::from_static("req-retry");

/// How long a request's body may take to come: the client is owed an answer within 3 s.
const BODY_TIME: Duration = Duration::from_millis(2400);
/// Longest time a client may say it waits.
const LONGEST_BUDGET: Micros = 600_000_000;

/// What a request is checked against.
pub struct Rules {
    names: Names,
    effects: Vec<Effect>,
    largest: f64,
    ingresses: f64,
}

impl Rules {
    pub fn new(config: &Config) -> Rules {
        let settings = &config.settings;
        Rules {
            names: config.names.clone(),
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            largest: settings.largest_request,
            ingresses: f64::from(settings.gateways),
        }
    }
}

/// The body, whole and no longer than allowed; its length must have been stated.
pub async fn whole(head: &Parts, body: Incoming) -> Result<Bytes, StatusCode> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match body.size_hint().exact() {
        Some(length) if length > LARGEST_BODY as u64 => return Err(StatusCode::PAYLOAD_TOO_LARGE),
        Some(_) if head.method == Method::POST => {}
        _ => return Err(StatusCode::BAD_REQUEST),
    }
    match timeout(BODY_TIME, Limited::new(body, LARGEST_BODY).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

pub struct Terms {
    pub uri: hyper::Uri,
    pub wire_id: HeaderValue,
    pub class: u16,
    pub plan: u16,
    pub customer: u64,
    pub budget: Micros,
    pub units: f64,
    pub spread: f64,
    pub first: f64,
    pub repeat: bool,
}

/// What the head says; the status to answer with if it does not say it well.
pub fn check(rules: &Rules, head: &Parts) -> Result<Terms, StatusCode> {
    const BAD: StatusCode = StatusCode::BAD_REQUEST;
    // Beside a length it may hide a second request in the body: hyper follows one of the two, whoever stood
    // before this ingress perhaps the other. No client of ours has a use for it alone either.
    if head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(BAD);
    }
    let kind = only(&head.headers, &REQ_KIND).ok_or(BAD)?;
    let class = place(&rules.names.classes, kind).ok_or(StatusCode::NOT_FOUND)?;
    let segment = head.uri.path().trim_start_matches('/').split('/').next();
    if segment != Some(kind) {
        return Err(StatusCode::NOT_FOUND);
    }
    let method = match rules.effects[usize::from(class)] {
        Effect::Safe => Method::GET,
        Effect::Keyed | Effect::Unsafe => Method::POST,
    };
    if head.method != method {
        return Err(BAD);
    }
    let tier = only(&head.headers, &TIER).ok_or(BAD)?;
    let id = only(&head.headers, &REQ_ID).ok_or(BAD)?;
    if id.is_empty() || id.len() > 128 || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(BAD);
    }
    let terms = only(&head.headers, &TERMS).ok_or(BAD)?;
    let term = |name: &str| {
        let mut pairs = terms.split(',').filter_map(|pair| pair.trim().split_once('='));
        let value = number(pairs.find(|(key, _)| *key == name)?.1);
        // Said twice, it is unclear which one holds.
        value.filter(|_| pairs.all(|(key, _)| key != name))
    };
    let origin = head.uri.path_and_query().ok_or(BAD)?;
    Ok(Terms {
        uri: hyper::Uri::from(origin.clone()),
        wire_id: head.headers.get(REQ_ID).cloned().ok_or(BAD)?,
        class,
        plan: place(&rules.names.plans, tier).ok_or(BAD)?,
        customer: account(&head.headers).ok_or(BAD)?,
        budget: only(&head.headers, &REQ_DEADLINE).and_then(span).ok_or(BAD)?,
        units: term("units").filter(|units| *units > 0.0 && *units <= rules.largest).ok_or(BAD)?,
        spread: term("spread")
            .filter(|spread| spread.fract() == 0.0 && (1.0..=rules.ingresses).contains(spread))
            .ok_or(BAD)?,
        first: term("first").filter(|first| first.fract() == 0.0 && *first < rules.ingresses).ok_or(BAD)?,
        repeat: head.headers.get(RETRY).is_some_and(|value| value == "1"),
    })
}

/// A header's value, if it is there just once and is text.
fn only<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

fn place(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|known| known == name).map(|place| place as u16)
}

/// The customer in the cookie `account`: 16 hex digits, below 2^33.
fn account(headers: &HeaderMap) -> Option<u64> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|text| text.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let text = pairs.find(|(name, _)| *name == "account")?.1;
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|number| digits && *number < 1 << 33)
}

/// A number and its unit: `m` milliseconds or `u` microseconds.
fn span(text: &str) -> Option<Micros> {
    let (text, factor) = match text.strip_suffix('m') {
        Some(text) => (text, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let span = number(text)? * factor;
    (span >= 1.0).then(|| (span as Micros).min(LONGEST_BUDGET))
}

/// A plain decimal number; none below 0, and nothing that only a programming language takes for one.
fn number(text: &str) -> Option<f64> {
    let plain = text.len() <= 24 && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|_| plain)
}
