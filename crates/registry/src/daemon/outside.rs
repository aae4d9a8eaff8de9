//! The outside calls: operators' orders, and clients that ask where to go.

use super::Registry;
use crate::orders::ANSWER_WITHIN;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::info;
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use violetyoke_api::calls::{query_parameter, Call, CallTarget};
use violetyoke_api::{Configuration, ValidationError};
use violetyoke_transport::messages::{Command, Outcome};
use violetyoke_transport::net::Listener;

/// The largest body of an order.
const LARGEST: usize = 8 << 20;
const HEAD_WITHIN: Duration = Duration::from_secs(5);
/// The longest that an acknowledgement waits for all proxies to install the version, and the longest that it may take in
/// all: an operator goes on to another registry after a second of silence.
const INSTALLED_WITHIN: Duration = Duration::from_millis(450);
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_millis(ANSWER_WITHIN + 50);
/// An evacuation has no version: one that was sent long ago, and has come late over a cut link or to a process that stood
/// still, would undo what was ordered since. Its operator has gone on and closed the connection, which is known within
/// this time of the order's arrival.
const STALE_WITHIN: Duration = Duration::from_millis(60);
/// Clients keep an answer for so long, at most: each time that they ask they wait for a way to the core and back, and an
/// edge that is gone is passed over by who tries it.
const TTL_S: f64 = 5.0;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Door {
    Control,
    Directory,
}

type Shared = Rc<RefCell<Registry>>;
type Answer = Response<Full<Bytes>>;

pub(super) async fn serve(listener: Listener, registry: Shared, door: Door) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let registry = registry.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let registry = registry.clone();
                async move { Ok::<_, Infallible>(answer(request, &registry, door).await) }
            });
            let mut builder = hyper::server::conn::http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_WITHIN);
            // A client that has closed its side is taken for gone: what it asked for is given up where it has not gone out.
            builder.half_close(false);
            // A client that breaks off has its own reasons.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn plain(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    answer
}

fn refusal(status: u16, error: &ValidationError) -> Answer {
    let body = serde_json::json!({ "error": error.to_string(), "field": error.field });
    plain(status, body.to_string())
}

async fn answer(request: Request<Incoming>, registry: &Shared, door: Door) -> Answer {
    let taker = if door == Door::Control { CallTarget::Controller } else { CallTarget::Locator };
    let uri = request.uri().clone();
    let Some(call) = Call::find(taker, request.method().as_str(), uri.path(), uri.query()) else {
        return refusal(404, &ValidationError::new("call", "is none that this address takes"));
    };
    match call {
        Call::Resolve => resolve(registry, uri.query()),
        Call::ConfigurationReplace => match Limited::new(request.into_body(), LARGEST).collect().await {
            Err(error) => refusal(413, &ValidationError::new("document", error)),
            Ok(body) => replace(registry, &body.to_bytes()).await,
        },
        Call::ConfigurationRead => match order(registry, Command::Read).await {
            Some(Outcome::Read(state)) if !state.text.is_empty() => plain(200, state.text),
            Some(Outcome::Read(_)) => {
                refusal(404, &ValidationError::new("configuration", "none was ever sent"))
            }
            _ => unclear(),
        },
        Call::EvacuationBegin | Call::EvacuationFinish => {
            let zone = query_parameter(uri.query(), "of").unwrap_or_default();
            if !registry.borrow().settings.network.zones.contains_key(zone) {
                return refusal(400, &ValidationError::new("of", "is no zone"));
            }
            // While this waits, a call whose client is gone ends.
            tokio::time::sleep(STALE_WITHIN).await;
            let empty = call == Call::EvacuationBegin;
            match order(registry, Command::Evacuate { zone: zone.to_owned(), empty }).await {
                Some(Outcome::Acknowledged) => plain(200, "{}"),
                _ => unclear(),
            }
        }
        Call::Readiness | Call::Figures | Call::Backends | Call::Instances => {
            refusal(404, &ValidationError::new("call", "is not taken here"))
        }
    }
}

fn unclear() -> Answer {
    let mut answer =
        refusal(503, &ValidationError::new("order", "no store has answered: it may be in force or may not"));
    answer.headers_mut().insert("retry-after", hyper::header::HeaderValue::from_static("0.2"));
    answer
}

async fn replace(registry: &Shared, body: &Bytes) -> Answer {
    let version = match Configuration::parse(body) {
        Err(error) => return refusal(400, &error),
        Ok(configuration) => configuration.version,
    };
    let Ok(text) = String::from_utf8(body.to_vec()) else {
        return refusal(400, &ValidationError::new("document", "is not UTF-8"));
    };
    let answered_by = Instant::now() + ACKNOWLEDGED_WITHIN;
    match order(registry, Command::Replace { version, text }).await {
        Some(Outcome::Acknowledged) => {
            installed_by_all(registry, version, answered_by).await;
            plain(200, "{}")
        }
        Some(Outcome::VersionTaken) => {
            info!(registry.borrow().log, "not confirmed: the version has another text"; "version" => version);
            version_taken(version)
        }
        _ => unclear(),
    }
}

/// Another operator's text was accepted under the version. This one is not confirmed, and sent again it would not be.
fn version_taken(version: u64) -> Answer {
    refusal(409, &ValidationError::new("version", format!("{version} was accepted with another text")))
}

/// Waits until each proxy with a session here has installed the version: whoever is told that a change is acknowledged
/// finds it in force everywhere. A proxy that does not answer is not waited for longer than a moment.
async fn installed_by_all(registry: &Shared, version: u64, answered_by: Instant) {
    let polled = registry.borrow().polled.clone();
    let until = answered_by.min(Instant::now() + INSTALLED_WITHIN);
    loop {
        let next = polled.notified();
        if registry.borrow().all_hold(version) || timeout_at(until, next).await.is_err() {
            return;
        }
    }
}

async fn order(registry: &Shared, order: Command) -> Option<Outcome> {
    let outcome = {
        let registry = &mut *registry.borrow_mut();
        let now = registry.now();
        registry.orders.give(now, order, &registry.stores)
    };
    outcome.await.ok()
}

fn resolve(registry: &Shared, text: Option<&str>) -> Answer {
    let registry = registry.borrow();
    let named = |name| query_parameter(text, name).unwrap_or_default();
    let addresses = registry.sessions.resolve(named("region"), named("zone"));
    if addresses.is_empty() {
        return refusal(503, &ValidationError::new("addresses", "no ingress is ready"));
    }
    let ttl = registry.settings.terms.bounds.ttl_max_s.min(TTL_S);
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    plain(200, serde_json::json!({ "addresses": addresses, "ttl-s": ttl }).to_string())
}
