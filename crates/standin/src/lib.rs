//! Stand-ins for what an ingress meets, each as a library for tests and as a subcommand of
//! `violetyoke-standin`. They listen on loopback addresses only, and each is a few threads.

#![allow(
    clippy::expect_used,
    clippy::let_underscore_must_use,
    clippy::option_option,
    missing_docs,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod counter;
pub mod discovery;
pub mod http;
pub mod limiter;
pub mod node;
pub mod scripted;
pub mod sink;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Listens on a loopback address; any other is refused.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    if !address.ip().is_loopback() {
        let reason = format!("{address} is not a loopback address");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
    }
    TcpListener::bind(address)
}

/// An address of this machine that the system chooses the port of.
pub fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// What a thread that failed left behind is as good as what it found.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
