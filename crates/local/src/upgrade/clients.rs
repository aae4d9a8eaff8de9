//! Clients that send searches, bookings and the requests of a tenant with a limit to the proxies that the directory
//! lists.

use crate::client::{resolve_edges, send_request};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// For how long the addresses from a directory are used.
const REFRESH: Duration = Duration::from_millis(500);
/// For how long a search is repeated before it counts as lost.
const PATIENCE: Duration = Duration::from_secs(5);

/// The results of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    /// The duration of each served search, including its repetitions.
    pub(super) searches: Vec<Duration>,
    /// Number of searches that were sent more than once.
    pub(super) repeated: usize,
    /// Number of searches that no proxy served in time.
    pub(super) lost: usize,
    /// Ids of all bookings, and of those with a response 200.
    pub(super) bookings: Vec<String>,
    pub(super) confirmed: Vec<String>,
    /// Numbers of requests of the tenant with a limit: served, refused because of the limit, and with any other
    /// response or none.
    pub(super) limited_served: usize,
    pub(super) limited_refused: usize,
    pub(super) limited_failed: usize,
    /// The time since the clients were started.
    pub(super) elapsed: Duration,
}

impl Counts {
    /// The results since an earlier call, whose counts are `before`.
    pub(super) fn since(&self, before: &Counts) -> Counts {
        Counts {
            searches: self.searches[before.searches.len()..].to_vec(),
            repeated: self.repeated - before.repeated,
            lost: self.lost - before.lost,
            bookings: self.bookings[before.bookings.len()..].to_vec(),
            confirmed: self.confirmed[before.confirmed.len()..].to_vec(),
            limited_served: self.limited_served - before.limited_served,
            limited_refused: self.limited_refused - before.limited_refused,
            limited_failed: self.limited_failed - before.limited_failed,
            elapsed: self.elapsed - before.elapsed,
        }
    }

    pub(super) fn slowest(&self) -> Duration {
        self.searches.iter().copied().max().unwrap_or_default()
    }
}

#[derive(Clone, Copy)]
enum Kind {
    Search,
    Booking,
    Limited,
}

/// Threads that send requests until they are finished or dropped.
pub(super) struct Clients {
    counts: Arc<Mutex<Counts>>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    started: Instant,
}

fn lock(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Clients {
    pub(super) fn start(directories: &[SocketAddr]) -> Clients {
        let (counts, stopped) = Default::default();
        let mut clients = Clients { counts, stopped, threads: Vec::new(), started: Instant::now() };
        let kinds = [(Kind::Search, 40), (Kind::Search, 40), (Kind::Booking, 80), (Kind::Limited, 25)];
        for (number, (kind, pause_ms)) in kinds.into_iter().enumerate() {
            let mut client = Client {
                directories: directories.to_vec(),
                proxies: Vec::new(),
                refreshed: None,
                counts: clients.counts.clone(),
            };
            let (stopped, pause) = (clients.stopped.clone(), Duration::from_millis(pause_ms));
            clients.threads.push(std::thread::spawn(move || {
                let mut next = Instant::now();
                while !stopped.load(Ordering::Relaxed) {
                    client.directories.rotate_left(number % 3);
                    client.send(kind);
                    next = (next + pause).max(Instant::now());
                    std::thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            }));
        }
        clients
    }

    pub(super) fn counts(&self) -> Counts {
        Counts { elapsed: self.started.elapsed(), ..lock(&self.counts).clone() }
    }

    /// Waits for the last requests to end.
    pub(super) fn finish(mut self) -> Counts {
        self.stop();
        self.counts()
    }

    fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            if thread.join().is_err() {
                lock(&self.counts).lost += 1;
            }
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

struct Client {
    directories: Vec<SocketAddr>,
    proxies: Vec<SocketAddr>,
    refreshed: Option<Instant>,
    counts: Arc<Mutex<Counts>>,
}

/// An id that no other request has.
pub(super) fn new_id(kind: &str) -> String {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    format!("{kind}-{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Client {
    /// The next of the listed proxies; `None` if no directory lists any.
    fn next_proxy(&mut self) -> Option<SocketAddr> {
        if self.refreshed.is_none_or(|at| at.elapsed() > REFRESH) {
            let mut lists = self.directories.iter().map(|directory| resolve_edges(*directory, "west", "a"));
            // Without a response, the previous list stays in use.
            if let Some(proxies) = lists.find(|list| !list.is_empty()) {
                self.proxies = proxies;
                self.refreshed = Some(Instant::now());
            }
        }
        if !self.proxies.is_empty() {
            self.proxies.rotate_left(1);
        }
        self.proxies.first().copied()
    }

    /// Sends a request. Returns the status of the response; 0 if there is none.
    fn request(&mut self, id: &str, target: &str, key: &str, body: &[u8]) -> u16 {
        let Some(proxy) = self.next_proxy() else { return 0 };
        let fields = [
            ("host", "rooms.example"),
            ("x-attempt-id", id),
            ("x-deadline-ms", "1500"),
            ("x-credential", key),
        ];
        let method = if body.is_empty() { "GET" } else { "POST" };
        send_request(proxy, method, target, &fields, body).map_or(0, |answer| answer.status())
    }

    fn send(&mut self, kind: Kind) {
        match kind {
            Kind::Search => self.search(),
            Kind::Booking => self.book(),
            Kind::Limited => self.spend(),
        }
    }

    /// Searches are idempotent, so they are repeated until a proxy serves them.
    fn search(&mut self) {
        let started = Instant::now();
        let mut tries = 0;
        let served = loop {
            tries += 1;
            if self.request(&new_id("search"), "/search/1", "key-1", b"") == 200 {
                break true;
            }
            if started.elapsed() > PATIENCE {
                break false;
            }
            std::thread::sleep(Duration::from_millis(20));
        };
        let mut counts = lock(&self.counts);
        counts.repeated += usize::from(tries > 1);
        match served {
            true => counts.searches.push(started.elapsed()),
            false => counts.lost += 1,
        }
    }

    /// A booking is sent only once, whatever the response.
    fn book(&mut self) {
        let id = new_id("booking");
        let status = self.request(&id, "/book/1", "key-1", b"one room");
        let mut counts = lock(&self.counts);
        counts.bookings.push(id.clone());
        if status == 200 {
            counts.confirmed.push(id);
        }
    }

    fn spend(&mut self) {
        let status = self.request(&new_id("limited"), "/search/2", "key-2", b"");
        let mut counts = lock(&self.counts);
        match status {
            200 => counts.limited_served += 1,
            429 => counts.limited_refused += 1,
            _ => counts.limited_failed += 1,
        }
    }
}
