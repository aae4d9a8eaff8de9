//! Backends, their idle connections, and the execution of one attempt on one of them.

use super::pool::SharedCapacity;
use super::socket::Socket;
use super::streaming::{
    read_up_to, response_channel, AttemptBody, ChunkSender, PartialBody, ResponseRemainder, MAX_STREAMED_BODY,
};
use super::{ForwardedRequest, MAX_BUFFERED_BODY};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONNECTION, HOST, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Sleep};
use violetyoke_decision::interface::{Event, Micros, Outcome, Report, ReportField};
use violetyoke_shares::{CapacityPool, Member};

/// Maximum number of idle connections kept per backend.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// How long a response may pause once it has begun. Without this limit, a response with a wrong length would be
/// awaited until the request's deadline; a shorter one would break off responses of backends that write in
/// several parts.
const RESPONSE_PAUSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The same for a streamed response, whose request counts as answered already.
const STREAM_PAUSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of the longest response head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest value in a load report that is plausible.
const MAX_REPORT_VALUE: f64 = 1e6;

pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const SRV_DECLINED: HeaderName = HeaderName::from_static("srv-declined");
const SRV_LOAD: HeaderName = HeaderName::from_static("srv-load");

/// A backend as last reported by discovery, with its idle connections.
pub struct Backend {
    pub address: Cell<SocketAddr>,
    /// Whether new requests may be sent to it.
    pub accepting: Cell<bool>,
    /// Whether discovery no longer lists it.
    pub removed: Cell<bool>,
    /// Oldest first.
    idle: RefCell<Vec<BackendConnection>>,
    budget: Rc<ConnectionBudget>,
}

/// The limit for connections to all backends together: their share of the process's descriptors.
pub struct ConnectionBudget {
    capacity: SharedCapacity,
    member: Member,
    backends: RefCell<Vec<Weak<Backend>>>,
}

impl ConnectionBudget {
    /// For a process with a single pool.
    pub fn standalone(max_connections: usize) -> Rc<ConnectionBudget> {
        let mut capacity = CapacityPool::new(max_connections as u64);
        capacity.set_limits(0, 0, max_connections as u64);
        ConnectionBudget::new(Rc::new(RefCell::new(capacity)), 0)
    }

    pub fn new(capacity: SharedCapacity, member: Member) -> Rc<ConnectionBudget> {
        Rc::new(ConnectionBudget { capacity, member, backends: RefCell::default() })
    }

    /// A permit for one more connection. If there is none left, the connection to any backend that has been
    /// idle the longest is closed: it is of less use than the current request.
    fn acquire(self: &Rc<ConnectionBudget>) -> Option<ConnectionPermit> {
        if self.capacity.borrow().available(self.member) == 0 {
            let backends = self.backends.borrow();
            let oldest = backends.iter().filter_map(Weak::upgrade).filter_map(|backend| {
                let idle_since = backend.idle.borrow().first()?.idle_since;
                Some((idle_since, backend))
            });
            let (_, backend) = oldest.min_by_key(|(idle_since, _)| *idle_since)?;
            drop(backend.idle.borrow_mut().remove(0));
        }
        self.capacity.borrow_mut().try_acquire(self.member, 1).then(|| ConnectionPermit(self.clone()))
    }
}

/// A connection to a backend. Nothing polls it while it is idle; it is polled when it is taken for a request.
struct BackendConnection {
    sender: SendRequest<AttemptBody>,
    http_driver: Connection<TokioIo<Socket>, AttemptBody>,
    socket: Socket,
    address: SocketAddr,
    /// When it became idle.
    idle_since: Micros,
    _permit: ConnectionPermit,
}

/// The result of an attempt.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub report: Report,
    pub body: Bytes,
    /// The event for the decision module about the connection, if it carried the request.
    pub connection_event: Option<Event>,
    /// Whether the response was read to its end.
    complete: bool,
}

impl AttemptResult {
    fn without_response(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            report: Report::new(),
            body: Bytes::new(),
            connection_event: None,
            complete: false,
        }
    }
}

impl Backend {
    pub fn new(address: SocketAddr, budget: Rc<ConnectionBudget>) -> Rc<Backend> {
        let backend = Rc::new(Backend {
            address: Cell::new(address),
            accepting: Cell::new(false),
            removed: Cell::new(false),
            idle: RefCell::new(Vec::new()),
            budget: budget.clone(),
        });
        let mut backends = budget.backends.borrow_mut();
        backends.retain(|backend| backend.strong_count() > 0);
        backends.push(Rc::downgrade(&backend));
        drop(backends);
        backend
    }

    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle since before `idle_since`.
    pub fn close_idle_since(&self, idle_since: Micros) {
        self.idle.borrow_mut().retain(|connection| connection.idle_since >= idle_since);
    }

    /// Takes the most recently used idle connection that the peer has neither closed nor written to:
    /// unsolicited bytes would be taken for the response to the next request.
    fn take(&self, cx: &mut Context<'_>) -> Option<BackendConnection> {
        loop {
            let mut connection = self.idle.borrow_mut().pop()?;
            let is_alive = Pin::new(&mut connection.http_driver).poll(cx).is_pending()
                && connection.socket.has_no_input();
            if is_alive && connection.sender.is_ready() && connection.address == self.address.get() {
                return Some(connection);
            }
        }
    }

    async fn connect(&self, permit: ConnectionPermit) -> io::Result<BackendConnection> {
        let address = self.address.get();
        let socket = Socket::new(TcpStream::connect(address).await?);
        let (sender, http_driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        Ok(BackendConnection { sender, http_driver, socket, address, idle_since: 0, _permit: permit })
    }

    fn put_back(&self, connection: BackendConnection) {
        let mut idle = self.idle.borrow_mut();
        if self.accepting.get() && connection.address == self.address.get() {
            if idle.len() >= MAX_IDLE_CONNECTIONS {
                idle.remove(0);
            }
            idle.push(connection);
        }
    }
}

/// Runs one attempt. `sent` is set before the request's first byte can be written. `on_streaming` is called
/// when a streamed response begins.
pub async fn attempt(
    backend: Rc<Backend>,
    forward: Rc<ForwardedRequest>,
    time_left: Micros,
    sent: Rc<Cell<bool>>,
    fields: Rc<[ReportField]>,
    now: impl Fn() -> Micros,
    on_streaming: impl Fn(Report, Bytes, ResponseRemainder),
) -> AttemptResult {
    loop {
        let idle = poll_fn(|cx| Poll::Ready(backend.take(cx))).await;
        let reused = idle.is_some();
        let connection = match idle {
            Some(connection) => connection,
            // A lack of descriptors and a drain are not failures of the backend.
            None => match backend.budget.acquire() {
                None => return AttemptResult::without_response(Outcome::Withheld),
                Some(permit) => match backend.connect(permit).await {
                    Ok(connection) => connection,
                    Err(_) => return AttemptResult::without_response(Outcome::ConnectFailed),
                },
            },
        };
        // The backend started to drain while the connection was opened, so no new request may be sent to it.
        if !backend.accepting.get() || connection.address != backend.address.get() {
            return AttemptResult::without_response(Outcome::Withheld);
        }
        sent.set(true);
        let idle = reused.then(|| now().saturating_sub(connection.idle_since));
        let (mut result, nothing_written, response_started, connection) = send_request(
            connection,
            build_request(&forward, backend.address.get(), time_left),
            &fields,
            &on_streaming,
        )
        .await;
        if let Some(mut connection) = connection {
            connection.idle_since = now();
            backend.put_back(connection);
        }
        if !nothing_written {
            if let Some(upload) = forward.body.upload().filter(|upload| upload.ended_at().is_none()) {
                // The last byte was not sent, so the request has not run unless the backend's response says
                // otherwise.
                result.outcome = match result.outcome {
                    _ if upload.client_failed() => Outcome::Withheld,
                    Outcome::Reset => Outcome::ConnectFailed,
                    outcome => outcome,
                };
            }
            let broken = !response_started && result.outcome == Outcome::Reset;
            result.connection_event = Some(Event::ConnectionUsed { idle, broken });
            if reused && broken {
                result.outcome = Outcome::Stale;
            }
            return result;
        }
        sent.set(false);
        // Bytes of a streamed body that were read for this connection are lost, so the body cannot be sent
        // again.
        let body_started = forward.body.upload().is_some_and(|upload| !upload.is_unsent());
        if !reused || body_started {
            return AttemptResult::without_response(Outcome::ConnectFailed);
        }
        // The peer has just closed the idle connection; no byte of the request was written. Try the next one.
    }
}

fn build_request(forward: &ForwardedRequest, address: SocketAddr, time_left: Micros) -> Request<AttemptBody> {
    let mut request = Request::new(AttemptBody::new(&forward.body));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    let headers = request.headers_mut();
    let text = |text: String| HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""));
    headers.insert(HOST, text(address.to_string()));
    headers.insert(REQ_ID, forward.client_request_id.clone());
    headers.insert(REQ_DEADLINE, text(format!("{time_left}u")));
    request
}

/// Sends the request and reads the response. Returns the result, whether certainly no byte of the request was
/// written, whether any byte of a response was read, and the connection if it can carry another request.
async fn send_request(
    mut connection: BackendConnection,
    request: Request<AttemptBody>,
    fields: &[ReportField],
    on_streaming: &dyn Fn(Report, Bytes, ResponseRemainder),
) -> (AttemptResult, bool, bool, Option<BackendConnection>) {
    let (written_before, read_before) = (connection.socket.bytes_written(), connection.socket.bytes_read());
    let mut is_alive = true;
    let is_streaming = Cell::new(false);
    let start_streaming = |report, first, rest| {
        is_streaming.set(true);
        on_streaming(report, first, rest);
    };
    let (result, request_returned) = {
        let response = connection.sender.try_send_request(request);
        let mut answer = pin!(async {
            match response.await {
                Ok(response) => (read_response(response, fields, &start_streaming).await, false),
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    let outcome = if unsent { Outcome::Reset } else { classify_error(error.error()) };
                    (AttemptResult::without_response(outcome), unsent)
                }
            }
        });
        let (http_driver, socket) = (&mut connection.http_driver, &connection.socket);
        let mut pause_timer = pin!(None::<Sleep>);
        let mut bytes_seen = read_before;
        poll_fn(|cx| loop {
            if let Poll::Ready(result) = answer.as_mut().poll(cx) {
                return Poll::Ready(result);
            }
            if !is_alive {
                return Poll::Pending;
            }
            match Pin::new(&mut *http_driver).poll(cx) {
                Poll::Ready(_) => is_alive = false,
                Poll::Pending => {
                    if let Poll::Ready(result) = answer.as_mut().poll(cx) {
                        return Poll::Ready(result);
                    }
                    // A response that has begun and does not end has a wrong length or an endless head.
                    if socket.bytes_read() > bytes_seen {
                        bytes_seen = socket.bytes_read();
                        pause_timer.set(Some(sleep(RESPONSE_PAUSE_TIMEOUT)));
                    }
                    let stalled = !is_streaming.get()
                        && pause_timer
                            .as_mut()
                            .as_pin_mut()
                            .is_some_and(|pause_timer| pause_timer.poll(cx).is_ready());
                    let error_result = (AttemptResult::without_response(Outcome::Error), false);
                    return if stalled { Poll::Ready(error_result) } else { Poll::Pending };
                }
            }
        })
        .await
    };
    let is_reset = result.outcome == Outcome::Reset;
    let nothing_written =
        is_reset && (request_returned || connection.socket.bytes_written() == written_before);
    let is_reusable = result.complete
        && is_alive
        && poll_fn(|cx| Poll::Ready(Pin::new(&mut connection.http_driver).poll(cx).is_pending())).await
        && connection.socket.has_no_input()
        && connection.sender.is_ready();
    let response_started = connection.socket.bytes_read() > read_before;
    (result, nothing_written, response_started, is_reusable.then_some(connection))
}

/// Classifies an unusable response: either the backend sent something invalid or the connection broke. In both
/// cases the request may have run, but only a broken connection indicates that the backend is going down.
fn classify_error(error: &hyper::Error) -> Outcome {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, TimedOut, UnexpectedEof};
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let reset_kinds = [BrokenPipe, ConnectionAborted, ConnectionReset, TimedOut, UnexpectedEof];
    let connection_lost = error.is_incomplete_message()
        || error.is_canceled()
        || error.is_closed()
        || source.is_some_and(|source| reset_kinds.contains(&source.kind()));
    if connection_lost {
        Outcome::Reset
    } else {
        Outcome::Error
    }
}

/// Reads the response, or its beginning if it is streamed. A response that is or may be truncated counts as an
/// error, and so does an incomplete decline, because its meaning is uncertain.
async fn read_response(
    response: Response<Incoming>,
    fields: &[ReportField],
    on_streaming: &dyn Fn(Report, Bytes, ResponseRemainder),
) -> AttemptResult {
    let (head, mut body) = response.into_parts();
    let report = report(&head.headers, fields);
    let is_declined = head.headers.get(SRV_DECLINED).is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => Outcome::Full,
        _ => Outcome::Error,
    };
    // Without a length, a body ends with the connection if the response says `close`; otherwise it may be
    // truncated.
    let connection_close =
        head.headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let length = body.size_hint().exact();
    let has_defined_end =
        length.is_some() || connection_close || head.headers.contains_key(TRANSFER_ENCODING);
    let fits = body.size_hint().lower() <= MAX_STREAMED_BODY;
    if !has_defined_end || !fits || head.status == StatusCode::SWITCHING_PROTOCOLS {
        return AttemptResult::without_response(Outcome::Error);
    }
    let failed = |error: hyper::Error| AttemptResult::without_response(classify_error(&error));
    let max_bytes =
        if length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64) { 0 } else { MAX_BUFFERED_BODY };
    match read_up_to(&mut body, max_bytes).await {
        Ok(PartialBody { bytes, complete: true }) => {
            AttemptResult { outcome, report, body: bytes, connection_event: None, complete: true }
        }
        Ok(_) if outcome != Outcome::Ok => AttemptResult::without_response(Outcome::Error),
        Ok(PartialBody { bytes, .. }) => {
            let forwarded = bytes.len() as u64;
            let (chunks, rest) = response_channel(length);
            on_streaming(report, bytes, rest);
            let complete = forward_rest(body, forwarded, chunks).await;
            AttemptResult { complete, ..AttemptResult::without_response(Outcome::Ok) }
        }
        Err(error) => failed(error),
    }
}

/// Forwards the rest of a streamed response as fast as the client reads it. Returns whether it was complete.
async fn forward_rest(mut body: Incoming, mut forwarded: u64, chunks: ChunkSender) -> bool {
    loop {
        let frame = tokio::select! {
            frame = timeout(STREAM_PAUSE_TIMEOUT, body.frame()) => frame,
            () = chunks.closed() => return false,
        };
        let data = match frame {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => frame.into_data(),
            // The error breaks the client's connection, so that the client can tell that the response is
            // incomplete.
            Ok(Some(Err(error))) => {
                let _ = chunks.send(Err(io::Error::other(error))).await;
                return false;
            }
            Err(_) => {
                let _ = chunks.send(Err(io::ErrorKind::TimedOut.into())).await;
                return false;
            }
        };
        let Ok(data) = data else { continue };
        forwarded += data.len() as u64;
        if forwarded > MAX_STREAMED_BODY {
            let _ = chunks.send(Err(io::ErrorKind::FileTooLarge.into())).await;
            return false;
        }
        if chunks.send(Ok(data)).await.is_err() {
            return false;
        }
    }
}

/// Parses the load report into values in the order of the settings' fields. It is empty unless all fields are
/// present and plausible: an invalid report does not invalidate the response.
fn report(headers: &HeaderMap, fields: &[ReportField]) -> Report {
    let Some(text) = headers.get(SRV_LOAD).and_then(|value| value.to_str().ok()) else {
        return Report::new();
    };
    let value = |field: &ReportField| {
        let named = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        let mut values = named.filter(|(name, _)| field_of_name(name) == *field).map(|(_, value)| value);
        values.next()?.trim().parse::<f64>().ok().filter(|value| (0.0..=MAX_REPORT_VALUE).contains(value))
    };
    fields.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}

fn field_of_name(name: &str) -> ReportField {
    match name.trim() {
        "inflight" | "outstanding" => ReportField::Outstanding,
        "queue" | "backlog" => ReportField::Backlog,
        "util" | "utilization" => ReportField::Utilization,
        "latency_ms" | "recent_ms" => ReportField::RecentMillis,
        "qps" | "throughput" => ReportField::Throughput,
        "eps" | "errors_per_s" => ReportField::ErrorsPerSecond,
        _ => ReportField::Other,
    }
}

/// A permit from the connection budget, released when the connection is dropped.
struct ConnectionPermit(Rc<ConnectionBudget>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.capacity.borrow_mut().release(self.0.member, 1);
    }
}
