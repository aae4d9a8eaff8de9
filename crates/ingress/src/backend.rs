//! Backends: their connections, and one attempt on one of them.

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

/// Idle connections kept to one backend.
const MOST_IDLE: usize = 16;
/// How long an answer that has begun may pause: one whose length is a lie would otherwise be waited for until the
/// request's time is up. Too short, it breaks off those of nodes that write in pieces.
const ANSWER_PAUSE: Duration = Duration::from_millis(200);
/// The same for a long one, whose request is answered already.
const LONG_PAUSE: Duration = Duration::from_secs(10);
/// The longest head of an answer.
const LARGEST_HEAD: usize = 16 * 1024;
/// Largest figure in a load report that can be meant.
const LARGEST_FIGURE: f64 = 1e6;

pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");
const LOAD: HeaderName = HeaderName::from_static("srv-load");

/// One backend as discovery last told of it, and its idle connections, newest last.
pub struct Backend {
    pub address: Cell<SocketAddr>,
    pub accepting: Cell<bool>,
    /// Discovery names it no longer.
    pub gone: Cell<bool>,
    idle: RefCell<Vec<BackendConnection>>,
    budget: Rc<ConnectionBudget>,
}

/// Connections to all backends together: their part of what there is of descriptors.
pub struct ConnectionBudget {
    capacity: SharedCapacity,
    member: Member,
    backends: RefCell<Vec<Weak<Backend>>>,
}

impl ConnectionBudget {
    /// Of a process that has nothing else to share with.
    pub fn standalone(most: usize) -> Rc<ConnectionBudget> {
        let mut capacity = CapacityPool::new(most as u64);
        capacity.set_limits(0, 0, most as u64);
        ConnectionBudget::new(Rc::new(RefCell::new(capacity)), 0)
    }

    pub fn new(capacity: SharedCapacity, member: Member) -> Rc<ConnectionBudget> {
        Rc::new(ConnectionBudget { capacity, member, backends: RefCell::default() })
    }

    /// A place for one more connection. Where there is none, the longest idle connection to any backend has to
    /// go: it is of less use than the request at hand.
    fn place(self: &Rc<ConnectionBudget>) -> Option<ConnectionPermit> {
        if self.capacity.borrow().available(self.member) == 0 {
            let backends = self.backends.borrow();
            let oldest = backends.iter().filter_map(Weak::upgrade).filter_map(|backend| {
                let since = backend.idle.borrow().first()?.since;
                Some((since, backend))
            });
            let (_, backend) = oldest.min_by_key(|(since, _)| *since)?;
            drop(backend.idle.borrow_mut().remove(0));
        }
        self.capacity.borrow_mut().try_acquire(self.member, 1).then(|| ConnectionPermit(self.clone()))
    }
}

/// A connection that carries no request. Nothing drives it while it is idle: it is polled when it is taken.
struct BackendConnection {
    sender: SendRequest<AttemptBody>,
    connection: Connection<TokioIo<Socket>, AttemptBody>,
    socket: Socket,
    address: SocketAddr,
    since: Micros,
    _slot: ConnectionPermit,
}

/// What became of an attempt.
pub struct AttemptResult {
    pub outcome: Outcome,
    pub report: Report,
    pub body: Bytes,
    /// What is to be told of the connection, where it carried the request.
    pub connection_event: Option<Event>,
    whole: bool,
}

impl AttemptResult {
    fn without_answer(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            report: Report::new(),
            body: Bytes::new(),
            connection_event: None,
            whole: false,
        }
    }
}

impl Backend {
    pub fn new(address: SocketAddr, budget: Rc<ConnectionBudget>) -> Rc<Backend> {
        let backend = Rc::new(Backend {
            address: Cell::new(address),
            accepting: Cell::new(false),
            gone: Cell::new(false),
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

    /// Closes connections idle since before then.
    pub fn close_older(&self, then: Micros) {
        self.idle.borrow_mut().retain(|link| link.since >= then);
    }

    /// The newest idle connection that the peer has neither closed nor written to: bytes that come unasked
    /// would be taken for the answer to the next request.
    fn take(&self, cx: &mut Context<'_>) -> Option<BackendConnection> {
        loop {
            let mut link = self.idle.borrow_mut().pop()?;
            let alive = Pin::new(&mut link.connection).poll(cx).is_pending() && link.socket.has_no_input();
            if alive && link.sender.is_ready() && link.address == self.address.get() {
                return Some(link);
            }
        }
    }

    async fn connect(&self, slot: ConnectionPermit) -> io::Result<BackendConnection> {
        let address = self.address.get();
        let socket = Socket::new(TcpStream::connect(address).await?);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(LARGEST_HEAD)
            .handshake(TokioIo::new(socket.clone()))
            .await
            .map_err(io::Error::other)?;
        Ok(BackendConnection { sender, connection, socket, address, since: 0, _slot: slot })
    }

    fn keep(&self, link: BackendConnection) {
        let mut idle = self.idle.borrow_mut();
        if self.accepting.get() && link.address == self.address.get() {
            if idle.len() >= MOST_IDLE {
                idle.remove(0);
            }
            idle.push(link);
        }
    }
}

/// One attempt. `sent` turns true no later than the request's first byte can go out.
pub async fn attempt(
    backend: Rc<Backend>,
    forward: Rc<ForwardedRequest>,
    time_left: Micros,
    sent: Rc<Cell<bool>>,
    fields: Rc<[ReportField]>,
    now: impl Fn() -> Micros,
    begin: impl Fn(Report, Bytes, ResponseRemainder),
) -> AttemptResult {
    loop {
        let idle = poll_fn(|cx| Poll::Ready(backend.take(cx))).await;
        let reused = idle.is_some();
        let link = match idle {
            Some(link) => link,
            // Want of descriptors and news of a drain are no fault of the backend's.
            None => match backend.budget.place() {
                None => return AttemptResult::without_answer(Outcome::Withheld),
                Some(slot) => match backend.connect(slot).await {
                    Ok(link) => link,
                    Err(_) => return AttemptResult::without_answer(Outcome::ConnectFailed),
                },
            },
        };
        // A drain told while the connection came up: nothing new may go there.
        if !backend.accepting.get() || link.address != backend.address.get() {
            return AttemptResult::without_answer(Outcome::Withheld);
        }
        sent.set(true);
        let unused = reused.then(|| now().saturating_sub(link.since));
        let (mut ended, unwritten, answered, link) =
            exchange(link, request(&forward, backend.address.get(), time_left), &fields, &begin).await;
        if let Some(mut link) = link {
            link.since = now();
            backend.keep(link);
        }
        if !unwritten {
            if let Some(upload) = forward.body.upload().filter(|upload| upload.ended_at().is_none()) {
                // Its last byte has not gone out: it has not run, unless the node says otherwise.
                ended.outcome = match ended.outcome {
                    _ if upload.client_failed() => Outcome::Withheld,
                    Outcome::Reset => Outcome::ConnectFailed,
                    outcome => outcome,
                };
            }
            let broke = !answered && ended.outcome == Outcome::Reset;
            ended.connection_event = Some(Event::Carried { unused, broke });
            if reused && broke {
                ended.outcome = Outcome::Stale;
            }
            return ended;
        }
        sent.set(false);
        // What was taken of a long body for this connection is gone with it: sent again, it would lack that.
        let taken = forward.body.upload().is_some_and(|upload| !upload.is_unsent());
        if !reused || taken {
            return AttemptResult::without_answer(Outcome::ConnectFailed);
        }
        // The peer closed an idle connection just now; not a byte of the request went out on it.
    }
}

fn request(forward: &ForwardedRequest, address: SocketAddr, time_left: Micros) -> Request<AttemptBody> {
    let mut request = Request::new(AttemptBody::new(&forward.body));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    let headers = request.headers_mut();
    let text = |text: String| HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""));
    headers.insert(HOST, text(address.to_string()));
    headers.insert(REQ_ID, forward.wire_id.clone());
    headers.insert(REQ_DEADLINE, text(format!("{time_left}u")));
    request
}

/// Sends the request and takes the whole answer. Tells whether provably not a byte went out and whether one
/// came back, and gives the connection back if it can carry another request.
async fn exchange(
    mut link: BackendConnection,
    request: Request<AttemptBody>,
    fields: &[ReportField],
    begin: &dyn Fn(Report, Bytes, ResponseRemainder),
) -> (AttemptResult, bool, bool, Option<BackendConnection>) {
    let (written, read) = (link.socket.bytes_written(), link.socket.bytes_read());
    let mut alive = true;
    let long = Cell::new(false);
    let begun = |report, first, rest| {
        long.set(true);
        begin(report, first, rest);
    };
    let (ended, returned) = {
        let response = link.sender.try_send_request(request);
        let mut answer = pin!(async {
            match response.await {
                Ok(response) => (whole(response, fields, &begun).await, false),
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    let outcome = if unsent { Outcome::Reset } else { spoilt_or_reset(error.error()) };
                    (AttemptResult::without_answer(outcome), unsent)
                }
            }
        });
        let (connection, socket) = (&mut link.connection, &link.socket);
        let mut late = pin!(None::<Sleep>);
        let mut seen = read;
        poll_fn(|cx| loop {
            if let Poll::Ready(ended) = answer.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            if !alive {
                return Poll::Pending;
            }
            match Pin::new(&mut *connection).poll(cx) {
                Poll::Ready(_) => alive = false,
                Poll::Pending => {
                    if let Poll::Ready(ended) = answer.as_mut().poll(cx) {
                        return Poll::Ready(ended);
                    }
                    // One that has begun and does not end has a length that is a lie, or a head without end.
                    if socket.bytes_read() > seen {
                        seen = socket.bytes_read();
                        late.set(Some(sleep(ANSWER_PAUSE)));
                    }
                    let stalled = !long.get()
                        && late.as_mut().as_pin_mut().is_some_and(|late| late.poll(cx).is_ready());
                    let spoilt = (AttemptResult::without_answer(Outcome::Error), false);
                    return if stalled { Poll::Ready(spoilt) } else { Poll::Pending };
                }
            }
        })
        .await
    };
    let broken = ended.outcome == Outcome::Reset;
    let unwritten = broken && (returned || link.socket.bytes_written() == written);
    let reusable = ended.whole
        && alive
        && poll_fn(|cx| Poll::Ready(Pin::new(&mut link.connection).poll(cx).is_pending())).await
        && link.socket.has_no_input()
        && link.sender.is_ready();
    let answered = link.socket.bytes_read() > read;
    (ended, unwritten, answered, reusable.then_some(link))
}

/// What comes of an answer that can't be taken: the backend has spoken, if illegibly, or the connection broke.
/// Either way the request may have run; but only a broken connection tells of a backend that is going down.
fn spoilt_or_reset(error: &hyper::Error) -> Outcome {
    use io::ErrorKind::{BrokenPipe, ConnectionAborted, ConnectionReset, TimedOut, UnexpectedEof};
    let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
    let broken = [BrokenPipe, ConnectionAborted, ConnectionReset, TimedOut, UnexpectedEof];
    let gone = error.is_incomplete_message()
        || error.is_canceled()
        || error.is_closed()
        || source.is_some_and(|source| broken.contains(&source.kind()));
    if gone {
        Outcome::Reset
    } else {
        Outcome::Error
    }
}

/// Takes the answer's body whole. One that is cut off, or might be, is no answer, and neither is a decline
/// that is not whole: it might stand for something else.
async fn whole(
    response: Response<Incoming>,
    fields: &[ReportField],
    begin: &dyn Fn(Report, Bytes, ResponseRemainder),
) -> AttemptResult {
    let (head, mut body) = response.into_parts();
    let report = report(&head.headers, fields);
    let declined = head.headers.get(DECLINED).is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Full,
        _ => Outcome::Error,
    };
    // Without a length the connection's end is the answer's, where that was said; else it may be cut off.
    let closes =
        head.headers.get(CONNECTION).is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let length = body.size_hint().exact();
    let framed = length.is_some() || closes || head.headers.contains_key(TRANSFER_ENCODING);
    let fits = body.size_hint().lower() <= MAX_STREAMED_BODY;
    if !framed || !fits || head.status == StatusCode::SWITCHING_PROTOCOLS {
        return AttemptResult::without_answer(Outcome::Error);
    }
    let broken = |error: hyper::Error| AttemptResult::without_answer(spoilt_or_reset(&error));
    let most =
        if length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64) { 0 } else { MAX_BUFFERED_BODY };
    match read_up_to(&mut body, most).await {
        Ok(PartialBody { bytes, complete: true }) => {
            AttemptResult { outcome, report, body: bytes, connection_event: None, whole: true }
        }
        Ok(_) if outcome != Outcome::Ok => AttemptResult::without_answer(Outcome::Error),
        Ok(PartialBody { bytes, .. }) => {
            let passed = bytes.len() as u64;
            let (pieces, rest) = response_channel(length);
            begin(report, bytes, rest);
            let whole = pass_on(body, passed, pieces).await;
            AttemptResult { whole, ..AttemptResult::without_answer(Outcome::Ok) }
        }
        Err(error) => broken(error),
    }
}

/// Passes the rest of a long answer on, as fast as its client takes it; whether it came to its end.
async fn pass_on(mut body: Incoming, mut passed: u64, pieces: ChunkSender) -> bool {
    loop {
        let frame = tokio::select! {
            frame = timeout(LONG_PAUSE, body.frame()) => frame,
            () = pieces.closed() => return false,
        };
        let data = match frame {
            Ok(None) => return true,
            Ok(Some(Ok(frame))) => frame.into_data(),
            // The client can tell that it is not whole: its connection breaks.
            Ok(Some(Err(error))) => {
                let _ = pieces.send(Err(io::Error::other(error))).await;
                return false;
            }
            Err(_) => {
                let _ = pieces.send(Err(io::ErrorKind::TimedOut.into())).await;
                return false;
            }
        };
        let Ok(data) = data else { continue };
        passed += data.len() as u64;
        if passed > MAX_STREAMED_BODY {
            let _ = pieces.send(Err(io::ErrorKind::FileTooLarge.into())).await;
            return false;
        }
        if pieces.send(Ok(data)).await.is_err() {
            return false;
        }
    }
}

/// The load report, its values in the order of the settings' fields; empty unless it has them all and each
/// can be meant: a report that makes no sense is no reason to doubt the answer.
fn report(headers: &HeaderMap, fields: &[ReportField]) -> Report {
    let Some(text) = headers.get(LOAD).and_then(|value| value.to_str().ok()) else { return Report::new() };
    let value = |field: &ReportField| {
        let named = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        let mut values = named.filter(|(name, _)| named_field(name) == *field).map(|(_, value)| value);
        values.next()?.trim().parse::<f64>().ok().filter(|value| (0.0..=LARGEST_FIGURE).contains(value))
    };
    fields.iter().map(value).collect::<Option<_>>().unwrap_or_default()
}

fn named_field(name: &str) -> ReportField {
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

/// A place in the budget, given back when the connection is gone.
struct ConnectionPermit(Rc<ConnectionBudget>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.capacity.borrow_mut().release(self.0.member, 1);
    }
}
