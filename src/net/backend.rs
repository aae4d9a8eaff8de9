//! Backends: their connections, and one attempt on one of them.

use super::{Forward, LARGEST_BODY};
use crate::interface::{Micros, Outcome, Report, ReportField};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, HOST, TRANSFER_ENCODING};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::net::TcpStream;

/// Idle connections kept to one backend.
const MOST_IDLE: usize = 16;

pub const REQ_ID: HeaderName = HeaderName::from_static("req-id");
pub const REQ_DEADLINE: HeaderName = HeaderName::from_static("req-deadline");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");
const LOAD: HeaderName = HeaderName::from_static("srv-load");

/// One backend as discovery last told of it, and its idle connections, newest last.
pub struct Backend {
    pub address: Cell<SocketAddr>,
    pub accepting: Cell<bool>,
    idle: RefCell<Vec<Link>>,
    budget: Rc<Budget>,
}

/// Connections to all backends together.
pub struct Budget {
    pub open: Cell<usize>,
    pub most: usize,
}

/// A connection that carries no request. Nothing drives it while it is idle: it is polled when it is taken.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<Counted, Full<Bytes>>,
    written: Rc<Cell<u64>>,
    address: SocketAddr,
    since: Micros,
}

/// What became of an attempt.
pub struct Ended {
    pub outcome: Outcome,
    pub report: Report,
    pub body: Bytes,
}

impl Ended {
    fn without_answer(outcome: Outcome) -> Ended {
        Ended { outcome, report: Report::new(), body: Bytes::new() }
    }
}

impl Backend {
    pub fn new(address: SocketAddr, budget: Rc<Budget>) -> Backend {
        Backend {
            address: Cell::new(address),
            accepting: Cell::new(false),
            idle: RefCell::new(Vec::new()),
            budget,
        }
    }

    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections idle since before then.
    pub fn close_older(&self, then: Micros) {
        self.idle.borrow_mut().retain(|link| link.since >= then);
    }

    /// The newest idle connection that the peer has not closed.
    fn take(&self, cx: &mut Context<'_>) -> Option<Link> {
        loop {
            let mut link = self.idle.borrow_mut().pop()?;
            let alive = Pin::new(&mut link.connection).poll(cx).is_pending();
            if alive && link.sender.is_ready() && link.address == self.address.get() {
                return Some(link);
            }
        }
    }

    async fn connect(&self) -> io::Result<Link> {
        if self.budget.open.get() >= self.budget.most {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let slot = Slot::take(&self.budget);
        let address = self.address.get();
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let written = Rc::new(Cell::new(0));
        let io = Counted { stream: TokioIo::new(stream), written: written.clone(), _slot: slot };
        let (sender, connection) = http1::handshake(io).await.map_err(io::Error::other)?;
        Ok(Link { sender, connection, written, address, since: 0 })
    }

    fn keep(&self, link: Link) {
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
    forward: Rc<Forward>,
    time_left: Micros,
    sent: Rc<Cell<bool>>,
    fields: Rc<[ReportField]>,
    now: impl Fn() -> Micros,
) -> Ended {
    loop {
        let idle = poll_fn(|cx| Poll::Ready(backend.take(cx))).await;
        let reused = idle.is_some();
        let link = match idle {
            Some(link) => link,
            None => match backend.connect().await {
                Ok(link) => link,
                Err(_) => return Ended::without_answer(Outcome::ConnectFailed),
            },
        };
        // A drain told while the connection came up: nothing new may go there.
        if !backend.accepting.get() || link.address != backend.address.get() {
            return Ended::without_answer(Outcome::ConnectFailed);
        }
        sent.set(true);
        let (ended, unwritten, link) =
            exchange(link, request(&forward, link_address(&backend), time_left), &fields).await;
        if let Some(mut link) = link {
            link.since = now();
            backend.keep(link);
        }
        if !unwritten {
            return ended;
        }
        sent.set(false);
        if !reused {
            return Ended::without_answer(Outcome::ConnectFailed);
        }
        // The peer closed an idle connection just now; not a byte of the request went out on it.
    }
}

fn link_address(backend: &Backend) -> SocketAddr {
    backend.address.get()
}

fn request(forward: &Forward, address: SocketAddr, time_left: Micros) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(forward.body.clone()));
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    let headers = request.headers_mut();
    let text = |text: String| HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""));
    headers.insert(HOST, text(address.to_string()));
    headers.insert(REQ_ID, forward.wire_id.clone());
    headers.insert(REQ_DEADLINE, text(format!("{time_left}u")));
    request
}

/// Sends the request and takes the whole answer. Tells whether provably not a byte went out, and gives the
/// connection back if it can carry another request.
async fn exchange(
    mut link: Link,
    request: Request<Full<Bytes>>,
    fields: &[ReportField],
) -> (Ended, bool, Option<Link>) {
    let before = link.written.get();
    let mut alive = true;
    let (ended, returned) = {
        let response = link.sender.try_send_request(request);
        let mut answer = pin!(async {
            match response.await {
                Ok(response) => (whole(response, fields).await, false),
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    (Ended::without_answer(Outcome::Reset), unsent)
                }
            }
        });
        let connection = &mut link.connection;
        poll_fn(|cx| loop {
            if let Poll::Ready(ended) = answer.as_mut().poll(cx) {
                return Poll::Ready(ended);
            }
            if !alive {
                return Poll::Pending;
            }
            match Pin::new(&mut *connection).poll(cx) {
                Poll::Ready(_) => alive = false,
                Poll::Pending => return answer.as_mut().poll(cx),
            }
        })
        .await
    };
    let answered = !matches!(ended.outcome, Outcome::Reset);
    let unwritten = !answered && (returned || link.written.get() == before);
    let reusable = answered
        && alive
        && poll_fn(|cx| Poll::Ready(Pin::new(&mut link.connection).poll(cx).is_pending())).await
        && link.sender.is_ready();
    (ended, unwritten, reusable.then_some(link))
}

/// Takes the answer's body whole. One that is cut off, or might be, is no answer.
async fn whole(response: Response<Incoming>, fields: &[ReportField]) -> Ended {
    let (head, body) = response.into_parts();
    let report = report(&head.headers, fields);
    let declined = head.headers.get(DECLINED).is_some_and(|value| value == "1");
    let outcome = match head.status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if declined => Outcome::Full,
        _ => Outcome::Error,
    };
    let framed = body.size_hint().exact().is_some() || head.headers.contains_key(TRANSFER_ENCODING);
    match Limited::new(body, LARGEST_BODY).collect().await {
        Ok(body) if framed => Ended { outcome, report, body: body.to_bytes() },
        _ if outcome == Outcome::Full => Ended { outcome, report, body: Bytes::new() },
        _ => Ended { outcome: Outcome::Reset, report, body: Bytes::new() },
    }
}

/// The load report, its values in the order of the settings' fields; empty unless it has them all.
fn report(headers: &HeaderMap, fields: &[ReportField]) -> Report {
    let Some(text) = headers.get(LOAD).and_then(|value| value.to_str().ok()) else { return Report::new() };
    let value = |field: &ReportField| {
        let named = text.split(',').filter_map(|pair| pair.trim().split_once('='));
        let mut values = named.filter(|(name, _)| named_field(name) == *field).map(|(_, value)| value);
        values.next()?.trim().parse::<f64>().ok().filter(|value| value.is_finite())
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
struct Slot(Rc<Budget>);

impl Slot {
    fn take(budget: &Rc<Budget>) -> Slot {
        budget.open.set(budget.open.get() + 1);
        Slot(budget.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// A socket that counts the bytes written: with none, a request provably never reached the backend.
struct Counted {
    stream: TokioIo<TcpStream>,
    written: Rc<Cell<u64>>,
    _slot: Slot,
}

impl Counted {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(length)) = result {
            self.written.set(self.written.get() + length as u64);
        }
        result
    }
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl Write for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, data);
        self.count(result)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.count(result)
    }
}
