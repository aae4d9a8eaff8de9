//! Overload of a degraded fleet: half of the nodes are manually ejected, a quarter is in slow start, one node
//! fails, and the load is twice the remaining capacity. Requests of high value must be served, and rejections
//! must not wait for the deadline. Nodes have workers and queues, in virtual time.

mod common;

use common::*;
use std::collections::{BTreeMap, VecDeque};
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

const WORKERS: usize = 4;
/// Service time of a request at a node of full speed (µs): four workers complete 200 requests a second.
const SERVICE_TIME_US: f64 = 20_000.0;
const SLOW_START_TIME: Micros = 60 * SECOND;
/// Nodes 1 to 4 are manually ejected, 5 and 6 are in slow start, 7 fails, 8 is healthy.
const IN_SLOW_START: [BackendId; 2] = [5, 6];
const FAILING: BackendId = 7;
const LAST_NODE: BackendId = 8;
/// Requests a second of high and of low value; together about twice the capacity of the remaining fleet.
const HIGH_VALUE_RATE: u32 = 200;
const LOW_VALUE_RATE: u32 = 400;

struct Node {
    /// Start of the slow start; `None`: the node has full speed.
    slow_start_since: Option<Micros>,
    /// For each running attempt: when it ends, its request and its number.
    running: Vec<(Micros, RequestId, u8)>,
    queue: VecDeque<(RequestId, u8)>,
}

impl Node {
    fn speed(&self, now: Micros) -> f64 {
        self.slow_start_since
            .map_or(1.0, |since| 0.2 + 0.8 * ((now - since) as f64 / SLOW_START_TIME as f64).min(1.0))
    }

    /// Starts queued attempts on free workers. Returns the attempts that have ended by `now`.
    fn work(&mut self, now: Micros) -> Vec<(RequestId, u8)> {
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|(end, ..)| *end <= now);
        self.running = running;
        let ended: Vec<(Micros, RequestId, u8)> = ended;
        while self.running.len() < WORKERS {
            let Some((request, attempt)) = self.queue.pop_front() else { break };
            let end = now + (SERVICE_TIME_US / self.speed(now)) as Micros;
            self.running.push((end, request, attempt));
        }
        ended.into_iter().map(|(_, request, attempt)| (request, attempt)).collect()
    }
}

#[derive(Clone, Copy)]
struct RequestState {
    arrived_at: Micros,
    high_value: bool,
    attempts: u8,
    sent_at: Micros,
    /// Backend and expiry of the attempt in flight.
    attempt_in_flight: Option<(BackendId, Micros)>,
    /// Time from arrival to the response.
    served_after: Option<Micros>,
    /// Time from arrival to the rejection or failure.
    rejected_after: Option<Micros>,
}

struct Simulation {
    gateway: Gateway,
    nodes: BTreeMap<BackendId, Node>,
    requests: Vec<RequestState>,
    now: Micros,
}

impl Simulation {
    fn handle(&mut self, event: Event) {
        for action in step(&mut self.gateway, self.now, event) {
            match action {
                Action::Send { request, backend, expires } => {
                    assert!(backend > 4, "node {backend} is manually ejected");
                    let state = &mut self.requests[request as usize];
                    assert!(state.attempt_in_flight.is_none(), "two attempts in flight");
                    state.attempt_in_flight = Some((backend, expires));
                    (state.attempts, state.sent_at) = (state.attempts + 1, self.now);
                    let attempt = state.attempts - 1;
                    self.nodes.get_mut(&backend).unwrap().queue.push_back((request, attempt));
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    let state = &mut self.requests[request as usize];
                    assert!(
                        state.rejected_after.is_none() && state.served_after.is_none(),
                        "two final responses"
                    );
                    state.rejected_after = Some(self.now - state.arrived_at);
                }
                _ => {}
            }
        }
    }

    fn end_attempt(&mut self, request: RequestId, attempt: u8, outcome: Outcome) {
        let state = &mut self.requests[request as usize];
        let Some((backend, _)) = state.attempt_in_flight.filter(|_| state.attempts == attempt + 1) else {
            return;
        };
        state.attempt_in_flight = None;
        if outcome == Outcome::Ok {
            state.served_after = Some(self.now - state.arrived_at);
        }
        let elapsed = self.now - state.sent_at;
        let Event::AttemptEnded(end) = attempt_ended(request, attempt, backend, outcome) else {
            unreachable!()
        };
        self.handle(Event::AttemptEnded(AttemptEnd { elapsed, ..end }));
    }

    fn tick(&mut self) {
        self.now += TICK;
        for node in 1..=LAST_NODE {
            let state = self.nodes.get_mut(&node).unwrap();
            let ended = if node == FAILING { state.queue.drain(..).collect() } else { state.work(self.now) };
            let outcome = if node == FAILING { Outcome::Reset } else { Outcome::Ok };
            ended.into_iter().for_each(|(request, attempt)| self.end_attempt(request, attempt, outcome));
        }
        for request in 0..self.requests.len() {
            let state = self.requests[request];
            if state.attempt_in_flight.is_some_and(|(_, expires)| self.now >= expires) {
                let (backend, _) = state.attempt_in_flight.unwrap();
                // A queued attempt is dropped; a running one continues.
                let id = request as RequestId;
                self.nodes.get_mut(&backend).unwrap().queue.retain(|(queued, _)| *queued != id);
                self.end_attempt(id, state.attempts - 1, Outcome::Timeout);
            }
        }
        self.handle(Event::Timer { token: self.now });
    }

    fn arrive(&mut self, high_value: bool) {
        let id = self.requests.len() as RequestId;
        let (arrived_at, none) = (self.now, None);
        self.requests.push(RequestState {
            arrived_at,
            high_value,
            attempts: 0,
            sent_at: 0,
            attempt_in_flight: None,
            served_after: none,
            rejected_after: none,
        });
        // A plan without a quota, so that all requests are within it.
        let class = u16::from(high_value);
        self.handle(Event::Request(Request { class, plan: 2, ..request(id, u64::from(id % 50)) }));
    }
}

#[test]
fn overload_does_not_displace_requests_of_high_value_or_delay_rejections() {
    let mut settings = settings();
    settings.gateways = 1;
    settings.classes[0].value = 1.0;
    settings.classes[1] = Class {
        value: 5.0,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        ..settings.classes[0].clone()
    };
    settings.safety.slow_start_time = SLOW_START_TIME;
    let latency_target = settings.classes[0].latency_target;
    let node = || Node { slow_start_since: None, running: Vec::new(), queue: VecDeque::new() };
    let mut simulation = Simulation {
        gateway: Gateway::new(settings, 5),
        nodes: (1..=LAST_NODE).map(|id| (id, node())).collect(),
        requests: Vec::new(),
        now: START,
    };
    let entries =
        (1..=LAST_NODE).map(|id| entry(id, if id <= 4 { Condition::Draining } else { Condition::Ready }, 0));
    simulation.handle(Event::Backends { kind: ListKind::Full, version: 1, entries: entries.collect() });
    for id in IN_SLOW_START {
        simulation.nodes.get_mut(&id).unwrap().slow_start_since = Some(START);
        let entries = vec![entry(id, Condition::Ready, START)];
        simulation.handle(Event::Backends { kind: ListKind::Delta, version: 2, entries });
    }
    let (mut high_value, mut low_value) = (0.0, 0.0);
    while simulation.now < START + 20 * SECOND {
        simulation.tick();
        high_value += f64::from(HIGH_VALUE_RATE) * TICK as f64 / 1e6;
        low_value += f64::from(LOW_VALUE_RATE) * TICK as f64 / 1e6;
        while high_value >= 1.0 {
            high_value -= 1.0;
            simulation.arrive(true);
        }
        while low_value >= 1.0 {
            low_value -= 1.0;
            simulation.arrive(false);
        }
    }
    let until = simulation.now + 2 * SECOND;
    while simulation.now < until {
        simulation.tick();
    }
    // In the first seconds the gateway still learns the capacity of the nodes.
    let measured = |high_value: bool| -> Vec<&RequestState> {
        let is_measured =
            |state: &&RequestState| state.high_value == high_value && state.arrived_at >= START + 5 * SECOND;
        simulation.requests.iter().filter(is_measured).collect()
    };
    let share_in_time = |requests: &[&RequestState]| {
        let in_time = requests
            .iter()
            .filter(|state| state.served_after.is_some_and(|after| after <= latency_target))
            .count();
        in_time as f64 / requests.len() as f64
    };
    let (high_value, low_value) = (measured(true), measured(false));
    let (high_value, low_value) = (share_in_time(&high_value), share_in_time(&low_value));
    assert!(
        high_value >= 0.9 && low_value < 0.5,
        "served in time: {high_value:.3} of high value, {low_value:.3} of low value"
    );
    let open = simulation
        .requests
        .iter()
        .filter(|state| state.served_after.is_none() && state.rejected_after.is_none())
        .count();
    assert_eq!(open, 0, "requests without a final response");
    // Each request is rejected within the latency target, a quarter of the time that its client waits.
    let latest = simulation.requests.iter().filter_map(|state| state.rejected_after).max().unwrap();
    assert!(latest <= latency_target, "{latest} us after its arrival, and the deadline is {}", 2 * SECOND);
    let mut rejected_after: Vec<Micros> =
        simulation.requests.iter().filter_map(|state| state.rejected_after).collect();
    rejected_after.sort_unstable();
    let p90 = rejected_after[rejected_after.len() * 9 / 10];
    assert!(p90 <= latency_target * 4 / 10, "nine in ten within {p90} us");
}
