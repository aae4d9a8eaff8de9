//! Bodies longer than what is held of them: passed on as they come, at the pace of whoever is slower. A few pieces
//! of some 16 KiB are in memory for each, however long it is.

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

/// The longest body that either side may send.
pub const MAX_STREAMED_BODY: u64 = 32 * 1024 * 1024;
/// What is taken of a long request before it is sent on.
pub const STREAM_PREFIX: usize = 16 * 1024;
/// Pieces of a long answer that wait for its client.
const WAITING: usize = 2;
/// How long a client that is to send more may say nothing: it is owed an end within 3 s.
const SILENCE: Duration = Duration::from_millis(2000);
/// How often that is looked at.
const LOOK: Duration = Duration::from_millis(200);

/// A body's first bytes, and whether they are all.
pub struct PartialBody {
    pub bytes: Bytes,
    pub whole: bool,
}

/// Takes a body until it ends or more than so many bytes have come.
pub async fn gather(body: &mut Incoming, most: usize) -> Result<PartialBody, hyper::Error> {
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    loop {
        if body.is_end_stream() {
            break;
        }
        let Some(frame) = body.frame().await.transpose()? else { break };
        let Ok(data) = frame.into_data() else { continue };
        // Most come in one piece, which is passed on as it is.
        if first.is_empty() && all.is_empty() {
            first = data;
        } else {
            if all.is_empty() {
                all.extend_from_slice(&std::mem::take(&mut first));
            }
            all.extend_from_slice(&data);
        }
        if first.len().max(all.len()) > most {
            let bytes = if all.is_empty() { first } else { all.freeze() };
            return Ok(PartialBody { bytes, whole: false });
        }
    }
    Ok(PartialBody { bytes: if all.is_empty() { first } else { all.freeze() }, whole: true })
}

/// A long request on its way in. What has gone on to a node is no longer here: it can be sent once.
pub struct Upload {
    first: Bytes,
    length: Option<u64>,
    rest: RefCell<Incoming>,
    clock: Clock,
    /// When its first part was there.
    pub started_at: Micros,
    /// Some of the rest has gone on.
    taken: Cell<bool>,
    /// When its last byte went on.
    ended: Cell<Option<Micros>>,
    /// Since when its client is waited for.
    waiting: Cell<Option<Instant>>,
    /// Its client broke it off, or sent too much.
    broken: Cell<bool>,
}

impl Upload {
    pub fn new(first: Bytes, length: Option<u64>, rest: Incoming, clock: Clock) -> Upload {
        Upload {
            first,
            length,
            rest: RefCell::new(rest),
            clock,
            started_at: clock.now(),
            taken: Cell::new(false),
            ended: Cell::new(None),
            waiting: Cell::new(None),
            broken: Cell::new(false),
        }
    }

    /// Whether it can still be sent from its beginning.
    pub fn is_unsent(&self) -> bool {
        !self.taken.get()
    }

    pub fn ended_at(&self) -> Option<Micros> {
        self.ended.get()
    }

    pub fn is_broken(&self) -> bool {
        self.broken.get()
    }

    /// Returns once its client has said nothing for too long.
    pub async fn stalled(&self) {
        while self.waiting.get().is_none_or(|since| since.elapsed() < SILENCE) {
            sleep(LOOK).await;
        }
    }

    fn poll_rest(&self, cx: &mut Context<'_>, passed: &mut u64) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        loop {
            let Poll::Ready(frame) = Pin::new(&mut *self.rest.borrow_mut()).poll_frame(cx) else {
                self.waiting.set(self.waiting.get().or_else(|| Some(Instant::now())));
                return Poll::Pending;
            };
            self.waiting.set(None);
            let data = match frame {
                None => {
                    self.ended.set(Some(self.clock.now()));
                    return Poll::Ready(None);
                }
                Some(Ok(frame)) => frame.into_data(),
                Some(Err(error)) => {
                    self.broken.set(true);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
            };
            self.taken.set(true);
            let Ok(data) = data else { continue };
            *passed += data.len() as u64;
            if *passed > MAX_STREAMED_BODY {
                self.broken.set(true);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            // A sender that knows the length does not ask whether there is more.
            if self.length == Some(*passed) {
                self.ended.set(Some(self.clock.now()));
            }
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
    }
}

/// What goes on to a node as a request's body.
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

/// A request's body as one attempt sends it.
pub struct AttemptBody {
    body: RequestBody,
    first: Option<Bytes>,
    passed: u64,
}

impl AttemptBody {
    pub fn new(body: &RequestBody) -> AttemptBody {
        let first = match body {
            RequestBody::Buffered(bytes) => bytes,
            RequestBody::Streamed(upload) => &upload.first,
        };
        let first = Some(first.clone()).filter(|first| !first.is_empty());
        AttemptBody { body: body.clone(), first, passed: 0 }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(first) = self.first.take() {
            self.passed = first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let this = &mut *self;
        match &this.body {
            RequestBody::Buffered(_) => Poll::Ready(None),
            RequestBody::Streamed(upload) => upload.poll_rest(cx, &mut this.passed),
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

/// The rest of a long answer, as its client takes it. Dropped, the node's connection is closed.
pub struct ResponseRemainder {
    pieces: mpsc::Receiver<io::Result<Bytes>>,
    /// Bytes still to come, where that was said.
    left: Option<u64>,
}

/// Who passes a long answer on.
pub type ChunkSender = mpsc::Sender<io::Result<Bytes>>;

/// A long answer of which `first` bytes have come, of `length` in all.
pub fn rest(length: Option<u64>) -> (ChunkSender, ResponseRemainder) {
    let (sender, pieces) = mpsc::channel(WAITING);
    (sender, ResponseRemainder { pieces, left: length })
}

impl ResponseRemainder {
    pub fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let piece = ready!(self.pieces.poll_recv(cx));
        if let (Some(left), Some(Ok(piece))) = (&mut self.left, &piece) {
            *left = left.saturating_sub(piece.len() as u64);
        }
        Poll::Ready(piece)
    }

    pub fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::new, SizeHint::with_exact)
    }
}

/// Keeps a connection's request open until its long answer has been written.
pub struct ResponseInProgress(pub Rc<ClientConnection>);

impl Drop for ResponseInProgress {
    fn drop(&mut self) {
        self.0.set_stage(Stage::Idle);
    }
}
