//! Events in a total order: by time, and at one time in the order in which they were set.

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

pub struct Heap<E> {
    entries: BinaryHeap<Reverse<Entry<E>>>,
    set: u64,
}

impl<E> Default for Heap<E> {
    fn default() -> Heap<E> {
        Heap { entries: BinaryHeap::new(), set: 0 }
    }
}

impl<E> Heap<E> {
    pub fn set(&mut self, at: Micros, event: E) {
        self.set += 1;
        self.entries.push(Reverse(Entry { at, number: self.set, event }));
    }

    /// The first event, if it comes before `end`.
    pub fn pop(&mut self, end: Micros) -> Option<(Micros, E)> {
        if self.entries.peek()?.0.at >= end {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }

    /// How many events were ever set.
    pub fn set_so_far(&self) -> u64 {
        self.set
    }
}

#[cfg(test)]
mod tests;
