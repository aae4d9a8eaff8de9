//! Bodies that are forwarded as they arrive instead of being buffered, at the speed of the slower side. A few
//! chunks of about 16 KiB are in memory for each body, whatever its length.

use crate::connections::{ClientConnection, Stage};
use crate::Clock;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::time::sleep;
use violetyoke_decision::interface::Micros;

/// Bytes of the longest body that a client or a backend may send.
pub const MAX_STREAMED_BODY: u64 = 32 * 1024 * 1024;
/// Bytes of a streamed request body that are read before the request is forwarded.
pub const STREAM_PREFIX: usize = 16 * 1024;
/// Chunks of a streamed response that may wait for the client to read.
const MAX_QUEUED_CHUNKS: usize = 2;
/// How long a client may pause within its request body: its request has to end within 3 s.
const BODY_PAUSE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval at which the pause is checked.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The first bytes of a body, and whether they are the complete body.
pub struct PartialBody {
    pub bytes: Bytes,
    pub complete: bool,
}

/// Reads a body until it ends or more than `max_bytes` have been read.
pub async fn read_up_to(body: &mut Incoming, max_bytes: usize) -> Result<PartialBody, hyper::Error> {
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    loop {
        if body.is_end_stream() {
            break;
        }
        let Some(frame) = body.frame().await.transpose()? else { break };
        let Ok(data) = frame.into_data() else { continue };
        // Most bodies arrive in a single chunk, which is returned without a copy.
        if first.is_empty() && all.is_empty() {
            first = data;
        } else {
            if all.is_empty() {
                all.extend_from_slice(&std::mem::take(&mut first));
            }
            all.extend_from_slice(&data);
        }
        if first.len().max(all.len()) > max_bytes {
            let bytes = if all.is_empty() { first } else { all.freeze() };
            return Ok(PartialBody { bytes, complete: false });
        }
    }
    Ok(PartialBody { bytes: if all.is_empty() { first } else { all.freeze() }, complete: true })
}

/// A request body that is streamed to a backend. Bytes beyond the prefix are not kept, so they can be sent only
/// once.
pub struct Upload {
    /// The prefix that was read before the request was forwarded.
    first: Bytes,
    /// The body's length in bytes, if the client stated it.
    length: Option<u64>,
    rest: RefCell<Incoming>,
    clock: Clock,
    /// When the prefix had been read.
    pub started_at: Micros,
    /// Whether bytes beyond the prefix have been forwarded.
    rest_started: Cell<bool>,
    /// When the last byte was forwarded.
    ended_at: Cell<Option<Micros>>,
    /// Since when the client has been sending nothing; `None` while bytes arrive.
    client_paused_since: Cell<Option<Instant>>,
    /// Whether the client broke the body off or exceeded the limit.
    client_failed: Cell<bool>,
}

impl Upload {
    pub fn new(first: Bytes, length: Option<u64>, rest: Incoming, clock: Clock) -> Upload {
        Upload {
            first,
            length,
            rest: RefCell::new(rest),
            clock,
            started_at: clock.now(),
            rest_started: Cell::new(false),
            ended_at: Cell::new(None),
            client_paused_since: Cell::new(None),
            client_failed: Cell::new(false),
        }
    }

    /// Whether the body can still be sent from its beginning.
    pub fn is_unsent(&self) -> bool {
        !self.rest_started.get()
    }

    pub fn ended_at(&self) -> Option<Micros> {
        self.ended_at.get()
    }

    pub fn client_failed(&self) -> bool {
        self.client_failed.get()
    }

    /// Returns once the client has sent nothing for the time-out.
    pub async fn stalled(&self) {
        while self.client_paused_since.get().is_none_or(|since| since.elapsed() < BODY_PAUSE_TIMEOUT) {
            sleep(PAUSE_CHECK_INTERVAL).await;
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>, forwarded: &mut u64) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx) else {
                self.client_paused_since.set(self.client_paused_since.get().or_else(|| Some(Instant::now())));
                return Poll::Pending;
            };
            self.client_paused_since.set(None);
            let data = match frame {
                None => {
                    self.ended_at.set(Some(self.clock.now()));
                    return Poll::Ready(None);
                }
                Some(Ok(frame)) => frame.into_data(),
                Some(Err(error)) => {
                    self.client_failed.set(true);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
            };
            self.rest_started.set(true);
            let Ok(data) = data else { continue };
            *forwarded += data.len() as u64;
            if *forwarded > MAX_STREAMED_BODY {
                self.client_failed.set(true);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            // hyper does not poll for the end of a body whose length it knows.
            if self.length == Some(*forwarded) {
                self.ended_at.set(Some(self.clock.now()));
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }
}

/// The body of a request to a backend.
#[derive(Clone)]
pub enum RequestBody {
    Buffered(Bytes),
    Streamed(Rc<Upload>),
}

impl RequestBody {
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            RequestBody::Buffered(_) => None,
            RequestBody::Streamed(upload) => Some(upload),
        }
    }
}

/// A request body as sent by one attempt.
pub struct AttemptBody {
    body: RequestBody,
    /// The buffered body or the prefix, until it has been sent.
    first: Option<Bytes>,
    /// Bytes sent so far.
    forwarded: u64,
}

impl AttemptBody {
    pub fn new(body: &RequestBody) -> AttemptBody {
        let first = match body {
            RequestBody::Buffered(bytes) => bytes,
            RequestBody::Streamed(upload) => &upload.first,
        };
        let first = Some(first.clone()).filter(|first| !first.is_empty());
        AttemptBody { body: body.clone(), first, forwarded: 0 }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            self.forwarded = first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let this = &mut *self;
        match &this.body {
            RequestBody::Buffered(_) => Poll::Ready(None),
            RequestBody::Streamed(upload) => upload.poll_rest(cx, &mut this.forwarded),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.body, RequestBody::Buffered(_)) && self.first.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            RequestBody::Buffered(_) => {
                SizeHint::with_exact(self.first.as_ref().map_or(0, |first| first.len() as u64))
            }
            RequestBody::Streamed(upload) => upload.length.map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// The rest of a streamed response, read by the client's connection. Dropping it closes the connection to the
/// backend.
pub struct ResponseRemainder {
    chunks: mpsc::Receiver<io::Result<Bytes>>,
    /// Bytes that are still to come, if the backend stated the length.
    bytes_left: Option<u64>,
}

/// Sends chunks of a response from the backend's connection to the client's.
pub type ChunkSender = mpsc::Sender<io::Result<Bytes>>;

/// Creates the channel for a streamed response; `length` is the number of bytes, if known.
pub fn response_channel(length: Option<u64>) -> (ChunkSender, ResponseRemainder) {
    let (sender, chunks) = mpsc::channel(MAX_QUEUED_CHUNKS);
    (sender, ResponseRemainder { chunks, bytes_left: length })
}

impl ResponseRemainder {
    pub fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let chunk = ready!(self.chunks.poll_recv(cx));
        if let (Some(bytes_left), Some(Ok(chunk))) = (&mut self.bytes_left, &chunk) {
            *bytes_left = bytes_left.saturating_sub(chunk.len() as u64);
        }
        Poll::Ready(chunk)
    }

    pub fn size_hint(&self) -> SizeHint {
        self.bytes_left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

/// Keeps the request of a connection open until its streamed response has been written.
pub struct ResponseInProgress(pub Rc<ClientConnection>);

impl Drop for ResponseInProgress {
    fn drop(&mut self) {
        self.0.set_stage(Stage::Idle);
    }
}
