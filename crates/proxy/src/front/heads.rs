//! How long a client takes for the head of a request, apart from how long it may keep silent before it begins one.

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

/// What is due on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    /// The first byte of a head.
    Nothing,
    /// The rest of a head, since then.
    Head(Instant),
    /// A head is here: its body, and the answer.
    Answer,
}

/// Shared by a connection's bytes and what serves its requests.
#[derive(Debug)]
pub struct Heads {
    due: Cell<Due>,
    begun: Notify,
}

impl Heads {
    pub fn new() -> Rc<Heads> {
        Rc::new(Heads { due: Cell::new(Due::Nothing), begun: Notify::new() })
    }

    /// A whole head is here.
    pub fn whole(&self) {
        self.due.set(Due::Answer);
    }

    /// Its answer is on its way, and the next head may come. After an answer that flows for long nobody knows here when it
    /// has ended: from then on the bound of silence is the only one.
    pub fn answered(&self, flows: bool) {
        if !flows {
            self.due.set(Due::Nothing);
        }
    }

    /// Ends once a head takes longer than that.
    pub async fn late(&self, within: Duration) {
        loop {
            match self.due.get() {
                Due::Head(since) if since.elapsed() >= within => return,
                Due::Head(since) => sleep_until(since + within).await,
                Due::Nothing | Due::Answer => self.begun.notified().await,
            }
        }
    }

    fn came(&self) {
        if self.due.get() == Due::Nothing {
            self.due.set(Due::Head(Instant::now()));
            self.begun.notify_one();
        }
    }
}

/// A connection that notes when a head begins.
pub struct Watched {
    pub stream: Stream,
    pub heads: Rc<Heads>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, into);
        if into.filled().len() > before {
            self.heads.came();
        }
        read
    }
}

impl AsyncWrite for Watched {
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
