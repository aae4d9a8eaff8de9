//! A port that records its calls, and an exchange that uses it.

use violetyoke_decision::interface::{
    AttemptEnd, BackendEntry, BackendId, Class, Condition, Counter, DedupScope, Event, Idempotency, Limits,
    ListKind, Micros, Plan, Request, RequestId, Settings,
};
use violetyoke_decision::Gateway;
use violetyoke_exchange::{
    AcceptedRequest, AttemptId, CallId, CallStart, Exchange, FinalResponse, Port, RequestSummary,
    SendProgress, Upload,
};

pub(super) const START: Micros = 1_000_000_000;

/// A port with the same progress and upload for all requests. It records its calls.
pub(super) struct RecordingPort {
    /// The progress of all attempts.
    pub(super) progress: SendProgress,
    pub(super) upload: Option<Upload>,
    /// Whether backends accept attempts.
    pub(super) accepts: bool,
    pub(super) attempts: Vec<(AttemptId, BackendId)>,
    pub(super) cancelled: usize,
    pub(super) calls: Vec<(CallId, f64)>,
    /// Waiters of claims, with the totals that were reported to them.
    pub(super) claims: Vec<(&'static str, Option<f64>)>,
    pub(super) responses: Vec<(RequestSummary, FinalResponse<&'static str>)>,
    pub(super) ends: Vec<AttemptEnd>,
}

impl Port for RecordingPort {
    type Client = ();
    type Response = &'static str;
    type Attempt = ();
    type Call = ();
    type ClaimWaiter = &'static str;

    fn start_attempt(
        &mut self,
        _: Micros,
        id: AttemptId,
        backend: BackendId,
        (): &(),
        _: Micros,
    ) -> Option<()> {
        self.attempts.push((id, backend));
        self.accepts.then_some(())
    }
    fn send_progress(&self, (): &()) -> SendProgress {
        self.progress
    }
    fn cancel_attempt(&mut self, (): ()) {
        self.cancelled += 1;
    }
    fn upload(&self, (): &()) -> Option<Upload> {
        self.upload
    }
    fn start_call(&mut self, _: Micros, call: CallId, _: u64, amount: f64, _: Micros) -> CallStart<()> {
        self.calls.push((call, amount));
        CallStart::Pending(())
    }
    fn may_have_been_sent(&self, (): &()) -> bool {
        true
    }
    fn report_claim(&mut self, waiter: &'static str, total: Option<f64>) {
        self.claims.push((waiter, total));
    }
    fn wants_quota(&self, (): &()) -> bool {
        false
    }
    fn respond(&mut self, _: Micros, summary: RequestSummary, (): (), response: FinalResponse<&'static str>) {
        self.responses.push((summary, response));
    }
    fn request_abandoned(&mut self, _: Micros, _: RequestId, _: u8) {}
    fn close_idle(&mut self, _: BackendId) {}
    fn set_max_idle(&mut self, _: Micros) {}
    fn send_to_peers(&mut self, _: Micros, _: Option<u16>, _: Vec<u8>) {}
    fn log(&mut self, _: &str) {}
    fn report_defect(&mut self, _: &str) {}
    fn sweep(&mut self, _: Micros, _: Micros, _: &Gateway) {}
    fn on_attempt_end(&mut self, _: Micros, end: &AttemptEnd) {
        self.ends.push(end.clone());
    }
}

/// An exchange with one class of this idempotency, one plan of this rate (0: without a quota), and two backends
/// at full capacity.
pub(super) fn exchange(idempotency: Idempotency, rate: f64) -> Exchange<RecordingPort> {
    let class = Class {
        latency_target: 500_000,
        latency_target_stretch: 0.0,
        deadline: 1_000_000,
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        late_value: 0.5,
        value: 1.0,
        streamed: false,
        admission_only: false,
    };
    let limits =
        Limits { max_attempts: 3, connect_timeout: 100_000, idle_timeout: 9_000_000, ..Limits::default() };
    let settings = Settings {
        gateways: 1,
        tick: 1_000,
        classes: vec![class],
        plans: vec![Plan { rate, burst: 10.0, value: 1.0, ..Plan::default() }],
        counter: Some(Counter { timeout: 50_000, fee: 0.0 }),
        max_request_units: 5.0,
        limits,
        ..Settings::default()
    };
    let port = RecordingPort {
        progress: SendProgress::Complete { last_byte_at: 0 },
        upload: None,
        accepts: true,
        attempts: Vec::new(),
        cancelled: 0,
        calls: Vec::new(),
        claims: Vec::new(),
        responses: Vec::new(),
        ends: Vec::new(),
    };
    let mut exchange = Exchange::new(START, settings, 7, port);
    let backend =
        |id| BackendEntry { id, condition: Condition::Ready, weight: 1.0, ..BackendEntry::default() };
    let entries = vec![backend(0), backend(1)];
    exchange.enqueue(Event::Backends { kind: ListKind::Full, version: 1, entries });
    exchange.process_events(START);
    exchange
}

/// Request 1, which arrives at [`START`] and has a time-out of one second.
pub(super) fn request() -> AcceptedRequest {
    let request = Request {
        id: 1,
        customer: 9,
        units: 1.0,
        gateway_count: 1.0,
        timeout: 1_000_000,
        ..Request::default()
    };
    AcceptedRequest { request, arrived_at: START, is_admission_check: false, claim: None }
}

pub(super) fn accept(exchange: &mut Exchange<RecordingPort>, accepted: AcceptedRequest) {
    exchange.accept_request(START, accepted, ());
    exchange.process_events(START);
}

/// Fires all timers up to a time.
pub(super) fn advance(exchange: &mut Exchange<RecordingPort>, until: Micros) {
    while let Some(at) = exchange.next_due().filter(|at| *at <= until) {
        exchange.fire_due(at);
    }
}
