//! Operations are executed at most once: stores in virtual time with seeded random faults, and proxies that claim,
//! execute, repeat, give up and die. Checks use what backends executed and clients received, never the state of a
//! store.

#![cfg(test)]

mod dead_candidates;
mod disk_losses;
mod engine;
mod faults;
mod learners;
mod proxies;
mod run;
#[path = "../simulation/mod.rs"]
mod simulation;

use faults::run;
use run::{Controls, Run};

/// Number of seeds in a normal test; the environment variable `VIOLETYOKE_SEEDS` sets another one for long runs.
const SEEDS: u64 = 60;

fn seeds() -> u64 {
    std::env::var("VIOLETYOKE_SEEDS").ok().and_then(|count| count.parse().ok()).unwrap_or(SEEDS)
}

/// The first seed whose run violates an invariant.
fn first_violating_seed(controls: Controls, seeds: u64) -> Option<u64> {
    (0..seeds).find(|seed| !run(*seed, controls).violations.is_empty())
}

/// Guards against an operation that is executed twice or replayed with another response after tolerated faults, and
/// against claims that are never granted again after them.
#[test]
fn operations_are_executed_once_under_random_faults() {
    let mut total = Run::default();
    for seed in 0..seeds() {
        let run = run(seed, Controls::default());
        assert!(run.violations.is_empty(), "seed {seed}: {:?}", run.violations);
        assert!(run.counts.executed > 0, "seed {seed}: nothing was executed");
        let has_recovered = run.recoveries > 0 || run.losses_beyond_tolerance > 0;
        assert!(has_recovered, "seed {seed}: no claim is granted after the faults");
        total.add(&run);
    }
    println!("{} seeds: {total:?}", seeds());
    assert!(total.faults_in_claims > 0 && total.faults_before_records > 0 && total.leader_changes > 0);
    assert!(total.counts.replayed > 0 && total.voter_changes > 0);
}

/// Negative control: a new leader that answers before it has read the granted claims from a majority.
#[test]
fn without_recovery_of_a_majority_an_operation_is_executed_twice() {
    let controls = Controls { leaders_skip_recovery: true, ..Controls::default() };
    let seed = first_violating_seed(controls, 200).expect("the fault is found");
    println!("found by seed {seed}");
}

/// Negative control: a store that accepts records of a superseded leader.
#[test]
fn without_the_check_of_epochs_an_operation_is_executed_twice() {
    let controls = Controls { stores_skip_epochs: true, ..Controls::default() };
    let seed = first_violating_seed(controls, 400).expect("the fault is found");
    println!("found by seed {seed}");
}

/// Guards against a change of voters that relies on records which are still in flight.
#[test]
fn operations_are_executed_once_where_offers_are_lost() {
    let controls = Controls { offers_are_lost: true, ..Controls::default() };
    assert_eq!(first_violating_seed(controls, seeds() / 2), None);
}

/// Negative control: learners that become voters before they have all records.
#[test]
fn without_records_of_new_voters_an_operation_is_executed_twice() {
    let controls = Controls { learners_skip_records: true, offers_are_lost: true, ..Controls::default() };
    let seed = first_violating_seed(controls, 400).expect("the fault is found");
    println!("found by seed {seed}");
}
