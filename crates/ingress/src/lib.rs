//! The real ingress: sockets round the decision module. Nothing is decided here; a driver for each pool
//! carries out its module's actions and the other files turn one kind of socket each into its events.
//!
//! [`platform`] is one pool in the form that the platform expects, [`service`] several of them in one process.

#![allow(
    clippy::allow_attributes_without_reason,
    clippy::let_underscore_must_use,
    clippy::match_wildcard_for_single_variants,
    clippy::needless_pass_by_value,
    clippy::redundant_closure_for_method_calls,
    clippy::too_many_lines,
    clippy::unused_self,
    clippy::wildcard_imports,
    missing_docs,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod account;
mod backend;
mod class_plan_indices;
pub mod config;
mod connections;
mod console;
mod consult;
mod counter;
mod discovery;
mod driver;
mod duties;
mod embedded;
mod exchange_port;
mod follow;
mod framing;
mod guest;
mod handover;
mod nodes;
mod passed;
mod peers;
pub mod platform;
mod pool;
mod precheck;
mod prepared;
mod questions;
mod quota_headers;
mod request;
mod roaming;
mod router;
mod running;
mod server;
pub mod service;
mod sets;
mod socket;
mod starting;
mod streaming;
mod succession;
mod takeover;
mod tasks;
mod tenants;
mod watch;

use bytes::Bytes;
use discovery::TargetList;
use embedded::Link;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use pool::BytesReservation;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use streaming::{RequestBody, ResponseRemainder};
use tokio::sync::{mpsc, oneshot};
use violetyoke_decision::interface::{CustomerId, Event, Micros, Outcome, Report, RequestId, Settings};
use violetyoke_decision::view::QuotaState;
use violetyoke_shares::Member;

/// The largest body that is held whole.
const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// Microseconds of Unix time, read once and carried on by the monotonic clock. Window starts are part of
/// the counter's names, so all ingresses must number windows alike: the origin has to be one they share.
#[derive(Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros;
        Clock { origin: Instant::now(), unix }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.origin.elapsed().as_micros() as Micros
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// A client's request, checked and with its body whole.
pub(crate) struct ClientRequest {
    pub id: RequestId,
    pub arrived_at: Micros,
    pub budget: Micros,
    pub class: u16,
    pub plan: u16,
    pub customer: CustomerId,
    pub units: f64,
    pub spread: f64,
    pub first_ingress: f64,
    pub is_retry: bool,
    /// None: it only asks.
    pub forward: Option<Rc<ForwardedRequest>>,
    /// The number of its try's claim, if it is for this request to tell the outcome.
    pub claim: Option<u64>,
    /// The tenant that is charged for what the driver does with it.
    pub charged_member: Option<Member>,
    pub reply: oneshot::Sender<Reply>,
}

/// What goes on to a backend unchanged.
pub(crate) struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub wire_id: HeaderValue,
    pub body: RequestBody,
    /// Its body's part of the pool's bytes.
    pub _reservation: Option<BytesReservation>,
}

/// The one final answer to a client, and its quota where the pool tells of that.
pub(crate) struct Reply {
    pub answer: ClientAnswer,
    pub quota: Option<QuotaState>,
}

pub(crate) enum ClientAnswer {
    Complete(Bytes),
    /// Its first bytes, and the rest as it comes.
    Streaming(Bytes, ResponseRemainder),
    /// Trying again is harmless, after that long (0: nothing is said of it).
    Refused {
        retry_after: Micros,
    },
    Failed,
    /// It may proceed: one that only asked.
    Admitted,
}

/// What the sockets report to the driver.
pub(crate) enum Message {
    Request(ClientRequest),
    Abandoned(RequestId),
    AttemptEnded {
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        report: Report,
        body: Bytes,
        connection_event: Option<Event>,
    },
    /// A long answer has begun; it is the client's from here on.
    StreamingStarted {
        request: RequestId,
        attempt: u8,
        report: Report,
        first: Bytes,
        rest: ResponseRemainder,
    },
    CounterCallEnded {
        call: u64,
        outcome: Outcome,
        total: f64,
    },
    Targets(TargetList),
    /// The counter is there from now on.
    CounterReplaced(Link),
    PeerMessage {
        from: u32,
        data: Vec<u8>,
    },
    /// Classes and plans have changed, at the numbers they had.
    Reconfigure(Box<(Settings, config::Names)>),
    /// One that was let in and sent nowhere is taken back.
    Withdrawn(RequestId),
    /// To be added to a try's claim; who asks gets the total, or none if it is not to be had in time.
    AddToClaim {
        claim: u64,
        amount: f64,
        reply: Option<oneshot::Sender<Option<f64>>>,
    },
    /// Takes a node out by hand or puts it back; who asks learns whether there is such a node.
    SetManualEjection {
        node: String,
        ejected: bool,
        reply: oneshot::Sender<bool>,
    },
    /// The nodes that are out by hand, as another process of this ingress has left them.
    ManualEjections(BTreeMap<String, Micros>),
    /// All that is known, for a process that takes this one's place.
    ExportState(oneshot::Sender<Box<succession::Inheritance>>),
    /// The process whose place this one has taken is no more.
    PredecessorEnded,
    /// What was handed down: nobody came for it.
    ReclaimState(Box<succession::Inheritance>),
    /// No new requests come: end when all that are open are over.
    Retire,
}

pub(crate) type Messages = mpsc::UnboundedSender<Message>;
