//! The table of client connections: how each of them stands, and which are closed to keep room for others.
//!
//! A process of one pool bounds them all alike. Where several pools share the process, each connection counts
//! against the pool whose request it carried last, and against the [`DOOR`] until it has carried one; the one
//! that has been idle the longest makes room for a new one of the same pool.

use super::pool::SharedCapacity;
use super::socket::Socket;
use super::tasks::{TaskHandle, TaskSet};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use violetyoke_shares::Member;

/// A connection on which no request is open may be closed after this time.
const MAY_CLOSE: Duration = Duration::from_millis(2000);
/// How long a client may take to come up with a whole head: it is owed an end within 3 s.
const HEAD_TIME: Duration = Duration::from_millis(2400);
/// How long a new connection that is to go is left to say what it came for.
const TO_SPEAK: Duration = Duration::from_millis(300);
/// How long a client that was told to go may take to do so.
const END_TIME: Duration = Duration::from_millis(5000);

/// Those who are yet to say what they want.
pub const UNASSIGNED: Member = 0;

pub struct ConnectionTable {
    /// Descriptors, where pools share them.
    shared: Option<SharedCapacity>,
    places: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next: Cell<u64>,
    /// Connections above which idle ones are closed, and above which none is accepted.
    easy: usize,
    most: usize,
    pub freed: Notify,
}

/// One connection's entry.
pub struct ClientConnection {
    pub socket: Socket,
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// Bytes that had been read when the stage began.
    read: Cell<u64>,
    task: RefCell<Option<TaskHandle>>,
    /// Whom it counts against; none: it has been given back already.
    home: Cell<Option<Member>>,
    /// The set that its task is to go to, and how to wake it where it is.
    moving: RefCell<Option<Rc<TaskSet>>>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The client has yet to say a whole head.
    AwaitingHead,
    /// A request is open.
    Open,
    /// The last request has been answered.
    Idle,
    /// It has had its last answer and is drained until it closes.
    Draining,
    /// It is being closed.
    Closed,
}

impl ClientConnection {
    pub fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
        self.read.set(self.socket.bytes_read());
    }

    pub fn set_task(&self, task: TaskHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    /// The set that its task is to go to, told once.
    pub fn take_pending_move(&self) -> Option<Rc<TaskSet>> {
        self.moving.borrow_mut().take()
    }

    pub fn keep_waker(&self, waker: &Waker) {
        let mut kept = self.waker.borrow_mut();
        if !kept.as_ref().is_some_and(|kept| kept.will_wake(waker)) {
            *kept = Some(waker.clone());
        }
    }

    fn move_to(&self, set: Option<&Rc<TaskSet>>) {
        *self.moving.borrow_mut() = set.cloned();
    }

    fn idle(&self) -> bool {
        matches!(self.stage.get(), Stage::AwaitingHead | Stage::Idle | Stage::Draining)
    }

    fn close(&self) {
        self.stage.set(Stage::Closed);
        if let Some(task) = self.task.borrow().as_ref() {
            task.abort();
        }
    }
}

/// Takes the entry out of the table when the connection's task ends, however it does.
pub struct ConnectionGuard {
    clients: Rc<ConnectionTable>,
    number: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let place = self.clients.places.borrow_mut().remove(&self.number);
        if let Some(place) = place {
            self.clients.give(&place);
        }
        self.clients.freed.notify_one();
    }
}

impl ConnectionTable {
    /// Of a process of one pool.
    pub fn standalone(sockets: usize) -> Rc<ConnectionTable> {
        ConnectionTable::new(None, sockets * 7 / 16, sockets * 5 / 8)
    }

    /// Of a process whose pools share its descriptors.
    pub fn with_shared_capacity(capacity: SharedCapacity) -> Rc<ConnectionTable> {
        ConnectionTable::new(Some(capacity), usize::MAX, usize::MAX)
    }

    fn new(shared: Option<SharedCapacity>, easy: usize, most: usize) -> Rc<ConnectionTable> {
        let places = RefCell::default();
        Rc::new(ConnectionTable { shared, places, next: Cell::new(0), easy, most, freed: Notify::new() })
    }

    fn give(&self, place: &ClientConnection) {
        if let (Some(capacity), Some(home)) = (&self.shared, place.home.take()) {
            capacity.borrow_mut().release(home, 1);
        }
    }

    /// Takes a descriptor for a member, if need be from the connection of its own that has been idle the
    /// longest. That one's descriptor is closed a moment later, when its task is dropped.
    fn take(&self, capacity: &SharedCapacity, member: Member) -> bool {
        if capacity.borrow_mut().try_acquire(member, 1) {
            return true;
        }
        let places = self.places.borrow();
        let own = places.values().filter(|place| place.home.get() == Some(member) && place.idle());
        let Some(longest) = own.min_by_key(|place| place.since.get()) else { return false };
        self.give(longest);
        longest.close();
        capacity.borrow_mut().try_acquire(member, 1)
    }

    /// Counts a connection against the one whose request it carries now, a pool or a tenant, and lets its task go
    /// there. False: that one has all the connections that it may have.
    pub fn assign(
        &self,
        place: &ClientConnection,
        member: Member,
        set: impl FnOnce() -> Option<Rc<TaskSet>>,
    ) -> bool {
        let Some(capacity) = &self.shared else { return true };
        if place.home.get() == Some(member) {
            return true;
        }
        if !self.take(capacity, member) {
            return false;
        }
        self.give(place);
        place.home.set(Some(member));
        place.move_to(set().as_ref());
        true
    }

    /// Takes the connections of a pool that goes back to the door.
    pub fn unassign(&self, member: Member, door: &Rc<TaskSet>) {
        let Some(capacity) = &self.shared else { return };
        for place in self.places.borrow().values().filter(|place| place.home.get() == Some(member)) {
            self.give(place);
            capacity.borrow_mut().acquire_unchecked(UNASSIGNED, 1);
            place.home.set(Some(UNASSIGNED));
            place.move_to(Some(door));
            if let Some(waker) = place.waker.borrow().as_ref() {
                waker.wake_by_ref();
            }
        }
    }

    /// A place for a new connection; none: there are too many already.
    pub fn register(
        self: &Rc<ConnectionTable>,
        socket: Socket,
    ) -> Option<(Rc<ClientConnection>, ConnectionGuard)> {
        if self.shared.as_ref().is_some_and(|capacity| !self.take(capacity, UNASSIGNED)) {
            return None;
        }
        let place = Rc::new(ClientConnection {
            socket,
            stage: Cell::new(Stage::AwaitingHead),
            since: Cell::new(Instant::now()),
            read: Cell::new(0),
            task: RefCell::default(),
            home: Cell::new(self.shared.as_ref().map(|_| UNASSIGNED)),
            moving: RefCell::default(),
            waker: RefCell::default(),
        });
        let number = self.next.replace(self.next.get() + 1);
        self.places.borrow_mut().insert(number, place.clone());
        Some((place, ConnectionGuard { clients: self.clone(), number }))
    }

    pub fn count(&self) -> usize {
        self.places.borrow().len()
    }

    /// Whether so many are open that an answered client had better come again on a new connection, behind those
    /// that wait to be accepted.
    pub fn is_crowded(&self) -> bool {
        self.count() > self.easy
    }

    pub fn has_room(&self) -> bool {
        self.count() < self.most
    }

    /// Closes what is idle and has nothing of a request: one that crosses this is the client's to send again.
    pub fn close_idle(&self) {
        let places = self.places.borrow();
        let unread = |place: &ClientConnection| {
            place.socket.bytes_read() == place.read.get() && place.socket.has_no_input()
        };
        let quiet = places.values().filter(|place| {
            let waits = match place.stage.get() {
                Stage::Idle => !place.socket.is_write_blocked(),
                Stage::AwaitingHead => place.since.get().elapsed() >= TO_SPEAK,
                _ => false,
            };
            waits && unread(place)
        });
        quiet.for_each(|place| place.close());
    }

    /// Closes what has taken too long and, where many are open, the longest idle ones. Without this, clients
    /// that say nothing any more would hold every place for good, and nobody else would be accepted.
    pub fn close_overdue(&self) {
        let now = Instant::now();
        let places = self.places.borrow();
        let mut idle = Vec::new();
        for place in places.values() {
            if place.stage.get() == Stage::Idle && place.socket.bytes_read() > place.read.get() {
                // What had been read when it fell idle still tells whether part of a head has come.
                place.stage.set(Stage::AwaitingHead);
                place.since.set(now);
            }
            let age = now.saturating_duration_since(place.since.get());
            match place.stage.get() {
                Stage::AwaitingHead if age >= HEAD_TIME => place.close(),
                Stage::Draining if age >= END_TIME => place.close(),
                Stage::Idle | Stage::AwaitingHead if age >= MAY_CLOSE && !place.socket.is_write_blocked() => {
                    idle.push((place.since.get(), place));
                }
                _ => {}
            }
        }
        idle.sort_by_key(|(since, _)| *since);
        let too_many = places.len().saturating_sub(self.easy);
        idle.into_iter().take(too_many).for_each(|(_, place)| place.close());
    }
}
