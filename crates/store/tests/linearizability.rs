//! The check of histories against a single replica: what it takes, and what it must not take.

#![cfg(test)]

mod simulation;

use simulation::history::{Answer, History, Operation};
use simulation::linearizability::check;
use std::collections::BTreeSet;
use violetyoke_transport::messages::{Command, ControlState, Outcome};

fn replace(version: u64, text: &str) -> Command {
    Command::Replace { version, text: text.into() }
}

fn empty(zone: &str) -> Command {
    Command::Evacuate { zone: zone.into(), empty: true }
}

fn state(version: u64, text: &str, evacuated: &[&str]) -> Answer {
    let evacuated: BTreeSet<String> = evacuated.iter().map(|zone| (*zone).to_owned()).collect();
    Answer::Read(ControlState { version, text: text.into(), evacuated, ..ControlState::default() })
}

fn answered(order: Command, invoked: u64, returned: u64, answer: Answer) -> Operation {
    Operation { order, invoked, returned: Some((returned, answer)) }
}

fn unclear(order: Command, invoked: u64) -> Operation {
    Operation { order, invoked, returned: None }
}

#[test]
fn a_read_between_two_acknowledged_orders_sees_the_first() {
    let history = [
        answered(replace(1, "a"), 1, 2, Answer::Acknowledged),
        answered(Command::Read, 3, 4, state(1, "a", &[])),
        answered(replace(2, "b"), 5, 6, Answer::Acknowledged),
    ];
    assert_eq!(check(&history), Ok(()));
}

#[test]
fn a_stale_read_is_rejected() {
    let history = [
        answered(replace(1, "a"), 1, 2, Answer::Acknowledged),
        answered(replace(2, "b"), 3, 4, Answer::Acknowledged),
        answered(Command::Read, 5, 6, state(1, "a", &[])),
    ];
    assert_eq!(check(&history).expect_err("a stale read").operation, 2);
}

#[test]
fn a_read_that_overlaps_an_order_may_see_either_and_later_reads_never_go_back() {
    let before = [
        answered(replace(1, "a"), 1, 2, Answer::Acknowledged),
        answered(replace(2, "b"), 3, 10, Answer::Acknowledged),
        answered(Command::Read, 4, 5, state(1, "a", &[])),
        answered(Command::Read, 6, 7, state(2, "b", &[])),
    ];
    assert_eq!(check(&before), Ok(()));
    let mut back = before.to_vec();
    back.push(answered(Command::Read, 8, 9, state(1, "a", &[])));
    assert_eq!(check(&back).expect_err("it goes back").operation, 4);
}

#[test]
fn an_order_without_a_clear_answer_may_take_effect_late_or_never_but_once() {
    let never = [unclear(replace(1, "a"), 1), answered(Command::Read, 2, 3, state(0, "", &[]))];
    assert_eq!(check(&never), Ok(()));
    let late = [
        unclear(empty("a"), 1),
        answered(Command::Read, 2, 3, state(0, "", &[])),
        answered(Command::Read, 4, 5, state(0, "", &["a"])),
        answered(Command::Evacuate { zone: "a".into(), empty: false }, 6, 7, Answer::Acknowledged),
    ];
    assert_eq!(check(&late), Ok(()));
    let mut twice = late.to_vec();
    twice.push(answered(Command::Read, 8, 9, state(0, "", &["a"])));
    assert_eq!(check(&twice).expect_err("it took effect twice").operation, 4);
}

#[test]
fn an_evacuation_that_is_answered_late_may_have_changed_nothing_when_it_took_effect() {
    let history = [
        answered(empty("a"), 1, 2, Answer::Acknowledged),
        answered(empty("a"), 3, 6, Answer::Acknowledged),
        answered(Command::Evacuate { zone: "a".into(), empty: false }, 4, 5, Answer::Acknowledged),
        answered(Command::Read, 7, 8, state(0, "", &[])),
    ];
    assert_eq!(check(&history), Ok(()));
}

#[test]
fn a_lower_number_is_acknowledged_without_effect_and_the_same_number_for_its_text_alone() {
    let mut history = vec![
        answered(replace(2, "b"), 1, 2, Answer::Acknowledged),
        answered(replace(1, "a"), 3, 4, Answer::Acknowledged),
        answered(replace(2, "b"), 5, 6, Answer::Acknowledged),
        answered(Command::Read, 7, 8, state(2, "b", &[])),
    ];
    assert_eq!(check(&history), Ok(()));
    history.push(answered(replace(2, "another"), 9, 10, Answer::Acknowledged));
    assert_eq!(check(&history).expect_err("two texts under one number").operation, 4);
}

#[test]
fn two_texts_confirmed_under_one_number_are_named_though_a_higher_one_is_in_force() {
    let mut history = History::default();
    for (client, order) in [(1, replace(5, "a")), (2, replace(6, "b")), (3, replace(5, "c"))] {
        history.invoked(client, &order);
        history.answered(client, &Outcome::Acknowledged);
    }
    history.invoked(4, &replace(7, "d"));
    history.answered(4, &Outcome::NotLeader);
    assert_eq!(history.ambiguous_numbers(), [5]);
    assert!(history.operations[3].returned.is_none());
}

#[test]
fn a_refusal_needs_another_text_under_the_number_and_no_acknowledgement_of_its_own() {
    let mut history = vec![
        answered(replace(2, "b"), 1, 2, Answer::Acknowledged),
        answered(replace(2, "another"), 3, 4, Answer::Refused),
        answered(Command::Read, 5, 6, state(2, "b", &[])),
    ];
    assert_eq!(check(&history), Ok(()));
    history.push(answered(replace(3, "c"), 7, 8, Answer::Refused));
    assert_eq!(check(&history).expect_err("nobody has taken that number").operation, 3);
    let mut history = History::default();
    for (client, outcome) in [(1, Outcome::Acknowledged), (2, Outcome::VersionTaken)] {
        history.invoked(client, &replace(5, "a"));
        history.answered(client, &outcome);
    }
    assert_eq!(history.refused_though_acknowledged(), [5]);
}
