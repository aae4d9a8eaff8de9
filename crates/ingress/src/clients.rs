//! The table of client connections: how each of them stands, and which are closed to keep room for others.

use super::socket::Socket;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A connection on which no request is open may be closed after this time.
const MAY_CLOSE: Duration = Duration::from_millis(2000);
/// How long a client may take to come up with a whole head: it is owed an end within 3 s.
const HEAD_TIME: Duration = Duration::from_millis(2400);
/// How long a client that was told to go may take to do so.
const END_TIME: Duration = Duration::from_millis(5000);

pub struct Clients {
    places: RefCell<BTreeMap<u64, Rc<Place>>>,
    next: Cell<u64>,
    /// Connections above which idle ones are closed, and above which none is accepted.
    easy: usize,
    most: usize,
    pub freed: Notify,
}

/// One connection's entry.
pub struct Place {
    pub socket: Socket,
    stage: Cell<Stage>,
    since: Cell<Instant>,
    /// Bytes that had been read when the stage began.
    read: Cell<u64>,
    task: RefCell<Option<AbortHandle>>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The client has yet to say a whole head.
    Head,
    /// A request is open.
    Open,
    /// The last request has been answered.
    Idle,
    /// It has had its last answer and is drained until it closes.
    Ending,
    /// It is being closed.
    Closed,
}

impl Place {
    pub fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.since.set(Instant::now());
        self.read.set(self.socket.read());
    }

    pub fn started(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
    }

    fn close(&self) {
        self.stage.set(Stage::Closed);
        if let Some(task) = self.task.borrow().as_ref() {
            task.abort();
        }
    }
}

/// Takes the entry out of the table when the connection's task ends, however it does.
pub struct Ticket {
    clients: Rc<Clients>,
    number: u64,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.clients.places.borrow_mut().remove(&self.number);
        self.clients.freed.notify_one();
    }
}

impl Clients {
    pub fn new(sockets: usize) -> Rc<Clients> {
        Rc::new(Clients {
            places: RefCell::default(),
            next: Cell::new(0),
            easy: sockets * 7 / 16,
            most: sockets * 5 / 8,
            freed: Notify::new(),
        })
    }

    pub fn enter(self: &Rc<Clients>, socket: Socket) -> (Rc<Place>, Ticket) {
        let place = Rc::new(Place {
            socket,
            stage: Cell::new(Stage::Head),
            since: Cell::new(Instant::now()),
            read: Cell::new(0),
            task: RefCell::default(),
        });
        let number = self.next.replace(self.next.get() + 1);
        self.places.borrow_mut().insert(number, place.clone());
        (place, Ticket { clients: self.clone(), number })
    }

    pub fn count(&self) -> usize {
        self.places.borrow().len()
    }

    /// Whether so many are open that an answered client had better come again on a new connection, behind those
    /// that wait to be accepted.
    pub fn crowded(&self) -> bool {
        self.count() > self.easy
    }

    pub fn has_room(&self) -> bool {
        self.count() < self.most
    }

    /// Closes what has taken too long and, where many are open, the longest idle ones. Without this, clients
    /// that say nothing any more would hold every place for good, and nobody else would be accepted.
    pub fn tidy(&self) {
        let now = Instant::now();
        let places = self.places.borrow();
        let mut idle = Vec::new();
        for place in places.values() {
            if place.stage.get() == Stage::Idle && place.socket.read() > place.read.get() {
                place.enter(Stage::Head);
            }
            let age = now.saturating_duration_since(place.since.get());
            match place.stage.get() {
                Stage::Head if age >= HEAD_TIME => place.close(),
                Stage::Ending if age >= END_TIME => place.close(),
                Stage::Idle | Stage::Head if age >= MAY_CLOSE && !place.socket.blocked() => {
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
