//! Random lists of faults, and the minimization of a failing list.

#![cfg(test)]

use violetyoke_rig::schedule::{draw, minimize, Fault};

#[test]
fn a_seed_draws_the_same_list_of_faults_and_another_seed_another() {
    assert_eq!(draw(7, 20), draw(7, 20));
    assert_ne!(draw(7, 20), draw(8, 20));
    assert_eq!(draw(7, 20).len(), 20);
}

#[test]
fn a_failing_list_is_minimized_to_the_fault_that_makes_it_fail() {
    let culprit = |fault: &Fault| matches!(fault, Fault::PutBack);
    let fails = |list: &[Fault]| list.iter().any(culprit);
    let seed = (0..).find(|seed| fails(&minimize(*seed, 30, 0, fails))).unwrap();
    let minimized = minimize(seed, 30, 500, fails);
    assert_eq!(minimized, [Fault::PutBack]);
}
