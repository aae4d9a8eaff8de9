//! Timers in a total order: by time, then by the order in which they were set.

use crate::port::{AttemptId, CallId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use violetyoke_decision::interface::{Micros, RequestId};

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the decision module, by its token.
    Module(u64),
    /// An attempt that has no connection yet is given up.
    ConnectTimeout(AttemptId),
    /// An attempt's time is up.
    AttemptTimeout(AttemptId),
    /// The latest time at which a request can be answered before its deadline.
    RequestDeadline(RequestId),
    /// A counter call's time is up.
    CallTimeout(CallId),
    /// The periodic clean-up.
    Sweep,
}

/// The timers that are set. Those of one time fall due in the order in which they were set.
#[derive(Debug, Default)]
pub(super) struct TimerQueue {
    heap: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Sets a timer.
    pub(super) fn set(&mut self, at: Micros, timer: Timer) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, timer)));
    }

    /// The sequence number of the timer that was set last; [`TimerQueue::pop`] leaves later ones in the queue.
    pub(super) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Removes the first timer that is due at `now` and was set no later than number `up_to`.
    pub(super) fn pop(&mut self, now: Micros, up_to: u64) -> Option<Timer> {
        let Reverse((_, _, timer)) =
            self.heap.peek().copied().filter(|Reverse((at, number, _))| *at <= now && *number <= up_to)?;
        self.heap.pop();
        Some(timer)
    }

    /// The time of the next timer that is not stale. Stale ones before it are removed: each of them would wake the
    /// process to no purpose.
    pub(super) fn next_due(&mut self, is_stale: impl Fn(Timer) -> bool) -> Option<Micros> {
        while self.heap.peek().is_some_and(|Reverse((_, _, timer))| is_stale(*timer)) {
            self.heap.pop();
        }
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the timers for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(Timer) -> bool) {
        self.heap.retain(|Reverse((_, _, timer))| keep(*timer));
    }
}
