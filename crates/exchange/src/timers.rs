//! Times at which something is to be looked at, in a total order.

use crate::port::AttemptId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use violetyoke_decision::interface::{Micros, RequestId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Module(u64),
    /// No connection yet: it is given up.
    Connect(AttemptId),
    /// Its time is up.
    Expire(AttemptId),
    /// The last moment to answer a request in time.
    Deadline(RequestId),
    Call(u64),
    Sweep,
}

/// Those set for one time fall due in the order in which they were set.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    set: u64,
}

impl Timers {
    pub fn set(&mut self, at: Micros, timer: Timer) {
        self.set += 1;
        self.heap.push(Reverse((at, self.set, timer)));
    }

    /// How many were ever set: [`Timers::pop`] leaves later ones alone.
    pub fn mark(&self) -> u64 {
        self.set
    }

    /// Takes out the first that is due and was set by the mark.
    pub fn pop(&mut self, now: Micros, mark: u64) -> Option<Timer> {
        let Reverse((_, _, timer)) =
            self.heap.peek().copied().filter(|Reverse((at, number, _))| *at <= now && *number <= mark)?;
        self.heap.pop();
        Some(timer)
    }

    /// When the next one falls due, with those left out that outlived what they were set for: without this each
    /// would wake the process for nothing.
    pub fn next(&mut self, stale: impl Fn(Timer) -> bool) -> Option<Micros> {
        while self.heap.peek().is_some_and(|Reverse((_, _, timer))| stale(*timer)) {
            self.heap.pop();
        }
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    pub fn retain(&mut self, keep: impl Fn(Timer) -> bool) {
        self.heap.retain(|Reverse((_, _, timer))| keep(*timer));
    }
}
