//! A timer queue with a total order: by time, then by the order in which timers were set.

use crate::port::{AttemptId, CallId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use violetyoke_decision::interface::{Micros, RequestId};

/// The purpose of a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the decision module, by its token.
    Module(u64),
    /// Time-out of an attempt that has no connection yet.
    ConnectTimeout(AttemptId),
    /// Time-out of an attempt.
    AttemptTimeout(AttemptId),
    /// The latest time at which a request can be answered before its deadline.
    RequestDeadline(RequestId),
    /// Time-out of a counter call.
    CallTimeout(CallId),
    /// The periodic clean-up.
    Sweep,
}

/// The pending timers. Timers of the same time fire in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer.
    pub(super) fn set(&mut self, due: Micros, timer: Timer) {
        self.last_sequence += 1;
        self.heap.push(Reverse((due, self.last_sequence, timer)));
    }

    /// The sequence number of the last timer that was set, a bound for [`TimerQueue::pop`].
    pub(super) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Removes and returns the first timer if it is due at `now` and its sequence number is at most `up_to`.
    pub(super) fn pop(&mut self, now: Micros, up_to: u64) -> Option<Timer> {
        let Reverse((_, _, timer)) = self
            .heap
            .peek()
            .copied()
            .filter(|Reverse((due, sequence, _))| *due <= now && *sequence <= up_to)?;
        self.heap.pop();
        Some(timer)
    }

    /// The time of the next timer that is not stale. Stale timers before it are removed, because each would
    /// wake the process unnecessarily.
    pub(super) fn next_due(&mut self, is_stale: impl Fn(Timer) -> bool) -> Option<Micros> {
        while self.heap.peek().is_some_and(|Reverse((_, _, timer))| is_stale(*timer)) {
            self.heap.pop();
        }
        self.heap.peek().map(|Reverse((due, ..))| *due)
    }

    /// Removes the timers for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(Timer) -> bool) {
        self.heap.retain(|Reverse((_, _, timer))| keep(*timer));
    }
}
