//! The location of a pool's quota counters: a counter service, or this process.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use violetyoke_decision::interface::Micros;

/// Where a pool's counters are kept.
#[derive(Clone)]
pub enum CounterLocation {
    /// A counter service, called by RESP2. Names of counters begin with the namespace, if there is one, and a
    /// colon.
    Remote { address: SocketAddr, namespace: Option<Rc<str>> },
    /// This process.
    Embedded { counters: Rc<EmbeddedCounters>, namespace: Rc<str> },
}

/// Longest time to live of a counter, as at the counter service.
const MAX_TTL: Micros = 60_000_000;

/// Counters with a time to live. All pools of a process share them. Each pool has a namespace, so that a pool
/// that is removed and added again under the same quota name finds its counters.
#[derive(Default)]
pub struct EmbeddedCounters {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    /// Numbers of the namespaces.
    namespaces: HashMap<Rc<str>, u32>,
    /// Totals by number of the namespace and id of the counter.
    totals: HashMap<(u32, u64), f64>,
    /// Times at which counters expire, earliest first.
    expiries: BinaryHeap<Reverse<(Micros, u32, u64)>>,
}

impl EmbeddedCounters {
    /// Adds to a counter and returns the total. A new counter starts at 0 and expires after `ttl`.
    pub fn add(&self, now: Micros, namespace: &Rc<str>, counter_id: u64, amount: f64, ttl: Micros) -> f64 {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        while state.expiries.peek().is_some_and(|Reverse((expires_at, ..))| *expires_at <= now) {
            if let Some(Reverse((_, namespace, counter_id))) = state.expiries.pop() {
                state.totals.remove(&(namespace, counter_id));
            }
        }
        let next = state.namespaces.len() as u32;
        let namespace = *state.namespaces.entry(namespace.clone()).or_insert(next);
        let expiries = &mut state.expiries;
        let total = state.totals.entry((namespace, counter_id)).or_insert_with(|| {
            expiries.push(Reverse((now + ttl.clamp(1_000, MAX_TTL), namespace, counter_id)));
            0.0
        });
        *total += amount;
        *total
    }
}

#[cfg(test)]
mod tests;
