//! The ingress: networking around the decision module. Nothing is decided here. The driver of each pool carries
//! out the actions of the pool's decision module, and each of the other modules turns one kind of socket into
//! events.
//!
//! [`platform`] runs a single pool in the form that the platform expects, [`service`] runs several pools in one
//! process.

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

mod backend;
mod class_plan_indices;
pub mod config;
mod connections;
mod console;
mod counter_client;
mod decision_log;
mod discovery;
mod driver;
mod embedded_counter;
mod exchange_port;
mod external_limiter;
mod follow;
mod framing;
mod handover_folder;
mod handover_state;
mod inherited_listener;
mod migrating_task;
mod nodes;
mod peers;
pub mod platform;
mod poll_schedule;
mod pool;
mod precheck;
mod prepared;
mod quota_headers;
mod rate_limit_server;
mod request;
mod router;
mod running;
mod server;
pub mod service;
mod singleton_roles;
mod socket;
mod starting;
mod streaming;
mod takeover;
mod task_scheduler;
mod tasks;
mod tenant_access;
mod tenants;

use bytes::Bytes;
use discovery::TargetList;
use embedded_counter::CounterLocation;
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

/// Bytes of the largest body that is buffered; larger ones are streamed or rejected.
const MAX_BUFFERED_BODY: usize = 64 * 1024;

/// Microseconds of Unix time: the system clock is read once, at the start, and advanced by the monotonic clock.
/// Counter names contain the start of their window, so all ingresses need the same window boundaries and hence
/// the same origin.
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

/// A validated client request, or a rate limit query, on its way to the driver.
pub(crate) struct ClientRequest {
    pub id: RequestId,
    pub arrived_at: Micros,
    /// Time after `arrived_at` within which the client expects its response.
    pub timeout: Micros,
    pub class: u16,
    pub plan: u16,
    pub customer: CustomerId,
    pub units: f64,
    /// Number of ingresses among which the customer's requests are spread, and the index of the first one.
    pub gateway_count: f64,
    pub first_gateway: f64,
    pub is_retry: bool,
    /// The request to forward; `None` for a rate limit query, which only asks for admission.
    pub forward: Option<Rc<ForwardedRequest>>,
    /// The id of its attempt's claim, if this request has to record the outcome.
    pub claim: Option<u64>,
    /// The tenant that is charged for the driver's work on this request.
    pub charged_member: Option<Member>,
    pub reply: oneshot::Sender<Reply>,
}

/// The parts of a request that are forwarded to a backend unchanged.
pub(crate) struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub client_request_id: HeaderValue,
    pub body: RequestBody,
    /// The memory reserved for the body.
    pub _reservation: Option<BytesReservation>,
}

/// The final response to a client, with the state of its quota if the pool reports it.
pub(crate) struct Reply {
    pub answer: ClientAnswer,
    pub quota: Option<QuotaState>,
}

pub(crate) enum ClientAnswer {
    /// A backend's complete body.
    Complete(Bytes),
    /// A streamed body: its first bytes, and the rest as it arrives.
    Streaming(Bytes, ResponseRemainder),
    /// The request was not executed, so a retry is safe; `retry_after` is 0 if no time is known.
    Refused { retry_after: Micros },
    /// The request failed and may have been executed.
    Failed,
    /// A rate limit query was admitted.
    Admitted,
}

/// Messages to a pool's driver, which handles them in order.
pub(crate) enum Message {
    Request(ClientRequest),
    /// The client has disconnected, or an admitted rate limit query stays counted and needs no further
    /// tracking.
    Abandoned(RequestId),
    AttemptEnded {
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        report: Report,
        body: Bytes,
        connection_event: Option<Event>,
    },
    /// A streamed response has begun; from here on it goes directly to the client.
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
    /// A list of backends from discovery or the configuration.
    Targets(TargetList),
    /// The shared counter has a new address.
    CounterReplaced(CounterLocation),
    /// A message from another ingress, numbered by its position in the list of peers.
    FromPeer {
        from: u32,
        data: Vec<u8>,
    },
    /// The settings have changed; classes and plans keep their indices.
    Reconfigure(Box<(Settings, config::Names)>),
    /// An admitted rate limit query is undone; its units are given back.
    Withdrawn(RequestId),
    /// Adds to an attempt's claim. The reply is the total, or `None` if it does not arrive in time.
    AddToClaim {
        claim: u64,
        amount: f64,
        reply: Option<oneshot::Sender<Option<f64>>>,
    },
    /// Ejects or restores a backend for an operator. The reply tells whether there is such a backend.
    SetManualEjection {
        node: String,
        ejected: bool,
        reply: oneshot::Sender<bool>,
    },
    /// The manually ejected backends, as stored by another process of this ingress.
    ManualEjections(BTreeMap<String, Micros>),
    /// Exports the learned state for a process that takes over from this one.
    ExportState(oneshot::Sender<Box<handover_state::HandoverState>>),
    /// The process that this one takes over from has ended.
    PredecessorEnded,
    /// Reclaims exported state that no process has taken over.
    ReclaimState(Box<handover_state::HandoverState>),
    /// The pool has been removed: the driver ends once no request is open.
    Retire,
}

pub(crate) type Messages = mpsc::UnboundedSender<Message>;
