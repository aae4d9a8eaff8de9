//! One pool as the server sees it: what its requests are checked against, and the way to its driver.

use crate::gate::Gate;
use crate::long::{Rest, Writing};
use crate::request::Rules;
use crate::tasks::Set;
use crate::{Message, Messages};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use violetyoke_config::Fields;
use violetyoke_decision::interface::RequestId;
use violetyoke_shares::{CapacityPool, Member};

/// Something there is only so much of, shared by all pools.
pub type Shared = Rc<RefCell<CapacityPool>>;

pub struct Pool {
    pub name: String,
    /// Its number among those that share the process.
    pub member: Member,
    rules: RefCell<Rc<Rules>>,
    messages: Messages,
    next_id: Cell<RequestId>,
    /// Ids of the requests that are open, as clients sent them.
    wire_ids: RefCell<HashSet<HeaderValue>>,
    /// Whether its driver has a list of nodes.
    pub ready: Cell<bool>,
    open: Cell<u32>,
    most_open: Cell<u32>,
    pub fields: Cell<Fields>,
    bytes: Option<Shared>,
    /// Where its tasks take their turns, and its connections' tasks too; none: where they are.
    pub set: Option<Rc<Set>>,
    retired: Cell<bool>,
    gate: RefCell<Option<Rc<dyn Gate>>>,
}

impl Pool {
    /// The only pool of a process: it shares nothing, and the platform bounds what it may use.
    pub fn alone(rules: Rules, messages: Messages) -> Rc<Pool> {
        Rc::new(Pool::new(String::new(), 0, rules, messages, u32::MAX, None, None))
    }

    pub fn new(
        name: String,
        member: Member,
        rules: Rules,
        messages: Messages,
        most_open: u32,
        bytes: Option<Shared>,
        set: Option<Rc<Set>>,
    ) -> Pool {
        Pool {
            name,
            member,
            rules: RefCell::new(Rc::new(rules)),
            messages,
            next_id: Cell::new(1),
            wire_ids: RefCell::default(),
            ready: Cell::new(false),
            open: Cell::new(0),
            most_open: Cell::new(most_open),
            fields: Cell::default(),
            bytes,
            set,
            retired: Cell::new(false),
            gate: RefCell::default(),
        }
    }

    pub fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    pub fn change(&self, rules: Rules, most_open: u32) {
        *self.rules.borrow_mut() = Rc::new(rules);
        self.most_open.set(most_open);
    }

    /// What is found out before its module is asked.
    pub fn set_gate(&self, gate: Rc<dyn Gate>) {
        *self.gate.borrow_mut() = Some(gate);
    }

    /// Its gate, where that has anything to find out about such a request.
    pub fn gate(&self, named: bool, plan: impl FnOnce() -> u16) -> Option<Rc<dyn Gate>> {
        let gate = self.gate.borrow();
        let gate = gate.as_ref()?;
        let rules = self.rules();
        let plan = rules.plans.get(usize::from(plan())).map_or("", String::as_str);
        gate.wants(named, plan).then(|| gate.clone())
    }

    /// What it takes no more requests from then on; those that it has are answered.
    pub fn retire(&self) {
        self.retired.set(true);
        self.send(Message::Retire);
    }

    pub fn messages(&self) -> Messages {
        self.messages.clone()
    }

    /// Tells the driver; false if that is no more.
    pub fn send(&self, message: Message) -> bool {
        self.messages.send(message).is_ok()
    }

    /// A place for one more request, for as long as it is open. Bounds the driver's inbox too: a request has
    /// one thing to tell at a time.
    pub fn enter(self: &Rc<Pool>) -> Option<Entry> {
        if self.open.get() >= self.most_open.get() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(Entry { pool: self.clone() })
    }

    pub fn open(&self) -> u32 {
        self.open.get()
    }

    /// A number for the driver, of a request that has no name.
    pub fn number(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }

    /// A number for the driver, and the client's own id, which no other open request may have: the same id
    /// twice is one request twice, and the second copy could run beside the first.
    pub fn name_request(self: &Rc<Pool>, wire_id: &HeaderValue) -> Option<Named> {
        self.wire_ids.borrow_mut().insert(wire_id.clone()).then(|| {
            let id = self.number();
            Named { pool: self.clone(), id, wire_id: wire_id.clone(), over: false }
        })
    }

    /// Bytes of a body that is about to be read, of the pool's or of a tenant's; none: there is no room for it.
    pub fn hold(&self, member: Member, amount: u64) -> Option<Held> {
        let Some(bytes) = &self.bytes else { return Some(Held { capacity: None, member: 0, amount: 0 }) };
        let fits = bytes.borrow_mut().try_acquire(member, amount);
        fits.then(|| Held { capacity: Some(bytes.clone()), member, amount })
    }

    /// Bytes of an answer that is there already: it is passed on, and what comes next finds less room.
    pub fn hold_anyway(&self, member: Member, amount: u64) -> Held {
        if let Some(bytes) = &self.bytes {
            bytes.borrow_mut().acquire_unchecked(member, amount);
        }
        Held { capacity: self.bytes.clone(), member, amount }
    }
}

/// The place of an open request.
pub struct Entry {
    pool: Rc<Pool>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        if self.pool.retired.get() {
            self.pool.send(Message::Retire);
        }
    }
}

/// The names of an open request. Dropped before it is over, its client has gone away.
pub struct Named {
    pool: Rc<Pool>,
    pub id: RequestId,
    wire_id: HeaderValue,
    pub over: bool,
}

impl Drop for Named {
    fn drop(&mut self) {
        self.pool.wire_ids.borrow_mut().remove(&self.wire_id);
        if !self.over {
            self.pool.send(Message::Abandoned(self.id));
        }
    }
}

/// Bytes that are held, given back when dropped.
pub struct Held {
    capacity: Option<Shared>,
    member: Member,
    amount: u64,
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(capacity) = &self.capacity {
            capacity.borrow_mut().release(self.member, self.amount);
        }
    }
}

/// A whole body on its way to a client, and its part of the pool's bytes until it has been written.
#[derive(Default)]
pub struct Whole {
    bytes: Option<Bytes>,
    held: Option<Held>,
    rest: Option<(Rest, Writing)>,
}

impl Whole {
    /// A long one: its first bytes, and the rest as it comes.
    pub fn long(first: Bytes, rest: Rest, writing: Writing) -> Whole {
        Whole { rest: Some((rest, writing)), ..Whole::new(first, None) }
    }

    pub fn is_long(&self) -> bool {
        self.rest.is_some()
    }

    pub fn new(bytes: Bytes, held: Option<Held>) -> Whole {
        Whole { bytes: Some(bytes).filter(|bytes| !bytes.is_empty()), held, rest: None }
    }
}

impl Body for Whole {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = self.bytes.take();
        if let (None, Some((rest, _))) = (&frame, &mut self.rest) {
            return rest.poll_piece(cx).map(|piece| Some(piece?.map(Frame::data)));
        }
        if frame.is_none() {
            self.held = None;
        }
        Poll::Ready(frame.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        if let Some((rest, _)) = &self.rest {
            return rest.size_hint();
        }
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
