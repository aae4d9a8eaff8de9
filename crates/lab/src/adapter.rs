//! The adapter between an exchange and the emulated world: it queues the exchange's requests as commands, which the
//! world executes when the exchange returns.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_exchange::{
    AttemptId, BackendIds, CallId, CallStart, FinalResponse, Port, RequestSummary, SendProgress, Upload,
};

/// A command to the world.
#[derive(Debug)]
pub enum Command {
    /// Starts an attempt, on a kept connection or on a new one.
    Attempt {
        serial: u64,
        id: AttemptId,
        node: usize,
        kept: Option<Kept>,
        sent: Rc<Cell<bool>>,
    },
    /// Cancels an attempt and closes its connection.
    Cancel {
        serial: u64,
    },
    CounterCall {
        call: u64,
        name: u64,
        amount: f64,
        ttl: Micros,
    },
    Answer {
        summary: RequestSummary,
        response: FinalResponse<()>,
    },
    /// Closes idle connections to a node of this epoch.
    Close {
        node: usize,
        epoch: u32,
        connections: u32,
    },
    SendMessage {
        to: Option<u16>,
        data: Vec<u8>,
    },
    /// The decision module was notified of the end of an attempt.
    AttemptEnded(Outcome),
    Defect,
}

/// A kept connection: the epoch of its node, and how long it was idle.
#[derive(Clone, Copy, Debug)]
pub struct Kept {
    pub epoch: u32,
    pub idle_time: Micros,
}

/// A handle of an attempt in flight.
#[derive(Debug)]
pub struct AttemptHandle {
    serial: u64,
    sent: Rc<Cell<bool>>,
}

/// The connections to one node.
#[derive(Clone, Debug, Default)]
pub struct NodeConnections {
    /// Whether the list of nodes says that the node accepts requests.
    pub accepting: bool,
    /// Kept connections: when they became idle, and the epoch of their node.
    pub idle: Vec<(Micros, u32)>,
}

#[derive(Debug, Default)]
pub struct Adapter {
    pub commands: Vec<Command>,
    /// Ids that this ingress assigns to nodes, and the index of the emulated node for each.
    numbers: BackendIds,
    node_indexes: HashMap<BackendId, usize>,
    pub nodes: Vec<NodeConnections>,
    next_serial: u64,
    keep_idle: Micros,
}

impl Adapter {
    /// Serials start after `first`, so that incarnations of an ingress don't share serials.
    pub fn new(first: u64) -> Adapter {
        Adapter { next_serial: first, ..Adapter::default() }
    }

    pub fn next_serial(&self) -> u64 {
        self.next_serial
    }

    /// The id of a node, assigned when a list first names it.
    pub fn number(&mut self, name: &str, node_index: usize) -> BackendId {
        let number = self.numbers.get_or_assign(name);
        self.node_indexes.insert(number, node_index);
        if self.nodes.len() <= node_index {
            self.nodes.resize(node_index + 1, NodeConnections::default());
        }
        number
    }

    pub fn connections_to(&mut self, node_index: usize) -> &mut NodeConnections {
        if self.nodes.len() <= node_index {
            self.nodes.resize(node_index + 1, NodeConnections::default());
        }
        &mut self.nodes[node_index]
    }

    /// Starts an attempt, on the most recently used kept connection if there is one.
    pub fn begin(&mut self, now: Micros, id: AttemptId, node: usize) -> AttemptHandle {
        let since = now.saturating_sub(self.keep_idle);
        self.close_older(node, since);
        let kept = self
            .connections_to(node)
            .idle
            .pop()
            .map(|(at, epoch)| Kept { epoch, idle_time: now.saturating_sub(at) });
        self.next_serial += 1;
        let (serial, sent) = (self.next_serial, Rc::new(Cell::new(kept.is_some())));
        self.commands.push(Command::Attempt { serial, id, node, kept, sent: sent.clone() });
        AttemptHandle { serial, sent }
    }

    fn close_older(&mut self, node: usize, since: Micros) {
        let idle = &mut self.connections_to(node).idle;
        // Ordered by the time of the last use.
        let old = idle.partition_point(|(at, _)| *at < since);
        let closed: Vec<(Micros, u32)> = idle.drain(..old).collect();
        self.closed(node, &closed);
    }

    fn closed(&mut self, node: usize, closed: &[(Micros, u32)]) {
        for group in closed.chunk_by(|one, other| one.1 == other.1) {
            let (epoch, connections) = (group[0].1, group.len() as u32);
            self.commands.push(Command::Close { node, epoch, connections });
        }
    }

    /// Keeps a connection that has become idle, or closes it if the node accepts no requests.
    pub fn keep(&mut self, now: Micros, node: usize, epoch: u32) {
        let connections = self.connections_to(node);
        if connections.accepting {
            connections.idle.push((now, epoch));
        } else {
            self.closed(node, &[(now, epoch)]);
        }
    }

    /// Closes all idle connections, as when the process ends.
    pub fn close_all(&mut self) {
        for node in 0..self.nodes.len() {
            let closed = std::mem::take(&mut self.nodes[node].idle);
            self.closed(node, &closed);
        }
    }

    pub fn idle(&self) -> usize {
        self.nodes.iter().map(|connections| connections.idle.len()).sum()
    }
}

impl Port for Adapter {
    /// A try is identified by its request id.
    type Client = ();
    type Response = ();
    type Attempt = AttemptHandle;
    type Call = ();
    type ClaimWaiter = ();

    fn start_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        node: BackendId,
        _: &(),
        _: Micros,
    ) -> Option<AttemptHandle> {
        let node_index = *self.node_indexes.get(&node)?;
        self.connections_to(node_index).accepting.then(|| self.begin(now, id, node_index))
    }

    fn send_progress(&self, attempt: &AttemptHandle) -> SendProgress {
        if attempt.sent.get() {
            SendProgress::Complete { last_byte_at: 0 }
        } else {
            SendProgress::Nothing
        }
    }

    fn cancel_attempt(&mut self, attempt: AttemptHandle) {
        self.commands.push(Command::Cancel { serial: attempt.serial });
    }

    fn upload(&self, (): &()) -> Option<Upload> {
        None
    }

    fn start_call(&mut self, _: Micros, call: CallId, name: u64, amount: f64, ttl: Micros) -> CallStart<()> {
        self.commands.push(Command::CounterCall { call, name, amount, ttl });
        CallStart::Pending(())
    }

    fn may_have_been_sent(&self, (): &()) -> bool {
        true
    }

    fn report_claim(&mut self, (): (), _: Option<f64>) {}

    fn wants_quota(&self, (): &()) -> bool {
        false
    }

    fn respond(&mut self, _: Micros, summary: RequestSummary, (): (), response: FinalResponse<()>) {
        self.commands.push(Command::Answer { summary, response });
    }

    fn request_abandoned(&mut self, _: Micros, _: RequestId, _: u8) {}

    fn close_idle(&mut self, node: BackendId) {
        if let Some(node_index) = self.node_indexes.get(&node).copied() {
            let closed = std::mem::take(&mut self.connections_to(node_index).idle);
            self.closed(node_index, &closed);
        }
    }

    fn set_max_idle(&mut self, max_idle: Micros) {
        self.keep_idle = max_idle;
    }

    fn send_to_peers(&mut self, _: Micros, to: Option<u16>, data: Vec<u8>) {
        self.commands.push(Command::SendMessage { to, data });
    }

    fn log(&mut self, _: &str) {}

    fn report_defect(&mut self, _: &str) {
        self.commands.push(Command::Defect);
    }

    fn sweep(&mut self, _: Micros, idle_since: Micros, _: &Gateway) {
        for node in 0..self.nodes.len() {
            self.close_older(node, idle_since);
        }
    }

    fn on_attempt_end(&mut self, _: Micros, end: &AttemptEnd) {
        self.commands.push(Command::AttemptEnded(end.outcome));
    }
}
