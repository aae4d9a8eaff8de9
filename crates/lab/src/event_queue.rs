//! Events in a total order: by time, and at one time in the order in which they were scheduled.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use violetyoke_decision::interface::Micros;

struct Entry<E> {
    at: Micros,
    number: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

pub(crate) struct EventQueue<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    scheduled: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue { entries: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn schedule(&mut self, at: Micros, event: E) {
        self.scheduled += 1;
        self.entries.push(Reverse(Entry { at, number: self.scheduled, event }));
    }

    /// Removes the first event with its time, if it is due before `end`.
    pub(crate) fn pop_before(&mut self, end: Micros) -> Option<(Micros, E)> {
        if self.entries.peek()?.0.at >= end {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }

    /// How many events have ever been scheduled.
    pub(crate) fn scheduled(&self) -> u64 {
        self.scheduled
    }
}

#[cfg(test)]
mod tests;
