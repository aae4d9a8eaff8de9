//! Runs a gateway on generated streams of events and prints a digest of its actions for each seed: two versions of
//! the module that print the same digests behave the same (`cargo xtask replay` runs both).
//!
//! ```text
//! actions FIRST_SEED SEEDS STEPS        SEED EVENTS ACTIONS DIGEST, a line each
//! ```
//!
//! Backends leave, drain, restart, are slow or fail; the counter does not respond, is slow, rejects calls or loses its
//! data; peers send messages, also invalid ones; settings change. Events depend on the actions, so a difference grows.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

const TICK: Micros = 4_000;
const SECOND: Micros = 1_000_000;
const BACKENDS: u64 = 8;

/// Not from a library: older versions of the module are built with this file and don't have the dependency.
struct Rng(u64);

impl Rng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }

    fn one_in(&mut self, limit: u64) -> bool {
        self.below(limit) == 0
    }
}

fn class(idempotency: Idempotency, dedup_scope: DedupScope, latency_target: Micros) -> Class {
    Class {
        latency_target,
        latency_target_stretch: 0.0,
        deadline: 2 * SECOND,
        idempotency,
        dedup_scope,
        dedup_window: 4 * SECOND,
        late_value: 0.0,
        value: 1.0 + latency_target as f64 / 1e6,
        streamed: false,
        admission_only: false,
    }
}

fn settings(rng: &mut Rng) -> Settings {
    let plain = Plan { rate: 4.0, burst: 8.0, value: 1.0, ..Plan::default() };
    let hard_limit =
        Plan { hard_limit_rate: 10.0, hard_limit_burst: 20.0, hard_limit_slack: 2.0, ..plain.clone() };
    let limited = Plan { max_in_flight: 6.0, rate: 20.0, burst: 30.0, value: 1.5, ..Plan::default() };
    Settings {
        gateways: 1 + rng.below(12) as u16,
        index: 0,
        tick: TICK,
        classes: vec![
            class(Idempotency::Idempotent, DedupScope::All, 750_000),
            class(Idempotency::Deduplicated, DedupScope::Zone, 500_000),
            class(Idempotency::Deduplicated, DedupScope::All, 500_000),
            class(Idempotency::AtMostOnce, DedupScope::All, 500_000),
            Class { admission_only: true, ..class(Idempotency::Idempotent, DedupScope::All, 300_000) },
        ],
        plans: vec![plain, hard_limit, limited, Plan { value: 1.0, ..Plan::default() }],
        counter: (!rng.one_in(8)).then_some(Counter { timeout: 50_000, fee: 0.01 }),
        max_request_units: 3.0,
        limits: Limits {
            max_attempts: 3,
            peer_messages: !rng.one_in(4),
            peer_message_rate: 40.0,
            retry_hints: true,
            max_retry_after: SECOND,
            connect_timeout: 250_000,
            ..Limits::default()
        },
        safety: Safety {
            deadline_slack: 16_000,
            drain_grace: 250_000,
            slow_start_share: 0.17,
            slow_start_time: 10 * SECOND,
            overload_multiple: 3.0,
            overload_time: SECOND,
            max_poll_interval: 10 * SECOND,
        },
        discovery: if rng.one_in(5) { Discovery::Poll } else { Discovery::Push },
        ..Settings::default()
    }
}

struct Simulation {
    rng: Rng,
    gateway: Gateway,
    settings: Settings,
    now: Micros,
    timers: BTreeSet<(Micros, u64)>,
    calls: BTreeMap<u64, VecDeque<(Micros, f64)>>,
    totals: BTreeMap<u64, f64>,
    /// Attempts in flight: request, number, backend, time sent, time and outcome of the end.
    in_flight: Vec<(RequestId, u8, BackendId, Micros, Micros, Outcome)>,
    attempts: BTreeMap<RequestId, u8>,
    open: BTreeSet<RequestId>,
    next_id: RequestId,
    events: u64,
    actions: u64,
    digest: DefaultHasher,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = Rng(seed);
        let settings = settings(&mut rng);
        Simulation {
            gateway: Gateway::new(settings.clone(), seed),
            settings,
            rng,
            now: 1_000 * SECOND,
            timers: BTreeSet::new(),
            calls: BTreeMap::new(),
            totals: BTreeMap::new(),
            in_flight: Vec::new(),
            attempts: BTreeMap::new(),
            open: BTreeSet::new(),
            next_id: 0,
            events: 0,
            actions: 0,
            digest: DefaultHasher::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        self.events += 1;
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        self.actions += actions.len() as u64;
        for action in actions {
            format!("{action:?}").hash(&mut self.digest);
            match action {
                Action::Timer { at, token } => drop(self.timers.insert((at.max(self.now + 1), token))),
                Action::AddToCounter { counter_id, amount, .. } => {
                    self.calls.entry(counter_id).or_default().push_back((self.now, amount));
                }
                Action::Send { request, backend, .. } => self.start_attempt(request, backend),
                Action::Reject { request, .. } | Action::Fail { request, .. } | Action::Admit { request } => {
                    self.open.remove(&request);
                }
                _ => {}
            }
        }
    }

    fn start_attempt(&mut self, request: RequestId, backend: BackendId) {
        let attempt = self.attempts.entry(request).or_default();
        // Each backend has a behavior, which changes with time: fast, slow, failing or unresponsive.
        let behavior = (u64::from(backend) * 7 + self.now / (9 * SECOND)) % 11;
        let (latency, outcome) = match behavior {
            0 => (2_000, Outcome::ConnectFailed),
            1 => (700_000, Outcome::Timeout),
            2 => (400_000, Outcome::Ok),
            3 => (30_000, [Outcome::Error, Outcome::Reset, Outcome::Full][self.rng.below(3) as usize]),
            _ => (40_000, Outcome::Ok),
        };
        let rare = [Outcome::Stale, Outcome::Withheld, Outcome::Moot, Outcome::Cancelled, Outcome::Reset];
        let outcome = if self.rng.one_in(40) { rare[self.rng.below(5) as usize] } else { outcome };
        let ends_at = self.now + latency / 2 + self.rng.below(latency);
        self.in_flight.push((request, *attempt, backend, self.now, ends_at, outcome));
        *attempt += 1;
    }

    fn send_requests(&mut self) {
        let load = 1 + (self.now / (7 * SECOND)) % 4;
        for _ in 0..self.rng.below(1 + load) {
            self.next_id += 1;
            let customer = self.rng.below(40).min(self.rng.below(40));
            let request = Request {
                id: self.next_id,
                class: self.rng.below(self.settings.classes.len() as u64) as u16,
                plan: (customer % 4) as u16 + if self.rng.one_in(500) { 9 } else { 0 },
                customer,
                units: 1.0 + self.rng.below(3) as f64,
                gateway_count: 1.0 + (customer % 9) as f64,
                first_gateway: (customer % 3) as f64,
                timeout: 20_000 + self.rng.below(2 * SECOND),
                is_retry: false,
                is_write: false,
            };
            self.open.insert(request.id);
            self.handle(Event::Request(request));
        }
    }

    fn end_due(&mut self) {
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&(at, token));
            self.handle(Event::Timer { token });
        }
        let (ended, in_flight) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|attempt| attempt.4 <= self.now);
        self.in_flight = in_flight;
        let ended: Vec<(RequestId, u8, BackendId, Micros, Micros, Outcome)> = ended;
        for (request, attempt, backend, sent, _, outcome) in ended {
            let closed = !self.open.contains(&request) || outcome == Outcome::Ok;
            if outcome == Outcome::Ok {
                self.open.remove(&request);
            }
            let (elapsed, idle) = (self.now - sent, self.rng.below(2_000_000));
            let connection_used = Event::ConnectionUsed {
                idle: Some(idle).filter(|idle| idle % 3 > 0),
                broken: outcome == Outcome::Stale || (idle > 1_200_000 && idle % 5 == 0),
            };
            self.handle(connection_used);
            self.handle(Event::AttemptEnded(AttemptEnd {
                request,
                attempt,
                backend,
                outcome,
                elapsed,
                closed,
                actual_units: 0.0,
                usage: 0,
                report: Vec::new(),
            }));
        }
    }

    fn answer_counter_calls(&mut self) {
        if self.rng.one_in(6_000) {
            self.totals.clear();
        }
        let phase = (self.now / (5 * SECOND)) % 4;
        let latency = [300, 300, 60_000, 30_000][phase as usize];
        for counter_id in self.calls.keys().copied().collect::<Vec<_>>() {
            while let Some((called_at, amount)) = self.calls[&counter_id].front().copied() {
                let took = latency / 2 + self.rng.below(latency);
                if self.now < called_at + took.min(50_000) {
                    break;
                }
                self.calls.get_mut(&counter_id).expect("just read").pop_front();
                let outcome = match self.rng.below(20) {
                    0 => Outcome::Full,
                    1 if phase == 3 => Outcome::ConnectFailed,
                    _ if took >= 50_000 => Outcome::Timeout,
                    _ => Outcome::Ok,
                };
                if !outcome.not_executed() {
                    *self.totals.entry(counter_id).or_default() += amount;
                }
                let total = self.totals.get(&counter_id).copied().unwrap_or(0.0);
                self.handle(Event::CounterAnswered {
                    counter_id,
                    outcome,
                    total,
                    elapsed: self.now - called_at,
                });
            }
        }
        self.calls.retain(|_, calls| !calls.is_empty());
    }

    fn send_list(&mut self, kind: ListKind) {
        let conditions = [Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone];
        let count = if kind == ListKind::Delta { 1 } else { self.rng.below(BACKENDS + 1) };
        let mut entries = Vec::new();
        for index in 0..count {
            let id = if kind == ListKind::Delta { self.rng.below(BACKENDS) } else { index } as BackendId;
            let started_at = if self.rng.one_in(3) { self.now - self.rng.below(SECOND) } else { 0 };
            let condition = conditions[self.rng.below(4) as usize];
            let weight = 1.0 + (id % 3) as f64 / 2.0;
            let (zone, cell) = ((id % 2) as u16, (id % 4) as u16);
            entries.push(BackendEntry { id, zone, kind: 0, cell, condition, weight, started_at });
        }
        self.handle(Event::Backends { kind, version: self.events, entries });
    }

    fn send_other_events(&mut self) {
        if self.rng.one_in(300) {
            self.send_list(ListKind::Delta);
        }
        if self.rng.one_in(3_000) {
            let kind = [ListKind::Full, ListKind::Cached, ListKind::Failed][self.rng.below(3) as usize];
            self.send_list(kind);
        }
        if self.rng.one_in(30) {
            let mut data: Vec<u8> = self.rng.below(40).to_le_bytes().to_vec();
            match self.rng.below(3) {
                0 => data.push(self.rng.below(3) as u8),
                1 => data.extend((self.rng.below(5) as f32).to_le_bytes()),
                _ => data.truncate(self.rng.below(9) as usize),
            }
            self.handle(Event::PeerMessage { from: 1, data });
        }
        if let Some(request) = self.open.first().copied().filter(|_| self.rng.one_in(60)) {
            self.open.remove(&request);
            let withdrawn = self.rng.one_in(3) && !self.attempts.contains_key(&request);
            let (abandoned, withdrawal) = (Event::Abandoned { request }, Event::Withdrawn { request });
            self.handle(if withdrawn { withdrawal } else { abandoned });
        }
        if self.rng.one_in(4_000) {
            let (plan, factor) = (self.rng.below(3) as usize, 0.5 + self.rng.below(4) as f64 / 2.0);
            self.settings.plans[plan].burst = 8.0 * factor;
            self.gateway.reconfigure(self.now, self.settings.clone());
        }
    }

    fn run(mut self, steps: u64) -> (u64, u64, u64) {
        let entry = |id| BackendEntry { id, condition: Condition::Ready, weight: 1.0, ..Default::default() };
        let entries = (0..BACKENDS as BackendId).map(entry).collect();
        self.handle(Event::Backends { kind: ListKind::Full, version: 1, entries });
        for _ in 0..steps {
            self.now += TICK;
            self.send_requests();
            self.end_due();
            self.answer_counter_calls();
            self.send_other_events();
        }
        format!("{:?}", self.gateway.fleet_view()).hash(&mut self.digest);
        (self.events, self.actions, self.digest.finish())
    }
}

fn main() {
    let mut numbers = std::env::args().skip(1).map(|argument| argument.parse::<u64>().expect("an integer"));
    let mut next = |default| numbers.next().unwrap_or(default);
    let (first, seeds, steps) = (next(1), next(20), next(5_000));
    for seed in first..first + seeds {
        let (events, actions, digest) = Simulation::new(seed).run(steps);
        println!("{seed} {events} {actions} {digest:016x}");
    }
}
