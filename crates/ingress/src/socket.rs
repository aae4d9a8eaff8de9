//! A TCP socket that hyper drives while its owner keeps a hold of it: to see what has come and gone, to look
//! for bytes that nobody has asked for, and to drain it once hyper is done.

use crate::framing::Framing;
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

/// Clones share the socket; it is closed with the last of them.
#[derive(Clone)]
pub struct Socket {
    stream: Rc<TcpStream>,
    traffic: Rc<Traffic>,
    /// A client's: where its heads begin and end.
    framing: Option<Rc<RefCell<Framing>>>,
}

#[derive(Default)]
struct Traffic {
    read: Cell<u64>,
    written: Cell<u64>,
    blocked: Cell<bool>,
}

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true);
        Socket { stream: Rc::new(stream), traffic: Rc::default(), framing: None }
    }

    /// A client's, whose heads are checked.
    pub fn for_client(stream: TcpStream) -> Socket {
        Socket { framing: Some(Rc::default()), ..Socket::new(stream) }
    }

    /// Bytes read and written so far.
    pub fn bytes_read(&self) -> u64 {
        self.traffic.read.get()
    }

    pub fn bytes_written(&self) -> u64 {
        self.traffic.written.get()
    }

    /// Whether the peer has yet to take what was last to be written.
    pub fn is_write_blocked(&self) -> bool {
        self.traffic.blocked.get()
    }

    /// Whether nothing can be read and the peer has not closed. Asks the kernel: the runtime learns of bytes
    /// only at its next turn, and by then a request would have been written before them.
    pub fn has_no_input(&self) -> bool {
        let peeked = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the next head in turn is known not to state both a length and chunks.
    pub fn next_head_is_unambiguous(&self) -> bool {
        self.framing.as_ref().is_none_or(|framing| framing.borrow_mut().next_head_is_unambiguous())
    }

    pub fn shutdown_write(&self) {
        let _ = SockRef::from(&*self.stream).shutdown(Shutdown::Write);
    }

    /// Reads on until the peer closes or so many bytes have come, and forgets them: closing with bytes unread
    /// would reset the connection, and the peer might lose the answer that it has not read yet.
    pub async fn drain(&self, most: u64) {
        let until = self.bytes_read() + most;
        let mut scrap = [0; 16 * 1024];
        while self.bytes_read() < until && self.stream.readable().await.is_ok() {
            match self.stream.try_read(&mut scrap) {
                Ok(0) => return,
                Ok(length) => self.traffic.read.set(self.bytes_read() + length as u64),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            // A fast sender must not keep the others waiting.
            tokio::task::yield_now().await;
        }
    }

    fn poll_writing(
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
        self.poll_writing(cx, |stream| stream.try_write(data))
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
        self.poll_writing(cx, |stream| stream.try_write_vectored(slices))
    }
}
