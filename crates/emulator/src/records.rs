//! What those outside the system saw: clients, backends, the operator. Rules are judged by nothing else.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// Milliseconds since the world began.
pub type Millis = u64;

/// A try of a client.
#[derive(Clone, Debug)]
pub struct Try {
    pub id: String,
    /// Of which request, and which of its tries.
    pub request: usize,
    pub kind: usize,
    pub key: String,
    pub zone: usize,
    pub sent: Millis,
    pub ended: Option<Millis>,
    /// 0: no whole answer.
    pub status: u16,
    /// A success that is the backend's own, whole, and this try's.
    pub right: bool,
}

/// A request with all its tries.
#[derive(Clone, Debug)]
pub struct Request {
    pub kind: usize,
    pub tenant: String,
    pub zone: usize,
    pub first: Millis,
    pub served: Option<Millis>,
    /// It is within what its tenant may ask, by an even count.
    pub usual: bool,
}

/// A request that reached a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Millis,
    pub life: usize,
    pub id: String,
    pub tenant: Option<String>,
    pub path: String,
    pub ran: bool,
    /// It was meant for another life (421).
    pub elsewhere: bool,
}

/// A life of a backend.
#[derive(Clone, Debug)]
pub struct Life {
    pub id: String,
    pub service: usize,
    pub zone: usize,
    /// From when to when it is cold.
    pub cold: Vec<(Millis, Millis)>,
    /// Since when the platform's list shows that it leaves or is gone.
    pub drains: Option<Millis>,
}

/// An order of the operator.
#[derive(Clone, Debug)]
pub struct Order {
    pub what: What,
    pub sent: Millis,
    pub acked: Option<Millis>,
    /// Who acknowledged it.
    pub by: Option<SocketAddr>,
    pub refused: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// `keys`: those that it knows; `services`: where each kind of request goes.
    Configuration {
        version: u64,
        text: String,
        keys: Vec<String>,
        services: Vec<usize>,
        valid: bool,
    },
    Evacuate {
        zone: usize,
        empty: bool,
    },
}

#[derive(Debug, Default)]
pub struct Records {
    pub tries: Vec<Try>,
    pub requests: Vec<Request>,
    pub arrivals: Vec<Arrival>,
    pub lives: Vec<Life>,
    pub orders: Vec<Order>,
    pub read_back: Option<(u64, String)>,
    pub platform_calls: u64,
    /// Spans of trouble with any machine or link: rules with a time bound are judged outside them.
    pub troubles: Vec<(Millis, Millis)>,
}

/// Shared by all who see something.
#[derive(Clone)]
pub struct Notes {
    pub records: Rc<RefCell<Records>>,
    begun: Instant,
}

impl Notes {
    pub fn new() -> Notes {
        Notes { records: Rc::default(), begun: Instant::now() }
    }

    pub fn begun(&self) -> Instant {
        self.begun
    }

    pub fn now(&self) -> Millis {
        self.begun.elapsed().as_millis() as Millis
    }

    pub fn with<R>(&self, with: impl FnOnce(&mut Records) -> R) -> R {
        with(&mut self.records.borrow_mut())
    }
}

impl Default for Notes {
    fn default() -> Notes {
        Notes::new()
    }
}
