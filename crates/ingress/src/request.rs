//! What a well-formed client request is. A request that is not one is turned down here, before the decision
//! module or a backend hears of it.

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
use violetyoke_decision::interface::{Effect, Micros, Settings};

pub const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const TIER: HeaderName = HeaderName::from_static("x-tier");
const TERMS: HeaderName = HeaderName::from_static("x-call-terms");
const RETRY: HeaderName = HeaderName::from_static("req-retry");
const TRY: HeaderName = HeaderName::from_static("x-try");
const ACCOUNT: HeaderName = HeaderName::from_static("x-account");

/// How long a request's body may take to come: the client is owed an answer within 3 s.
const BODY_TIME: Duration = Duration::from_millis(2400);
/// Longest time a client may say it waits.
const LONGEST_BUDGET: Micros = 600_000_000;
/// Longest name of an account.
const LONGEST_ACCOUNT: usize = 128;

/// Why a request is turned down, in words that name the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub code: StatusCode,
    pub reason: &'static str,
}

pub const fn bad_request(reason: &'static str) -> Rejection {
    Rejection { code: StatusCode::BAD_REQUEST, reason }
}

/// What a request is checked against.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Classes and plans by their numbers; an empty name is one that is no longer to be had.
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    effects: Vec<Effect>,
    deadlines: Vec<Micros>,
    max_units: f64,
    ingress_count: f64,
    form: RequestFormat,
    /// The class of what only asks, and the plan of what has been counted already, where the pool has them.
    query_class: Option<u16>,
    uncounted_plan: Option<u16>,
}

/// Which fields a request must have.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestFormat {
    /// All of them, and its path and method follow from its class.
    Platform,
    /// None but an account: what is not said has a usual value.
    Service { plan: Option<u16>, class: Option<u16> },
}

impl Rules {
    pub fn new(settings: &Settings, classes: Vec<String>, plans: Vec<String>, form: RequestFormat) -> Rules {
        Rules {
            classes,
            plans,
            effects: settings.classes.iter().map(|class| class.effect).collect(),
            deadlines: settings.classes.iter().map(|class| class.deadline).collect(),
            max_units: settings.largest_request,
            ingress_count: f64::from(settings.gateways),
            form,
            query_class: settings.classes.iter().position(|class| class.asks_only).map(|place| place as u16),
            uncounted_plan: None,
        }
    }

    /// With the plan of what has been counted already.
    pub fn with_uncounted_plan(self, uncounted_plan: u16) -> Rules {
        Rules { uncounted_plan: Some(uncounted_plan), ..self }
    }

    pub fn plan(&self, name: &str) -> Option<u16> {
        place(&self.plans, name)
    }

    pub fn default_plan(&self) -> Option<u16> {
        match self.form {
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
        place(&self.classes, name)
    }
}

/// The body: whole, or the beginning of one that is too long to be held, where such are taken.
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
    let may_have_one = match rules.form {
        RequestFormat::Platform => head.method == Method::POST,
        RequestFormat::Service { .. } => head.method != Method::GET,
    };
    if !may_have_one {
        return Err(bad_request("body: not allowed"));
    }
    let streams = rules.form == RequestFormat::Platform;
    let length = body.size_hint().exact();
    let long = match length {
        Some(length) if length > MAX_STREAMED_BODY => return Err(TOO_LONG),
        Some(length) => length > MAX_BUFFERED_BODY as u64,
        None => false,
    };
    if long && !streams {
        return Err(TOO_LARGE);
    }
    let most = if long { STREAM_PREFIX } else { MAX_BUFFERED_BODY };
    match timeout(BODY_TIME, read_up_to(&mut body, most)).await {
        Ok(Ok(PartialBody { bytes, complete: true })) => Ok(RequestBody::Buffered(bytes)),
        Ok(Ok(_)) if !streams => Err(TOO_LARGE),
        Ok(Ok(PartialBody { bytes, .. })) => {
            Ok(RequestBody::Streamed(Rc::new(Upload::new(bytes, length, body, clock))))
        }
        Ok(Err(_)) => Err(bad_request("body: broken off")),
        Err(_) => Err(BODY_TIMED_OUT),
    }
}

pub const BODY_TIMED_OUT: Rejection =
    Rejection { code: StatusCode::REQUEST_TIMEOUT, reason: "body: did not come in time" };

pub struct RequestTerms {
    /// None: the client gave it none.
    pub wire_id: Option<HeaderValue>,
    pub class: u16,
    pub plan: u16,
    pub customer: u64,
    pub budget: Micros,
    pub units: f64,
    pub spread: f64,
    pub first: f64,
    pub is_retry: bool,
    /// The try's name, where the client gives it one.
    pub attempt_name: Option<String>,
}

/// What the head says; why it is turned down if it does not say it well. `class` is what the route makes of a
/// request that states none. A guest's plan and customer are the tenant's to say.
pub fn check(
    rules: &Rules,
    head: &Parts,
    class: Option<u16>,
    guest: bool,
) -> Result<RequestTerms, Rejection> {
    // A pool of a file holds room for a body before it reads it, and of this one the length is not known.
    if rules.form != RequestFormat::Platform && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(bad_request("transfer-encoding: not taken"));
    }
    let headers = &head.headers;
    let (default_plan, usual_class, open) = match rules.form {
        RequestFormat::Platform => (None, None, false),
        RequestFormat::Service { plan, class: usual } => (plan, class.or(usual), true),
    };
    let class = match field(headers, &REQ_KIND, "req-kind: doubled or not text")? {
        Some(kind) => rules
            .class(kind)
            .ok_or(Rejection { code: StatusCode::NOT_FOUND, reason: "req-kind: no such class" })?,
        None => usual_class.ok_or(bad_request("req-kind: missing"))?,
    };
    if !open {
        let segment = head.uri.path().trim_start_matches('/').split('/').next();
        if segment != Some(rules.classes[usize::from(class)].as_str()) {
            return Err(Rejection { code: StatusCode::NOT_FOUND, reason: "path: not of the class" });
        }
        let method = match rules.effects[usize::from(class)] {
            Effect::Safe => Method::GET,
            Effect::Keyed | Effect::Unsafe => Method::POST,
        };
        if head.method != method {
            return Err(bad_request("method: not that of the class"));
        }
    } else if ![Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE].contains(&head.method)
    {
        let code = StatusCode::METHOD_NOT_ALLOWED;
        return Err(Rejection { code, reason: "method: GET, POST, PUT, PATCH and DELETE are taken" });
    }
    let plan = match field(headers, &TIER, "x-tier: doubled or not text")? {
        _ if guest => 0,
        Some(tier) => place(&rules.plans, tier).ok_or(bad_request("x-tier: no such plan"))?,
        None => default_plan.ok_or(bad_request("x-tier: missing"))?,
    };
    let wire_id = field(headers, &REQ_ID, "req-id: doubled or not text")?;
    if wire_id
        .is_some_and(|id| id.is_empty() || id.len() > 128 || !id.bytes().all(|byte| byte.is_ascii_graphic()))
    {
        return Err(bad_request("req-id: 1 to 128 printable characters"));
    }
    if wire_id.is_none() && !open {
        return Err(bad_request("req-id: missing"));
    }
    let terms = field(headers, &TERMS, "x-call-terms: doubled or not text")?;
    if terms.is_none() && !open {
        return Err(bad_request("x-call-terms: missing"));
    }
    let terms = terms.unwrap_or_default();
    let term = |name: &str, usual: f64| {
        let mut pairs = terms.split(',').filter_map(|pair| pair.trim().split_once('='));
        let Some((_, text)) = pairs.find(|(key, _)| *key == name) else { return open.then_some(usual) };
        // Said twice, it is unclear which one holds.
        number(text).filter(|_| pairs.all(|(key, _)| key != name))
    };
    let budget = match field(headers, &REQ_DEADLINE, "req-deadline: doubled or not text")? {
        Some(text) => span(text).ok_or(bad_request("req-deadline: a number and m or u"))?,
        None if open => rules.deadlines[usize::from(class)],
        None => return Err(bad_request("req-deadline: missing")),
    };
    let complete = |value: &f64| value.fract() == 0.0;
    let attempt_name = if open { field(headers, &TRY, "x-try: doubled or not text")? } else { None };
    if attempt_name.is_some_and(|name| name.is_empty() || name.len() > LONGEST_ACCOUNT) {
        return Err(bad_request("x-try: 1 to 128 characters"));
    }
    Ok(RequestTerms {
        wire_id: headers.get(REQ_ID).cloned(),
        class,
        plan,
        customer: account(headers, open)?,
        budget,
        units: term("units", 1.0)
            .filter(|units| *units > 0.0 && *units <= rules.max_units)
            .ok_or(bad_request("x-call-terms: units"))?,
        spread: term("spread", rules.ingress_count)
            .filter(|spread| complete(spread) && (1.0..=rules.ingress_count).contains(spread))
            .ok_or(bad_request("x-call-terms: spread"))?,
        first: term("first", 0.0)
            .filter(|first| complete(first) && *first < rules.ingress_count)
            .ok_or(bad_request("x-call-terms: first"))?,
        is_retry: headers.get(RETRY).is_some_and(|value| value == "1"),
        attempt_name: attempt_name.map(String::from),
    })
}

/// A header's value: none if it is not there, an error if it is there twice or is no text.
fn field<'a>(
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

fn place(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|known| known == name && !name.is_empty()).map(|place| place as u16)
}

/// The customer: in the cookie `account`, 16 hex digits below 2^33; in the open form else by any name in the
/// field `X-Account`, as the 64 bits of its SipHash-1-3 (key 0). With `n` accounts, the chance that any two
/// share a quota is below `n^2 / 2^65`.
fn account(headers: &HeaderMap, open: bool) -> Result<u64, Rejection> {
    const WHY: Rejection = bad_request("cookie account: 16 hex digits below 2^33");
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|text| text.split(';')).filter_map(|pair| pair.trim().split_once('='));
    if let Some((_, text)) = pairs.find(|(name, _)| *name == "account") {
        let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        return u64::from_str_radix(text, 16).ok().filter(|number| digits && *number < 1 << 33).ok_or(WHY);
    }
    if !open {
        return Err(WHY);
    }
    let name = field(headers, &ACCOUNT, "x-account: doubled or not text")?
        .ok_or(bad_request("x-account: missing"))?;
    customer_id(name).ok_or(bad_request("x-account: 1 to 128 characters"))
}

/// An account as its client says it: for those who have to tell others of it.
pub fn account_name(headers: &HeaderMap) -> String {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|value| value.to_str().ok());
    let mut pairs = cookies.flat_map(|text| text.split(';')).filter_map(|pair| pair.trim().split_once('='));
    let attempt_name = || headers.get(ACCOUNT).and_then(|value| value.to_str().ok());
    let cookie = pairs.find(|(name, _)| *name == "account").map(|(_, text)| text);
    cookie.or_else(attempt_name).unwrap_or_default().to_string()
}

/// The customer that stands for an account's name; none for what is no name.
pub fn customer_id(name: &str) -> Option<u64> {
    let good = (1..=LONGEST_ACCOUNT).contains(&name.len());
    good.then(|| hash(&SipHasher13::new(), name))
}

/// The number that a try's claim has on the counter: apart from accounts by its key. Of one account and so many
/// units: under a name of somebody else's nothing is to be had.
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
