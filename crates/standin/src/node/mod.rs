//! A node that does work: workers, a queue before them, a set time for each request, slow start, and faults that a test or an
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

/// What a node is like.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Requests worked on at once.
    pub workers: usize,
    /// Requests that may wait for a worker; more are declined.
    pub queue: usize,
    /// How long a worker takes for a request at full speed.
    pub service: Duration,
    /// The part of its full speed that it starts with, from 0 (excluded) to 1.
    pub initial_speed: f64,
    /// How long after its start it reaches full speed.
    pub slow_start: Duration,
    /// Bodies of successful responses are filled up to this many bytes.
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
    /// When the work began.
    pub started: Instant,
}

/// Requests that wait or are worked on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    /// Now.
    pub now: usize,
    /// The most so far.
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
    /// A worker is free, or the fault has changed.
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
                    // A failed connection has ended like any other: its requests are recorded already.
                    shared.serve(stream).unwrap_or_default();
                    lock(&shared.state).connections -= 1;
                });
            }
        });
        Ok(Node { address, server })
    }

    /// Fails like this from now on. Requests that hang end with a reset once the fault does.
    pub fn inject(&self, fault: Fault) {
        lock(&self.server.state).fault = fault;
        self.server.changed.notify_all();
    }

    /// Begins its slow start anew, as after a restart.
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
