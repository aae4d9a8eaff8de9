//! Stubs of the processes that an ingress communicates with, each as a library for tests and as a subcommand of
//! `violetyoke-standin`.
//!
//! - [`node`] executes requests with workers and a queue, and fails on request; [`scripted`] replies with bytes that a test
//!   chooses.
//! - [`discovery`] serves a list of nodes and a watch on its changes.
//! - [`counter`] adds numbers over RESP2; [`rate_limit_server`] is an external rate limit server over gRPC.
//! - [`sink`] receives the fleet's reports and probes, and records them in order.
//! - [`http`] reads HTTP messages as they are on the wire.
//!
//! The stubs listen on loopback addresses only, run on threads that end with the process, and keep everything in
//! memory. They are for tests and demonstrations: no deployed program uses them.

pub mod counter;
pub mod discovery;
pub mod http;
pub mod node;
pub mod rate_limit_server;
pub mod scripted;
pub mod sink;

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Listens on a loopback address.
///
/// # Errors
/// [`io::ErrorKind::InvalidInput`] for any other address, and those of binding.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    if !address.ip().is_loopback() {
        let reason = format!("{address} is not a loopback address");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
    }
    TcpListener::bind(address)
}

/// The loopback address with a port that the system chooses.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Locks a mutex even if another thread has panicked while holding it: a panic leaves no stub's state partly changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Makes the peer see a reset instead of an orderly close when the stream is dropped.
fn reset_on_drop(stream: &TcpStream) {
    // Setting the option fails only for a socket that is closed already.
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap_or_default();
}
