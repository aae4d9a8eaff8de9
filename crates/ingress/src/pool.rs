//! One pool as the server sees it: what its requests are checked against, and the way to its driver.

use crate::precheck::Precheck;
use crate::request::Rules;
use crate::streaming::{ResponseInProgress, ResponseRemainder};
use crate::tasks::TaskSet;
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
pub type SharedCapacity = Rc<RefCell<CapacityPool>>;

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
    pub quota_headers: Cell<Fields>,
    bytes: Option<SharedCapacity>,
    /// Where its tasks take their turns, and its connections' tasks too; none: where they are.
    pub set: Option<Rc<TaskSet>>,
    retired: Cell<bool>,
    precheck: RefCell<Option<Rc<dyn Precheck>>>,
}

impl Pool {
    /// The only pool of a process: it shares nothing, and the platform bounds what it may use.
    pub fn standalone(rules: Rules, messages: Messages) -> Rc<Pool> {
        Rc::new(Pool::new(String::new(), 0, rules, messages, u32::MAX, None, None))
    }

    pub fn new(
        name: String,
        member: Member,
        rules: Rules,
        messages: Messages,
        most_open: u32,
        bytes: Option<SharedCapacity>,
        set: Option<Rc<TaskSet>>,
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
            quota_headers: Cell::default(),
            bytes,
            set,
            retired: Cell::new(false),
            precheck: RefCell::default(),
        }
    }

    pub fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    pub fn update(&self, rules: Rules, most_open: u32) {
        *self.rules.borrow_mut() = Rc::new(rules);
        self.most_open.set(most_open);
    }

    /// What is found out before its module is asked.
    pub fn set_precheck(&self, precheck: Rc<dyn Precheck>) {
        *self.precheck.borrow_mut() = Some(precheck);
    }

    /// Its gate, where that has anything to find out about such a request.
    pub fn precheck(&self, named: bool, plan: impl FnOnce() -> u16) -> Option<Rc<dyn Precheck>> {
        let precheck = self.precheck.borrow();
        let precheck = precheck.as_ref()?;
        let rules = self.rules();
        let plan = rules.plans.get(usize::from(plan())).map_or("", String::as_str);
        precheck.applies_to(named, plan).then(|| precheck.clone())
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
    pub fn open_request(self: &Rc<Pool>) -> Option<OpenRequest> {
        if self.open.get() >= self.most_open.get() {
            return None;
        }
        self.open.set(self.open.get() + 1);
        Some(OpenRequest { pool: self.clone() })
    }

    pub fn open_requests(&self) -> u32 {
        self.open.get()
    }

    /// A number for the driver, of a request that has no name.
    pub fn next_request_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }

    /// A number for the driver, and the client's own id, which no other open request may have: the same id
    /// twice is one request twice, and the second copy could run beside the first.
    pub fn register_request(self: &Rc<Pool>, wire_id: &HeaderValue) -> Option<RegisteredRequest> {
        self.wire_ids.borrow_mut().insert(wire_id.clone()).then(|| {
            let id = self.next_request_id();
            RegisteredRequest { pool: self.clone(), id, wire_id: wire_id.clone(), over: false }
        })
    }

    /// Bytes of a body that is about to be read, of the pool's or of a tenant's; none: there is no room for it.
    pub fn reserve_bytes(&self, member: Member, amount: u64) -> Option<BytesReservation> {
        let Some(bytes) = &self.bytes else {
            return Some(BytesReservation { capacity: None, member: 0, amount: 0 });
        };
        let fits = bytes.borrow_mut().try_acquire(member, amount);
        fits.then(|| BytesReservation { capacity: Some(bytes.clone()), member, amount })
    }

    /// Bytes of an answer that is there already: it is passed on, and what comes next finds less room.
    pub fn reserve_bytes_unchecked(&self, member: Member, amount: u64) -> BytesReservation {
        if let Some(bytes) = &self.bytes {
            bytes.borrow_mut().acquire_unchecked(member, amount);
        }
        BytesReservation { capacity: self.bytes.clone(), member, amount }
    }
}

/// The place of an open request.
pub struct OpenRequest {
    pool: Rc<Pool>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
        if self.pool.retired.get() {
            self.pool.send(Message::Retire);
        }
    }
}

/// The names of an open request. Dropped before it is over, its client has gone away.
pub struct RegisteredRequest {
    pool: Rc<Pool>,
    pub id: RequestId,
    wire_id: HeaderValue,
    pub over: bool,
}

impl Drop for RegisteredRequest {
    fn drop(&mut self) {
        self.pool.wire_ids.borrow_mut().remove(&self.wire_id);
        if !self.over {
            self.pool.send(Message::Abandoned(self.id));
        }
    }
}

/// Bytes that are held, given back when dropped.
pub struct BytesReservation {
    capacity: Option<SharedCapacity>,
    member: Member,
    amount: u64,
}

impl Drop for BytesReservation {
    fn drop(&mut self) {
        if let Some(capacity) = &self.capacity {
            capacity.borrow_mut().release(self.member, self.amount);
        }
    }
}

/// A whole body on its way to a client, and its part of the pool's bytes until it has been written.
#[derive(Default)]
pub struct ResponseBody {
    bytes: Option<Bytes>,
    held: Option<BytesReservation>,
    rest: Option<(ResponseRemainder, ResponseInProgress)>,
}

impl ResponseBody {
    /// A long one: its first bytes, and the rest as it comes.
    pub fn long(first: Bytes, rest: ResponseRemainder, writing: ResponseInProgress) -> ResponseBody {
        ResponseBody { rest: Some((rest, writing)), ..ResponseBody::new(first, None) }
    }

    pub fn is_long(&self) -> bool {
        self.rest.is_some()
    }

    pub fn new(bytes: Bytes, held: Option<BytesReservation>) -> ResponseBody {
        ResponseBody { bytes: Some(bytes).filter(|bytes| !bytes.is_empty()), held, rest: None }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = self.bytes.take();
        if let (None, Some((rest, _))) = (&frame, &mut self.rest) {
            return rest.poll_chunk(cx).map(|piece| Some(piece?.map(Frame::data)));
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
