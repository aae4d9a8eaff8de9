//! Clients with keyed requests: new operations, retries after failures, and repeats of operations that any client has
//! sent.

use super::connection::{Connections, WireRequest};
use super::history::{ClientRequest, Operation};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CLIENTS: u64 = 24;
/// Fraction of all requests that repeat an operation which any client has sent.
const REPEATED: f64 = 0.33;
/// Fraction of these that repeat one of the newest operations, whose first request is often still in flight.
const REPEATED_AT_ONCE: f64 = 0.4;
const NEWEST: usize = 4;
/// Fraction of the operations whose response is too large to be recorded.
const LARGE: f64 = 0.01;
/// Number of retries of one operation after failures.
const RETRIES: usize = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// For how long a client rarely chooses a proxy that has not responded to it.
const AVOIDED_FOR: Duration = Duration::from_secs(2);
const SILENT_CHOSEN: f64 = 0.05;
const PAUSE: Duration = Duration::from_millis(8);
const DEADLINE_MS: &str = "1500";
/// Operations are repeated for this time: well within the window in which they run only once (60 s).
const MAX_AGE: Duration = Duration::from_secs(40);
/// After all faults, operations are repeated until their outcome is known, or for this time.
const DECIDED_WITHIN: Duration = Duration::from_secs(10);
const DECIDED_OPERATIONS: usize = 300;
const TENANTS: [&str; 2] = ["kolkheti", "svaneti"];
const ROUTES: [&str; 2] = ["/book/", "/cancel/"];

/// An operation that may be repeated.
#[derive(Clone)]
struct Recent {
    operation: Operation,
    path: String,
    first_sent_at: Instant,
}

#[derive(Default)]
struct Shared {
    recent: Mutex<VecDeque<Recent>>,
    requests: Mutex<Vec<ClientRequest>>,
    is_stopped: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Threads that send requests until they are finished or dropped.
pub(super) struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub(super) fn start(fronts: &[SocketAddr], seed: u64) -> Clients {
        let shared = Arc::<Shared>::default();
        let start = |number: u64| {
            let mut client = Client::new(fronts, seed.wrapping_add(number + 1), shared.clone());
            std::thread::spawn(move || client.run())
        };
        let threads = (0..CLIENTS).map(start).collect();
        Clients { shared, threads }
    }

    /// Waits for the last requests to end. Returns all requests.
    pub(super) fn finish(mut self) -> Vec<ClientRequest> {
        self.stop();
        std::mem::take(&mut *lock(&self.shared.requests))
    }

    fn stop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // A client that panics has already recorded what it sent.
            drop(thread.join());
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Client {
    connections: Connections,
    /// When each proxy last left this client without a response.
    silent_at: Vec<Option<Instant>>,
    random: Pcg64Mcg,
    shared: Arc<Shared>,
}

/// A number that no other request or operation has.
fn next_number() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

impl Client {
    fn new(fronts: &[SocketAddr], seed: u64, shared: Arc<Shared>) -> Client {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let silent_at = fronts.iter().map(|_| None).collect();
        Client { connections: Connections::new(fronts), silent_at, random, shared }
    }

    fn run(&mut self) {
        while !self.shared.is_stopped.load(Ordering::Relaxed) {
            let chosen = self.choose();
            for _ in 0..=RETRIES {
                let edge = self.choose_edge();
                let request = send(&mut self.connections, edge, &chosen.operation, &chosen.path);
                let status = request.status();
                self.silent_at[edge] = (status == 0).then(Instant::now);
                lock(&self.shared.requests).push(request);
                if matches!(status, 200 | 400..=404) {
                    break;
                }
                std::thread::sleep(RETRY_PAUSE.mul_f64(self.random.random_range(0.2..2.0)));
            }
            std::thread::sleep(PAUSE.mul_f64(self.random.random_range(0.0..2.0)));
        }
    }

    /// Chooses any proxy, but rarely one that has recently not responded: otherwise all clients would wait for a
    /// paused proxy.
    fn choose_edge(&mut self) -> usize {
        loop {
            let edge = self.random.random_range(0..self.silent_at.len());
            let is_silent = self.silent_at[edge].is_some_and(|at| at.elapsed() < AVOIDED_FOR);
            if !is_silent || self.random.random_bool(SILENT_CHOSEN) {
                return edge;
            }
        }
    }

    fn choose(&mut self) -> Recent {
        if self.random.random_bool(REPEATED) {
            if let Some(recent) = self.choose_recent() {
                return recent;
            }
        }
        let number = next_number();
        // Each key is used by two operations, of different tenants.
        let tenant = TENANTS[number % TENANTS.len()];
        let route = ROUTES[self.random.random_range(0..ROUTES.len())];
        let is_large = self.random.random_bool(LARGE);
        let path = if is_large { format!("{route}bytes/100000") } else { format!("{route}1") };
        let operation = Operation { tenant, key: format!("k-{}", number / TENANTS.len()) };
        let new = Recent { operation, path, first_sent_at: Instant::now() };
        lock(&self.shared.recent).push_back(new.clone());
        new
    }

    /// An operation that some client has sent before.
    fn choose_recent(&mut self) -> Option<Recent> {
        let mut recent = lock(&self.shared.recent);
        while recent.front().is_some_and(|oldest| oldest.first_sent_at.elapsed() > MAX_AGE) {
            recent.pop_front();
        }
        let newest = if self.random.random_bool(REPEATED_AT_ONCE) { NEWEST } else { recent.len() };
        let back = self.random.random_range(0..newest.clamp(1, recent.len().max(1)));
        recent.get(recent.len().checked_sub(back + 1)?).cloned()
    }
}

fn send(connections: &mut Connections, edge: usize, operation: &Operation, path: &str) -> ClientRequest {
    let attempt = format!("attempt-{}", next_number());
    let credential = format!("credential-of-{}", operation.tenant);
    let headers = [
        ("x-attempt-id", attempt.as_str()),
        ("x-operation-key", operation.key.as_str()),
        ("x-deadline-ms", DEADLINE_MS),
        ("x-credential", credential.as_str()),
    ];
    let sent_at = Instant::now();
    let response = connections.exchange(edge, &WireRequest { path, headers: &headers, body: &operation.key });
    let (operation, path) = (operation.clone(), path.to_owned());
    ClientRequest { operation, path, attempt, edge, sent_at, ended_at: Instant::now(), response }
}

/// Sends the newest operations again after all faults have ended, until the outcome of each is known.
pub(super) fn repeat_until_decided(fronts: &[SocketAddr], history: &[ClientRequest]) -> Vec<ClientRequest> {
    let mut connections = Connections::new(fronts);
    let mut first_sent_at = HashMap::new();
    for request in history {
        first_sent_at.entry(&request.operation).or_insert(request.sent_at);
    }
    let mut seen = HashSet::new();
    let newest = history.iter().rev().filter(|request| {
        seen.insert(&request.operation) && first_sent_at[&request.operation].elapsed() < MAX_AGE
    });
    let mut repeats = Vec::new();
    let deadline = Instant::now() + DECIDED_WITHIN;
    for (number, request) in newest.take(DECIDED_OPERATIONS).enumerate() {
        loop {
            let edge = number % fronts.len();
            let repeat = send(&mut connections, edge, &request.operation, &request.path);
            let is_decided = matches!(repeat.status(), 200 | 502);
            repeats.push(repeat);
            if is_decided || Instant::now() > deadline {
                break;
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }
    repeats
}
