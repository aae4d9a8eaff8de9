//! What an ingress has open round the decision module, free of I/O: requests, the attempt that is out for each,
//! calls to the counter, tries' claims, and the timers of them all.
//!
//! The module says which node and whether again; an [`Exchange`] carries that out over a [`Port`], and holds what
//! must hold whatever the module says: one final answer by the deadline, one attempt out at a time, no more
//! attempts than were allowed when the request came, and an honest word on whether an attempt may have run. The
//! program's driver runs it over sockets, the laboratory over an emulated fleet.

#![allow(
    clippy::option_option,
    clippy::wildcard_imports,
    missing_docs,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod nodes;
pub mod port;
mod timers;

use port::{AttemptId, Called, Final, Over, Port, Sent};
use std::collections::{HashMap, VecDeque};
use timers::{Timer, Timers};
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;
use violetyoke_ratelimit::claim::{self, Decided};

/// How often a request whose body is still coming is looked at once its time would be up.
const UPLOAD_LOOK: Micros = 20_000;
/// Before a request's deadline: by then it is answered if the module has not spoken.
const LAST_CALL: Micros = 2_000;
/// How long a try's claim is known: the longest that a counter keeps a name.
const CLAIM_LIFE: Micros = 60_000_000;
/// How often what is held is looked through.
const SWEEP: Micros = 1_000_000;
/// Part of the settings' idle time after which a connection is not used again.
const IDLE_PART: u64 = 3;

/// A request as it is taken.
#[derive(Clone, Debug)]
pub struct Taken {
    pub request: Request,
    /// When its last byte came; its budget counts from then.
    pub arrived: Micros,
    /// It is sent nowhere.
    pub asks_only: bool,
    /// The number of its try's claim, if it is for this request to tell the outcome.
    pub claim: Option<u64>,
}

/// A request taken and not yet answered.
struct Open<P: Port> {
    client: P::Client,
    customer: CustomerId,
    asks_only: bool,
    claim: Option<u64>,
    deadline: Micros,
    attempts: u8,
    /// Most attempts, as was in force when it came.
    most_attempts: u32,
    may_have_run: bool,
    out: Option<Out<P>>,
}

/// The attempt that is out for it.
struct Out<P: Port> {
    number: u8,
    node: BackendId,
    at: Micros,
    expires: Micros,
    attempt: P::Attempt,
}

/// A call to the counter that has not ended.
struct Calling<P: Port> {
    name: u64,
    /// A try's claim, and who waits for its total; else it is the module's.
    claim: Option<Option<P::Asker>>,
    at: Micros,
    call: P::Call,
}

/// See the crate's own words.
pub struct Exchange<P: Port> {
    pub port: P,
    gateway: Gateway,
    limits: Limits,
    counter_timeout: Micros,
    /// For how long a connection to a node may stand idle and still be used.
    keep_idle: Micros,
    requests: HashMap<RequestId, Open<P>>,
    calls: HashMap<u64, Calling<P>>,
    next_call: u64,
    timers: Timers,
    /// Events that carrying out an action has brought up, in their order.
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl<P: Port> Exchange<P> {
    pub fn new(now: Micros, settings: Settings, seed: u64, port: P) -> Exchange<P> {
        let mut exchange = Exchange {
            port,
            limits: settings.limits.clone(),
            counter_timeout: settings.counter.map_or(0, |counter| counter.timeout),
            keep_idle: settings.limits.idle_close / IDLE_PART,
            gateway: Gateway::new(settings, seed),
            requests: HashMap::new(),
            calls: HashMap::new(),
            next_call: 1,
            timers: Timers::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        exchange.port.keep_idle(exchange.keep_idle);
        exchange.timers.set(now + SWEEP, Timer::Sweep);
        exchange
    }

    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    pub fn gateway_mut(&mut self) -> &mut Gateway {
        &mut self.gateway
    }

    pub fn counter_timeout(&self) -> Micros {
        self.counter_timeout
    }

    /// Nothing is open: no request, and no call that may still give units back.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.calls.is_empty()
    }

    /// How many requests and calls are open.
    pub fn open(&self) -> (usize, usize) {
        (self.requests.len(), self.calls.len())
    }

    pub fn reconfigure(&mut self, now: Micros, settings: Settings) {
        self.limits = settings.limits.clone();
        self.counter_timeout = settings.counter.map_or(0, |counter| counter.timeout);
        self.set_keep_idle(self.keep_idle.min(settings.limits.idle_close / IDLE_PART));
        self.gateway.reconfigure(now, settings);
    }

    fn set_keep_idle(&mut self, longest: Micros) {
        self.keep_idle = longest;
        self.port.keep_idle(longest);
    }

    // ---- Time ----

    /// When [`Exchange::due`] is to be called again.
    pub fn next_due(&mut self) -> Option<Micros> {
        let (requests, calls, port) = (&self.requests, &self.calls, &self.port);
        self.timers.next(|timer| is_stale(requests, calls, port, timer))
    }

    /// Looks at all that has fallen due. Timers that this sets wait for the next time.
    pub fn due(&mut self, now: Micros) {
        let mark = self.timers.mark();
        while let Some(timer) = self.timers.pop(now, mark) {
            self.fire(now, timer);
            self.settle(now);
        }
    }

    fn fire(&mut self, now: Micros, timer: Timer) {
        if is_stale(&self.requests, &self.calls, &self.port, timer) {
            return;
        }
        if let Some(later) = self.not_yet(now, timer) {
            return self.timers.set(later, timer);
        }
        match timer {
            Timer::Module(token) => self.events.push_back(Event::Timer { token }),
            Timer::Connect(AttemptId { request, .. }) | Timer::Expire(AttemptId { request, .. }) => {
                self.give_up(now, request);
            }
            Timer::Deadline(request) => self.last_call(now, request),
            Timer::Call(call) => {
                let written = self.calls.get(&call).is_some_and(|calling| self.port.written(&calling.call));
                let outcome = if written { Outcome::Timeout } else { Outcome::ConnectFailed };
                self.counted(now, call, outcome, 0.0);
            }
            Timer::Sweep => {
                let (requests, calls, port) = (&self.requests, &self.calls, &self.port);
                self.timers.retain(|timer| !is_stale(requests, calls, port, timer));
                self.port.sweep(now, now.saturating_sub(self.keep_idle), &self.gateway);
                self.timers.set(now + SWEEP, Timer::Sweep);
            }
        }
    }

    /// The time to which a request's timer moves while its body is still on its way: what a client waits counts
    /// from its request's last byte, and a node begins only then.
    fn not_yet(&self, now: Micros, timer: Timer) -> Option<Micros> {
        let (open, due) = match timer {
            Timer::Deadline(request) => {
                let open = self.requests.get(&request)?;
                (open, open.deadline.saturating_sub(LAST_CALL))
            }
            Timer::Expire(AttemptId { request, .. }) => {
                let open = self.requests.get(&request)?;
                (open, open.out.as_ref()?.expires)
            }
            _ => return None,
        };
        let upload = self.port.upload(&open.client)?;
        match upload.ended {
            None => Some(now + UPLOAD_LOOK),
            Some(ended) => Some(due + ended.saturating_sub(upload.began)).filter(|due| *due > now),
        }
    }

    // ---- What the module is told, and what it asks for ----

    /// Takes note of an event, for [`Exchange::settle`] to hand on.
    pub fn tell(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Hands the module what has come up, until nothing more does.
    pub fn settle(&mut self, now: Micros) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.act(now, action));
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, backend, expires } => self.send(now, request, backend, expires),
            Action::Refuse { request, retry_after, why } => {
                let sent_before = self.requests.get(&request).is_some_and(|open| open.attempts > 0);
                self.decided(now, request, Decided::Refused { sent_before, retry_after });
                self.finish(now, request, Final::Refused { retry_after }, Some(why));
            }
            Action::Fail { request, why } => self.finish(now, request, Final::Failed, Some(why)),
            Action::Admit { request } => {
                self.decided(now, request, Decided::Passes);
                self.finish(now, request, Final::Admitted, None);
            }
            Action::Cancel { request, attempt } => {
                let open = self.requests.get_mut(&request);
                if let Some(out) = open.and_then(|open| open.out.take_if(|out| out.number == attempt)) {
                    self.withdraw(now, request, out, Outcome::Cancelled, false);
                }
            }
            Action::CloseIdle { backend } => self.port.close_idle(backend),
            Action::KeepIdle { longest } => {
                self.set_keep_idle(longest.min(self.limits.idle_close / IDLE_PART));
            }
            Action::Tell { to, data } => self.port.tell(now, to, data),
            Action::Count { count, amount, life } => self.count(now, count, amount, life),
            Action::Timer { at, token } => self.timers.set(at, Timer::Module(token)),
            Action::Log { text } => self.port.log(&format!("module: {text}")),
            Action::Broken { text } => self.port.log(&format!("module: broken: {text}")),
            // The watch on discovery never stops, and asks for the whole list after each break by itself.
            Action::Watch { .. } | Action::FetchList => {}
            Action::Probe { backend } => {
                self.port.log(&format!("module: asks to probe {backend}, which is not built"));
            }
        }
    }

    // ---- Requests ----

    pub fn take(&mut self, taken: Taken, client: P::Client, now: Micros) {
        let Taken { request, arrived, asks_only, claim } = taken;
        let deadline = arrived + request.budget;
        let open = Open {
            client,
            customer: request.customer,
            asks_only,
            claim,
            deadline,
            attempts: 0,
            most_attempts: self.limits.attempts,
            may_have_run: false,
            out: None,
        };
        self.requests.insert(request.id, open);
        self.timers.set(deadline.saturating_sub(LAST_CALL), Timer::Deadline(request.id));
        self.events.push_back(Event::Request(Request { budget: deadline.saturating_sub(now), ..request }));
    }

    /// A client has left. One that was let in is no longer held here, but the module waits for word of it.
    pub fn abandoned(&mut self, now: Micros, request: RequestId) {
        self.events.push_back(Event::Abandoned { request });
        if let Some(open) = self.requests.remove(&request) {
            self.port.gone(now, request, open.attempts);
            if let Some(out) = open.out {
                self.withdraw(now, request, out, Outcome::Cancelled, true);
            }
        }
    }

    /// Gives the one final answer; whatever is still out for the request is withdrawn.
    fn finish(&mut self, now: Micros, request: RequestId, answer: Final<P::Served>, why: Option<Why>) {
        let Some(open) = self.requests.remove(&request) else { return };
        let tells = self.port.tells(&open.client);
        let standing = if tells { self.gateway.standing(open.customer) } else { None };
        self.port.answer(now, Over { request, attempts: open.attempts, why, standing }, open.client, answer);
        if let Some(out) = open.out {
            self.withdraw(now, request, out, Outcome::Cancelled, true);
        }
    }

    /// The module has not spoken in time: a defect, but the client still gets its answer.
    fn last_call(&mut self, now: Micros, request: RequestId) {
        let Some(open) = self.requests.get(&request) else { return };
        let all = |out: &Out<P>| matches!(self.port.sent(&out.attempt), Sent::All { .. });
        let ran = open.may_have_run || open.out.as_ref().is_some_and(all);
        let attempts = open.attempts;
        self.port.log(&format!("defect: request {request} was not decided in time (attempts {attempts})"));
        self.events.push_back(Event::Abandoned { request });
        self.finish(now, request, if ran { Final::Failed } else { Final::Refused { retry_after: 0 } }, None);
    }

    // ---- Attempts ----

    fn send(&mut self, now: Micros, request: RequestId, node: BackendId, expires: Micros) {
        let Some(open) = self.requests.get_mut(&request) else {
            return self.port.log(&format!("defect: an attempt for request {request}, which is over"));
        };
        let number = open.attempts;
        open.attempts = number.saturating_add(1);
        let expires = if expires == 0 { open.deadline } else { expires.min(open.deadline) };
        // A body part of which has gone to a node is not there any more to be sent again.
        let once = self.port.upload(&open.client).is_none_or(|upload| upload.untouched);
        let allowed = once
            && !open.asks_only
            && u32::from(number) < self.limits.attempts.min(open.most_attempts)
            && open.out.is_none()
            && expires > now;
        let id = AttemptId { request, number };
        let begun = if allowed { self.port.attempt(now, id, node, &open.client, expires) } else { None };
        let Some(attempt) = begun else {
            let outcome = if allowed { Outcome::Withheld } else { Outcome::Moot };
            return self.events.push_back(Event::AttemptEnded(AttemptEnd {
                request,
                attempt: number,
                backend: node,
                outcome,
                waited: 0,
                closed: false,
                settled_units: 0.0,
                usage: 0,
                report: Report::new(),
            }));
        };
        open.out = Some(Out { number, node, at: now, expires, attempt });
        self.decided(now, request, Decided::Passes);
        self.timers.set(expires, Timer::Expire(id));
        self.timers.set(now + self.limits.connect_timeout, Timer::Connect(id));
    }

    /// An attempt has come to its end; `served` goes to the client if that was a good one.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: Outcome,
        report: Report,
        served: P::Served,
    ) {
        let Some(open) = self.requests.get_mut(&id.request) else { return };
        let Some(out) = open.out.take_if(|out| out.number == id.number) else { return };
        open.may_have_run |= !outcome.never_ran();
        let closed = outcome == Outcome::Ok;
        if closed {
            self.finish(now, id.request, Final::Served(served), None);
        }
        let sent = self.port.sent(&out.attempt);
        self.ended(now, id.request, &out, sent, outcome, closed, report);
    }

    /// Stops waiting for the attempt that is out: its time is up.
    fn give_up(&mut self, now: Micros, request: RequestId) {
        let out = self.requests.get_mut(&request).and_then(|open| open.out.take());
        if let Some(out) = out {
            self.withdraw(now, request, out, Outcome::Timeout, false);
        }
    }

    /// Closes an attempt's connection. One that is still without a connection has never run, nor has one whose
    /// last byte has not gone out; that is then no fault of the node's.
    fn withdraw(&mut self, now: Micros, request: RequestId, out: Out<P>, outcome: Outcome, closed: bool) {
        let sent = self.port.sent(&out.attempt);
        let outcome = match sent {
            Sent::Nothing => Outcome::ConnectFailed,
            Sent::Partly => Outcome::Withheld,
            Sent::All { .. } => outcome,
        };
        if let Some(open) = self.requests.get_mut(&request) {
            open.may_have_run |= !outcome.never_ran();
        }
        self.ended(now, request, &out, sent, outcome, closed, Report::new());
        self.port.withdraw(out.attempt);
    }

    #[allow(clippy::too_many_arguments, reason = "an attempt's end has that many parts")]
    fn ended(
        &mut self,
        now: Micros,
        request: RequestId,
        out: &Out<P>,
        sent: Sent,
        outcome: Outcome,
        closed: bool,
        report: Report,
    ) {
        let last = if let Sent::All { at } = sent { at } else { 0 };
        let end = AttemptEnd {
            request,
            attempt: out.number,
            backend: out.node,
            outcome,
            // A node begins with the last byte.
            waited: now.saturating_sub(out.at.max(last)),
            closed,
            settled_units: 0.0,
            usage: 0,
            report,
        };
        self.port.attempt_over(now, &end);
        self.events.push_back(Event::AttemptEnded(end));
    }

    // ---- Counter ----

    fn count(&mut self, now: Micros, name: u64, amount: f64, life: Micros) {
        let call = self.next_call;
        self.next_call += 1;
        let (outcome, total) = match self.port.count(now, call, name, amount, life) {
            Called::Out(out) => return self.called(now, call, name, None, out),
            Called::Total(total) => (Outcome::Ok, total),
            Called::Unmade => (Outcome::ConnectFailed, 0.0),
        };
        self.events.push_back(Event::Counted { count: name, outcome, total, waited: 0 });
    }

    /// Adds to a try's claim. Where that can't be done nobody learns of it: the try is fresh to whoever asks.
    pub fn claim(&mut self, now: Micros, claim: u64, amount: f64, asker: Option<P::Asker>) {
        let call = self.next_call;
        self.next_call += 1;
        let total = match self.port.count(now, call, claim, amount, CLAIM_LIFE) {
            Called::Out(out) => return self.called(now, call, claim, Some(asker), out),
            Called::Total(total) => Some(total),
            Called::Unmade => None,
        };
        if let Some(asker) = asker {
            self.port.claimed(asker, total);
        }
    }

    fn called(&mut self, now: Micros, call: u64, name: u64, claim: Option<Option<P::Asker>>, out: P::Call) {
        self.calls.insert(call, Calling { name, claim, at: now, call: out });
        self.timers.set(now + self.counter_timeout, Timer::Call(call));
    }

    /// The outcome of a try that this request claimed, told once.
    fn decided(&mut self, now: Micros, request: RequestId, decided: Decided) {
        let claim = self.requests.get_mut(&request).and_then(|open| open.claim.take());
        if let (Some(claim), Some(let_in)) = (claim, claim::told(decided)) {
            self.claim(now, claim, claim::outcome(let_in), None);
        }
    }

    /// A call has ended. A late answer to one that was given up already says nothing more.
    pub fn counted(&mut self, now: Micros, call: u64, outcome: Outcome, total: f64) {
        let Some(Calling { name, claim, at, .. }) = self.calls.remove(&call) else { return };
        if let Some(asker) = claim {
            if let Some(asker) = asker {
                self.port.claimed(asker, (outcome == Outcome::Ok).then_some(total));
            }
            return;
        }
        self.port.call_over(now, name, outcome);
        let waited = now.saturating_sub(at);
        self.events.push_back(Event::Counted { count: name, outcome, total, waited });
    }
}

/// Whether a timer has outlived what it was set for.
fn is_stale<P: Port>(
    requests: &HashMap<RequestId, Open<P>>,
    calls: &HashMap<u64, Calling<P>>,
    port: &P,
    timer: Timer,
) -> bool {
    let out = |id: AttemptId| requests.get(&id.request)?.out.as_ref().filter(|out| out.number == id.number);
    match timer {
        Timer::Connect(id) => out(id).is_none_or(|out| port.sent(&out.attempt) != Sent::Nothing),
        Timer::Expire(id) => out(id).is_none(),
        Timer::Deadline(request) => !requests.contains_key(&request),
        Timer::Call(call) => !calls.contains_key(&call),
        Timer::Module(_) | Timer::Sweep => false,
    }
}
