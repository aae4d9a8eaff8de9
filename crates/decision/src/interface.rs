//! The interface of the decision module: the settings of a gateway ([`Settings`]), the events that it handles
//! ([`Event`], [`Outcome`]) and the actions that it returns ([`Action`]). No decision is taken here.
//!
//! Times are microseconds of one monotonic clock with an arbitrary origin.
//!
//! ```
//! use violetyoke_decision::interface::{Action, Class, DedupScope, Event, Idempotency, Plan, Request, Settings};
//! use violetyoke_decision::Gateway;
//!
//! let class = Class {
//!     latency_target: 500_000, latency_target_stretch: 0.0, deadline: 2_000_000,
//!     idempotency: Idempotency::Idempotent, dedup_scope: DedupScope::All, dedup_window: 0,
//!     late_value: 0.0, value: 1.0, streamed: false, admission_only: false,
//! };
//! let plan = Plan { rate: 5.0, burst: 10.0, value: 1.0, ..Plan::default() };
//! let settings = Settings { gateways: 1, classes: vec![class], plans: vec![plan], ..Settings::default() };
//! let mut gateway = Gateway::new(settings, 7);
//! let request = Request {
//!     id: 1, class: 0, plan: 0, customer: 42, units: 1.0, gateway_count: 1.0, first_gateway: 0.0,
//!     timeout: 2_000_000, is_retry: false, is_write: false,
//! };
//! let mut actions = Vec::new();
//! gateway.handle(1_000_000, Event::Request(request), &mut actions);
//! gateway.handle(2_000_000, Event::Timer { token: 0 }, &mut actions);
//! // No backend was ever listed, so the request is rejected, which is safe: it was not executed.
//! assert!(actions.iter().any(|action| matches!(action, Action::Reject { request: 1, .. })));
//! ```

/// A time or a span in microseconds.
pub type Micros = u64;
/// A request as a client sends it; a retry by the client has another id. Ids are not reused.
pub type RequestId = u32;
/// A host that serves requests. Its id is the same at every gateway, and stays when its process restarts.
pub type BackendId = u32;
/// An account whose usage is limited by its plan's quota.
pub type CustomerId = u64;

/// Settings of a gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways that share the load.
    pub gateways: u16,
    /// Index of this gateway among them, from 0.
    pub index: u16,
    /// Zone of this gateway.
    pub zone: u16,
    /// Least time between two batches of events: the granularity of time.
    pub tick: Micros,
    /// Classes of requests, by index.
    pub classes: Vec<Class>,
    /// Plans of customers, by index.
    pub plans: Vec<Plan>,
    /// The counter service that all gateways share, if there is one.
    pub counter: Option<Counter>,
    /// Period of the usage meter; 0: none.
    pub meter_period: Micros,
    /// Most units of one request.
    pub max_request_units: f64,
    /// A request's units are an estimate; its first successful response states the actual ones.
    pub units_are_estimates: bool,
    /// Limits and features of the deployment.
    pub limits: Limits,
    /// Rules of the deployment on deadlines, slow start and overload.
    pub safety: Safety,
    /// Load figures that backends report, in the order of the values of a [`Report`].
    pub report_fields: Vec<ReportField>,
    /// How backends report their load.
    pub report_via: ReportVia,
    /// How the gateway learns of its backends.
    pub discovery: Discovery,
    /// Meaning of the weights of backends.
    pub weights: Weights,
    /// Costs of attempts in another zone, of messages, probes and wasted work.
    pub prices: Prices,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Response time up to which a response has its full value.
    pub latency_target: Micros,
    /// The latency target grows by this multiple of the request's own work.
    pub latency_target_stretch: f64,
    /// Longest time that a client waits, over all its retries.
    pub deadline: Micros,
    /// Whether a request may be executed twice.
    pub idempotency: Idempotency,
    /// Backends among which a repeated request is recognized by its key.
    pub dedup_scope: DedupScope,
    /// How long they remember a key.
    pub dedup_window: Micros,
    /// Part of the value that a response after the latency target still has.
    pub late_value: f64,
    /// Value of a response, to which the plan's value is a factor.
    pub value: f64,
    /// Responses are streamed.
    pub streamed: bool,
    /// Requests of this class are only checked against the quota and not sent to a backend.
    pub admission_only: bool,
}

/// Whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may.
    Idempotent,
    /// Only inside the [`DedupScope`] and while keys are remembered: a repeated request is recognized there.
    Deduplicated,
    /// It must not.
    AtMostOnce,
}

/// Backends that share the keys of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

impl DedupScope {
    /// The value that backends in the same scope have in common.
    pub fn key(self, entry: &BackendEntry) -> u16 {
        match self {
            DedupScope::All => 0,
            DedupScope::Zone => entry.zone,
            DedupScope::Cell => entry.cell,
        }
    }
}

/// Quota of each customer of a plan, over all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second; 0: no such quota.
    pub rate: f64,
    /// Units that may be used in a burst.
    pub burst: f64,
    /// Attempts in flight at a time; 0: no such quota.
    pub max_in_flight: f64,
    /// Factor on the value of a request.
    pub value: f64,
    /// Part of the value that a request over the quota has.
    pub over_quota_value: f64,
    /// Part of the value that sending it costs.
    pub over_quota_cost: f64,
    /// Hard limit, which must never be exceeded, in units a second; 0: none.
    pub hard_limit_rate: f64,
    /// Units that the hard limit permits in a burst.
    pub hard_limit_burst: f64,
    /// Units by which the hard limit may be exceeded without a violation.
    pub hard_limit_slack: f64,
}

/// The shared counter service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counter {
    /// Time after which a call without a response ends as [`Outcome::Timeout`].
    pub timeout: Micros,
    /// Cost of one call for a request.
    pub fee: f64,
}

/// Limits of the deployment, and the features that it permits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts of one request.
    pub max_attempts: u32,
    /// A request may have two attempts in flight.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Backends may be probed.
    pub probing: bool,
    /// Gateways may send messages to each other.
    pub peer_messages: bool,
    /// Messages a second that a gateway accepts from its peers.
    pub peer_message_rate: f64,
    /// Rejections state when the client may retry.
    pub retry_hints: bool,
    /// Longest time that a rejection may state.
    pub max_retry_after: Micros,
    /// Clients mark their retries ([`Request::is_retry`]).
    pub clients_mark_retries: bool,
    /// Requests that may be open at a time.
    pub max_open_requests: u32,
    /// Time-out of a new connection to a backend.
    pub connect_timeout: Micros,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Micros,
    /// Requests that a connection carries at a time.
    pub streams_per_connection: u32,
    /// Processor time that a gateway has in a second.
    pub cpu_per_second: Micros,
    /// Processor time that a request takes (us).
    pub cpu_per_request: f64,
}

/// Rules of the deployment, and the properties of backends that they assume.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Safety {
    /// Time after the client's deadline within which a final response is still permitted.
    pub deadline_slack: Micros,
    /// Time after the notification of a drain during which a backend may still get attempts.
    pub drain_grace: Micros,
    /// Least part of its full capacity that a backend has at its start.
    pub slow_start_share: f64,
    /// Time after which it has its full capacity.
    pub slow_start_time: Micros,
    /// Load, as a multiple of its current capacity, ...
    pub overload_multiple: f64,
    /// ... under which it fails if it lasts this long.
    pub overload_time: Micros,
    /// Without a subscription, a gateway that has not polled for this long counts as notified.
    pub max_poll_interval: Micros,
}

/// Costs of single actions, in the points of a run's score.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    pub cross_zone: f64,
    pub waste: f64,
    pub probe: f64,
    pub peer: f64,
    pub late_fail: f64,
    pub connection: f64,
    pub handshake: f64,
    pub discovery: f64,
}

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests that it has accepted and not finished.
    Outstanding,
    /// Requests that wait in its queue.
    Backlog,
    Utilization,
    RecentMillis,
    Throughput,
    ErrorsPerSecond,
    /// A figure that this version does not know.
    Other,
}

/// With what load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportVia {
    /// With responses and probe results.
    Responses,
    /// With probe results only.
    Probes,
    #[default]
    Never,
}

/// How lists of backends come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Without a call.
    #[default]
    Push,
    /// Only after [`Action::Subscribe`] or [`Action::FetchList`].
    Poll,
}

/// Meaning of [`BackendEntry::weight`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Weights say nothing.
    #[default]
    Absent,
    /// Nominal capacity.
    Nominal,
    /// Rough estimate of the capacity.
    Rough,
    /// Capacity as it changes.
    Live,
}

/// Values of a load report, in the order of [`Settings::report_fields`]; empty: no report.
pub type Report = Vec<f64>;

/// An entry of a list of backends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendEntry {
    pub id: BackendId,
    pub zone: u16,
    /// Kind of host.
    pub kind: u8,
    /// Cell inside its zone, see [`DedupScope::Cell`].
    pub cell: u16,
    pub condition: Condition,
    /// Relative capacity, see [`Weights`].
    pub weight: f64,
    /// Time of its latest start; 0: long ago.
    pub started_at: Micros,
}

/// State of a backend according to the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Gone,
    Ready,
    Draining,
}

/// Kind of a list of backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    Full,
    /// The complete list that this gateway had before a restart.
    Cached,
    /// A call or a subscription failed; the current list stays in use.
    Failed,
}

/// A request as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: u16,
    pub plan: u16,
    pub customer: CustomerId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Number of gateways that receive the customer's requests: a range of consecutive indices ...
    pub gateway_count: f64,
    /// ... that begins here.
    pub first_gateway: f64,
    /// Time after which the client abandons the request.
    pub timeout: Micros,
    /// The client marks it as a retry of an earlier request.
    pub is_retry: bool,
    /// It changes data.
    pub is_write: bool,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Succeeded.
    Ok,
    /// Error response; may have been executed.
    Error,
    /// Rejected for overload before execution; not executed.
    Full,
    /// No response in time; may have been executed, or may still be.
    Timeout,
    /// No connection; not executed.
    ConnectFailed,
    /// The connection broke; may have been executed.
    Reset,
    /// A reused connection broke before the first byte of a response; may have been executed. This says
    /// nothing about the backend: it or the network may have dropped the idle connection long before.
    Stale,
    /// Cancelled; may have been executed.
    Cancelled,
    /// Not sent, as the request may have no attempt any more; not executed.
    Moot,
    /// Not sent for want of a file descriptor or because the backend drains; not executed, and no failure of
    /// it.
    Withheld,
}

impl Outcome {
    /// Whether this outcome proves that the request was not executed.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Withheld)
    }
}

/// An event that a gateway handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of backends.
    Backends {
        kind: ListKind,
        version: u64,
        entries: Vec<BackendEntry>,
    },
    Request(Request),
    /// A timer of [`Action::Timer`] has expired.
    Timer {
        token: u64,
    },
    /// The client has disconnected; the request is closed.
    Abandoned {
        request: RequestId,
    },
    /// A request that was admitted and not sent is withdrawn: its units are taken back, and it is closed.
    Withdrawn {
        request: RequestId,
    },
    AttemptEnded(AttemptEnd),
    /// A connection has carried a request: how long it had been idle before (none: it was new), and whether
    /// it broke before the first byte of the response.
    ConnectionUsed {
        idle: Option<Micros>,
        broken: bool,
    },
    /// A streamed response has started: from now on the attempt can't be retried, and the request is closed.
    ResponseStarted {
        request: RequestId,
        attempt: u8,
        backend: BackendId,
        elapsed: Micros,
    },
    /// A call of [`Action::AddToCounter`] has ended; calls to one counter end in their order.
    CounterAnswered {
        counter_id: u64,
        outcome: Outcome,
        /// The counter's new total, if the outcome is [`Outcome::Ok`].
        total: f64,
        elapsed: Micros,
    },
    /// A probe has ended.
    Probed {
        backend: BackendId,
        outcome: Outcome,
        elapsed: Micros,
        report: Report,
    },
    /// A message of another gateway.
    PeerMessage {
        /// Index of the sender.
        from: u32,
        data: Vec<u8>,
    },
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    pub request: RequestId,
    /// Number of the attempt among those of its request, from 0.
    pub attempt: u8,
    pub backend: BackendId,
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request is closed, by this outcome or before.
    pub closed: bool,
    /// Actual units, if [`Settings::units_are_estimates`]; else 0.
    pub actual_units: f64,
    /// 1 + the customer's metered usage in percent of its quota; 0: not stated.
    pub usage: u16,
    pub report: Report,
}

/// Why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The estimate with a counter total is over the quota.
    Quota,
    /// The estimate without a counter total is over the quota.
    Untold,
    /// The allowance of units without a counter total is used up.
    Spare,
    /// The plan's limit on attempts in flight.
    Cap,
    /// No backend was available for as long as the request could be queued.
    Held,
    /// Its last attempt failed, and a retry is not permitted or can't be in time.
    Attempt,
    /// Withdrawn after it was admitted.
    Withdrawn,
    /// Its class or plan does not exist.
    Unknown,
}

/// An action that a gateway requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt, which times out at `expires` (0: when the client abandons the request).
    Send { request: RequestId, backend: BackendId, expires: Micros },
    /// Admit a request of an admission-only class. It stays open until it is abandoned or withdrawn.
    Admit { request: RequestId },
    /// Final response: not executed, or safe to repeat. The client may retry it after a time (0: not stated).
    Reject { request: RequestId, retry_after: Micros, reason: RejectionReason },
    /// Final response: failed; it may have been executed.
    Fail { request: RequestId, reason: RejectionReason },
    /// Cancel an attempt.
    Cancel { request: RequestId, attempt: u8 },
    /// Probe a backend.
    Probe { backend: BackendId },
    /// Close the idle connections to a backend.
    CloseIdle { backend: BackendId },
    /// Reuse no connection that has been idle for longer.
    SetIdleTimeout { idle_timeout: Micros },
    /// Send at most 256 bytes to one gateway, or to all others (none).
    SendPeerMessage { to: Option<u16>, data: Vec<u8> },
    /// Add to a counter of the counter service and read its total; a new counter expires after `ttl`.
    AddToCounter { counter_id: u64, amount: f64, ttl: Micros },
    /// Set a timer.
    Timer { at: Micros, token: u64 },
    /// Subscribe to changes of the list of backends, or unsubscribe.
    Subscribe { on: bool },
    /// Fetch the list of backends.
    FetchList,
    /// Write a log line.
    Log { text: String },
    /// Report an internal error of the decision module.
    InternalError { text: String },
}
