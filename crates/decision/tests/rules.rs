//! Five rules that a gateway must keep, checked over generated streams of events with fixed seeds. Backends and
//! the counter respond arbitrarily and in any order; nothing else is simulated.

mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_decision::interface::*;

/// A linear congruential generator: the events depend only on its seed.
struct Rng(u64);

impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

#[derive(Clone)]
struct RequestState {
    request: Request,
    arrived_at: Micros,
    /// Backend, send time and outcome of each attempt.
    attempts: Vec<(BackendId, Micros, Option<Outcome>)>,
    closed: bool,
}

/// Checks the actions of a gateway and collects the names of violated rules.
#[derive(Default)]
struct Checker {
    settings: Settings,
    requests: BTreeMap<RequestId, RequestState>,
    /// When the gateway was first notified that a backend drains or is gone.
    notified_unavailable: BTreeMap<BackendId, Micros>,
    /// Start time of each backend that has restarted, and its attempts in the first second.
    starting: BTreeMap<BackendId, (Micros, u32)>,
    /// Times and units of first attempts, of customers with a hard limit.
    sent_under_hard_limit: BTreeMap<CustomerId, Vec<(Micros, f64)>>,
    sends: Vec<Micros>,
    /// Violated rules: `final` (one final response, in time), `effect` (no second execution that does harm),
    /// `drain` (no attempts at a backend after its drain grace), `ceiling` (hard limit) and `cold` (slow
    /// start).
    violations: BTreeSet<&'static str>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        Checker { settings, ..Checker::default() }
    }

    fn on_arrival(&mut self, now: Micros, request: &Request) {
        let state =
            RequestState { request: request.clone(), arrived_at: now, attempts: Vec::new(), closed: false };
        self.requests.insert(request.id, state);
    }

    fn on_actions(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, backend, .. } => self.on_send(now, *request, *backend),
                Action::Reject { request, .. } => self.on_final_response(*request, true),
                Action::Fail { request, .. } => self.on_final_response(*request, false),
                _ => {}
            }
        }
    }

    fn on_send(&mut self, now: Micros, id: RequestId, backend: BackendId) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        if state.closed {
            self.violations.insert("final");
        }
        let class = &self.settings.classes[usize::from(state.request.class)];
        if state.attempts.iter().any(|(_, _, outcome)| outcome.is_none()) {
            self.violations.insert("effect");
        }
        let executed =
            state.attempts.iter().find(|(_, _, outcome)| outcome.is_none_or(|o| !o.not_executed()));
        if let Some((first, sent, _)) = executed {
            let allowed = match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Deduplicated => first % 2 == backend % 2 && now < sent + class.dedup_window,
                Idempotency::AtMostOnce => false,
            };
            if !allowed {
                self.violations.insert("effect");
            }
        }
        if self
            .notified_unavailable
            .get(&backend)
            .is_some_and(|notified_at| now > notified_at + self.settings.safety.drain_grace)
        {
            self.violations.insert("drain");
        }
        let plan = &self.settings.plans[usize::from(state.request.plan)];
        if plan.hard_limit_rate > 0.0 && state.attempts.is_empty() {
            let sent = self.sent_under_hard_limit.entry(state.request.customer).or_default();
            sent.push((now, state.request.units));
            for start in 0..sent.len() {
                let units: f64 = sent[start..].iter().map(|(_, units)| units).sum();
                let refilled = plan.hard_limit_rate * (now - sent[start].0) as f64 / 1e6;
                if units > plan.hard_limit_burst + refilled + plan.hard_limit_slack + 1e-6 {
                    self.violations.insert("ceiling");
                }
            }
        }
        self.sends.push(now);
        if let Some((_, count)) =
            self.starting.get_mut(&backend).filter(|(started_at, _)| now < *started_at + SECOND)
        {
            *count += 1;
            // The attempts that a backend at full capacity got in a recent second are a lower bound of its
            // capacity.
            let ready_backends = 6 - self.notified_unavailable.len().min(5);
            let sends_within = |span| self.sends.iter().rev().take_while(|sent| **sent + span > now).count();
            let recent_sends = sends_within(SECOND).max(sends_within(4 * SECOND) / 4);
            let safety = &self.settings.safety;
            let capacity_share = safety.slow_start_share + SECOND as f64 / safety.slow_start_time as f64;
            let max_attempts =
                safety.overload_multiple * capacity_share * recent_sends as f64 / ready_backends as f64;
            if f64::from(*count) > max_attempts.max(4.0) {
                self.violations.insert("cold");
            }
        }
        state.attempts.push((backend, now, None));
    }

    fn on_final_response(&mut self, id: RequestId, is_rejection: bool) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let class = &self.settings.classes[usize::from(state.request.class)];
        let may_have_executed = state.attempts.iter().any(|(_, _, o)| o.is_none_or(|o| !o.not_executed()));
        let is_retry_safe = class.idempotency == Idempotency::Idempotent
            || !may_have_executed
            || (class.idempotency == Idempotency::Deduplicated && class.dedup_scope == DedupScope::All);
        if is_rejection && !is_retry_safe {
            self.violations.insert("effect");
        }
        if std::mem::replace(&mut state.closed, true) {
            self.violations.insert("final");
        }
    }

    fn check_deadlines(&mut self, now: Micros) {
        let slack = self.settings.safety.deadline_slack;
        if self
            .requests
            .values()
            .any(|state| !state.closed && now > state.arrived_at + state.request.timeout + slack)
        {
            self.violations.insert("final");
        }
    }
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset];

/// Runs `steps` ticks of arrivals, responses, lists and restarts. Returns the checker and all actions.
fn run(seed: u64, steps: u64) -> (Checker, Vec<Action>) {
    let settings = settings();
    let mut checker = Checker::new(settings.clone());
    let mut rng = Rng(seed);
    let mut gateway = gateway(settings.clone(), &[1, 2, 3, 4, 5, 6]);
    let mut timers: BTreeSet<(Micros, u64)> = BTreeSet::new();
    let mut calls: BTreeMap<u64, Vec<(Micros, f64)>> = BTreeMap::new();
    let mut totals: BTreeMap<u64, f64> = BTreeMap::new();
    let mut in_flight: Vec<(RequestId, u8, BackendId, Micros, Micros)> = Vec::new();
    let (mut next_id, mut all_actions) = (0, Vec::new());
    for tick in 0..steps {
        let now = START + tick * TICK;
        let mut events = Vec::new();
        for _ in 0..rng.next(3) {
            next_id += 1;
            let mut request = request(next_id, rng.next(6));
            request.class = rng.next(3) as u16;
            request.plan = (request.customer % 3) as u16;
            request.timeout = 20_000 + rng.next(2_000_000);
            request.units = 1.0 + rng.next(2) as f64;
            checker.on_arrival(now, &request);
            events.push(Event::Request(request));
        }
        while let Some((at, token)) = timers.first().copied().filter(|(at, _)| *at <= now) {
            timers.remove(&(at, token));
            events.push(Event::Timer { token });
        }
        let times_out = (tick / 300) % 3 == 1;
        if rng.next(4000) == 0 {
            totals.clear();
        }
        for (counter_id, pending) in &mut calls {
            while let Some((started_at, amount)) = pending.first().copied() {
                let rejected = rng.next(20) == 0;
                if times_out && now < started_at + 50_000 {
                    break;
                }
                pending.remove(0);
                let outcome = match (times_out, rejected) {
                    (true, _) => Outcome::Timeout,
                    (_, true) => Outcome::Full,
                    _ => Outcome::Ok,
                };
                if outcome == Outcome::Ok || rng.next(2) == 0 {
                    *totals.entry(*counter_id).or_default() += if rejected { 0.0 } else { amount };
                }
                let total = totals.get(counter_id).copied().unwrap_or(0.0);
                events.push(Event::CounterAnswered {
                    counter_id: *counter_id,
                    outcome,
                    total,
                    elapsed: now - started_at,
                });
            }
        }
        let mut ended = Vec::new();
        in_flight.retain(|(id, attempt, backend, sent, expires)| {
            let outcome = if now >= *expires {
                Outcome::Timeout
            } else if rng.next(8) == 0 {
                OUTCOMES[rng.next(6) as usize]
            } else {
                return true;
            };
            ended.push((*id, *attempt, *backend, now - sent, outcome));
            false
        });
        for (id, attempt, backend, elapsed, outcome) in ended {
            let state = checker.requests.get_mut(&id).unwrap();
            state.attempts[usize::from(attempt)].2 = Some(outcome);
            let was_closed = state.closed;
            state.closed |= outcome == Outcome::Ok;
            let Event::AttemptEnded(end) = attempt_ended(id, attempt, backend, outcome) else {
                unreachable!()
            };
            events.push(Event::AttemptEnded(AttemptEnd {
                elapsed,
                closed: was_closed || state.closed,
                ..end
            }));
        }
        if rng.next(200) == 0 {
            let id = 1 + rng.next(6) as BackendId;
            let condition = [Condition::Gone, Condition::Draining, Condition::Ready][rng.next(3) as usize];
            let entries = vec![entry(id, condition, now)];
            if condition == Condition::Ready {
                checker.notified_unavailable.remove(&id);
                checker.starting.insert(id, (now, 0));
            } else {
                checker.notified_unavailable.entry(id).or_insert(now);
            }
            events.push(Event::Backends { kind: ListKind::Delta, version: tick, entries });
        }
        if rng.next(20) == 0 && next_id > 0 {
            let id = 1 + rng.next(u64::from(next_id)) as RequestId;
            if checker.requests.get(&id).is_some_and(|state| !state.closed) {
                events.push(Event::Abandoned { request: id });
            }
        }
        for event in events {
            let abandoned = if let Event::Abandoned { request } = &event { Some(*request) } else { None };
            let actions = step(&mut gateway, now, event);
            checker.on_actions(now, &actions);
            if let Some(id) = abandoned {
                checker.requests.get_mut(&id).unwrap().closed = true;
            }
            for action in &actions {
                match action {
                    Action::Timer { at, token } => {
                        timers.insert(((*at).max(now + 1), *token));
                    }
                    Action::AddToCounter { counter_id, amount, .. } => {
                        calls.entry(*counter_id).or_default().push((now, *amount));
                    }
                    Action::Send { request, backend, expires } => {
                        let state = &checker.requests[request];
                        let deadline = state.arrived_at + state.request.timeout;
                        let expires = if *expires == 0 { deadline } else { deadline.min(*expires) };
                        in_flight.push((*request, state.attempts.len() as u8 - 1, *backend, now, expires));
                    }
                    _ => {}
                }
            }
            all_actions.extend(actions);
        }
        checker.check_deadlines(now);
    }
    (checker, all_actions)
}

#[test]
fn generated_event_streams_violate_no_rule() {
    for seed in 1..=12 {
        let (checker, actions) = run(seed, 4_000);
        assert!(checker.violations.is_empty(), "seed {seed} violates {:?}", checker.violations);
        let sends = actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        // When all six backends restart repeatedly, the rule for slow start permits fewer attempts: as few as a
        // quarter. How many of these are used is random.
        assert!(sends > 150, "seed {seed} sent only {sends} attempts");
    }
}

#[test]
fn same_seed_and_events_give_the_same_actions() {
    assert_eq!(run(3, 1_500).1, run(3, 1_500).1);
}

/// A checker that has seen sixty requests of this class and plan, and these actions. All attempts have this
/// outcome.
fn check(class: u16, plan: u16, actions: &[(Micros, Action)], outcome: Option<Outcome>) -> Checker {
    let mut checker = Checker::new(settings());
    for id in 1..=60 {
        checker.on_arrival(START, &Request { class, plan, ..request(id, 9) });
    }
    for (after, action) in actions {
        checker.on_actions(START + after, std::slice::from_ref(action));
        for (_, _, attempt) in checker.requests.values_mut().flat_map(|state| &mut state.attempts) {
            *attempt = outcome;
        }
    }
    checker
}

#[test]
fn checker_detects_a_violation_of_each_rule() {
    let send = |request, backend| Action::Send { request, backend, expires: 0 };
    let reject = |request| Action::Reject { request, retry_after: 0, reason: RejectionReason::Attempt };
    let violations = |checker: Checker| checker.violations.into_iter().collect::<Vec<_>>();
    let executed = Some(Outcome::Error);
    assert_eq!(violations(check(0, 0, &[(0, reject(1)), (1, reject(1))], None)), ["final"]);
    assert_eq!(violations(check(0, 0, &[(0, reject(1)), (1, send(1, 1))], None)), ["final"]);
    let mut overdue = check(0, 0, &[], None);
    overdue.check_deadlines(START + 3 * SECOND);
    assert_eq!(violations(overdue), ["final"]);
    assert_eq!(violations(check(0, 0, &[(0, send(1, 1)), (1, send(1, 2))], None)), ["effect"]);
    assert_eq!(violations(check(2, 0, &[(0, send(1, 1)), (1, send(1, 2))], executed)), ["effect"]);
    assert_eq!(violations(check(2, 0, &[(0, send(1, 1)), (1, reject(1))], executed)), ["effect"]);
    assert_eq!(violations(check(1, 0, &[(0, send(1, 1)), (1, send(1, 2))], executed)), ["effect"]);
    assert_eq!(violations(check(1, 0, &[(0, send(1, 1)), (5 * SECOND, send(1, 3))], executed)), ["effect"]);
    assert!(violations(check(1, 0, &[(0, send(1, 1)), (1, send(1, 3))], executed)).is_empty());
    let all: Vec<_> = (1..=60).map(|id| (0, send(id, 1))).collect();
    assert_eq!(violations(check(0, 1, &all, executed)), ["ceiling"]);
    let mut drained = check(0, 0, &[], None);
    drained.notified_unavailable.insert(1, START);
    drained.on_actions(START + SECOND, &[send(1, 1)]);
    assert_eq!(violations(drained), ["drain"]);
    let mut overloaded = check(0, 0, &[], None);
    overloaded.starting.insert(1, (START, 0));
    let sends: Vec<_> = (1..=60).map(|id| send(id, 1)).collect();
    overloaded.on_actions(START, &sends);
    assert_eq!(violations(overloaded), ["cold"]);
}
