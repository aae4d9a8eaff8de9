//! The observations of clients, backends, the platform and the operator. The rules are checked only against these.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::time::Instant;

/// Milliseconds since the simulation began.
pub type Millis = u64;

/// A backend's answer, which is unique to an execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// `X-Server-Seal`.
    pub seal: String,
    /// The body.
    pub body: String,
}

/// One attempt of a client at a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// `X-Attempt-Id`.
    pub id: String,
    /// The index of its request.
    pub request: usize,
    /// The index of the kind of request.
    pub kind: usize,
    /// The credential that the attempt was sent with.
    pub key: String,
    /// `X-Operation-Key`.
    pub operation_key: Option<String>,
    /// The client's zone.
    pub zone: usize,
    /// When the attempt was sent.
    pub sent: Millis,
    /// When the attempt was answered or given up.
    pub ended: Option<Millis>,
    /// The status of the response; 0 if there was no complete response.
    pub status: u16,
    /// Whether the response is a complete success from a backend and belongs to this attempt.
    pub is_valid: bool,
    /// The answer, if the response was a success.
    pub answer: Option<Answer>,
}

/// A client's request, over all its attempts.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The index of its kind of request.
    pub kind: usize,
    /// The tenant that sent it.
    pub tenant: String,
    /// The client's zone.
    pub zone: usize,
    /// The operation key of all its attempts.
    pub operation_key: Option<String>,
    /// When its first attempt was sent.
    pub first_sent: Millis,
    /// When the first valid response arrived.
    pub served_at: Option<Millis>,
    /// Whether the system has to serve the request: it was within its zone's even share of the tenant's usual rate,
    /// with a margin, and its credential was not rejected.
    pub is_owed: bool,
}

/// A request that reached a backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When the request arrived.
    pub at: Millis,
    /// The index of the backend's incarnation.
    pub incarnation: usize,
    /// `X-Attempt-Id`.
    pub id: String,
    /// `X-Tenant`.
    pub tenant: Option<String>,
    /// The path.
    pub path: String,
    /// Whether the request was executed.
    pub was_executed: bool,
    /// The backend's answer after the execution; `None` if the execution was aborted or the answer was lost.
    pub answer: Option<Answer>,
    /// Whether the request was addressed to another incarnation, and answered with 421.
    pub was_misdirected: bool,
}

/// One incarnation of a backend: a process from its start to its end.
#[derive(Clone, Debug)]
pub struct Incarnation {
    /// Its id.
    pub id: String,
    /// The index of its service.
    pub service: usize,
    /// Its zone.
    pub zone: usize,
    /// Spans of slow start, as start and end times.
    pub slow_starts: Vec<(Millis, Millis)>,
    /// When the platform's list first showed the backend as draining, or no longer showed it.
    pub draining_since: Option<Millis>,
}

/// An operator's command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Replaces the configuration.
    Configuration {
        /// Its version.
        version: u64,
        /// Its text.
        text: String,
        /// The credentials that the configuration contains.
        keys: Vec<String>,
        /// The index of the service that each kind of request goes to.
        services: Vec<usize>,
        /// Whether the configuration is valid.
        is_valid: bool,
    },
    /// Starts or ends the evacuation of a zone, whose backends get no requests meanwhile.
    Evacuate {
        /// The zone.
        zone: usize,
        /// Whether the evacuation starts; otherwise it ends.
        is_begin: bool,
    },
}

/// A command and its outcome.
#[derive(Clone, Debug)]
pub struct CommandRecord {
    /// The command.
    pub command: Command,
    /// When it was first sent.
    pub sent: Millis,
    /// When it was acknowledged.
    pub acknowledged_at: Option<Millis>,
    /// The registry that acknowledged the command.
    pub acknowledged_by: Option<SocketAddr>,
    /// Whether the command was rejected.
    pub was_rejected: bool,
}

/// All observations of a day.
#[derive(Debug, Default)]
pub struct Records {
    /// Attempts, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Requests, in the order of their first attempts.
    pub requests: Vec<ClientRequest>,
    /// Arrivals at backends, in their order.
    pub arrivals: Vec<Arrival>,
    /// Incarnations of backends, in the order of their starts.
    pub incarnations: Vec<Incarnation>,
    /// Commands, in the order in which they were sent.
    pub commands: Vec<CommandRecord>,
    /// Version and text of the configuration that the operator read at the end of the day.
    pub read_back: Option<(u64, String)>,
    /// The number of requests for a page of the platform's list.
    pub platform_calls: u64,
    /// Spans in which machines or links were faulty, as start and end times. Rules with a time bound are not checked in
    /// them.
    pub fault_spans: Vec<(Millis, Millis)>,
    /// The machines of processes that have ended by a panic.
    pub panicked: Vec<Ipv4Addr>,
}

/// A handle to the records, shared by all observers.
#[derive(Clone)]
pub(crate) struct Recorder {
    records: Rc<RefCell<Records>>,
    started_at: Instant,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder { records: Rc::default(), started_at: Instant::now() }
    }

    pub(crate) fn started_at(&self) -> Instant {
        self.started_at
    }

    pub(crate) fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis
    }

    /// Reads or changes the records.
    pub(crate) fn with<R>(&self, access: impl FnOnce(&mut Records) -> R) -> R {
        access(&mut self.records.borrow_mut())
    }

    /// Takes the records out.
    pub(crate) fn take(&self) -> Records {
        self.records.take()
    }
}
