//! Drawn lists of faults, and how a failing one is made shorter.

#![cfg(test)]

use violetyoke_rig::schedule::{draw, shrink, Fault};

#[test]
fn a_seed_draws_the_same_list_and_another_seed_another() {
    assert_eq!(draw(7, 20), draw(7, 20));
    assert_ne!(draw(7, 20), draw(8, 20));
    assert_eq!(draw(7, 20).len(), 20);
}

#[test]
fn a_failing_list_is_cut_down_to_the_fault_that_makes_it_fail() {
    let culprit = |fault: &Fault| matches!(fault, Fault::PutBack);
    let fails = |list: &[Fault]| list.iter().any(culprit);
    let seed = (0..).find(|seed| fails(&shrink(*seed, 30, 0, fails))).unwrap();
    let short = shrink(seed, 30, 500, fails);
    assert_eq!(short, [Fault::PutBack]);
}
