//! The time-out for reading a request's head, separate from the idle time-out between requests.
//!
//! hyper has a single time-out, which runs from when it starts to wait for a head until the head is complete.
//! Idle connections need a longer time-out than clients that have started to send a head.

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

/// The phase of a connection, which determines its time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for the first byte of a head.
    Idle,
    /// Reading a head, whose first byte arrived at this time.
    ReadingHead(Instant),
    /// Receiving the body and sending the response. The time-outs of the request apply.
    Responding,
}

/// Measures how long the client takes to send the head of each request. Shared by the [`TimedStream`] and the
/// service of a connection.
#[derive(Debug)]
pub(super) struct HeadTimer {
    phase: Cell<Phase>,
    head_started: Notify,
}

impl HeadTimer {
    pub(super) fn new() -> Rc<HeadTimer> {
        Rc::new(HeadTimer { phase: Cell::new(Phase::Idle), head_started: Notify::new() })
    }

    /// Records that a head is complete.
    pub(super) fn head_completed(&self) {
        self.phase.set(Phase::Responding);
    }

    /// Records that the response is being sent, so the next head may follow. The end of a streamed response
    /// can't be observed here, so after one only the idle time-out applies to the connection.
    pub(super) fn response_started(&self, is_streamed: bool) {
        if !is_streamed {
            self.phase.set(Phase::Idle);
        }
    }

    /// Completes when a client has taken longer than `timeout` to send a head.
    pub(super) async fn expired(&self, timeout: Duration) {
        loop {
            match self.phase.get() {
                Phase::ReadingHead(since) if since.elapsed() >= timeout => return,
                Phase::ReadingHead(since) => sleep_until(since + timeout).await,
                Phase::Idle | Phase::Responding => self.head_started.notified().await,
            }
        }
    }

    fn record_received(&self) {
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
            self.timer.record_received();
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
