//! Requests that wait in the proxy until a backend has capacity, instead of in a backend's queue: ordered by priority,
//! then by arrival.
//!
//! Each entry holds what wakes its request, so that a request that leaves takes all of it along.

use crate::Millis;
use std::collections::{BTreeMap, HashMap};

/// Requests that may wait for one service; those behind them would not be answered in time.
pub const MAX_PENDING: usize = 512;

/// The position of a pending request; unique within a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Requests of one service, by priority (0 is the highest) and arrival.
type ServiceQueue<W> = BTreeMap<(i64, Ticket), Pending<W>>;

/// The pending requests of all services. `W` wakes one of them.
#[derive(Debug)]
pub struct PendingQueue<W> {
    by_service: HashMap<String, ServiceQueue<W>>,
    last_ticket: u64,
}

#[derive(Debug)]
struct Pending<W> {
    /// When the request stops waiting.
    expires_at: Millis,
    /// `None` while the request is awake: it has been woken, and has not looked for capacity yet.
    waker: Option<W>,
}

impl<W> Default for PendingQueue<W> {
    fn default() -> PendingQueue<W> {
        PendingQueue { by_service: HashMap::new(), last_ticket: 0 }
    }
}

impl<W> PendingQueue<W> {
    /// Adds a request that waits until `expires_at`. Returns `None` when the service's queue is full.
    #[must_use]
    pub fn enqueue(&mut self, service: &str, priority: i64, expires_at: Millis, waker: W) -> Option<Ticket> {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), BTreeMap::new());
        }
        let queue = self.by_service.get_mut(service)?;
        if is_full(queue) {
            return None;
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        queue.insert((priority, ticket), Pending { expires_at, waker: Some(waker) });
        Some(ticket)
    }

    /// The request was woken and found no capacity: it waits on, at its position.
    pub fn rearm(&mut self, service: &str, priority: i64, ticket: Ticket, waker: W) {
        let queue = self.by_service.get_mut(service);
        if let Some(pending) = queue.and_then(|queue| queue.get_mut(&(priority, ticket))) {
            pending.waker = Some(waker);
        }
    }

    /// Removes a request that got a backend or stopped waiting. Returns whether it was awake: what woke it is then for
    /// another request to use.
    pub fn remove(&mut self, service: &str, priority: i64, ticket: Ticket) -> bool {
        let Some(queue) = self.by_service.get_mut(service) else { return false };
        let removed = queue.remove(&(priority, ticket));
        if queue.is_empty() {
            self.by_service.remove(service);
        }
        removed.is_some_and(|pending| pending.waker.is_none())
    }

    /// A backend of the service may have capacity: takes the waker of the first request that sleeps. The request stays
    /// in the queue until it is removed.
    #[must_use]
    pub fn take_first_waker(&mut self, service: &str, now: Millis) -> Option<W> {
        let queue = self.by_service.get_mut(service)?;
        queue.values_mut().filter(|pending| now < pending.expires_at).find_map(|pending| pending.waker.take())
    }

    /// Takes the wakers of all requests that sleep.
    pub fn take_all_wakers(&mut self) -> Vec<W> {
        let queues = self.by_service.values_mut();
        queues.flat_map(|queue| queue.values_mut()).filter_map(|pending| pending.waker.take()).collect()
    }

    /// Whether no request waits for the service.
    #[must_use]
    pub fn is_empty(&self, service: &str) -> bool {
        !self.by_service.contains_key(service)
    }

    /// Whether no further request may wait for the service.
    #[must_use]
    pub fn is_full(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(is_full)
    }

    /// The number of requests that wait for the service that has the most.
    #[must_use]
    pub fn longest_queue_len(&self) -> usize {
        self.by_service.values().map(BTreeMap::len).max().unwrap_or(0)
    }
}

fn is_full<W>(queue: &ServiceQueue<W>) -> bool {
    queue.len() >= MAX_PENDING
}
