//! The adapter: what an exchange asks for becomes commands to the emulated world, which the world carries out once
//! the exchange has had its say.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_exchange::{
    AttemptId, BackendIds, CallId, CallStart, FinalResponse, Port, RequestSummary, SendProgress, Upload,
};

/// What the world is to do.
#[derive(Debug)]
pub enum Command {
    /// An attempt begins, on a kept connection to that epoch of the node, or on a new one.
    Attempt {
        serial: u64,
        id: AttemptId,
        node: usize,
        kept: Option<Kept>,
        sent: Rc<Cell<bool>>,
    },
    /// Nobody waits for an attempt any more; its connection is closed.
    Withdraw {
        serial: u64,
    },
    Count {
        call: u64,
        name: u64,
        amount: f64,
        life: Micros,
    },
    Answer {
        summary: RequestSummary,
        response: FinalResponse<()>,
    },
    /// Idle connections to that epoch of a node are closed.
    Close {
        node: usize,
        epoch: u32,
        many: u32,
    },
    Tell {
        to: Option<u16>,
        data: Vec<u8>,
    },
    /// An attempt has ended, as the decisions hear of it.
    Ended(Outcome),
    Defect,
}

/// A kept connection: the node's epoch that it goes to, and how long it was unused.
#[derive(Clone, Copy, Debug)]
pub struct Kept {
    pub epoch: u32,
    pub unused: Micros,
}

/// An attempt that is out.
#[derive(Debug)]
pub struct Flying {
    serial: u64,
    sent: Rc<Cell<bool>>,
}

/// The way to one node.
#[derive(Clone, Debug, Default)]
pub struct Line {
    /// Whether the list says that it takes requests.
    pub accepting: bool,
    /// Kept connections: since when unused, and the node's epoch that they go to.
    pub idle: Vec<(Micros, u32)>,
}

#[derive(Debug, Default)]
pub struct Wires {
    pub out: Vec<Command>,
    /// Numbers as this ingress gives them, and the emulated nodes behind them.
    numbers: BackendIds,
    places: HashMap<BackendId, usize>,
    pub lines: Vec<Line>,
    next_serial: u64,
    keep_idle: Micros,
}

impl Wires {
    /// Serials begin at `first`, so that no two lives of an ingress share one.
    pub fn new(first: u64) -> Wires {
        Wires { next_serial: first, ..Wires::default() }
    }

    pub fn next_serial(&self) -> u64 {
        self.next_serial
    }

    /// The number of a node, as the list first named it.
    pub fn number(&mut self, name: &str, place: usize) -> BackendId {
        let number = self.numbers.get_or_assign(name);
        self.places.insert(number, place);
        if self.lines.len() <= place {
            self.lines.resize(place + 1, Line::default());
        }
        number
    }

    pub fn line(&mut self, place: usize) -> &mut Line {
        if self.lines.len() <= place {
            self.lines.resize(place + 1, Line::default());
        }
        &mut self.lines[place]
    }

    /// Begins an attempt, on the connection that was last used.
    pub fn begin(&mut self, now: Micros, id: AttemptId, node: usize) -> Flying {
        let since = now.saturating_sub(self.keep_idle);
        self.close_older(node, since);
        let kept =
            self.line(node).idle.pop().map(|(at, epoch)| Kept { epoch, unused: now.saturating_sub(at) });
        self.next_serial += 1;
        let (serial, sent) = (self.next_serial, Rc::new(Cell::new(kept.is_some())));
        self.out.push(Command::Attempt { serial, id, node, kept, sent: sent.clone() });
        Flying { serial, sent }
    }

    fn close_older(&mut self, node: usize, since: Micros) {
        let idle = &mut self.line(node).idle;
        // Kept in the order of their last use.
        let old = idle.partition_point(|(at, _)| *at < since);
        let closed: Vec<(Micros, u32)> = idle.drain(..old).collect();
        self.closed(node, &closed);
    }

    fn closed(&mut self, node: usize, closed: &[(Micros, u32)]) {
        for group in closed.chunk_by(|one, other| one.1 == other.1) {
            let (epoch, many) = (group[0].1, group.len() as u32);
            self.out.push(Command::Close { node, epoch, many });
        }
    }

    /// A connection is free again.
    pub fn keep(&mut self, now: Micros, node: usize, epoch: u32) {
        let line = self.line(node);
        if line.accepting {
            line.idle.push((now, epoch));
        } else {
            self.closed(node, &[(now, epoch)]);
        }
    }

    /// All idle connections, as when the process ends.
    pub fn close_all(&mut self) {
        for node in 0..self.lines.len() {
            let closed = std::mem::take(&mut self.lines[node].idle);
            self.closed(node, &closed);
        }
    }

    pub fn idle(&self) -> usize {
        self.lines.iter().map(|line| line.idle.len()).sum()
    }
}

impl Port for Wires {
    /// A try is known by its request's number.
    type Client = ();
    type Response = ();
    type Attempt = Flying;
    type Call = ();
    type ClaimWaiter = ();

    fn start_attempt(
        &mut self,
        now: Micros,
        id: AttemptId,
        node: BackendId,
        _: &(),
        _: Micros,
    ) -> Option<Flying> {
        let place = *self.places.get(&node)?;
        self.line(place).accepting.then(|| self.begin(now, id, place))
    }

    fn send_progress(&self, attempt: &Flying) -> SendProgress {
        if attempt.sent.get() {
            SendProgress::Complete { last_byte_at: 0 }
        } else {
            SendProgress::Nothing
        }
    }

    fn cancel_attempt(&mut self, attempt: Flying) {
        self.out.push(Command::Withdraw { serial: attempt.serial });
    }

    fn upload(&self, (): &()) -> Option<Upload> {
        None
    }

    fn start_call(&mut self, _: Micros, call: CallId, name: u64, amount: f64, life: Micros) -> CallStart<()> {
        self.out.push(Command::Count { call, name, amount, life });
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
        self.out.push(Command::Answer { summary, response });
    }

    fn request_abandoned(&mut self, _: Micros, _: RequestId, _: u8) {}

    fn close_idle(&mut self, node: BackendId) {
        if let Some(place) = self.places.get(&node).copied() {
            let closed = std::mem::take(&mut self.line(place).idle);
            self.closed(place, &closed);
        }
    }

    fn set_max_idle(&mut self, max_idle: Micros) {
        self.keep_idle = max_idle;
    }

    fn send_to_peers(&mut self, _: Micros, to: Option<u16>, data: Vec<u8>) {
        self.out.push(Command::Tell { to, data });
    }

    fn log(&mut self, _: &str) {}

    fn report_defect(&mut self, _: &str) {
        self.out.push(Command::Defect);
    }

    fn sweep(&mut self, _: Micros, idle_since: Micros, _: &Gateway) {
        for node in 0..self.lines.len() {
            self.close_older(node, idle_since);
        }
    }

    fn on_attempt_end(&mut self, _: Micros, end: &AttemptEnd) {
        self.out.push(Command::Ended(end.outcome));
    }
}
