//! The five rules over generated streams of events with fixed seeds: a checker of invariants, not a
//! simulator. Backends and the counter answer anything, in any order.

mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_decision::interface::*;

struct Random(u64);

impl Random {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

#[derive(Clone)]
struct Try {
    request: Request,
    arrived: Micros,
    /// Backend, time sent and outcome of each attempt.
    attempts: Vec<(BackendId, Micros, Option<Outcome>)>,
    closed: bool,
}

/// Follows one gateway's actions and collects what breaks a rule.
#[derive(Default)]
struct Checker {
    settings: Settings,
    tries: BTreeMap<RequestId, Try>,
    told_gone: BTreeMap<BackendId, Micros>,
    cold: BTreeMap<BackendId, (Micros, u32)>,
    sent_under_ceiling: BTreeMap<CustomerId, Vec<(Micros, f64)>>,
    sends: Vec<Micros>,
    broken: BTreeSet<&'static str>,
}

impl Checker {
    fn new(settings: Settings) -> Self {
        Checker { settings, ..Checker::default() }
    }

    fn arrived(&mut self, now: Micros, request: &Request) {
        let seen = Try { request: request.clone(), arrived: now, attempts: Vec::new(), closed: false };
        self.tries.insert(request.id, seen);
    }

    fn actions(&mut self, now: Micros, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { request, backend, .. } => self.send(now, *request, *backend),
                Action::Reject { request, .. } => self.finish(*request, true),
                Action::Fail { request, .. } => self.finish(*request, false),
                _ => {}
            }
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, backend: BackendId) {
        let Some(seen) = self.tries.get_mut(&id) else { return };
        if seen.closed {
            self.broken.insert("final");
        }
        let class = &self.settings.classes[usize::from(seen.request.class)];
        if seen.attempts.iter().any(|(_, _, outcome)| outcome.is_none()) {
            self.broken.insert("effect");
        }
        let ran = seen.attempts.iter().find(|(_, _, outcome)| outcome.is_none_or(|o| !o.not_executed()));
        if let Some((first, sent, _)) = ran {
            let allowed = match class.idempotency {
                Idempotency::Idempotent => true,
                Idempotency::Deduplicated => first % 2 == backend % 2 && now < sent + class.dedup_window,
                Idempotency::AtMostOnce => false,
            };
            if !allowed {
                self.broken.insert("effect");
            }
        }
        if self.told_gone.get(&backend).is_some_and(|told| now > told + self.settings.safety.drain_grace) {
            self.broken.insert("drain");
        }
        let plan = &self.settings.plans[usize::from(seen.request.plan)];
        if plan.hard_limit_rate > 0.0 && seen.attempts.is_empty() {
            let sent = self.sent_under_ceiling.entry(seen.request.customer).or_default();
            sent.push((now, seen.request.units));
            for start in 0..sent.len() {
                let units: f64 = sent[start..].iter().map(|(_, units)| units).sum();
                let filled = plan.hard_limit_rate * (now - sent[start].0) as f64 / 1e6;
                if units > plan.hard_limit_burst + filled + plan.hard_limit_slack + 1e-6 {
                    self.broken.insert("ceiling");
                }
            }
        }
        self.sends.push(now);
        if let Some((_, count)) = self.cold.get_mut(&backend).filter(|(born, _)| now < *born + SECOND) {
            *count += 1;
            // What a warm backend was sent in a second of late stands for what it can do at least.
            let ready = 6 - self.told_gone.len().min(5);
            let within = |span| self.sends.iter().rev().take_while(|sent| **sent + span > now).count();
            let lately = within(SECOND).max(within(4 * SECOND) / 4);
            let safety = &self.settings.safety;
            let able = safety.slow_start_share + SECOND as f64 / safety.slow_start_time as f64;
            let most = safety.overload_multiple * able * lately as f64 / ready as f64;
            if f64::from(*count) > most.max(4.0) {
                self.broken.insert("cold");
            }
        }
        seen.attempts.push((backend, now, None));
    }

    fn finish(&mut self, id: RequestId, refusal: bool) {
        let Some(seen) = self.tries.get_mut(&id) else { return };
        let class = &self.settings.classes[usize::from(seen.request.class)];
        let may_have_run = seen.attempts.iter().any(|(_, _, o)| o.is_none_or(|o| !o.not_executed()));
        let harmless = class.idempotency == Idempotency::Idempotent
            || !may_have_run
            || (class.idempotency == Idempotency::Deduplicated && class.dedup_scope == DedupScope::All);
        if refusal && !harmless {
            self.broken.insert("effect");
        }
        if std::mem::replace(&mut seen.closed, true) {
            self.broken.insert("final");
        }
    }

    fn time_passes(&mut self, now: Micros) {
        let slack = self.settings.safety.deadline_slack;
        if self.tries.values().any(|t| !t.closed && now > t.arrived + t.request.timeout + slack) {
            self.broken.insert("final");
        }
    }
}

const OUTCOMES: [Outcome; 6] =
    [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset];

/// Plays `steps` ticks of arrivals, answers, lists and restarts; returns the checker and every action.
fn play(seed: u64, steps: u64) -> (Checker, Vec<Action>) {
    let settings = settings();
    let mut checker = Checker::new(settings.clone());
    let mut random = Random(seed);
    let mut gateway = gateway(settings.clone(), &[1, 2, 3, 4, 5, 6]);
    let mut timers: BTreeSet<(Micros, u64)> = BTreeSet::new();
    let mut calls: BTreeMap<u64, Vec<(Micros, f64)>> = BTreeMap::new();
    let mut totals: BTreeMap<u64, f64> = BTreeMap::new();
    let mut out: Vec<(RequestId, u8, BackendId, Micros, Micros)> = Vec::new();
    let (mut next_id, mut all) = (0, Vec::new());
    for round in 0..steps {
        let now = START + round * TICK;
        let mut events = Vec::new();
        for _ in 0..random.next(3) {
            next_id += 1;
            let mut request = request(next_id, random.next(6));
            request.class = random.next(3) as u16;
            request.plan = (request.customer % 3) as u16;
            request.timeout = 20_000 + random.next(2_000_000);
            request.units = 1.0 + random.next(2) as f64;
            checker.arrived(now, &request);
            events.push(Event::Request(request));
        }
        while let Some((at, token)) = timers.first().copied().filter(|(at, _)| *at <= now) {
            timers.remove(&(at, token));
            events.push(Event::Timer { token });
        }
        let silent = (round / 300) % 3 == 1;
        if random.next(4000) == 0 {
            totals.clear();
        }
        for (counter_id, waiting) in &mut calls {
            while let Some((made, amount)) = waiting.first().copied() {
                let refused = random.next(20) == 0;
                if silent && now < made + 50_000 {
                    break;
                }
                waiting.remove(0);
                let outcome = match (silent, refused) {
                    (true, _) => Outcome::Timeout,
                    (_, true) => Outcome::Full,
                    _ => Outcome::Ok,
                };
                if outcome == Outcome::Ok || random.next(2) == 0 {
                    *totals.entry(*counter_id).or_default() += if refused { 0.0 } else { amount };
                }
                let total = totals.get(counter_id).copied().unwrap_or(0.0);
                events.push(Event::CounterAnswered {
                    counter_id: *counter_id,
                    outcome,
                    total,
                    elapsed: now - made,
                });
            }
        }
        let mut ended_now = Vec::new();
        out.retain(|(id, attempt, backend, sent, expires)| {
            let outcome = if now >= *expires {
                Outcome::Timeout
            } else if random.next(8) == 0 {
                OUTCOMES[random.next(6) as usize]
            } else {
                return true;
            };
            ended_now.push((*id, *attempt, *backend, now - sent, outcome));
            false
        });
        for (id, attempt, backend, elapsed, outcome) in ended_now {
            let seen = checker.tries.get_mut(&id).unwrap();
            seen.attempts[usize::from(attempt)].2 = Some(outcome);
            let was_closed = seen.closed;
            seen.closed |= outcome == Outcome::Ok;
            let Event::AttemptEnded(end) = attempt_ended(id, attempt, backend, outcome) else {
                unreachable!()
            };
            events.push(Event::AttemptEnded(AttemptEnd {
                elapsed,
                closed: was_closed || seen.closed,
                ..end
            }));
        }
        if random.next(200) == 0 {
            let id = 1 + random.next(6) as BackendId;
            let condition = [Condition::Gone, Condition::Draining, Condition::Ready][random.next(3) as usize];
            let entries = vec![entry(id, condition, now)];
            if condition == Condition::Ready {
                checker.told_gone.remove(&id);
                checker.cold.insert(id, (now, 0));
            } else {
                checker.told_gone.entry(id).or_insert(now);
            }
            events.push(Event::Backends { kind: ListKind::Delta, version: round, entries });
        }
        if random.next(20) == 0 && next_id > 0 {
            let id = 1 + random.next(u64::from(next_id)) as RequestId;
            if checker.tries.get(&id).is_some_and(|seen| !seen.closed) {
                events.push(Event::Abandoned { request: id });
            }
        }
        for event in events {
            let left = if let Event::Abandoned { request } = &event { Some(*request) } else { None };
            let actions = step(&mut gateway, now, event);
            checker.actions(now, &actions);
            if let Some(id) = left {
                checker.tries.get_mut(&id).unwrap().closed = true;
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
                        let seen = &checker.tries[request];
                        let deadline = seen.arrived + seen.request.timeout;
                        let expires = if *expires == 0 { deadline } else { deadline.min(*expires) };
                        out.push((*request, seen.attempts.len() as u8 - 1, *backend, now, expires));
                    }
                    _ => {}
                }
            }
            all.extend(actions);
        }
        checker.time_passes(now);
    }
    (checker, all)
}

#[test]
fn generated_streams_keep_the_rules() {
    for seed in 1..=12 {
        let (checker, actions) = play(seed, 4_000);
        assert!(checker.broken.is_empty(), "seed {seed} breaks {:?}", checker.broken);
        let sends = actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        // Where all six backends start anew again and again, rule 4 leaves less: as few as a quarter, and which
        // part of it is used turns on chance.
        assert!(sends > 150, "seed {seed} sent {sends} attempts only");
    }
}

#[test]
fn same_events_same_actions() {
    assert_eq!(play(3, 1_500).1, play(3, 1_500).1);
}

fn checked(class: u16, plan: u16, actions: &[(Micros, Action)], ended: Option<Outcome>) -> Checker {
    let mut checker = Checker::new(settings());
    for id in 1..=60 {
        checker.arrived(START, &Request { class, plan, ..request(id, 9) });
    }
    for (after, action) in actions {
        checker.actions(START + after, std::slice::from_ref(action));
        for (_, _, outcome) in checker.tries.values_mut().flat_map(|seen| &mut seen.attempts) {
            *outcome = ended;
        }
    }
    checker
}

#[test]
fn the_checker_sees_each_broken_rule() {
    let send = |request, backend| Action::Send { request, backend, expires: 0 };
    let refuse = |request| Action::Reject { request, retry_after: 0, reason: RejectionReason::Attempt };
    let broken = |checker: Checker| checker.broken.into_iter().collect::<Vec<_>>();
    let ran = Some(Outcome::Error);
    assert_eq!(broken(checked(0, 0, &[(0, refuse(1)), (1, refuse(1))], None)), ["final"]);
    assert_eq!(broken(checked(0, 0, &[(0, refuse(1)), (1, send(1, 1))], None)), ["final"]);
    let mut overdue = checked(0, 0, &[], None);
    overdue.time_passes(START + 3 * SECOND);
    assert_eq!(broken(overdue), ["final"]);
    assert_eq!(broken(checked(0, 0, &[(0, send(1, 1)), (1, send(1, 2))], None)), ["effect"]);
    assert_eq!(broken(checked(2, 0, &[(0, send(1, 1)), (1, send(1, 2))], ran)), ["effect"]);
    assert_eq!(broken(checked(2, 0, &[(0, send(1, 1)), (1, refuse(1))], ran)), ["effect"]);
    assert_eq!(broken(checked(1, 0, &[(0, send(1, 1)), (1, send(1, 2))], ran)), ["effect"]);
    assert_eq!(broken(checked(1, 0, &[(0, send(1, 1)), (5 * SECOND, send(1, 3))], ran)), ["effect"]);
    assert!(broken(checked(1, 0, &[(0, send(1, 1)), (1, send(1, 3))], ran)).is_empty());
    let all: Vec<_> = (1..=60).map(|id| (0, send(id, 1))).collect();
    assert_eq!(broken(checked(0, 1, &all, ran)), ["ceiling"]);
    let mut drained = checked(0, 0, &[], None);
    drained.told_gone.insert(1, START);
    drained.actions(START + SECOND, &[send(1, 1)]);
    assert_eq!(broken(drained), ["drain"]);
    let mut pushed = checked(0, 0, &[], None);
    pushed.cold.insert(1, (START, 0));
    let flood: Vec<_> = (1..=60).map(|id| send(id, 1)).collect();
    pushed.actions(START, &flood);
    assert_eq!(broken(pushed), ["cold"]);
}
