//! Where a pool's quotas are counted: at a counter service, or in this process.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use violetyoke_decision::interface::Micros;

/// The way to a counter.
#[derive(Clone)]
pub enum Link {
    /// By RESP2. Names begin with the space, where there is one, and a colon.
    Remote {
        address: SocketAddr,
        space: Option<Rc<str>>,
    },
    Embedded {
        counts: Rc<Counts>,
        space: Rc<str>,
    },
}

/// Longest life of a name, as at the counter service.
const LONGEST_LIFE: Micros = 60_000_000;

/// Named numbers that are forgotten when their life is over. All pools of a process share it, each in a space of
/// its own, so that a pool that goes and comes again under its quota's name finds its numbers.
#[derive(Default)]
pub struct Counts {
    state: RefCell<State>,
}

#[derive(Default)]
struct State {
    spaces: HashMap<Rc<str>, u32>,
    numbers: HashMap<(u32, u64), f64>,
    ends: BinaryHeap<Reverse<(Micros, u32, u64)>>,
}

impl Counts {
    /// Adds to a number and tells the total. A new one begins at 0 and lives for `life`.
    pub fn add(&self, now: Micros, space: &Rc<str>, name: u64, amount: f64, life: Micros) -> f64 {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        while state.ends.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            if let Some(Reverse((_, space, name))) = state.ends.pop() {
                state.numbers.remove(&(space, name));
            }
        }
        let next = state.spaces.len() as u32;
        let space = *state.spaces.entry(space.clone()).or_insert(next);
        let ends = &mut state.ends;
        let total = state.numbers.entry((space, name)).or_insert_with(|| {
            ends.push(Reverse((now + life.clamp(1_000, LONGEST_LIFE), space, name)));
            0.0
        });
        *total += amount;
        *total
    }
}

#[cfg(test)]
mod tests;
