//! One request of a client: its route, whose it is, whether it is within the limit, its answer.

use crate::attempts::{run, Job, Outcome};
use crate::backend::Answer;
use crate::body::{Body, Unusable};
use crate::freshness::Freshness;
use crate::state::Proxy;
use bytes::{Bytes, BytesMut};
use http_body_util::channel::Channel;
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_api::calls::header;
use violetyoke_api::configuration::Tenant;
use violetyoke_api::execution::{Execution, FailureReason};
use violetyoke_api::routing::{Caller, RouteEntry, RoutingTable};
use violetyoke_balancing::retry_policy::RetryPolicy;
use violetyoke_balancing::Millis;
use violetyoke_quota::Admission;

pub type Reply = Response<Either<Full<Bytes>, Channel<Bytes, std::io::Error>>>;

/// Headers that concern one connection, and those that the system sets itself.
const NOT_PASSED: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    header::CREDENTIAL,
    header::TENANT,
    header::TARGET,
    header::DEADLINE,
];

/// Who can't be told yet whether a route or a key exists is told to come back after this (ms).
const UNKNOWN: Millis = 200;

fn plain(status: u16, why: &'static str) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(Bytes::from_static(why.as_bytes()))));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply
}

/// A promise or none, by the verdict; `retry_ms`: when to come back, where that is known.
fn given_up(verdict: Execution, ending: FailureReason, retry_ms: Option<Millis>) -> Reply {
    let why = match ending {
        FailureReason::OverLimit => "past the tenant's limit",
        FailureReason::Overloaded => "no backend could take it",
        FailureReason::DeadlineExceeded => "no answer in time",
    };
    let mut reply = plain(verdict.status(ending), why);
    if let (Execution::NotExecuted, Some(ms)) = (verdict, retry_ms) {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", ms as f64 / 1000.0)) {
            reply.headers_mut().insert("retry-after", value);
        }
    }
    reply
}

fn unusable(why: Unusable) -> Reply {
    match why {
        Unusable::TooLarge => plain(413, "body too large"),
        Unusable::Broken => plain(400, "body not whole"),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// What a table knows of a request: its route and whose it is, or the status that denies it.
enum Known<'a> {
    Yes(&'a RouteEntry, Option<&'a Tenant>),
    No(u16),
}

fn known<'a>(table: &'a RoutingTable, parts: &Parts) -> Known<'a> {
    let authority = parts.uri.authority().map(|authority| authority.as_str());
    let host = text(&parts.headers, "host").or(authority).unwrap_or_default();
    let Some(entry) = table.find(host, parts.uri.path()) else { return Known::No(404) };
    let mut keys = parts.headers.get_all(header::CREDENTIAL).iter();
    let key = keys.next().and_then(|key| key.to_str().ok()).filter(|_| keys.next().is_none());
    match table.caller(entry, key) {
        Caller::Unknown => Known::No(401),
        Caller::Anonymous => Known::Yes(entry, None),
        Caller::Tenant(number) => Known::Yes(entry, table.tenants.get(number)),
    }
}

pub async fn handle(proxy: &Rc<Proxy>, request: Request<Incoming>) -> Reply {
    let arrived = Instant::now();
    proxy.metrics.requests.increment();
    let (parts, body) = request.into_parts();
    let mut snapshot = match proxy.configuration.snapshot().filter(|_| proxy.serving.is_ready()) {
        Some(snapshot) => snapshot,
        None => return given_up(Execution::NotExecuted, FailureReason::Overloaded, Some(200)),
    };
    if matches!(known(snapshot.routing(), &parts), Known::No(_)) {
        match proxy.freshness.check().await {
            Freshness::Updated => snapshot = proxy.configuration.snapshot().unwrap_or(snapshot),
            Freshness::UpToDate => {}
            // An ingress that is cut off denies nothing: what it lacks may have been acknowledged.
            Freshness::Unknown => {
                return given_up(Execution::NotExecuted, FailureReason::Overloaded, Some(UNKNOWN))
            }
        }
    }
    let table = snapshot.routing();
    let (entry, tenant) = match known(table, &parts) {
        Known::Yes(entry, tenant) => (entry, tenant),
        Known::No(status) => {
            let (figure, why) = match status {
                404 => (&proxy.metrics.unknown_routes, "no such route"),
                _ => (&proxy.metrics.unknown_credentials, "no such key"),
            };
            figure.increment();
            return plain(status, why);
        }
    };
    let body = match Body::take(body, table.limits.max_body_bytes as u64).await {
        Ok(body) => Rc::new(body),
        Err(why) => return unusable(why),
    };
    if let Some(tenant) = tenant {
        if let Admission::Denied { retry_after_ms } = proxy.quota.admit(tenant).await {
            proxy.metrics.over_limit.increment();
            return given_up(Execution::NotExecuted, FailureReason::OverLimit, Some(retry_after_ms));
        }
    }
    let Some(service) =
        entry.service(proxy.backends.sample_uniform()).and_then(|number| table.services.get(number))
    else {
        return given_up(Execution::NotExecuted, FailureReason::Overloaded, None);
    };
    let name = tenant.map(|tenant| tenant.name.as_str());
    let homes = tenant.map(|tenant| tenant.home_regions.clone()).unwrap_or_default();
    let deadline = text(&parts.headers, header::DEADLINE).and_then(|ms| ms.trim().parse::<f64>().ok());
    let held = deadline.unwrap_or(entry.timeout_ms).min(entry.timeout_ms).clamp(0.0, 600_000.0);
    let job = Job {
        service: service.name.clone(),
        homes: [entry.home_regions.clone(), homes],
        bounds: RetryPolicy {
            is_idempotent: entry.is_idempotent,
            max_attempts: entry.max_attempts,
            latency_target_ms: entry.target_ms.clamp(0.0, 600_000.0) as Millis,
            deadline_ms: held as Millis,
        },
        priority: priority(entry, tenant.and_then(|tenant| tenant.priority)),
        head_only: parts.method == Method::HEAD,
        attempt: text(&parts.headers, header::ATTEMPT).unwrap_or_default().to_owned(),
        head: head(&parts, name, &body),
        body,
        arrived,
        until: arrived + Duration::from_secs_f64(held / 1000.0),
    };
    match run(proxy, &job).await {
        Outcome::Answer(answer) => {
            proxy.metrics.answered.increment();
            pass(answer)
        }
        Outcome::Flowing(answer, flow, open) => {
            proxy.metrics.answered.increment();
            let (mut sender, channel) = Channel::new(1);
            let (length, first) = (answer.length, answer.body.clone());
            let proxy = proxy.clone();
            tokio::task::spawn_local(async move {
                // A client that has gone is found by what is sent next.
                let _ = sender.send_data(first).await;
                flow.pass(proxy, sender).await;
                drop(open);
            });
            let mut reply = pass(answer).map(|_| Either::Right(channel));
            if let Some(length) = length {
                reply.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
            }
            reply
        }
        Outcome::Ended { .. } if job.body.unusable().is_some() => {
            unusable(job.body.unusable().unwrap_or(Unusable::Broken))
        }
        Outcome::Ended { verdict, ending, retry_ms } => {
            let counter = match verdict {
                Execution::NotExecuted => &proxy.metrics.rejected,
                Execution::Unknown => &proxy.metrics.failed,
            };
            counter.increment();
            given_up(verdict, ending, retry_ms)
        }
    }
}

/// The tenant's rank goes before the route's.
fn priority(entry: &RouteEntry, tenant: Option<i64>) -> i64 {
    tenant.unwrap_or(entry.priority)
}

/// The head of what a backend gets, but for what each attempt sets.
fn head(parts: &Parts, tenant: Option<&str>, body: &Body) -> Bytes {
    let mut out = BytesMut::with_capacity(512);
    out.extend_from_slice(parts.method.as_str().as_bytes());
    out.extend_from_slice(b" ");
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    out.extend_from_slice(target.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    let dropped = text(&parts.headers, "connection").unwrap_or_default().to_ascii_lowercase();
    let one_way = |name: &str| dropped.split(',').any(|word| word.trim() == name);
    for (name, value) in &parts.headers {
        if NOT_PASSED.contains(&name.as_str()) || one_way(name.as_str()) {
            continue;
        }
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    match body.length() {
        None => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        Some(0) if matches!(parts.method, Method::GET | Method::HEAD) => {}
        Some(length) => out.extend_from_slice(format!("content-length: {length}\r\n").as_bytes()),
    }
    if let Some(tenant) = tenant {
        out.extend_from_slice(format!("{}: {tenant}\r\n", header::TENANT).as_bytes());
    }
    out.freeze()
}

/// A backend's answer as the client gets it.
fn pass(answer: Answer) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(answer.body)));
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in answer.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_maybe_shared(value)) {
            reply.headers_mut().append(name, value);
        }
    }
    reply
}
