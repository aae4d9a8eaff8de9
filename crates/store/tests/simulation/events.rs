//! The queue of simulated events, ordered by time.

use super::Millis;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use violetyoke_store::consensus::WriteNumber;
use violetyoke_store::operations::AppendNumber;
use violetyoke_transport::messages::{Envelope, OperationMessage, StoreNode};

/// A simulated event.
#[derive(Clone, Debug)]
pub enum Scheduled {
    /// A message arrives at a machine.
    Deliver { to: usize, envelope: Box<Envelope> },
    /// A message between operation replicas arrives at a machine.
    DeliverOperation { to: usize, from: Box<StoreNode>, message: Box<OperationMessage> },
    /// The operation log has synced an append that a process of this incarnation requested.
    Appended { to: usize, incarnation: u64, number: AppendNumber },
    /// The periodic tick of a store.
    Tick { to: usize },
    /// A disk has synced a write that a process of this incarnation requested.
    Synced { to: usize, incarnation: u64, number: WriteNumber },
    /// A disk reports a write as synced although it has dropped the write.
    SyncSkipped { to: usize, incarnation: u64, number: WriteNumber },
    /// An operator sends its next command or polls for a reply.
    OperatorTurn { operator: usize },
    /// All connections of a machine close: its links are blocked in both directions.
    DropConnections { machine: usize },
    /// A fault ends.
    EndFault { to: usize, fault: Fault },
}

/// A fault that ends at a scheduled time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is down.
    ProcessDown,
    /// Links of the machine are blocked.
    LinksBlocked,
    /// Links of the machine are slow.
    SlowLinks,
    /// The disk of the machine is slow.
    SlowDisk,
    /// Messages of one kind are lost on all links.
    MessageLoss,
    /// Replies to all operators are lost.
    ReplyLoss,
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
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// An event that is due.
pub struct Due {
    pub at: Millis,
    pub scheduled: Scheduled,
}

/// Events ordered by time; events of the same time stay in the order in which they were scheduled.
#[derive(Default)]
pub struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    count: u64,
}

impl EventQueue {
    pub fn push(&mut self, at: Millis, scheduled: Scheduled) {
        self.count += 1;
        self.heap.push(Reverse(Entry { at, number: self.count, scheduled }));
    }

    /// Takes the next event that is due at `until` or earlier.
    pub fn pop_due(&mut self, until: Millis) -> Option<Due> {
        if self.heap.peek()?.0.at > until {
            return None;
        }
        self.heap.pop().map(|Reverse(Entry { at, scheduled, .. })| Due { at, scheduled })
    }
}
