//! Streams and listeners of the operating system, or of the emulation that is installed for this thread. Daemons use both in
//! the same way, so complete systems can run in virtual time with the production code.

use crate::environment::{current, Incoming};
use std::io::{self, IoSlice};
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A stream of bytes in both directions.
#[derive(Debug)]
pub enum Stream {
    /// A stream of the operating system.
    Tcp(TcpStream),
    /// A stream of an emulation.
    Emulated(DuplexStream),
}

/// Opens a connection, and disables Nagle's algorithm so that small writes are sent at once.
///
/// # Errors
///
/// Errors of the operating system or the emulation.
pub async fn connect(address: SocketAddr) -> io::Result<Stream> {
    match current() {
        Some(environment) => environment.connect(address).await.map(Stream::Emulated),
        None => {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(Stream::Tcp(stream))
        }
    }
}

impl Stream {
    /// Has the connection closed if sent bytes are not acknowledged within this time (TCP_USER_TIMEOUT, RFC 5482). Has no
    /// effect on emulated streams.
    ///
    /// # Errors
    ///
    /// If the operating system rejects the option.
    pub fn set_user_timeout(&self, limit: Duration) -> io::Result<()> {
        match self {
            Stream::Tcp(stream) => socket2::SockRef::from(stream).set_tcp_user_timeout(Some(limit)),
            Stream::Emulated(_) => Ok(()),
        }
    }

    /// Whether neither unread bytes nor the end of the stream have been received. If there are unread bytes, the call
    /// consumes the first one, so the stream can't be used afterwards.
    pub fn has_no_pending_input(&mut self) -> bool {
        let mut byte = [0];
        match self {
            Stream::Tcp(stream) => {
                matches!(stream.try_read(&mut byte), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
            }
            Stream::Emulated(stream) => {
                let mut context = Context::from_waker(Waker::noop());
                Pin::new(stream).poll_read(&mut context, &mut ReadBuf::new(&mut byte)).is_pending()
            }
        }
    }
}

/// Accepts connections on one address.
#[derive(Debug)]
pub enum Listener {
    /// A listener of the operating system.
    Tcp(tokio::net::TcpListener),
    /// A listener of an emulation.
    Emulated(Mutex<Incoming>),
}

/// Listens on an address.
///
/// # Errors
///
/// Errors of the operating system or the emulation.
pub fn listen(address: SocketAddr) -> io::Result<Listener> {
    if let Some(environment) = current() {
        return environment.listen(address).map(|incoming| Listener::Emulated(Mutex::new(incoming)));
    }
    let socket = match address.ip() {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG).map(Listener::Tcp)
}

impl Listener {
    /// Accepts the next connection, and returns it with the address of the peer.
    ///
    /// # Errors
    ///
    /// Errors of the operating system, or [`io::ErrorKind::NotConnected`] if the emulation has ended.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, from) = listener.accept().await?;
                stream.set_nodelay(true)?;
                Ok((Stream::Tcp(stream), from))
            }
            Listener::Emulated(incoming) => {
                let (stream, from) = incoming.lock().await.recv().await.ok_or(io::ErrorKind::NotConnected)?;
                Ok((Stream::Emulated(stream), from))
            }
        }
    }
}

/// Delegates a call to the underlying stream.
macro_rules! delegate {
    ($stream:expr, $call:ident $(, $argument:expr)*) => {
        match $stream.get_mut() {
            Stream::Tcp(stream) => Pin::new(stream).$call($($argument),*),
            Stream::Emulated(stream) => Pin::new(stream).$call($($argument),*),
        }
    };
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        delegate!(self, poll_read, cx, into)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        delegate!(self, poll_write, cx, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        delegate!(self, poll_write_vectored, cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        match self {
            Stream::Tcp(stream) => stream.is_write_vectored(),
            Stream::Emulated(stream) => stream.is_write_vectored(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, poll_flush, cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        delegate!(self, poll_shutdown, cx)
    }
}
