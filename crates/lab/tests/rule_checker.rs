//! The rule checker: a run without violations, and each kind of violation.

#![cfg(test)]

use violetyoke_decision::interface::Idempotency;
use violetyoke_lab::rule_checker::RuleChecker;

/// A checker with a try that was accepted at 0 and must be answered by 1,000.
fn checker(effect: Idempotency) -> RuleChecker {
    let mut checker = RuleChecker::new(250);
    checker.on_accepted(1, effect, 1_000);
    checker
}

#[test]
fn run_that_obeys_all_rules_has_no_violations() {
    let mut checker = checker(Idempotency::AtMostOnce);
    checker.on_listed(0, 0, 7, true);
    checker.on_attempt_sent(10, 1, 5, 0, 7);
    checker.on_executed(1);
    checker.on_attempt_ended(1, 5);
    checker.on_answered(900, 1);
    checker.finish(2_000);
    assert!(checker.violations.is_none(), "{:?}", checker.violations);
}

#[test]
fn each_violation_is_reported() {
    let mut late = checker(Idempotency::Idempotent);
    late.on_answered(1_001, 1);
    assert_eq!(late.violations.unanswered, 1);
    let mut never = checker(Idempotency::Idempotent);
    never.finish(1_001);
    assert_eq!(never.violations.unanswered, 1);
    let mut again = checker(Idempotency::Idempotent);
    again.on_answered(1, 1);
    again.on_answered(2, 1);
    assert_eq!(again.violations.answered_again, 1);
    let mut twice = checker(Idempotency::AtMostOnce);
    twice.on_executed(1);
    twice.on_executed(1);
    assert_eq!(twice.violations.ran_twice, 1);
    let mut safe = checker(Idempotency::Idempotent);
    safe.on_executed(1);
    safe.on_executed(1);
    assert!(safe.violations.is_none());
    let mut copies = checker(Idempotency::Idempotent);
    copies.on_attempt_sent(1, 1, 5, 0, 7);
    copies.on_attempt_sent(2, 1, 6, 0, 8);
    assert_eq!(copies.violations.copies, 1);
    let mut drained = checker(Idempotency::Idempotent);
    drained.on_listed(100, 0, 7, false);
    drained.on_attempt_sent(350, 1, 5, 0, 7);
    drained.on_attempt_ended(1, 5);
    assert_eq!(drained.violations.after_drain, 0);
    drained.on_attempt_sent(351, 1, 6, 0, 7);
    assert_eq!(drained.violations.after_drain, 1);
}

#[test]
fn try_of_a_dead_ingress_needs_no_answer() {
    let mut checker = checker(Idempotency::Idempotent);
    checker.on_orphaned(1);
    checker.finish(5_000);
    assert!(checker.violations.is_none());
}
