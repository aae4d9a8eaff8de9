//! Half of the fleet out by hand, a quarter cold, one node failing, and twice what the rest bears: what is
//! worth most is served, and nothing waits for its deadline to be refused. Nodes have workers and queues, in
//! virtual time.

mod common;

use common::*;
use std::collections::{BTreeMap, VecDeque};
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

const WORKERS: usize = 4;
/// Work of one request at a warm node: four workers do 200 a second.
const WORK: f64 = 20_000.0;
const COLD_TIME: Micros = 60 * SECOND;
/// Nodes 1 to 4 are out by hand, 5 and 6 cold, 7 fails, 8 is well.
const COLD: [BackendId; 2] = [5, 6];
const FAILING: BackendId = 7;
const NODES: BackendId = 8;
/// Worth much, worth little; together about twice what is left of the fleet can do.
const MUCH_A_SECOND: u32 = 200;
const LITTLE_A_SECOND: u32 = 400;

struct Node {
    started: Option<Micros>,
    /// When each busy worker is free, and for whom it works.
    busy: Vec<(Micros, RequestId, u8)>,
    waiting: VecDeque<(RequestId, u8)>,
}

impl Node {
    fn speed(&self, now: Micros) -> f64 {
        self.started.map_or(1.0, |started| 0.2 + 0.8 * ((now - started) as f64 / COLD_TIME as f64).min(1.0))
    }

    /// Takes up what waits; ends of work until `now`.
    fn work(&mut self, now: Micros) -> Vec<(RequestId, u8)> {
        let (over, busy) = std::mem::take(&mut self.busy).into_iter().partition(|(end, ..)| *end <= now);
        self.busy = busy;
        let over: Vec<(Micros, RequestId, u8)> = over;
        while self.busy.len() < WORKERS {
            let Some((request, attempt)) = self.waiting.pop_front() else { break };
            let end = now + (WORK / self.speed(now)) as Micros;
            self.busy.push((end, request, attempt));
        }
        over.into_iter().map(|(_, request, attempt)| (request, attempt)).collect()
    }
}

#[derive(Clone, Copy)]
struct Try {
    came: Micros,
    much: bool,
    attempts: u8,
    sent: Micros,
    out: Option<(BackendId, Micros)>,
    /// How long it took to be served, or to be given up.
    served: Option<Micros>,
    given_up: Option<Micros>,
}

struct World {
    gateway: Gateway,
    nodes: BTreeMap<BackendId, Node>,
    tries: Vec<Try>,
    now: Micros,
}

impl World {
    fn give(&mut self, event: Event) {
        for action in step(&mut self.gateway, self.now, event) {
            match action {
                Action::Send { request, backend, expires } => {
                    assert!(backend > 4, "node {backend} is out by hand");
                    let seen = &mut self.tries[request as usize];
                    assert!(seen.out.is_none(), "two attempts at a time");
                    seen.out = Some((backend, expires));
                    (seen.attempts, seen.sent) = (seen.attempts + 1, self.now);
                    let attempt = seen.attempts - 1;
                    self.nodes.get_mut(&backend).unwrap().waiting.push_back((request, attempt));
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    let seen = &mut self.tries[request as usize];
                    assert!(seen.given_up.is_none() && seen.served.is_none(), "two answers");
                    seen.given_up = Some(self.now - seen.came);
                }
                _ => {}
            }
        }
    }

    fn ended(&mut self, request: RequestId, attempt: u8, outcome: Outcome) {
        let seen = &mut self.tries[request as usize];
        let Some((backend, _)) = seen.out.filter(|_| seen.attempts == attempt + 1) else { return };
        seen.out = None;
        if outcome == Outcome::Ok {
            seen.served = Some(self.now - seen.came);
        }
        let elapsed = self.now - seen.sent;
        let Event::AttemptEnded(end) = attempt_ended(request, attempt, backend, outcome) else {
            unreachable!()
        };
        self.give(Event::AttemptEnded(AttemptEnd { elapsed, ..end }));
    }

    fn tick(&mut self) {
        self.now += TICK;
        for node in 1..=NODES {
            let of = self.nodes.get_mut(&node).unwrap();
            let over = if node == FAILING { of.waiting.drain(..).collect() } else { of.work(self.now) };
            let outcome = if node == FAILING { Outcome::Reset } else { Outcome::Ok };
            over.into_iter().for_each(|(request, attempt)| self.ended(request, attempt, outcome));
        }
        for request in 0..self.tries.len() {
            let seen = self.tries[request];
            if seen.out.is_some_and(|(_, expires)| self.now >= expires) {
                let (backend, _) = seen.out.unwrap();
                // Waiting work is dropped; what has begun runs on.
                let id = request as RequestId;
                self.nodes.get_mut(&backend).unwrap().waiting.retain(|(waiting, _)| *waiting != id);
                self.ended(id, seen.attempts - 1, Outcome::Timeout);
            }
        }
        self.give(Event::Timer { token: self.now });
    }

    fn arrive(&mut self, much: bool) {
        let id = self.tries.len() as RequestId;
        let (came, none) = (self.now, None);
        self.tries.push(Try { came, much, attempts: 0, sent: 0, out: None, served: none, given_up: none });
        // Without a quota: all of it is wanted.
        let class = u16::from(much);
        self.give(Event::Request(Request { class, plan: 2, ..request(id, u64::from(id % 50)) }));
    }
}

#[test]
fn what_is_worth_most_is_served_and_nothing_is_refused_late() {
    let mut settings = settings();
    settings.gateways = 1;
    settings.classes[0].value = 1.0;
    settings.classes[1] = Class {
        value: 5.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        ..settings.classes[0].clone()
    };
    settings.safety.slow_start_time = COLD_TIME;
    let aim = settings.classes[0].latency_target;
    let node = || Node { started: None, busy: Vec::new(), waiting: VecDeque::new() };
    let mut world = World {
        gateway: Gateway::new(settings, 5),
        nodes: (1..=NODES).map(|id| (id, node())).collect(),
        tries: Vec::new(),
        now: START,
    };
    let entries =
        (1..=NODES).map(|id| entry(id, if id <= 4 { Condition::Draining } else { Condition::Ready }, 0));
    world.give(Event::Backends { kind: ListKind::Full, version: 1, entries: entries.collect() });
    for id in COLD {
        world.nodes.get_mut(&id).unwrap().started = Some(START);
        let entries = vec![entry(id, Condition::Ready, START)];
        world.give(Event::Backends { kind: ListKind::Delta, version: 2, entries });
    }
    let (mut much, mut little) = (0.0, 0.0);
    while world.now < START + 20 * SECOND {
        world.tick();
        much += f64::from(MUCH_A_SECOND) * TICK as f64 / 1e6;
        little += f64::from(LITTLE_A_SECOND) * TICK as f64 / 1e6;
        while much >= 1.0 {
            much -= 1.0;
            world.arrive(true);
        }
        while little >= 1.0 {
            little -= 1.0;
            world.arrive(false);
        }
    }
    let until = world.now + 2 * SECOND;
    while world.now < until {
        world.tick();
    }
    // The first seconds go on learning what the nodes can do.
    let of = |much: bool| -> Vec<&Try> {
        let late = |seen: &&Try| seen.much == much && seen.came >= START + 5 * SECOND;
        world.tries.iter().filter(late).collect()
    };
    let share = |of: &[&Try]| {
        let in_time = of.iter().filter(|seen| seen.served.is_some_and(|took| took <= aim)).count();
        in_time as f64 / of.len() as f64
    };
    let (much, little) = (of(true), of(false));
    let (much, little) = (share(&much), share(&little));
    assert!(much >= 0.9 && little < 0.5, "served in time: {much:.3} of much worth, {little:.3} of little");
    let open = world.tries.iter().filter(|seen| seen.served.is_none() && seen.given_up.is_none()).count();
    assert_eq!(open, 0, "without an answer");
    // Each is given up while its client would still wait four times as long.
    let latest = world.tries.iter().filter_map(|seen| seen.given_up).max().unwrap();
    assert!(latest <= aim, "{latest} us after it came, and the deadline is {}", 2 * SECOND);
    let mut given_up: Vec<Micros> = world.tries.iter().filter_map(|seen| seen.given_up).collect();
    given_up.sort_unstable();
    let usual = given_up[given_up.len() * 9 / 10];
    assert!(usual <= aim * 4 / 10, "nine in ten within {usual} us");
}
