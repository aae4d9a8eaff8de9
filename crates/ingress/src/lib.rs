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
mod clients;
pub mod config;
mod console;
mod consult;
mod counter;
mod discovery;
mod driver;
mod duties;
mod embedded;
mod fields;
mod follow;
mod framing;
mod front;
mod gate;
mod guest;
mod handover;
mod long;
mod nodes;
mod passed;
mod peers;
pub mod platform;
mod pool;
mod port;
mod prepared;
mod questions;
mod request;
mod roaming;
mod running;
mod server;
pub mod service;
mod sets;
mod slots;
mod socket;
mod starting;
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
use long::{Rest, Sending};
use pool::Held;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use violetyoke_decision::interface::{CustomerId, Event, Micros, Outcome, Report, RequestId, Settings};
use violetyoke_decision::view::QuotaState;
use violetyoke_shares::Member;

/// The largest body that is held whole.
const LARGEST_BODY: usize = 64 * 1024;

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
    pub arrived: Micros,
    pub budget: Micros,
    pub class: u16,
    pub plan: u16,
    pub customer: CustomerId,
    pub units: f64,
    pub spread: f64,
    pub first: f64,
    pub repeat: bool,
    /// None: it only asks.
    pub forward: Option<Rc<Forward>>,
    /// The number of its try's claim, if it is for this request to tell the outcome.
    pub claim: Option<u64>,
    /// The tenant that is charged for what the driver does with it.
    pub charged: Option<Member>,
    pub reply: oneshot::Sender<Reply>,
}

/// What goes on to a backend unchanged.
pub(crate) struct Forward {
    pub method: Method,
    pub uri: Uri,
    pub wire_id: HeaderValue,
    pub body: Sending,
    /// Its body's part of the pool's bytes.
    pub _held: Option<Held>,
}

/// The one final answer to a client, and its quota where the pool tells of that.
pub(crate) struct Reply {
    pub answer: Answer,
    pub standing: Option<QuotaState>,
}

pub(crate) enum Answer {
    Served(Bytes),
    /// Its first bytes, and the rest as it comes.
    Long(Bytes, Rest),
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
        carried: Option<Event>,
    },
    /// A long answer has begun; it is the client's from here on.
    Begun {
        request: RequestId,
        attempt: u8,
        report: Report,
        first: Bytes,
        rest: Rest,
    },
    Counted {
        call: u64,
        outcome: Outcome,
        total: f64,
    },
    Targets(TargetList),
    /// The counter is there from now on.
    CounterMoved(Link),
    Peer {
        from: u32,
        data: Vec<u8>,
    },
    /// Classes and plans have changed, at the numbers they had.
    Reconfigure(Box<(Settings, config::Names)>),
    /// One that was let in and sent nowhere is taken back.
    Withdrawn(RequestId),
    /// To be added to a try's claim; who asks gets the total, or none if it is not to be had in time.
    Claim {
        claim: u64,
        amount: f64,
        reply: Option<oneshot::Sender<Option<f64>>>,
    },
    /// Takes a node out by hand or puts it back; who asks learns whether there is such a node.
    Hand {
        node: String,
        out: bool,
        reply: oneshot::Sender<bool>,
    },
    /// The nodes that are out by hand, as another process of this ingress has left them.
    Out(BTreeMap<String, Micros>),
    /// All that is known, for a process that takes this one's place.
    HandDown(oneshot::Sender<Box<succession::Inheritance>>),
    /// The process whose place this one has taken is no more.
    Alone,
    /// What was handed down: nobody came for it.
    TakeBack(Box<succession::Inheritance>),
    /// No new requests come: end when all that are open are over.
    Retire,
}

pub(crate) type Messages = mpsc::UnboundedSender<Message>;
