//! Clients: their connections, what a well-formed request is, and the end of service on SIGTERM.

use super::backend::{REQ_DEADLINE, REQ_ID};
use super::config::{Config, Names};
use super::{Answer, ClientRequest, Clock, Forward, Message, Messages, LARGEST_BODY};
use crate::interface::{Effect, Micros, RequestId};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, COOKIE, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::{sleep, timeout, Instant};

const REQ_KIND: HeaderName = HeaderName::from_static("req-kind");
const TIER: HeaderName = HeaderName::from_static("x-tier");
const TERMS: HeaderName = HeaderName::from_static("x-call-terms");
const RETRY: HeaderName = HeaderName::from_static("req-retry");

/// How long new connections are still taken after SIGTERM.
const LINGER: Duration = Duration::from_millis(700);
/// How long a request's body may take to come.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1024;
/// Longest time a client may say it waits.
const LONGEST_BUDGET: Micros = 600_000_000;

/// What all client connections share.
pub struct Shared {
    names: Names,
    effects: Vec<Effect>,
    clock: Clock,
    messages: Messages,
    next_id: Cell<RequestId>,
    pub ready: Rc<Cell<bool>>,
    connections: Cell<usize>,
    /// Connections above which requests are turned away at once, and above which none is accepted.
    shed_above: usize,
    most: usize,
    freed: Notify,
}

impl Shared {
    pub fn new(config: &Config, clock: Clock, messages: Messages) -> Rc<Shared> {
        Rc::new(Shared {
            names: config.names.clone(),
            effects: config.settings.classes.iter().map(|class| class.effect).collect(),
            clock,
            messages,
            next_id: Cell::new(1),
            ready: Rc::default(),
            connections: Cell::new(0),
            shed_above: config.sockets / 2,
            most: config.sockets * 9 / 16,
            freed: Notify::new(),
        })
    }
}

pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let open = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| io::Error::new(error.kind(), format!("listen {address}: {error}")))
}

/// Accepts until SIGTERM and a while longer; returns when every connection has ended, or the longest
/// deadline has passed for whatever was still taken.
pub async fn serve(listener: TcpListener, shared: Rc<Shared>, longest: Duration) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let (closing, _) = watch::channel(());
    let mut ends_at: Option<Instant> = None;
    loop {
        let room = shared.connections.get() < shared.most;
        tokio::select! {
            accepted = listener.accept(), if room => match accepted {
                Ok((stream, _)) => open(stream, &shared, closing.subscribe(), ends_at.is_some()),
                // Out of descriptors, or a client gone already: neither ends the service.
                Err(error) => {
                    eprintln!("accept: {error}");
                    sleep(Duration::from_millis(5)).await;
                }
            },
            () = shared.freed.notified(), if !room => {}
            _ = terminate.recv(), if ends_at.is_none() => {
                // Idle connections close now, while a request that crosses this still finds a listener.
                ends_at = Some(Instant::now() + LINGER);
                closing.send_replace(());
            }
            () = until(ends_at) => break,
        }
    }
    drop(listener);
    closing.send_replace(());
    let all_ended = async {
        while shared.connections.get() > 0 {
            shared.freed.notified().await;
        }
    };
    // By then all that was taken has its answer: what is left is half a request that may never be whole.
    let _ = timeout(longest, all_ended).await;
    Ok(())
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Serves one connection in a task of its own; its failure ends nothing else.
fn open(stream: TcpStream, shared: &Rc<Shared>, mut closing: watch::Receiver<()>, last: bool) {
    let _ = stream.set_nodelay(true);
    let shared = shared.clone();
    shared.connections.set(shared.connections.get() + 1);
    tokio::task::spawn_local(async move {
        let service = service_fn(|request| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(answer(shared, request).await) }
        });
        let mut builder = http1::Builder::new();
        builder.keep_alive(!last).auto_date_header(false).max_buf_size(64 * 1024);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut told = false;
        loop {
            tokio::select! {
                biased;
                _ = connection.as_mut() => break,
                change = closing.changed(), if !told => {
                    told = true;
                    if change.is_ok() {
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
        shared.connections.set(shared.connections.get() - 1);
        shared.freed.notify_one();
    });
}

async fn answer(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let arrived = shared.clock.now();
    let (head, body) = request.into_parts();
    if head.uri.path() == "/-/ready" {
        return status(if shared.ready.get() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    let terms = match check(&shared, &head) {
        Ok(terms) => terms,
        Err(code) => return status(code),
    };
    let body = match whole(&head, body).await {
        Ok(body) => body,
        Err(code) => return status(code),
    };
    if shared.connections.get() > shared.shed_above {
        return close(status(StatusCode::SERVICE_UNAVAILABLE));
    }
    let id = shared.next_id.get();
    shared.next_id.set(id.wrapping_add(1));
    let (reply, answered) = oneshot::channel();
    let forward = Rc::new(Forward { method: head.method, uri: terms.uri, wire_id: terms.wire_id, body });
    let request = ClientRequest {
        id,
        arrived,
        budget: terms.budget,
        class: terms.class,
        plan: terms.plan,
        customer: terms.customer,
        units: terms.units,
        spread: terms.spread,
        first: terms.first,
        repeat: head.headers.get(RETRY).is_some_and(|value| value == "1"),
        forward,
        reply,
    };
    if shared.messages.send(Message::Request(request)).is_err() {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    // Dropped unanswered when the client closes its connection.
    let mut waiting = Waiting { shared: &shared, id, over: false };
    let answer = answered.await.unwrap_or(Answer::Failed);
    waiting.over = true;
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Failed => status(StatusCode::BAD_GATEWAY),
        Answer::Refused { retry_after: 0 } => status(StatusCode::SERVICE_UNAVAILABLE),
        // The module names a time to come back only where the quota refills by then.
        Answer::Refused { retry_after } => {
            let mut response = status(StatusCode::TOO_MANY_REQUESTS);
            let seconds = format!("{:.3}", (retry_after as f64 / 1e3).ceil() / 1e3);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
    }
}

struct Waiting<'a> {
    shared: &'a Shared,
    id: RequestId,
    over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over {
            let _ = self.shared.messages.send(Message::Abandoned(self.id));
        }
    }
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}

fn close(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The body, whole and no longer than allowed; its length must have been stated.
async fn whole(head: &Parts, body: Incoming) -> Result<Bytes, StatusCode> {
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

struct Terms {
    uri: hyper::Uri,
    wire_id: HeaderValue,
    class: u16,
    plan: u16,
    customer: u64,
    budget: Micros,
    units: f64,
    spread: f64,
    first: f64,
}

/// What the head says; the status to answer with if it does not say it well.
fn check(shared: &Shared, head: &Parts) -> Result<Terms, StatusCode> {
    const BAD: StatusCode = StatusCode::BAD_REQUEST;
    let kind = only(&head.headers, &REQ_KIND).ok_or(BAD)?;
    let class = place(&shared.names.classes, kind).ok_or(StatusCode::NOT_FOUND)?;
    let segment = head.uri.path().trim_start_matches('/').split('/').next();
    if segment != Some(kind) {
        return Err(StatusCode::NOT_FOUND);
    }
    let method = match shared.effects[usize::from(class)] {
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
        let value = pairs.find(|(key, _)| *key == name)?.1.parse::<f64>().ok()?;
        (value.is_finite() && (0.0..=1e6).contains(&value)).then_some(value)
    };
    let origin = head.uri.path_and_query().ok_or(BAD)?;
    Ok(Terms {
        uri: hyper::Uri::from(origin.clone()),
        wire_id: head.headers.get(REQ_ID).cloned().ok_or(BAD)?,
        class,
        plan: place(&shared.names.plans, tier).ok_or(BAD)?,
        customer: account(&head.headers).ok_or(BAD)?,
        budget: only(&head.headers, &REQ_DEADLINE).and_then(span).ok_or(BAD)?,
        units: term("units").filter(|units| *units > 0.0).ok_or(BAD)?,
        spread: term("spread").filter(|spread| *spread >= 1.0).ok_or(BAD)?,
        first: term("first").ok_or(BAD)?,
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
    let (number, factor) = match text.strip_suffix('m') {
        Some(number) => (number, 1000.0),
        None => (text.strip_suffix('u')?, 1.0),
    };
    let span = number.parse::<f64>().ok()? * factor;
    (span.is_finite() && span >= 0.0).then(|| (span as Micros).min(LONGEST_BUDGET))
}
