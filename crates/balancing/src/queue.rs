//! Requests that wait in the proxy until a backend has free capacity, instead of in a backend's queue. They
//! are ordered by priority, then by arrival.
//!
//! Each entry holds the waker of its request, so removing the entry leaves nothing behind.

use crate::Millis;
use std::collections::{BTreeMap, HashMap};

/// Maximum queue length per service. Requests further behind would not get a response in time.
pub const MAX_PENDING: usize = 512;

/// Identifies a pending request and its order of arrival; unique within a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Requests of one service, by priority (0 is the highest) and arrival.
type ServiceQueue<W> = BTreeMap<(i64, Ticket), Pending<W>>;

/// The pending requests of all services. `W` is the type of their wakers.
#[derive(Debug)]
pub struct PendingQueue<W> {
    by_service: HashMap<String, ServiceQueue<W>>,
    last_ticket: u64,
}

#[derive(Debug)]
struct Pending<W> {
    /// Time at which the request stops waiting.
    expires_at: Millis,
    /// `None` while the request is awake: its waker was taken, and it has not yet checked for capacity.
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

    /// Lets a woken request that found no capacity wait again, at its previous position.
    pub fn rearm(&mut self, service: &str, priority: i64, ticket: Ticket, waker: W) {
        let queue = self.by_service.get_mut(service);
        if let Some(pending) = queue.and_then(|queue| queue.get_mut(&(priority, ticket))) {
            pending.waker = Some(waker);
        }
    }

    /// Removes a request that got a backend or stopped waiting. Returns whether the request was awake. If it
    /// was and did not use the capacity, another request should be woken.
    pub fn remove(&mut self, service: &str, priority: i64, ticket: Ticket) -> bool {
        let Some(queue) = self.by_service.get_mut(service) else { return false };
        let removed = queue.remove(&(priority, ticket));
        if queue.is_empty() {
            self.by_service.remove(service);
        }
        removed.is_some_and(|pending| pending.waker.is_none())
    }

    /// Takes the waker of the first sleeping request, after a backend of the service may have got free
    /// capacity. The request stays in the queue until it is removed.
    #[must_use]
    pub fn take_first_waker(&mut self, service: &str, now: Millis) -> Option<W> {
        let queue = self.by_service.get_mut(service)?;
        queue.values_mut().filter(|pending| now < pending.expires_at).find_map(|pending| pending.waker.take())
    }

    /// Takes the wakers of all sleeping requests.
    pub fn take_all_wakers(&mut self) -> Vec<W> {
        let queues = self.by_service.values_mut();
        queues.flat_map(|queue| queue.values_mut()).filter_map(|pending| pending.waker.take()).collect()
    }

    /// Whether no request is queued for the service.
    #[must_use]
    pub fn is_empty(&self, service: &str) -> bool {
        !self.by_service.contains_key(service)
    }

    /// Whether the queue of the service has reached [`MAX_PENDING`].
    #[must_use]
    pub fn is_full(&self, service: &str) -> bool {
        self.by_service.get(service).is_some_and(is_full)
    }

    /// Length of the longest queue of any service.
    #[must_use]
    pub fn longest_queue_len(&self) -> usize {
        self.by_service.values().map(BTreeMap::len).max().unwrap_or(0)
    }
}

fn is_full<W>(queue: &ServiceQueue<W>) -> bool {
    queue.len() >= MAX_PENDING
}
