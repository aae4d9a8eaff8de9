//! Quota counting at home gateways: a fleet of gateways in virtual time, with a counter that is overloaded or
//! late.

mod common;

use common::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

const QUOTA_PLAN: u16 = 0;
const HARD_LIMIT_PLAN: u16 = 1;
const MS: Micros = 1_000;

/// How the counter responds to calls.
#[derive(Clone, Copy, PartialEq)]
enum Counter {
    Healthy,
    Rejects,
    /// Adds the units, but answers only after the time-out.
    TimesOut,
}

struct Fleet {
    gateways: Vec<Gateway>,
    counter: Counter,
    totals: BTreeMap<u64, f64>,
    /// Gateways that can't exchange messages with their peers.
    isolated: Vec<u16>,
    /// Times and numbers of pending events, and the events with their gateways by number.
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    scheduled: BTreeMap<u64, (u16, Event)>,
    next_number: u64,
    next_request: RequestId,
    /// Times and units of forwarded requests.
    forwarded: Vec<(Micros, f64)>,
    /// Time from arrival to rejection of each rejected request.
    rejected: Vec<Micros>,
    /// Arrival times and units of requests without a final response.
    open: BTreeMap<RequestId, (Micros, f64)>,
    counter_calls: u32,
    /// Number of peer messages to each gateway.
    messages_to: Vec<u32>,
}

impl Fleet {
    fn new(count: u16, counter: Counter) -> Fleet {
        let gateways = (0..count).map(|index| {
            let mut settings = Settings { gateways: count, index, ..settings() };
            settings.limits.peer_messages = true;
            settings.limits.peer_message_rate = 40.0;
            let mut gateway = Gateway::new(settings, u64::from(index) + 1);
            step(&mut gateway, START, full_list(&(1..=40).collect::<Vec<_>>()));
            gateway
        });
        Fleet {
            gateways: gateways.collect(),
            counter,
            totals: BTreeMap::new(),
            isolated: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            next_number: 0,
            next_request: 0,
            forwarded: Vec::new(),
            rejected: Vec::new(),
            open: BTreeMap::new(),
            counter_calls: 0,
            messages_to: vec![0; usize::from(count)],
        }
    }

    fn schedule(&mut self, at: Micros, gateway: u16, event: Event) {
        self.events.push(Reverse((at, self.next_number)));
        self.scheduled.insert(self.next_number, (gateway, event));
        self.next_number += 1;
    }

    /// Schedules requests of one unit for a customer, evenly distributed over its gateways and over the time.
    fn add_requests(
        &mut self,
        customer: CustomerId,
        plan: u16,
        gateway_count: u16,
        rate: f64,
        from: Micros,
        until: Micros,
    ) {
        let interval = (1e6 / rate) as Micros;
        for (i, at) in (from..until).step_by(interval as usize).enumerate() {
            // The stride has no common factor with the number of gateways, so that successive requests don't go
            // to neighbouring gateways.
            let gateway = (i * 7 % usize::from(gateway_count)) as u16;
            let id = self.next_request;
            self.next_request += 1;
            let added = Request { plan, gateway_count: f64::from(gateway_count), ..request(id, customer) };
            self.open.insert(id, (at, added.units));
            self.schedule(at, gateway, Event::Request(added));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((now, number))) = self.events.pop() {
            let (index, event) = self.scheduled.remove(&number).expect("scheduled once");
            for action in step(&mut self.gateways[usize::from(index)], now, event) {
                self.perform(now, index, action);
            }
        }
        assert!(self.open.is_empty(), "{} requests have no final response", self.open.len());
    }

    fn perform(&mut self, now: Micros, index: u16, action: Action) {
        match action {
            Action::AddToCounter { counter_id, amount, .. } => {
                self.counter_calls += 1;
                let (outcome, after) = match self.counter {
                    Counter::Healthy => (Outcome::Ok, 4 * MS),
                    Counter::Rejects => (Outcome::Full, 4 * MS),
                    Counter::TimesOut => (Outcome::Timeout, 50 * MS),
                };
                let total = self.totals.entry(counter_id).or_default();
                *total += if outcome == Outcome::Full { 0.0 } else { amount };
                let total = if outcome == Outcome::Ok { *total } else { 0.0 };
                self.schedule(
                    now + after,
                    index,
                    Event::CounterAnswered { counter_id, outcome, total, elapsed: after },
                );
            }
            Action::SendPeerMessage { to, data } => {
                let to = to.expect("a message to one gateway");
                self.messages_to[usize::from(to)] += 1;
                if !self.isolated.contains(&to) && !self.isolated.contains(&index) {
                    self.schedule(now + 20 * MS, to, Event::PeerMessage { from: index.into(), data });
                }
            }
            Action::Timer { at, token } => self.schedule(at, index, Event::Timer { token }),
            Action::Send { request, backend, .. } => {
                let (_, units) = self.open.remove(&request).expect("open");
                self.forwarded.push((now, units));
                self.schedule(now + 20 * MS, index, attempt_ended(request, 0, backend, Outcome::Ok));
            }
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                let (arrived_at, _) = self.open.remove(&request).expect("open");
                self.rejected.push(now - arrived_at);
            }
            _ => {}
        }
    }

    fn units(&self) -> f64 {
        self.forwarded.iter().map(|(_, units)| units).sum()
    }

    /// The largest excess in any period of forwarded units over `burst` plus `rate` (units a second) times the period.
    fn max_excess(&self, burst: f64, rate: f64) -> f64 {
        let mut max = f64::MIN;
        for (i, (from, _)) in self.forwarded.iter().enumerate() {
            let mut units = 0.0;
            for (at, forwarded) in &self.forwarded[i..] {
                units += forwarded;
                max = max.max(units - burst - rate * (at - from) as f64 / 1e6);
            }
        }
        max
    }
}

const DURATION: Micros = 20 * SECOND;
/// The quota for [`DURATION`]: a burst of ten units, and five units a second.
const QUOTA: f64 = 10.0 + 5.0 * 20.0;

#[test]
fn customer_of_many_gateways_far_beyond_its_quota_gets_its_quota() {
    for counter in [Counter::Rejects, Counter::TimesOut] {
        let mut fleet = Fleet::new(100, counter);
        fleet.add_requests(77, QUOTA_PLAN, 60, 40.0, START, START + DURATION);
        fleet.run();
        let share = fleet.units() / QUOTA;
        assert!((0.8..=1.15).contains(&share), "{share} of the quota");
    }
}

#[test]
fn customer_of_many_gateways_just_below_its_quota_is_not_rejected() {
    for counter in [Counter::Rejects, Counter::TimesOut, Counter::Healthy] {
        let mut fleet = Fleet::new(100, counter);
        fleet.add_requests(77, QUOTA_PLAN, 60, 4.5, START, START + DURATION);
        fleet.run();
        assert!(fleet.rejected.len() <= 2, "{} of 90 rejected", fleet.rejected.len());
    }
}

#[test]
fn unreachable_home_gateway_is_replaced_by_the_next_one() {
    let mut homes = 0;
    for unreachable in 0..12 {
        let mut fleet = Fleet::new(100, Counter::Rejects);
        fleet.isolated = vec![unreachable];
        fleet.add_requests(77, QUOTA_PLAN, 12, 4.0, START, START + DURATION);
        fleet.run();
        // Requests that arrive at the isolated gateway are not counted at another one.
        assert!(fleet.rejected.len() <= 12, "{} of 80 rejected without {unreachable}", fleet.rejected.len());
        homes += u32::from(fleet.messages_to[usize::from(unreachable)] > 0);
        assert!(fleet.units() <= QUOTA);
    }
    assert_eq!(homes, 1, "exactly one of the isolated gateways is the home");
}

#[test]
fn requests_are_decided_soon_without_home_gateways_and_counter() {
    let mut fleet = Fleet::new(100, Counter::TimesOut);
    fleet.isolated = (0..100).collect();
    fleet.add_requests(77, QUOTA_PLAN, 60, 20.0, START, START + DURATION);
    fleet.run();
    let longest = fleet.rejected.iter().max();
    assert!(longest < Some(&(500 * MS)), "queued for {longest:?} us");
    assert!(fleet.units() > 0.0 && fleet.units() < 2.5 * QUOTA, "{}", fleet.units());
}

#[test]
fn isolated_gateways_of_a_customer_with_few_gateways_forward_about_their_share() {
    // The gateways don't know what the customer's other gateways forward, so each one extrapolates from its own
    // units. Only the two home gateways count for all: they forward a full quota each, the other four a sixth
    // each.
    let mut fleet = Fleet::new(100, Counter::TimesOut);
    fleet.isolated = (0..100).collect();
    fleet.add_requests(77, QUOTA_PLAN, 6, 40.0, START, START + DURATION);
    fleet.run();
    let share = fleet.units() / QUOTA;
    assert!((0.5..=2.0 + 4.0 / 6.0).contains(&share), "{share} of the quota");
}

#[test]
fn hard_limit_holds_with_any_counter_and_any_isolated_gateways() {
    // A hard limit of ten units a second and a burst of twenty, with a slack of two, at ten times the quota.
    for counter in [Counter::Healthy, Counter::Rejects, Counter::TimesOut] {
        for isolated in [vec![], vec![0], vec![1], vec![2], vec![0, 1, 2]] {
            let mut fleet = Fleet::new(100, counter);
            fleet.isolated = isolated.clone();
            fleet.add_requests(78, HARD_LIMIT_PLAN, 3, 50.0, START, START + DURATION);
            fleet.run();
            let excess = fleet.max_excess(20.0, 10.0);
            assert!(excess <= 2.0, "{excess} above the limit, without {isolated:?}");
        }
    }
}

#[test]
fn customer_of_three_gateways_under_a_hard_limit_gets_its_quota_with_few_counter_calls() {
    let mut fleet = Fleet::new(100, Counter::Healthy);
    fleet.add_requests(78, HARD_LIMIT_PLAN, 3, 20.0, START, START + DURATION);
    fleet.run();
    let share = fleet.units() / QUOTA;
    assert!((0.8..=1.15).contains(&share), "{share} of the quota");
}

#[test]
fn home_gateway_needs_few_counter_calls_and_at_most_two_messages_for_each_request() {
    let mut fleet = Fleet::new(100, Counter::Healthy);
    fleet.add_requests(77, QUOTA_PLAN, 60, 40.0, START, START + DURATION);
    fleet.run();
    let requests = fleet.next_request;
    assert!(fleet.counter_calls < requests / 2, "{} calls for {requests} requests", fleet.counter_calls);
    let messages: u32 = fleet.messages_to.iter().sum();
    assert!(messages <= 2 * requests, "{messages} messages for {requests} requests");
}

#[test]
fn small_fleet_sends_no_queries_to_home_gateways() {
    let mut fleet = Fleet::new(4, Counter::TimesOut);
    fleet.add_requests(77, QUOTA_PLAN, 1, 4.0, START, START + DURATION);
    fleet.run();
    assert_eq!(fleet.messages_to.iter().sum::<u32>(), 0);
}

/// A query to the home gateway of customer 77, who uses the first sixty gateways.
fn home_query(id: RequestId, plan: u16, units: f32) -> Vec<u8> {
    let mut data = id.to_le_bytes().to_vec();
    data.extend(77u64.to_le_bytes());
    data.extend(plan.to_le_bytes());
    data.extend([60, 0, 0, 0]);
    data.extend(units.to_le_bytes());
    data
}

#[test]
fn invalid_peer_messages_change_nothing() {
    let mut settings = Settings { gateways: 100, index: 3, ..settings() };
    settings.limits.peer_messages = true;
    let mut gateway = gateway(settings, &[1, 2]);
    let query = |plan, units| home_query(9, plan, units);
    let mut receive = |from, data| step(&mut gateway, START, Event::PeerMessage { from, data });
    let out_of_range =
        [query(9, 1.0), query(2, 1.0), query(0, f32::NAN), query(0, f32::INFINITY), query(0, 1e9)];
    let malformed = [vec![], vec![1], vec![0; 8], vec![9; 9], vec![255; 256], query(0, 1.0)[..21].to_vec()];
    for data in out_of_range.into_iter().chain(malformed) {
        assert!(receive(4, data).is_empty());
    }
    assert!(receive(100, query(0, 1.0)).is_empty(), "the sender is not in the fleet");
    let answers = receive(4, query(0, 1.0));
    assert!(
        answers.iter().any(|action| matches!(action, Action::SendPeerMessage { to: Some(4), .. })),
        "{answers:?}"
    );
}

#[test]
fn units_returned_to_a_home_gateway_can_be_used_again() {
    let mut settings = Settings { gateways: 100, index: 3, ..settings() };
    settings.limits.peer_messages = true;
    let mut gateway = gateway(settings, &[1, 2]);
    let mut is_admitted = |id, units| {
        let actions = step(
            &mut gateway,
            START,
            Event::PeerMessage { from: 4, data: home_query(id, QUOTA_PLAN, units) },
        );
        let answer = actions.iter().find_map(|action| match action {
            Action::SendPeerMessage { to: Some(4), data } if data.len() == 9 => Some(data[4] == 1),
            _ => None,
        });
        answer
    };
    let admitted = (0..20).filter(|id| is_admitted(*id, 1.0) == Some(true)).count();
    assert_eq!(admitted, 10, "the burst");
    assert_eq!(is_admitted(30, -1.0), None, "a return of units is not answered");
    assert_eq!(is_admitted(31, 1.0), Some(true));
    assert_eq!(is_admitted(32, 1.0), Some(false));
}
