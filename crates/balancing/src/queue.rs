//! Requests that wait here for a backend with room, and not in a backend's queue: by priority, then by arrival.

use crate::Millis;
use std::collections::{BTreeMap, HashMap};

pub type Ticket = u64;

/// The most that wait for one service; past that, nobody behind them would be in time.
const MOST: usize = 512;

#[derive(Debug, Default)]
pub struct Queue {
    waiting: HashMap<String, BTreeMap<(i64, Ticket), Millis>>,
    next: Ticket,
}

impl Queue {
    /// Begins to wait for a service until `until`; nothing where too many do.
    pub fn wait(&mut self, service: &str, priority: i64, until: Millis) -> Option<Ticket> {
        if !self.waiting.contains_key(service) {
            self.waiting.insert(service.to_owned(), BTreeMap::new());
        }
        let waiting = self.waiting.get_mut(service)?;
        if waiting.len() >= MOST {
            return None;
        }
        self.next += 1;
        waiting.insert((priority, self.next), until);
        Some(self.next)
    }

    /// Waits no longer.
    pub fn leave(&mut self, service: &str, priority: i64, ticket: Ticket) {
        if let Some(waiting) = self.waiting.get_mut(service) {
            waiting.remove(&(priority, ticket));
        }
    }

    /// Who is to look again, now that a backend of the service may have room; it goes on waiting where there is none.
    pub fn first(&self, service: &str, now: Millis) -> Option<Ticket> {
        let waiting = self.waiting.get(service)?;
        waiting.iter().find(|(_, until)| now < **until).map(|((_, ticket), _)| *ticket)
    }

    pub fn len(&self, service: &str) -> usize {
        self.waiting.get(service).map_or(0, BTreeMap::len)
    }

    pub fn is_empty(&self, service: &str) -> bool {
        self.len(service) == 0
    }
}
