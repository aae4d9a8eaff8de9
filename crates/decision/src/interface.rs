//! The words the decision module speaks: what a gateway is told at its start ([`Settings`]), what
//! happens to it ([`Event`], [`Outcome`]) and what it asks for ([`Action`]). No decision is taken here.
//!
//! Times are microseconds of one clock that only advances; it begins at an arbitrary value.
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
//! // No backend was ever listed, so the request ends refused, which is safe: it never ran.
//! assert!(actions.iter().any(|action| matches!(action, Action::Reject { request: 1, .. })));
//! ```

/// A time or a span in microseconds.
pub type Micros = u64;
/// A client try; never used twice.
pub type RequestId = u32;
/// A machine that serves requests. The same at every gateway, and kept over restarts of its process.
pub type BackendId = u32;
/// An account whose use is held to its plan's quota.
pub type CustomerId = u64;

/// What a gateway knows from its start on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of gateways that share the work.
    pub gateways: u16,
    /// This gateway's number among them, from 0.
    pub index: u16,
    /// The zone this gateway stands in.
    pub zone: u16,
    /// Shortest time between two batches of events.
    pub tick: Micros,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    /// The shared counter service, where there is one.
    pub counter: Option<Counter>,
    /// Period of the usage meter; 0: there is none.
    pub meter_period: Micros,
    /// Most units that one request can count.
    pub max_request_units: f64,
    /// A request's units are a guess; the true ones come with its first good answer.
    pub units_are_estimates: bool,
    pub limits: Limits,
    pub safety: Safety,
    /// Load figures that backends report, in the order of [`Report`]'s values.
    pub report_fields: Vec<ReportField>,
    pub report_via: ReportVia,
    pub discovery: Discovery,
    pub weights: Weights,
    /// What a second attempt in another zone, a message, a probe or wasted work costs.
    pub prices: Prices,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Time within which an answer earns its full worth.
    pub latency_target: Micros,
    /// The aim grows by this multiple of the request's own work.
    pub latency_target_stretch: f64,
    /// Longest time a client waits, over all its tries.
    pub deadline: Micros,
    pub idempotency: Idempotency,
    /// Which backends drop repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// For how long they do.
    pub dedup_window: Micros,
    /// Part of the worth that an answer after the aim still earns.
    pub late_value: f64,
    pub value: f64,
    pub streamed: bool,
    /// Requests of this class only ask whether they may proceed: they are sent nowhere.
    pub admission_only: bool,
}

/// What happens when a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// No harm inside the group that drops repeats, while it remembers.
    Deduplicated,
    /// Harm.
    AtMostOnce,
}

/// The backends that know of each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

impl DedupScope {
    /// What the backends of one group have in common.
    pub fn key(self, entry: &BackendEntry) -> u16 {
        match self {
            DedupScope::All => 0,
            DedupScope::Zone => entry.zone,
            DedupScope::Cell => entry.cell,
        }
    }
}

/// Quota of each customer of one plan, over all gateways together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Units a second; 0: no such quota.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts out at once; 0: no such quota.
    pub max_in_flight: f64,
    pub value: f64,
    /// Part of its worth that a request beyond the quota earns.
    pub over_quota_value: f64,
    /// Part of its worth that sending it on costs.
    pub over_quota_cost: f64,
    /// Hard ceiling in units a second; 0: none.
    pub hard_limit_rate: f64,
    pub hard_limit_burst: f64,
    pub hard_limit_slack: f64,
}

/// The shared counter service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Counter {
    /// A call without an answer by then ends as [`Outcome::Timeout`].
    pub timeout: Micros,
    /// Price of one call a request.
    pub fee: f64,
}

/// What the deployment allows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    pub max_attempts: u32,
    pub hedging: bool,
    pub cancellation: bool,
    pub probing: bool,
    pub peer_messages: bool,
    /// Messages a second that a gateway takes in.
    pub peer_message_rate: f64,
    /// Clients are told when to come again.
    pub retry_hints: bool,
    pub max_retry_after: Micros,
    pub clients_mark_retries: bool,
    pub max_open_requests: u32,
    pub connect_timeout: Micros,
    pub idle_timeout: Micros,
    pub streams_per_connection: u32,
    pub cpu_per_second: Micros,
    pub cpu_per_request: f64,
}

/// Figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Safety {
    /// A final answer may come this much after the client's deadline.
    pub deadline_slack: Micros,
    /// Word of a drain is heeded within this time.
    pub drain_grace: Micros,
    /// A fresh backend can do this part of its work or more.
    pub slow_start_share: f64,
    /// It is warm after this time.
    pub slow_start_time: Micros,
    /// It falls over when sent this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_time: Micros,
    /// Without a subscription, a gateway that has not asked for this long counts as told.
    pub max_poll_interval: Micros,
}

/// Points taken off the result.
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
    /// Requests in hand.
    Outstanding,
    /// Requests waiting.
    Backlog,
    Utilization,
    RecentMillis,
    Throughput,
    ErrorsPerSecond,
    /// A figure this version does not know.
    Other,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportVia {
    /// With answers and probe results.
    Responses,
    /// With probe results only.
    Probes,
    #[default]
    Never,
}

/// How word of the backends comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    #[default]
    Push,
    /// Only after [`Action::Subscribe`] or [`Action::FetchList`].
    Poll,
}

/// What [`BackendEntry::weight`] means.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    #[default]
    Absent,
    Nominal,
    Rough,
    Live,
}

/// Values of a load report, ordered as [`Settings::report_fields`]; empty: none came.
pub type Report = Vec<f64>;

/// One backend in a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendEntry {
    pub id: BackendId,
    pub zone: u16,
    pub kind: u8,
    pub cell: u16,
    pub condition: Condition,
    pub weight: f64,
    /// Time of its latest start; 0: long past.
    pub started_at: Micros,
}

/// What the list says of a backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    #[default]
    Gone,
    Ready,
    Draining,
}

/// What a list of backends is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    Full,
    /// The full list as this gateway last held it before a restart.
    Cached,
    /// A call failed or a subscription broke; the list held stays.
    Failed,
}

/// A client's try, as it arrives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    pub id: RequestId,
    pub class: u16,
    pub plan: u16,
    pub customer: CustomerId,
    /// Units it draws from the quota.
    pub units: f64,
    /// Number of gateways the customer's requests come through ...
    pub gateway_count: f64,
    /// ... and the first of them.
    pub first_gateway: f64,
    /// Time until the client gives this try up.
    pub timeout: Micros,
    pub is_retry: bool,
    pub is_write: bool,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen; did not run.
    Full,
    /// No answer in time; may have run, may still run.
    Timeout,
    /// No connection; did not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// A connection kept from earlier requests broke before a byte of the answer; may have run. It tells of
    /// that connection, which the backend or the network may have given up long before, and of nothing else.
    Stale,
    /// Withdrawn; may have run.
    Cancelled,
    /// Not sent at all.
    Moot,
    /// Held back for want of a descriptor or at word of a drain; did not run, and is no fault of the backend's.
    Withheld,
}

impl Outcome {
    /// Whether this outcome proves that nothing ran.
    pub fn not_executed(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Withheld)
    }
}

/// What happens to a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Backends {
        kind: ListKind,
        version: u64,
        entries: Vec<BackendEntry>,
    },
    Request(Request),
    Timer {
        token: u64,
    },
    /// The client left; the request is closed.
    Abandoned {
        request: RequestId,
    },
    /// A request that was let in and sent nowhere is taken back: it counts nothing, and is closed.
    Withdrawn {
        request: RequestId,
    },
    AttemptEnded(AttemptEnd),
    /// A connection has carried a request: how long it had been kept unused (none: it was new), and whether it
    /// broke before a byte of the answer.
    ConnectionUsed {
        idle: Option<Micros>,
        broken: bool,
    },
    /// A streamed answer has begun; the attempt is the client's from here on.
    ResponseStarted {
        request: RequestId,
        attempt: u8,
        backend: BackendId,
        elapsed: Micros,
    },
    CounterAnswered {
        counter_id: u64,
        outcome: Outcome,
        total: f64,
        elapsed: Micros,
    },
    Probed {
        backend: BackendId,
        outcome: Outcome,
        elapsed: Micros,
        report: Report,
    },
    PeerMessage {
        from: u32,
        data: Vec<u8>,
    },
}

/// The one result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    pub request: RequestId,
    pub attempt: u8,
    pub backend: BackendId,
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request is closed, by this outcome or earlier.
    pub closed: bool,
    /// True units, where they are settled later; else 0.
    pub actual_units: f64,
    /// 1 + the customer's metered use in percent of its quota; 0: none.
    pub usage: u16,
    pub report: Report,
}

/// The rule that gave a request up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The estimate on a total of the counter is past the limit.
    Quota,
    /// The estimate without a total is.
    Untold,
    /// What may be sent on untold is used up.
    Spare,
    /// The plan's cap on attempts out.
    Cap,
    /// Held for want of a backend for as long as is of use.
    Held,
    /// Its last attempt ended badly, and no other is permitted or can be in time.
    Attempt,
    /// Taken back after it was let in.
    Withdrawn,
    /// Of no class or plan that there is.
    Unknown,
}

/// What a gateway asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt; it is given up at `expires` (0: when the client gives up).
    Send {
        request: RequestId,
        backend: BackendId,
        expires: Micros,
    },
    /// A request that only asks may proceed. It stays open until it is abandoned or withdrawn.
    Admit {
        request: RequestId,
    },
    /// Final answer: not served, and trying again is harmless.
    Reject {
        request: RequestId,
        retry_after: Micros,
        reason: RejectionReason,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        request: RequestId,
        reason: RejectionReason,
    },
    /// Stop waiting for an attempt.
    Cancel {
        request: RequestId,
        attempt: u8,
    },
    Probe {
        backend: BackendId,
    },
    /// Close the idle connections to a backend.
    CloseIdle {
        backend: BackendId,
    },
    /// Use no connection to a backend that has been idle for longer.
    SetIdleTimeout {
        idle_timeout: Micros,
    },
    /// Send at most 256 bytes to one gateway, or to all others.
    SendPeerMessage {
        to: Option<u16>,
        data: Vec<u8>,
    },
    /// Add to a named count and learn its total; a new name lives for `life`.
    AddToCounter {
        counter_id: u64,
        amount: f64,
        ttl: Micros,
    },
    Timer {
        at: Micros,
        token: u64,
    },
    /// Subscribe to changes of the list of backends, or end that.
    Subscribe {
        on: bool,
    },
    FetchList,
    Log {
        text: String,
    },
    /// The decisions themselves have failed.
    InternalError {
        text: String,
    },
}
