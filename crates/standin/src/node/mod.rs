//! A node that executes requests: workers, a queue, a fixed service time, slow start, and faults that a test or an
//! operator injects.

mod connection;
mod fault;
mod work;

pub use fault::{Fault, UnknownFault};

use crate::{listen, lock, reset_on_drop};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The capacity and speed of a node.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of requests that are executed at once.
    pub workers: usize,
    /// Maximum number of requests that wait for a worker; further ones are declined.
    pub queue: usize,
    /// The time that a worker takes for a request at full speed.
    pub service: Duration,
    /// The fraction of its full speed at which the node starts, from 0 (excluded) to 1.
    pub initial_speed: f64,
    /// The time from the start until the node reaches full speed.
    pub slow_start: Duration,
    /// Minimum size of the bodies of successful responses, which are padded to it.
    pub min_body_bytes: usize,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            workers: 4,
            queue: 16,
            service: Duration::from_millis(2),
            initial_speed: 1.0,
            slow_start: Duration::ZERO,
            min_body_bytes: 0,
        }
    }
}

/// A request that a worker has taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The request's `Req-Id`.
    pub id: String,
    /// When the execution started.
    pub started: Instant,
}

/// Number of requests that wait or are executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Now.
    pub now: usize,
    /// The maximum so far.
    pub peak: usize,
}

/// A running node; its threads end with the process.
#[derive(Clone)]
pub struct Node {
    /// Where it listens.
    pub address: SocketAddr,
    server: Arc<Server>,
}

struct Server {
    shape: Shape,
    name: String,
    state: Mutex<State>,
    /// Signals that a worker is free, or that the fault has changed.
    changed: Condvar,
}

struct State {
    fault: Fault,
    started: Instant,
    working: usize,
    waiting: usize,
    in_flight: InFlight,
    connections: usize,
    /// Ids of complete requests, in order.
    received: Vec<String>,
    executions: Vec<Execution>,
}

impl Node {
    /// Starts a node whose responses contain its name.
    ///
    /// # Errors
    /// Those of the listener.
    pub fn start(address: SocketAddr, name: &str, shape: Shape) -> io::Result<Node> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State {
            fault: Fault::None,
            started: Instant::now(),
            working: 0,
            waiting: 0,
            in_flight: InFlight::default(),
            connections: 0,
            received: Vec::new(),
            executions: Vec::new(),
        });
        let server = Arc::new(Server { shape, name: name.to_string(), state, changed: Condvar::new() });
        let shared = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&shared.state).fault == Fault::Closed {
                    reset_on_drop(&stream);
                    continue;
                }
                lock(&shared.state).connections += 1;
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    // Errors are ignored: the requests of a failed connection have been recorded.
                    shared.serve(stream).unwrap_or_default();
                    lock(&shared.state).connections -= 1;
                });
            }
        });
        Ok(Node { address, server })
    }

    /// Sets the fault from now on. Requests that hang end with a reset when the fault does.
    pub fn inject(&self, fault: Fault) {
        lock(&self.server.state).fault = fault;
        self.server.changed.notify_all();
    }

    /// Begins the slow start again, as after a restart.
    pub fn restart(&self) {
        lock(&self.server.state).started = Instant::now();
    }

    /// Ids of complete requests, in order.
    pub fn received(&self) -> Vec<String> {
        lock(&self.server.state).received.clone()
    }

    /// Ids of requests that were worked on, in order.
    pub fn executed(&self) -> Vec<String> {
        lock(&self.server.state).executions.iter().map(|execution| execution.id.clone()).collect()
    }

    /// Requests that were worked on, in order.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.server.state).executions.clone()
    }

    /// Requests that wait or are worked on.
    pub fn in_flight(&self) -> InFlight {
        lock(&self.server.state).in_flight
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        lock(&self.server.state).connections
    }
}
