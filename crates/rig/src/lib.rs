//! A fault-injection test harness: it runs real processes of the programs and injects faults between them. For tests and
//! proofs only; no deployed program uses it.
//!
//! - A [`process::Process`] is started, paused, resumed, killed and restarted, and its output is kept.
//! - A [`link::Link`] is a TCP relay between two processes that holds, delays or resets what passes, each direction for
//!   itself. Links run on a [`runtime_thread::RuntimeThread`].
//! - [`breakpoints::Breakpoints`] pause a worker between the check of its lease and its action.
//! - A [`fleet::Fleet`] is a control plane, ingresses and a sink with links between them; a
//!   [`injection::FaultInjector`] injects one [`schedule::Fault`] after the other into it.
//! - [`schedule`] draws faults from a seed and minimizes a failing list of them; [`history`] checks what the sink received,
//!   which does not depend on what the senders claim.
//!
//! It holds no model of the programs and emulates no clock: time is the machine's, and a run cannot be repeated exactly.
//! Everything is on loopback addresses. Each child process is killed by its own id, also when a test panics.

pub mod breakpoints;
pub mod fleet;
pub mod history;
pub mod http_client;
pub mod injection;
pub mod link;
pub mod process;
pub mod runtime_thread;
pub mod schedule;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Polls the condition every 5 ms until it holds; returns whether it held within the timeout. It is polled at least once.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An address without a listener, on a loopback host of its own: on a host that connections go out from, the port may be
/// taken as a local port by one of them before the program listens on it.
///
/// # Errors
/// Those of binding a socket to find a free port.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (number, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    let host = format!("127.{}.{}.{}", 1 + process % 250, 1 + process / 250 % 250, 2 + number % 250);
    TcpListener::bind((host.as_str(), 0))?.local_addr()
}
