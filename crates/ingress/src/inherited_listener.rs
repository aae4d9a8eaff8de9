//! The listening socket that the platform keeps open and passes to each process that it starts.

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

/// Takes ownership of the inherited listening socket with this descriptor number.
pub fn open(number: RawFd) -> io::Result<tokio::net::TcpListener> {
    if number <= 2 {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "EDGE_PASSED_SOCKET: a number above 2"));
    }
    // SAFETY: the platform opened this descriptor before the program started and does not use it in this process. Ownership
    // is taken once, before the program opens any other descriptor. If the descriptor is not open or not a listening socket,
    // the calls below fail.
    #[allow(unsafe_code, reason = "the standard library has no safe way to an inherited descriptor")]
    let socket = unsafe { OwnedFd::from_raw_fd(number) };
    let listener = TcpListener::from(socket);
    listener.local_addr()?;
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}
