//! A pool as the server sees it: the rules for its requests, its limits, and the channel to its driver.

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
use violetyoke_config::QuotaHeaders;
use violetyoke_decision::interface::RequestId;
use violetyoke_shares::{CapacityPool, Member};

/// A limited resource that is shared by all pools and tenants of the process.
pub type SharedCapacity = Rc<RefCell<CapacityPool>>;

/// A pool, as shared by the server, the rate limit service and the tasks of its requests.
pub struct Pool {
    pub name: String,
    /// Identifies the pool among the members that share the process's capacity.
    pub member: Member,
    rules: RefCell<Rc<Rules>>,
    messages: Messages,
    next_id: Cell<RequestId>,
    /// Ids of the open requests as their clients sent them.
    open_client_request_ids: RefCell<HashSet<HeaderValue>>,
    /// Whether its driver has received a list of backends.
    pub has_backend_list: Cell<bool>,
    open_count: Cell<u32>,
    max_open_requests: Cell<u32>,
    /// Which quota headers its responses carry.
    pub quota_headers: Cell<QuotaHeaders>,
    /// The memory for buffered bodies that all pools share; `None` if it is not limited.
    buffer_capacity: Option<SharedCapacity>,
    /// The task set of the pool and its client connections; `None` where there are no task sets.
    pub set: Option<Rc<TaskSet>>,
    retired: Cell<bool>,
    precheck: RefCell<Option<Rc<dyn Precheck>>>,
}

impl Pool {
    /// The only pool of a process: it shares no capacity, and the platform limits the process as a whole.
    pub fn standalone(rules: Rules, messages: Messages) -> Rc<Pool> {
        Rc::new(Pool::new(String::new(), 0, rules, messages, u32::MAX, None, None))
    }

    pub fn new(
        name: String,
        member: Member,
        rules: Rules,
        messages: Messages,
        max_open_requests: u32,
        buffer_capacity: Option<SharedCapacity>,
        set: Option<Rc<TaskSet>>,
    ) -> Pool {
        Pool {
            name,
            member,
            rules: RefCell::new(Rc::new(rules)),
            messages,
            next_id: Cell::new(1),
            open_client_request_ids: RefCell::default(),
            has_backend_list: Cell::new(false),
            open_count: Cell::new(0),
            max_open_requests: Cell::new(max_open_requests),
            quota_headers: Cell::default(),
            buffer_capacity,
            set,
            retired: Cell::new(false),
            precheck: RefCell::default(),
        }
    }

    pub fn rules(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    pub fn update(&self, rules: Rules, max_open_requests: u32) {
        *self.rules.borrow_mut() = Rc::new(rules);
        self.max_open_requests.set(max_open_requests);
    }

    /// Sets the checks that run before a request reaches the decision module.
    pub fn set_precheck(&self, precheck: Rc<dyn Precheck>) {
        *self.precheck.borrow_mut() = Some(precheck);
    }

    /// Returns the prechecks if they apply to a request with this plan, with or without a named attempt.
    pub fn precheck(&self, has_attempt_name: bool, plan: impl FnOnce() -> u16) -> Option<Rc<dyn Precheck>> {
        let precheck = self.precheck.borrow();
        let precheck = precheck.as_ref()?;
        let rules = self.rules();
        let plan = rules.plans.get(usize::from(plan())).map_or("", String::as_str);
        precheck.applies_to(has_attempt_name, plan).then(|| precheck.clone())
    }

    /// Stops the pool once its open requests have been answered.
    pub fn retire(&self) {
        self.retired.set(true);
        self.send(Message::Retire);
    }

    pub fn messages(&self) -> Messages {
        self.messages.clone()
    }

    /// Sends a message to the driver; false if the driver has ended.
    pub fn send(&self, message: Message) -> bool {
        self.messages.send(message).is_ok()
    }

    /// Counts one more open request until the guard is dropped; `None` at the limit. This also bounds the
    /// driver's inbox, because a request has one message in it at a time.
    pub fn open_request(self: &Rc<Pool>) -> Option<OpenRequest> {
        if self.open_count.get() >= self.max_open_requests.get() {
            return None;
        }
        self.open_count.set(self.open_count.get() + 1);
        Some(OpenRequest { pool: self.clone() })
    }

    pub fn open_requests(&self) -> u32 {
        self.open_count.get()
    }

    /// Assigns the id by which the driver knows a request.
    pub fn next_request_id(&self) -> RequestId {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        id
    }

    /// Assigns an id for the driver and registers the client's own id, which no other open request may have:
    /// the same id twice means the same request twice, and the copy could run concurrently with the first.
    pub fn register_request(self: &Rc<Pool>, client_request_id: &HeaderValue) -> Option<RegisteredRequest> {
        self.open_client_request_ids.borrow_mut().insert(client_request_id.clone()).then(|| {
            let id = self.next_request_id();
            RegisteredRequest {
                pool: self.clone(),
                id,
                client_request_id: client_request_id.clone(),
                finished: false,
            }
        })
    }

    /// Reserves memory for a request body that is about to be read, from the pool's or a tenant's share; `None`
    /// if there is not enough.
    pub fn reserve_bytes(&self, member: Member, amount: u64) -> Option<BytesReservation> {
        let Some(capacity) = &self.buffer_capacity else {
            return Some(BytesReservation { capacity: None, member: 0, amount: 0 });
        };
        let fits = capacity.borrow_mut().try_acquire(member, amount);
        fits.then(|| BytesReservation { capacity: Some(capacity.clone()), member, amount })
    }

    /// Reserves memory for a response that has been received already, even beyond the limit; later reservations
    /// find less.
    pub fn reserve_bytes_unchecked(&self, member: Member, amount: u64) -> BytesReservation {
        if let Some(capacity) = &self.buffer_capacity {
            capacity.borrow_mut().acquire_unchecked(member, amount);
        }
        BytesReservation { capacity: self.buffer_capacity.clone(), member, amount }
    }
}

/// Counts an open request until it is dropped.
pub struct OpenRequest {
    pool: Rc<Pool>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.pool.open_count.set(self.pool.open_count.get() - 1);
        if self.pool.retired.get() {
            self.pool.send(Message::Retire);
        }
    }
}

/// The ids of an open request. If it is dropped before `finished` is set, the client has disconnected and the
/// driver is told to abandon the request.
pub struct RegisteredRequest {
    pool: Rc<Pool>,
    pub id: RequestId,
    client_request_id: HeaderValue,
    pub finished: bool,
}

impl Drop for RegisteredRequest {
    fn drop(&mut self) {
        self.pool.open_client_request_ids.borrow_mut().remove(&self.client_request_id);
        if !self.finished {
            self.pool.send(Message::Abandoned(self.id));
        }
    }
}

/// Reserved memory, released when dropped.
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

/// The body of a response to a client, with the memory reserved for it until it has been written.
#[derive(Default)]
pub struct ResponseBody {
    bytes: Option<Bytes>,
    reservation: Option<BytesReservation>,
    rest: Option<(ResponseRemainder, ResponseInProgress)>,
}

impl ResponseBody {
    /// A streamed body: its first bytes, and the rest as it arrives.
    pub fn streaming(first: Bytes, rest: ResponseRemainder, in_progress: ResponseInProgress) -> ResponseBody {
        ResponseBody { rest: Some((rest, in_progress)), ..ResponseBody::new(first, None) }
    }

    pub fn is_streaming(&self) -> bool {
        self.rest.is_some()
    }

    pub fn new(bytes: Bytes, reservation: Option<BytesReservation>) -> ResponseBody {
        ResponseBody { bytes: Some(bytes).filter(|bytes| !bytes.is_empty()), reservation, rest: None }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = self.bytes.take();
        if let (None, Some((rest, _))) = (&frame, &mut self.rest) {
            return rest.poll_chunk(cx).map(|chunk| Some(chunk?.map(Frame::data)));
        }
        if frame.is_none() {
            self.reservation = None;
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
