//! Requests that wait in the proxy until a backend has capacity, instead of in a backend's queue: ordered by priority,
//! then by arrival.

use crate::Millis;
use std::collections::{BTreeMap, HashMap};

/// Requests that may wait for one service; those behind them would not be answered in time.
const MAX_PENDING: usize = 512;

/// The position of a pending request; unique within a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The pending requests of all services.
#[derive(Debug, Default)]
pub struct PendingQueue {
    /// By service: the time at which each request stops waiting, by priority (0 is the highest) and arrival.
    pending: HashMap<String, BTreeMap<(i64, Ticket), Millis>>,
    last_ticket: u64,
}

impl PendingQueue {
    /// Adds a request that waits until `expires_at`. Returns `None` when the service's queue is full.
    #[must_use]
    pub fn enqueue(&mut self, service: &str, priority: i64, expires_at: Millis) -> Option<Ticket> {
        if !self.pending.contains_key(service) {
            self.pending.insert(service.to_owned(), BTreeMap::new());
        }
        let pending = self.pending.get_mut(service)?;
        if pending.len() >= MAX_PENDING {
            return None;
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        pending.insert((priority, ticket), expires_at);
        Some(ticket)
    }

    /// Removes a request that got a backend or stopped waiting.
    pub fn remove(&mut self, service: &str, priority: i64, ticket: Ticket) {
        if let Some(pending) = self.pending.get_mut(service) {
            pending.remove(&(priority, ticket));
        }
    }

    /// The request that is to try next when a backend of the service may have capacity. It stays in the queue until it
    /// is removed.
    #[must_use]
    pub fn first_unexpired(&self, service: &str, now: Millis) -> Option<Ticket> {
        let pending = self.pending.get(service)?;
        pending.iter().find(|(_, expires_at)| now < **expires_at).map(|((_, ticket), _)| *ticket)
    }

    /// Whether no request waits for the service.
    #[must_use]
    pub fn is_empty(&self, service: &str) -> bool {
        self.pending.get(service).is_none_or(BTreeMap::is_empty)
    }
}
