//! What is scheduled: events with their times, taken in order.

use super::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use violetyoke_store::consensus::WriteNumber;
use violetyoke_transport::messages::Envelope;

#[derive(Clone, Debug)]
pub enum Scheduled {
    /// A message arrives at a machine.
    Deliver { to: usize, envelope: Box<Envelope> },
    /// A store looks at its clock.
    Tick { to: usize },
    /// A disk has synced what it was asked to keep; `life` is that of the process which asked.
    Synced { to: usize, life: u64, number: WriteNumber },
    /// A lying disk says so and has not.
    Lied { to: usize, life: u64, number: WriteNumber },
    /// A client sends an operator's order to a machine, or looks for the answer.
    Operator { number: usize },
    /// All links of a machine are cut, both directions.
    CutOff { machine: usize },
    /// A fault ends.
    Restore { to: usize, what: Restore },
}

/// How a fault of a machine ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restore {
    Process,
    Links,
    LinkSpeed,
    DiskSpeed,
    Freeze,
    Messages,
    Answers,
}

struct Entry {
    at: Millis,
    number: u64,
    scheduled: Scheduled,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.number == other.number
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Events in order of their times; those of one time in the order in which they were scheduled.
#[derive(Default)]
pub struct Schedule {
    queue: BinaryHeap<Reverse<Entry>>,
    count: u64,
}

impl Schedule {
    pub fn add(&mut self, at: Millis, scheduled: Scheduled) {
        self.count += 1;
        self.queue.push(Reverse(Entry { at, number: self.count, scheduled }));
    }

    /// The next event that is due by then.
    pub fn next(&mut self, until: Millis) -> Option<(Millis, Scheduled)> {
        if self.queue.peek()?.0.at > until {
            return None;
        }
        self.queue.pop().map(|Reverse(entry)| (entry.at, entry.scheduled))
    }
}
