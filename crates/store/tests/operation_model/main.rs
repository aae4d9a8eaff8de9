//! Model checking of the rule that an operation is executed once: `stateright` explores every order of events within
//! bounds.
//!
//! The stores are production replicas (`OperationReplica`) with a log each; the consensus replica is abstracted to
//! epochs and promises. Each guard is also disabled in turn, where the checker must find an operation that is
//! executed twice.

#![cfg(test)]
#![allow(unreachable_pub, reason = "support modules are public to the tests")]

mod model;
mod properties;
mod proxy;
mod system;

use model::{Guard, Operations};
use properties::{ACTIVE_AFTER_TAKEOVER, EXECUTED_AFTER_RELEASE, EXECUTED_ONCE, OUTCOME_UNKNOWN, REPLAYED};
use stateright::{Checker, Model};
use std::collections::BTreeSet;

/// One leader, with expiring claims and all outcomes of the operation.
const ALL_OUTCOMES: Operations = Operations { requests: 2, waits: 2, depth: 9, ..Operations::NONE };
/// A second leader while the old one still runs, and repeated messages.
const TAKEOVERS: Operations =
    Operations { requests: 1, repeats: 1, takeovers: 1, depth: 10, ..Operations::NONE };
/// A second leader, disks whose syncs are separate steps, and a process that restarts.
const RESTARTS: Operations = Operations {
    requests: 1,
    takeovers: 1,
    restarts: 1,
    syncs_are_steps: true,
    depth: 11,
    ..Operations::NONE
};

/// Explores a model. Prints its size and the steps to a second execution, if there is one. Returns the names of
/// violated `always` properties and satisfied `sometimes` properties.
fn explore(model: Operations) -> BTreeSet<&'static str> {
    let checker = model.checker().threads(1).target_max_depth(model.depth).spawn_bfs().join();
    println!("{model:?}: states={} depth={}", checker.unique_state_count(), checker.max_depth());
    let found = checker.discoveries();
    let steps = found.get(EXECUTED_ONCE).map(|path| path.clone().into_actions()).unwrap_or_default();
    steps.iter().for_each(|step| println!("  {step:?}"));
    found.into_keys().collect()
}

fn is_executed_twice(omitted_guard: Guard, model: Operations) -> bool {
    explore(Operations { omitted_guard: Some(omitted_guard), ..model }).contains(EXECUTED_ONCE)
}

#[test]
fn operation_is_executed_once_whatever_its_outcome() {
    assert_eq!(explore(ALL_OUTCOMES), BTreeSet::from([EXECUTED_AFTER_RELEASE, REPLAYED, OUTCOME_UNKNOWN]));
}

#[test]
fn operation_is_executed_once_across_a_takeover() {
    assert_eq!(explore(TAKEOVERS), BTreeSet::from([ACTIVE_AFTER_TAKEOVER]));
    let model = Operations { requests: 2, repeats: 0, depth: 9, ..TAKEOVERS };
    assert_eq!(
        explore(model),
        BTreeSet::from([ACTIVE_AFTER_TAKEOVER, EXECUTED_AFTER_RELEASE, REPLAYED, OUTCOME_UNKNOWN])
    );
}

#[test]
fn operation_is_executed_once_across_a_restart() {
    assert_eq!(explore(RESTARTS), BTreeSet::from([ACTIVE_AFTER_TAKEOVER]));
    let model = Operations { answers_are_steps: true, depth: 10, ..RESTARTS };
    assert_eq!(explore(model), BTreeSet::from([ACTIVE_AFTER_TAKEOVER]));
}

#[test]
fn without_a_sync_before_the_grant_an_operation_is_executed_twice() {
    assert!(is_executed_twice(Guard::SyncBeforeGrant, RESTARTS));
}

#[test]
fn without_the_check_of_epochs_an_operation_is_executed_twice() {
    assert!(is_executed_twice(Guard::EpochCheckAtReceiver, TAKEOVERS));
}

#[test]
fn without_a_quorum_after_takeover_an_operation_is_executed_twice() {
    assert!(is_executed_twice(Guard::QuorumAfterTakeover, TAKEOVERS));
}

#[test]
fn without_record_of_unknown_outcomes_an_operation_is_executed_twice() {
    assert!(is_executed_twice(Guard::KeepUnknownOutcome, ALL_OUTCOMES));
}
