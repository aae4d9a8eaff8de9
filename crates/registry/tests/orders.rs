//! Orders at a registry: each answer belongs to one sending on one connection, and nobody waits longer than it helps.

#![allow(clippy::needless_pass_by_value, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use std::net::Ipv4Addr;
use violetyoke_registry::orders::{
    Orders, Step, StoreConnection, ANSWER_WITHIN, TAKEOVER_TAKES, WITHOUT_PRIMARY,
};
use violetyoke_transport::messages::{Command, ControlState, Outcome};

const ONE: StoreConnection = StoreConnection { ip: Ipv4Addr::new(10, 0, 0, 1), connection: 1 };
const TWO: StoreConnection = StoreConnection { ip: Ipv4Addr::new(10, 0, 0, 2), connection: 1 };

fn evacuate(zone: &str) -> Command {
    Command::Evacuate { zone: zone.to_owned(), empty: true }
}

/// The number of the one call that is to be made.
fn call(step: Step) -> u64 {
    assert_eq!((step.calls.len(), step.unclear.len()), (1, 0), "{step:?}");
    step.calls[0].0
}

#[test]
fn an_answer_counts_only_for_its_own_sending_on_its_own_connection() {
    let mut orders = Orders::new(7_000);
    let number = orders.give(1, Command::Read);
    let first = call(orders.step(1, Some(ONE)));
    assert_eq!(orders.step(2, Some(ONE)), Step::default(), "sent once on a connection");
    // Another store leads: the order goes there, and the first one's late answer is nobody's.
    let second = call(orders.step(100, Some(TWO)));
    assert_ne!(first, second);
    let stale = Outcome::Read(ControlState { version: 1, ..ControlState::default() });
    assert_eq!(orders.done(110, ONE, first, stale.clone()), None);
    assert_eq!(orders.done(110, ONE, second, stale.clone()), None, "the number of another's call");
    let before = StoreConnection { connection: 0, ..TWO };
    assert_eq!(orders.done(110, before, second, stale.clone()), None, "a connection that was before");
    assert_eq!(orders.done(110, ONE, first, Outcome::NotLeader), None);
    assert_eq!(orders.step(200, Some(TWO)), Step::default(), "a late Elsewhere sends nothing again");
    assert_eq!(orders.done(210, TWO, second, Outcome::Acknowledged), Some((number, Outcome::Acknowledged)));
    assert_eq!(orders.done(211, TWO, second, Outcome::Acknowledged), None, "answered once");
}

#[test]
fn answers_that_change_places_reach_their_own_orders() {
    let mut orders = Orders::new(u64::MAX - 1);
    let numbers =
        [orders.give(1, evacuate("a")), orders.give(1, Command::Read), orders.give(1, evacuate("b"))];
    let calls: Vec<u64> = orders.step(1, Some(ONE)).calls.into_iter().map(|(call, _)| call).collect();
    assert_eq!(calls, [u64::MAX, 0, 1], "numbers go round");
    let read = Outcome::Read(ControlState::default());
    assert_eq!(orders.done(2, ONE, calls[1], read.clone()), Some((numbers[1], read)));
    let taken = Outcome::VersionTaken;
    assert_eq!(orders.done(2, ONE, calls[2], taken.clone()), Some((numbers[2], taken)));
    assert_eq!(
        orders.done(2, ONE, calls[0], Outcome::Acknowledged),
        Some((numbers[0], Outcome::Acknowledged))
    );
}

#[test]
fn two_lives_of_a_registry_share_no_call_numbers() {
    let numbers = |drawn: u64| {
        let mut orders = Orders::new(drawn);
        for _ in 0..100 {
            orders.give(1, Command::Read);
        }
        let calls = orders.step(1, Some(ONE)).calls.into_iter().map(|(call, _)| call);
        calls.collect::<std::collections::BTreeSet<u64>>()
    };
    assert!(numbers(0x51f0_a1b2_c3d4_e5f6).is_disjoint(&numbers(0x0a0b_0c0d_0e0f_1011)));
}

#[test]
fn an_order_is_sent_again_after_its_connection_ended_or_its_store_led_no_more() {
    let mut orders = Orders::new(0);
    let number = orders.give(1, evacuate("a"));
    let first = call(orders.step(1, Some(ONE)));
    orders.lost(TWO);
    assert_eq!(orders.step(2, Some(ONE)), Step::default(), "another connection's end");
    orders.lost(ONE);
    let again = StoreConnection { connection: 2, ..ONE };
    let second = call(orders.step(3, Some(again)));
    assert_ne!(first, second);
    assert_eq!(orders.done(4, again, second, Outcome::NotLeader), None);
    assert_eq!(orders.step(5, Some(again)), Step::default(), "not at once");
    let third = call(orders.step(60, Some(again)));
    assert_eq!(orders.done(61, again, third, Outcome::Acknowledged), Some((number, Outcome::Acknowledged)));
}

#[test]
fn an_order_without_an_answer_is_unclear_before_its_operator_moves_on() {
    let mut orders = Orders::new(0);
    let number = orders.give(1_000, Command::Read);
    let call = call(orders.step(1_000, Some(ONE)));
    assert!(orders.step(1_000 + ANSWER_WITHIN, Some(ONE)).unclear.is_empty());
    assert_eq!(orders.step(1_001 + ANSWER_WITHIN, Some(ONE)).unclear, [number]);
    const { assert!(ANSWER_WITHIN < 1_000, "an operator waits a second") };
    assert_eq!(orders.done(2_000, ONE, call, Outcome::Acknowledged), None, "too late for it");
}

#[test]
fn a_registry_that_is_cut_off_answers_soon_and_one_amid_a_takeover_waits() {
    let mut orders = Orders::new(0);
    // A primary is lost; the next comes 800 ms later and gets the order that has waited.
    orders.step(1, Some(ONE));
    orders.step(100, None);
    let waits = orders.give(150, Command::Read);
    assert_eq!(orders.step(800, None), Step::default());
    let taken = call(orders.step(900, Some(TWO)));
    assert!(orders.done(901, TWO, taken, Outcome::Acknowledged).is_some_and(|(number, _)| number == waits));
    // Nobody for longer than a takeover takes: each order is unclear soon, for as long as it lasts.
    orders.step(1_000, None);
    let mut now = 1_000 + TAKEOVER_TAKES + 1;
    while now < 21_000 {
        let number = orders.give(now, evacuate("a"));
        assert_eq!(orders.step(now + WITHOUT_PRIMARY, None), Step::default());
        assert_eq!(orders.step(now + WITHOUT_PRIMARY + 1, None).unclear, [number]);
        now += 1_000;
    }
    // Contact again.
    let number = orders.give(now, Command::Read);
    let after = call(orders.step(now + 10, Some(TWO)));
    assert!(orders.done(now + 20, TWO, after, Outcome::Acknowledged).is_some_and(|(it, _)| it == number));
}

#[test]
fn an_order_that_nobody_waits_for_is_not_sent() {
    let mut orders = Orders::new(0);
    let number = orders.give(1, evacuate("a"));
    orders.cancel(number);
    assert_eq!(orders.step(2, Some(ONE)), Step::default());
}
