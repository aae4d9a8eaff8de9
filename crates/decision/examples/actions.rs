//! Plays generated streams of events to a gateway and prints a digest of its actions for each seed: two versions of
//! the module that print the same act the same (`cargo xtask replay` runs both).
//!
//! ```text
//! actions FIRST_SEED SEEDS STEPS        SEED EVENTS ACTIONS DIGEST, a line each
//! ```
//!
//! Nodes die, drain, start anew, are slow or fail; the counter is silent, slow, refuses or loses its numbers; peers
//! speak, also nonsense; settings change. What happens depends on the actions, so a difference grows.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

const TICK: Micros = 4_000;
const SECOND: Micros = 1_000_000;
const NODES: u64 = 8;

/// No library: an older version of the module is built with this file and without its dependencies.
struct Random(u64);

impl Random {
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

fn settings(random: &mut Random) -> Settings {
    let plain = Plan { rate: 4.0, burst: 8.0, value: 1.0, ..Plan::default() };
    let ceiling =
        Plan { hard_limit_rate: 10.0, hard_limit_burst: 20.0, hard_limit_slack: 2.0, ..plain.clone() };
    let capped = Plan { max_in_flight: 6.0, rate: 20.0, burst: 30.0, value: 1.5, ..Plan::default() };
    Settings {
        gateways: 1 + random.below(12) as u16,
        index: 0,
        tick: TICK,
        classes: vec![
            class(Idempotency::Idempotent, DedupScope::All, 750_000),
            class(Idempotency::Deduplicated, DedupScope::Zone, 500_000),
            class(Idempotency::Deduplicated, DedupScope::All, 500_000),
            class(Idempotency::AtMostOnce, DedupScope::All, 500_000),
            Class { admission_only: true, ..class(Idempotency::Idempotent, DedupScope::All, 300_000) },
        ],
        plans: vec![plain, ceiling, capped, Plan { value: 1.0, ..Plan::default() }],
        counter: (!random.one_in(8)).then_some(Counter { timeout: 50_000, fee: 0.01 }),
        max_request_units: 3.0,
        limits: Limits {
            max_attempts: 3,
            peer_messages: !random.one_in(4),
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
        discovery: if random.one_in(5) { Discovery::Poll } else { Discovery::Push },
        ..Settings::default()
    }
}

struct World {
    random: Random,
    gateway: Gateway,
    settings: Settings,
    now: Micros,
    timers: BTreeSet<(Micros, u64)>,
    calls: BTreeMap<u64, VecDeque<(Micros, f64)>>,
    totals: BTreeMap<u64, f64>,
    /// Attempts out: request, number, node, sent, the end that awaits them.
    out: Vec<(RequestId, u8, BackendId, Micros, Micros, Outcome)>,
    attempts: BTreeMap<RequestId, u8>,
    open: BTreeSet<RequestId>,
    next: RequestId,
    events: u64,
    actions: u64,
    digest: DefaultHasher,
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = Random(seed);
        let settings = settings(&mut random);
        World {
            gateway: Gateway::new(settings.clone(), seed),
            settings,
            random,
            now: 1_000 * SECOND,
            timers: BTreeSet::new(),
            calls: BTreeMap::new(),
            totals: BTreeMap::new(),
            out: Vec::new(),
            attempts: BTreeMap::new(),
            open: BTreeSet::new(),
            next: 0,
            events: 0,
            actions: 0,
            digest: DefaultHasher::new(),
        }
    }

    fn give(&mut self, event: Event) {
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
                Action::Send { request, backend, .. } => self.sent(request, backend),
                Action::Reject { request, .. } | Action::Fail { request, .. } | Action::Admit { request } => {
                    self.open.remove(&request);
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, request: RequestId, backend: BackendId) {
        let attempt = self.attempts.entry(request).or_default();
        // Each node has a temper, which changes with time: quick, slow, failing or silent.
        let temper = (u64::from(backend) * 7 + self.now / (9 * SECOND)) % 11;
        let (usual, outcome) = match temper {
            0 => (2_000, Outcome::ConnectFailed),
            1 => (700_000, Outcome::Timeout),
            2 => (400_000, Outcome::Ok),
            3 => (30_000, [Outcome::Error, Outcome::Reset, Outcome::Full][self.random.below(3) as usize]),
            _ => (40_000, Outcome::Ok),
        };
        let chance = [Outcome::Stale, Outcome::Withheld, Outcome::Moot, Outcome::Cancelled, Outcome::Reset];
        let outcome = if self.random.one_in(40) { chance[self.random.below(5) as usize] } else { outcome };
        let over = self.now + usual / 2 + self.random.below(usual);
        self.out.push((request, *attempt, backend, self.now, over, outcome));
        *attempt += 1;
    }

    fn arrivals(&mut self) {
        let busy = 1 + (self.now / (7 * SECOND)) % 4;
        for _ in 0..self.random.below(1 + busy) {
            self.next += 1;
            let customer = self.random.below(40).min(self.random.below(40));
            let request = Request {
                id: self.next,
                class: self.random.below(self.settings.classes.len() as u64) as u16,
                plan: (customer % 4) as u16 + if self.random.one_in(500) { 9 } else { 0 },
                customer,
                units: 1.0 + self.random.below(3) as f64,
                gateway_count: 1.0 + (customer % 9) as f64,
                first_gateway: (customer % 3) as f64,
                timeout: 20_000 + self.random.below(2 * SECOND),
                is_retry: false,
                is_write: false,
            };
            self.open.insert(request.id);
            self.give(Event::Request(request));
        }
    }

    fn due(&mut self) {
        while let Some((at, token)) = self.timers.first().copied().filter(|(at, _)| *at <= self.now) {
            self.timers.remove(&(at, token));
            self.give(Event::Timer { token });
        }
        let (over, out) =
            std::mem::take(&mut self.out).into_iter().partition(|attempt| attempt.4 <= self.now);
        self.out = out;
        let over: Vec<(RequestId, u8, BackendId, Micros, Micros, Outcome)> = over;
        for (request, attempt, backend, sent, _, outcome) in over {
            let closed = !self.open.contains(&request) || outcome == Outcome::Ok;
            if outcome == Outcome::Ok {
                self.open.remove(&request);
            }
            let (elapsed, unused) = (self.now - sent, self.random.below(2_000_000));
            let carried = Event::ConnectionUsed {
                idle: Some(unused).filter(|unused| unused % 3 > 0),
                broken: outcome == Outcome::Stale || (unused > 1_200_000 && unused % 5 == 0),
            };
            self.give(carried);
            self.give(Event::AttemptEnded(AttemptEnd {
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

    fn counter(&mut self) {
        if self.random.one_in(6_000) {
            self.totals.clear();
        }
        let mood = (self.now / (5 * SECOND)) % 4;
        let slow = [300, 300, 60_000, 30_000][mood as usize];
        for counter_id in self.calls.keys().copied().collect::<Vec<_>>() {
            while let Some((made, amount)) = self.calls[&counter_id].front().copied() {
                let took = slow / 2 + self.random.below(slow);
                if self.now < made + took.min(50_000) {
                    break;
                }
                self.calls.get_mut(&counter_id).expect("just read").pop_front();
                let outcome = match self.random.below(20) {
                    0 => Outcome::Full,
                    1 if mood == 3 => Outcome::ConnectFailed,
                    _ if took >= 50_000 => Outcome::Timeout,
                    _ => Outcome::Ok,
                };
                if !outcome.not_executed() {
                    *self.totals.entry(counter_id).or_default() += amount;
                }
                let total = self.totals.get(&counter_id).copied().unwrap_or(0.0);
                self.give(Event::CounterAnswered { counter_id, outcome, total, elapsed: self.now - made });
            }
        }
        self.calls.retain(|_, waiting| !waiting.is_empty());
    }

    fn list(&mut self, kind: ListKind) {
        let conditions = [Condition::Ready, Condition::Ready, Condition::Draining, Condition::Gone];
        let many = if kind == ListKind::Delta { 1 } else { self.random.below(NODES + 1) };
        let mut entries = Vec::new();
        for node in 0..many {
            let id = if kind == ListKind::Delta { self.random.below(NODES) } else { node } as BackendId;
            let started_at = if self.random.one_in(3) { self.now - self.random.below(SECOND) } else { 0 };
            let condition = conditions[self.random.below(4) as usize];
            let weight = 1.0 + (id % 3) as f64 / 2.0;
            let (zone, cell) = ((id % 2) as u16, (id % 4) as u16);
            entries.push(BackendEntry { id, zone, kind: 0, cell, condition, weight, started_at });
        }
        self.give(Event::Backends { kind, version: self.events, entries });
    }

    fn others(&mut self) {
        if self.random.one_in(300) {
            self.list(ListKind::Delta);
        }
        if self.random.one_in(3_000) {
            let kind = [ListKind::Full, ListKind::Cached, ListKind::Failed][self.random.below(3) as usize];
            self.list(kind);
        }
        if self.random.one_in(30) {
            let mut data: Vec<u8> = self.random.below(40).to_le_bytes().to_vec();
            match self.random.below(3) {
                0 => data.push(self.random.below(3) as u8),
                1 => data.extend((self.random.below(5) as f32).to_le_bytes()),
                _ => data.truncate(self.random.below(9) as usize),
            }
            self.give(Event::PeerMessage { from: 1, data });
        }
        if let Some(request) = self.open.first().copied().filter(|_| self.random.one_in(60)) {
            self.open.remove(&request);
            let withdrawn = self.random.one_in(3) && !self.attempts.contains_key(&request);
            let (gone, back) = (Event::Abandoned { request }, Event::Withdrawn { request });
            self.give(if withdrawn { back } else { gone });
        }
        if self.random.one_in(4_000) {
            let (plan, factor) = (self.random.below(3) as usize, 0.5 + self.random.below(4) as f64 / 2.0);
            self.settings.plans[plan].burst = 8.0 * factor;
            self.gateway.reconfigure(self.now, self.settings.clone());
        }
    }

    fn play(mut self, steps: u64) -> (u64, u64, u64) {
        let entry = |id| BackendEntry { id, condition: Condition::Ready, weight: 1.0, ..Default::default() };
        let entries = (0..NODES as BackendId).map(entry).collect();
        self.give(Event::Backends { kind: ListKind::Full, version: 1, entries });
        for _ in 0..steps {
            self.now += TICK;
            self.arrivals();
            self.due();
            self.counter();
            self.others();
        }
        format!("{:?}", self.gateway.fleet_view()).hash(&mut self.digest);
        (self.events, self.actions, self.digest.finish())
    }
}

fn main() {
    let mut numbers = std::env::args().skip(1).map(|word| word.parse::<u64>().expect("a whole number"));
    let mut next = |usual| numbers.next().unwrap_or(usual);
    let (first, seeds, steps) = (next(1), next(20), next(5_000));
    for seed in first..first + seeds {
        let (events, actions, digest) = World::new(seed).play(steps);
        println!("{seed} {events} {actions} {digest:016x}");
    }
}
