//! A TCP socket that hyper drives while its owner keeps a handle to it: to count the bytes in both directions,
//! to check for unsolicited input, and to drain the socket once hyper has finished.

use crate::framing::FramingMonitor;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Clones share one socket, which is closed when the last clone is dropped.
#[derive(Clone)]
pub struct Socket {
    stream: Rc<TcpStream>,
    traffic: Rc<Traffic>,
    /// Set for client connections, whose request heads are checked for ambiguous framing.
    framing: Option<Rc<RefCell<FramingMonitor>>>,
}

#[derive(Default)]
struct Traffic {
    read: Cell<u64>,
    written: Cell<u64>,
    /// A write is waiting until the socket can take more bytes.
    blocked: Cell<bool>,
}

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true);
        Socket { stream: Rc::new(stream), traffic: Rc::default(), framing: None }
    }

    /// The socket of a client connection, whose request heads are checked for ambiguous framing.
    pub fn for_client(stream: TcpStream) -> Socket {
        Socket { framing: Some(Rc::default()), ..Socket::new(stream) }
    }

    /// Bytes read since the connection was opened.
    pub fn bytes_read(&self) -> u64 {
        self.traffic.read.get()
    }

    /// Bytes written since the connection was opened.
    pub fn bytes_written(&self) -> u64 {
        self.traffic.written.get()
    }

    /// Whether the last write is still waiting for the peer to read.
    pub fn is_write_blocked(&self) -> bool {
        self.traffic.blocked.get()
    }

    /// Whether there is nothing to read and the peer has not closed. This peeks at the kernel's buffer, because
    /// the runtime learns of new bytes only when it next polls for I/O, and by then a request could have been
    /// written.
    pub fn has_no_input(&self) -> bool {
        let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the next request head is known not to have both `Content-Length` and `Transfer-Encoding`; always
    /// true for sockets that are not checked. Call it once for each head, in order.
    pub fn next_head_is_unambiguous(&self) -> bool {
        self.framing.as_ref().is_none_or(|framing| framing.borrow_mut().next_head_is_unambiguous())
    }

    pub fn shutdown_write(&self) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
    }

    /// Reads and discards input until the peer closes or `max_bytes` have been read. Closing a socket with
    /// unread input would reset the connection, and the peer could lose a response that it has not read yet.
    pub async fn drain(&self, max_bytes: u64) {
        let limit = self.bytes_read() + max_bytes;
        let mut buffer = [0; 16 * 1024];
        while self.bytes_read() < limit && self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(length) => self.traffic.read.set(self.bytes_read() + length as u64),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            // A fast sender must not starve other tasks.
            tokio::task::yield_now().await;
        }
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            self.traffic.blocked.set(true);
            ready!(self.stream.poll_write_ready(cx))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.traffic.blocked.set(false);
                    self.traffic.written.set(self.bytes_written() + *result.as_ref().unwrap_or(&0) as u64);
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let before = buffer.filled().len();
            match self.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    let length = *result.as_ref().unwrap_or(&0);
                    self.traffic.read.set(self.bytes_read() + length as u64);
                    if let Some(framing) = &self.framing {
                        framing.borrow_mut().read(&buffer.filled()[before..]);
                    }
                    return Poll::Ready(result.map(drop));
                }
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, data: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write(data))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shutdown_write();
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |stream| stream.try_write_vectored(slices))
    }
}
