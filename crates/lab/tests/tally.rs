//! The tally of the rules: what keeps all of them, and each way to break one.

#![cfg(test)]

use violetyoke_decision::interface::Effect;
use violetyoke_lab::tally::Tally;

/// A try taken at 0 that must be answered by 1,000.
fn tally(effect: Effect) -> Tally {
    let mut tally = Tally::new(250);
    tally.taken(1, effect, 1_000);
    tally
}

#[test]
fn what_keeps_all_rules_breaks_none() {
    let mut tally = tally(Effect::Unsafe);
    tally.told(0, 0, 7, true);
    tally.sent(10, 1, 5, 0, 7);
    tally.runs(1);
    tally.ended(1, 5);
    tally.answered(900, 1);
    tally.end(2_000);
    assert!(tally.broken.is_none(), "{:?}", tally.broken);
}

#[test]
fn each_broken_rule_is_reported() {
    let mut late = tally(Effect::Safe);
    late.answered(1_001, 1);
    assert_eq!(late.broken.unanswered, 1);
    let mut never = tally(Effect::Safe);
    never.end(1_001);
    assert_eq!(never.broken.unanswered, 1);
    let mut again = tally(Effect::Safe);
    again.answered(1, 1);
    again.answered(2, 1);
    assert_eq!(again.broken.answered_again, 1);
    let mut twice = tally(Effect::Unsafe);
    twice.runs(1);
    twice.runs(1);
    assert_eq!(twice.broken.ran_twice, 1);
    let mut safe = tally(Effect::Safe);
    safe.runs(1);
    safe.runs(1);
    assert!(safe.broken.is_none());
    let mut copies = tally(Effect::Safe);
    copies.sent(1, 1, 5, 0, 7);
    copies.sent(2, 1, 6, 0, 8);
    assert_eq!(copies.broken.copies, 1);
    let mut drained = tally(Effect::Safe);
    drained.told(100, 0, 7, false);
    drained.sent(350, 1, 5, 0, 7);
    drained.ended(1, 5);
    assert_eq!(drained.broken.after_drain, 0);
    drained.sent(351, 1, 6, 0, 7);
    assert_eq!(drained.broken.after_drain, 1);
}

#[test]
fn a_try_of_a_dead_ingress_needs_no_answer() {
    let mut tally = tally(Effect::Safe);
    tally.orphaned(1);
    tally.end(5_000);
    assert!(tally.broken.is_none());
}
