//! The time-out for a request's head, apart from how long a connection may be idle between requests.
//!
//! hyper has one time-out for both: from when it waits for a head to when the head is complete. A client that keeps a
//! connection idle may be silent for longer than one that has begun a head may take for it.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};
use violetyoke_transport::net::Stream;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The first byte of a head.
    Idle,
    /// The rest of a head, whose first byte came then.
    ReadingHead(Instant),
    /// The body, and the response: the time-outs of the request hold.
    Responding,
}

/// Measures how long the head of each request on a connection takes; shared by the connection's bytes and its service.
#[derive(Debug)]
pub(super) struct HeadTimer {
    phase: Cell<Phase>,
    head_started: Notify,
}

impl HeadTimer {
    pub(super) fn new() -> Rc<HeadTimer> {
        Rc::new(HeadTimer { phase: Cell::new(Phase::Idle), head_started: Notify::new() })
    }

    /// A head is complete.
    pub(super) fn head_completed(&self) {
        self.phase.set(Phase::Responding);
    }

    /// The response is being sent, and the next head may come. The end of a response that `is_streamed` is not seen
    /// here: from then on the idle time-out alone holds on that connection.
    pub(super) fn response_started(&self, is_streamed: bool) {
        if !is_streamed {
            self.phase.set(Phase::Idle);
        }
    }

    /// Completes once a head takes longer than `timeout`.
    pub(super) async fn expired(&self, timeout: Duration) {
        loop {
            match self.phase.get() {
                Phase::ReadingHead(since) if since.elapsed() >= timeout => return,
                Phase::ReadingHead(since) => sleep_until(since + timeout).await,
                Phase::Idle | Phase::Responding => self.head_started.notified().await,
            }
        }
    }

    fn bytes_received(&self) {
        if self.phase.get() == Phase::Idle {
            self.phase.set(Phase::ReadingHead(Instant::now()));
            self.head_started.notify_one();
        }
    }
}

/// A connection that reports received bytes to its [`HeadTimer`].
pub(super) struct TimedStream {
    pub(super) stream: Stream,
    pub(super) timer: Rc<HeadTimer>,
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, into);
        if into.filled().len() > before {
            self.timer.bytes_received();
        }
        read
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
