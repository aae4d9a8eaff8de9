//! Counting at a home: a fleet of gateways with a counter that cannot take their calls, on played time.

mod common;

use common::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

const PLAIN: u16 = 0;
const UNDER_CEILING: u16 = 1;
const MS: Micros = 1_000;

/// What the counter does with a call.
#[derive(Clone, Copy, PartialEq)]
enum Counter {
    Answers,
    TurnsAway,
    /// Adds, but answers nobody in time.
    IsLate,
}

struct Fleet {
    gateways: Vec<Gateway>,
    counter: Counter,
    totals: BTreeMap<u64, f64>,
    /// Gateways that neither hear nor are heard by their peers.
    cut_off: Vec<u16>,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, (u16, Event)>,
    next: u64,
    request: RequestId,
    /// When units were sent on, and how long after its arrival each request was refused.
    sent: Vec<(Micros, f64)>,
    refused: Vec<Micros>,
    open: BTreeMap<RequestId, (Micros, f64)>,
    calls: u32,
    told: Vec<u32>,
}

impl Fleet {
    fn new(count: u16, counter: Counter) -> Fleet {
        let gateways = (0..count).map(|index| {
            let mut settings = Settings { gateways: count, index, ..settings() };
            settings.limits.peer_messages = true;
            settings.limits.peer_message_rate = 40.0;
            let mut gateway = Gateway::new(settings, u64::from(index) + 1);
            step(&mut gateway, START, list(&(1..=40).collect::<Vec<_>>()));
            gateway
        });
        Fleet {
            gateways: gateways.collect(),
            counter,
            totals: BTreeMap::new(),
            cut_off: Vec::new(),
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            next: 0,
            request: 0,
            sent: Vec::new(),
            refused: Vec::new(),
            open: BTreeMap::new(),
            calls: 0,
            told: vec![0; usize::from(count)],
        }
    }

    fn due(&mut self, at: Micros, gateway: u16, event: Event) {
        self.events.push(Reverse((at, self.next)));
        self.what.insert(self.next, (gateway, event));
        self.next += 1;
    }

    /// Requests of one unit for one customer, evenly over its set and over the time.
    fn ask(&mut self, customer: CustomerId, plan: u16, spread: u16, rate: f64, from: Micros, until: Micros) {
        let apart = (1e6 / rate) as Micros;
        for (i, at) in (from..until).step_by(apart as usize).enumerate() {
            // A stride that has no factor in common with the set's size, so that neighbours take no turns.
            let gateway = (i * 7 % usize::from(spread)) as u16;
            let id = self.request;
            self.request += 1;
            let asked = Request { plan, gateway_count: f64::from(spread), ..request(id, customer) };
            self.open.insert(id, (at, asked.units));
            self.due(at, gateway, Event::Request(asked));
        }
    }

    fn play(&mut self) {
        while let Some(Reverse((now, number))) = self.events.pop() {
            let (index, event) = self.what.remove(&number).expect("due once");
            for action in step(&mut self.gateways[usize::from(index)], now, event) {
                self.act(now, index, action);
            }
        }
        assert!(self.open.is_empty(), "{} requests have no final answer", self.open.len());
    }

    fn act(&mut self, now: Micros, index: u16, action: Action) {
        match action {
            Action::AddToCounter { counter_id, amount, .. } => {
                self.calls += 1;
                let (outcome, after) = match self.counter {
                    Counter::Answers => (Outcome::Ok, 4 * MS),
                    Counter::TurnsAway => (Outcome::Full, 4 * MS),
                    Counter::IsLate => (Outcome::Timeout, 50 * MS),
                };
                let total = self.totals.entry(counter_id).or_default();
                *total += if outcome == Outcome::Full { 0.0 } else { amount };
                let total = if outcome == Outcome::Ok { *total } else { 0.0 };
                self.due(
                    now + after,
                    index,
                    Event::CounterAnswered { counter_id, outcome, total, elapsed: after },
                );
            }
            Action::SendPeerMessage { to, data } => {
                let to = to.expect("to one gateway");
                self.told[usize::from(to)] += 1;
                if !self.cut_off.contains(&to) && !self.cut_off.contains(&index) {
                    self.due(now + 20 * MS, to, Event::PeerMessage { from: index.into(), data });
                }
            }
            Action::Timer { at, token } => self.due(at, index, Event::Timer { token }),
            Action::Send { request, backend, .. } => {
                let (_, units) = self.open.remove(&request).expect("open");
                self.sent.push((now, units));
                self.due(now + 20 * MS, index, ended(request, 0, backend, Outcome::Ok));
            }
            Action::Reject { request, .. } | Action::Fail { request, .. } => {
                let (came, _) = self.open.remove(&request).expect("open");
                self.refused.push(now - came);
            }
            _ => {}
        }
    }

    fn units(&self) -> f64 {
        self.sent.iter().map(|(_, units)| units).sum()
    }

    /// The most units that were sent on in any stretch, beyond `burst` and `rate` (units a second) for its length.
    fn beyond(&self, burst: f64, rate: f64) -> f64 {
        let mut most = f64::MIN;
        for (i, (from, _)) in self.sent.iter().enumerate() {
            let mut units = 0.0;
            for (at, sent) in &self.sent[i..] {
                units += sent;
                most = most.max(units - burst - rate * (at - from) as f64 / 1e6);
            }
        }
        most
    }
}

/// Five units a second, ten at once, for twenty seconds.
const SPAN: Micros = 20 * SECOND;
const QUOTA: f64 = 10.0 + 5.0 * 20.0;

#[test]
fn a_wide_customer_far_beyond_its_quota_gets_its_quota() {
    for counter in [Counter::TurnsAway, Counter::IsLate] {
        let mut fleet = Fleet::new(100, counter);
        fleet.ask(77, PLAIN, 60, 40.0, START, START + SPAN);
        fleet.play();
        let part = fleet.units() / QUOTA;
        assert!((0.8..=1.15).contains(&part), "{part} of the quota");
    }
}

#[test]
fn a_wide_customer_just_below_its_quota_is_not_refused() {
    for counter in [Counter::TurnsAway, Counter::IsLate, Counter::Answers] {
        let mut fleet = Fleet::new(100, counter);
        fleet.ask(77, PLAIN, 60, 4.5, START, START + SPAN);
        fleet.play();
        assert!(fleet.refused.len() <= 2, "{} of 90 refused", fleet.refused.len());
    }
}

#[test]
fn a_lost_home_is_passed_over_for_the_next() {
    let mut found = 0;
    for lost in 0..12 {
        let mut fleet = Fleet::new(100, Counter::TurnsAway);
        fleet.cut_off = vec![lost];
        fleet.ask(77, PLAIN, 12, 4.0, START, START + SPAN);
        fleet.play();
        // The requests that come to the one that is cut off are counted by nobody else.
        assert!(fleet.refused.len() <= 12, "{} of 80 refused without {lost}", fleet.refused.len());
        found += u32::from(fleet.told[usize::from(lost)] > 0);
        assert!(fleet.units() <= QUOTA);
    }
    assert_eq!(found, 1, "the home was among those lost");
}

#[test]
fn without_homes_or_counter_each_request_still_ends_soon() {
    let mut fleet = Fleet::new(100, Counter::IsLate);
    fleet.cut_off = (0..100).collect();
    fleet.ask(77, PLAIN, 60, 20.0, START, START + SPAN);
    fleet.play();
    let longest = fleet.refused.iter().max();
    assert!(longest < Some(&(500 * MS)), "held for {longest:?} us");
    assert!(fleet.units() > 0.0 && fleet.units() < 2.5 * QUOTA, "{}", fleet.units());
}

#[test]
fn alone_in_a_small_set_of_a_wide_fleet_each_sends_its_part() {
    // Nobody tells what the set's others send on, so own units must stand for theirs. Only the two homes take
    // themselves for the ones that count: a quota each, and a sixth for each of the other four.
    let mut fleet = Fleet::new(100, Counter::IsLate);
    fleet.cut_off = (0..100).collect();
    fleet.ask(77, PLAIN, 6, 40.0, START, START + SPAN);
    fleet.play();
    let part = fleet.units() / QUOTA;
    assert!((0.5..=2.0 + 4.0 / 6.0).contains(&part), "{part} of the quota");
}

#[test]
fn a_ceiling_holds_whoever_counts() {
    // Ten units a second and twenty at once, with a slack of two, at ten times the quota.
    for counter in [Counter::Answers, Counter::TurnsAway, Counter::IsLate] {
        for cut_off in [vec![], vec![0], vec![1], vec![2], vec![0, 1, 2]] {
            let mut fleet = Fleet::new(100, counter);
            fleet.cut_off = cut_off.clone();
            fleet.ask(78, UNDER_CEILING, 3, 50.0, START, START + SPAN);
            fleet.play();
            let beyond = fleet.beyond(20.0, 10.0);
            assert!(beyond <= 2.0, "{beyond} beyond, without {cut_off:?}");
        }
    }
}

#[test]
fn under_a_ceiling_a_set_of_three_gets_its_quota_from_a_counter_that_takes_few_calls() {
    let mut fleet = Fleet::new(100, Counter::Answers);
    fleet.ask(78, UNDER_CEILING, 3, 20.0, START, START + SPAN);
    fleet.play();
    let part = fleet.units() / QUOTA;
    assert!((0.8..=1.15).contains(&part), "{part} of the quota");
}

#[test]
fn a_home_makes_few_calls_for_many_requests_and_takes_in_two_messages_a_request_at_most() {
    let mut fleet = Fleet::new(100, Counter::Answers);
    fleet.ask(77, PLAIN, 60, 40.0, START, START + SPAN);
    fleet.play();
    let requests = fleet.request;
    assert!(fleet.calls < requests / 2, "{} calls for {requests} requests", fleet.calls);
    let told: u32 = fleet.told.iter().sum();
    assert!(told <= 2 * requests, "{told} messages for {requests} requests");
}

#[test]
fn a_small_fleet_asks_no_home() {
    let mut fleet = Fleet::new(4, Counter::IsLate);
    fleet.ask(77, PLAIN, 1, 4.0, START, START + SPAN);
    fleet.play();
    assert_eq!(fleet.told.iter().sum::<u32>(), 0);
}

/// A message that asks a home of customer 77, whose set are the first sixty.
fn asks(id: RequestId, plan: u16, units: f32) -> Vec<u8> {
    let mut data = id.to_le_bytes().to_vec();
    data.extend(77u64.to_le_bytes());
    data.extend(plan.to_le_bytes());
    data.extend([60, 0, 0, 0]);
    data.extend(units.to_le_bytes());
    data
}

#[test]
fn words_that_make_no_sense_change_nothing() {
    let mut settings = Settings { gateways: 100, index: 3, ..settings() };
    settings.limits.peer_messages = true;
    let mut gateway = gateway(settings, &[1, 2]);
    let ask = |plan, units| asks(9, plan, units);
    let mut tell = |from, data| step(&mut gateway, START, Event::PeerMessage { from, data });
    let absurd = [ask(9, 1.0), ask(2, 1.0), ask(0, f32::NAN), ask(0, f32::INFINITY), ask(0, 1e9)];
    let malformed = [vec![], vec![1], vec![0; 8], vec![9; 9], vec![255; 256], ask(0, 1.0)[..21].to_vec()];
    for data in absurd.into_iter().chain(malformed) {
        assert!(tell(4, data).is_empty());
    }
    assert!(tell(100, ask(0, 1.0)).is_empty(), "from none of the fleet");
    let answered = tell(4, ask(0, 1.0));
    assert!(
        answered.iter().any(|action| matches!(action, Action::SendPeerMessage { to: Some(4), .. })),
        "{answered:?}"
    );
}

#[test]
fn what_is_given_back_can_be_used_again() {
    let mut settings = Settings { gateways: 100, index: 3, ..settings() };
    settings.limits.peer_messages = true;
    let mut gateway = gateway(settings, &[1, 2]);
    let mut within = |id, units| {
        let actions = step(&mut gateway, START, Event::PeerMessage { from: 4, data: asks(id, PLAIN, units) });
        let word = actions.iter().find_map(|action| match action {
            Action::SendPeerMessage { to: Some(4), data } if data.len() == 9 => Some(data[4] == 1),
            _ => None,
        });
        word
    };
    let let_in = (0..20).filter(|id| within(*id, 1.0) == Some(true)).count();
    assert_eq!(let_in, 10, "the burst");
    assert_eq!(within(30, -1.0), None, "what is given back is not answered");
    assert_eq!(within(31, 1.0), Some(true));
    assert_eq!(within(32, 1.0), Some(false));
}
