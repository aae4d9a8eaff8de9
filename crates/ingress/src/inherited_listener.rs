//! A listening socket that the platform holds and passes on to each process it starts.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Takes up the listening socket that this process has inherited under a number.
pub fn open(number: RawFd) -> io::Result<tokio::net::TcpListener> {
    if number <= 2 {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "EDGE_PASSED_SOCKET: a number above 2"));
    }
    // SAFETY: the platform opened this number before the program began and left it to it; it is taken up once,
    // before the program has opened anything. The standard library has no other way to a descriptor that was
    // inherited. A number that is not open, or no listening socket, fails in the calls below.
    #[allow(unsafe_code, reason = "the standard library has no safe way to an inherited descriptor")]
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    let listener = TcpListener::from(socket);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}
