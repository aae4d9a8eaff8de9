//! Tests of the linearizability checker: histories that it must accept and histories that it must reject.

#![cfg(test)]

mod simulation;

use simulation::history::{Answer, History, Operation, Returned};
use simulation::linearizability::check;
use std::collections::BTreeSet;
use violetyoke_store::consensus::ClientId;
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

fn answered(command: Command, invoked_at: u64, returned_at: u64, answer: Answer) -> Operation {
    Operation { command, invoked_at, returned: Some(Returned { at: returned_at, answer }) }
}

fn unanswered(command: Command, invoked_at: u64) -> Operation {
    Operation { command, invoked_at, returned: None }
}

#[test]
fn read_between_two_acknowledged_commands_returns_the_first() {
    let history = [
        answered(replace(1, "a"), 1, 2, Answer::Acknowledged),
        answered(Command::Read, 3, 4, state(1, "a", &[])),
        answered(replace(2, "b"), 5, 6, Answer::Acknowledged),
    ];
    assert_eq!(check(&history), Ok(()));
}

#[test]
fn stale_read_is_rejected() {
    let history = [
        answered(replace(1, "a"), 1, 2, Answer::Acknowledged),
        answered(replace(2, "b"), 3, 4, Answer::Acknowledged),
        answered(Command::Read, 5, 6, state(1, "a", &[])),
    ];
    assert_eq!(check(&history).expect_err("a stale read").operation, 2);
}

#[test]
fn concurrent_read_may_return_either_state_and_later_reads_never_an_older_one() {
    let before = [
        answered(replace(1, "a"), 1, 2, Answer::Acknowledged),
        answered(replace(2, "b"), 3, 10, Answer::Acknowledged),
        answered(Command::Read, 4, 5, state(1, "a", &[])),
        answered(Command::Read, 6, 7, state(2, "b", &[])),
    ];
    assert_eq!(check(&before), Ok(()));
    let mut with_older_read = before.to_vec();
    with_older_read.push(answered(Command::Read, 8, 9, state(1, "a", &[])));
    assert_eq!(check(&with_older_read).expect_err("the last read returns an older state").operation, 4);
}

#[test]
fn unanswered_command_takes_effect_at_most_once_possibly_late() {
    let never = [unanswered(replace(1, "a"), 1), answered(Command::Read, 2, 3, state(0, "", &[]))];
    assert_eq!(check(&never), Ok(()));
    let late = [
        unanswered(empty("a"), 1),
        answered(Command::Read, 2, 3, state(0, "", &[])),
        answered(Command::Read, 4, 5, state(0, "", &["a"])),
        answered(Command::Evacuate { zone: "a".into(), empty: false }, 6, 7, Answer::Acknowledged),
    ];
    assert_eq!(check(&late), Ok(()));
    let mut twice = late.to_vec();
    twice.push(answered(Command::Read, 8, 9, state(0, "", &["a"])));
    assert_eq!(check(&twice).expect_err("the evacuation took effect twice").operation, 4);
}

#[test]
fn evacuation_answered_late_may_have_changed_nothing() {
    let history = [
        answered(empty("a"), 1, 2, Answer::Acknowledged),
        answered(empty("a"), 3, 6, Answer::Acknowledged),
        answered(Command::Evacuate { zone: "a".into(), empty: false }, 4, 5, Answer::Acknowledged),
        answered(Command::Read, 7, 8, state(0, "", &[])),
    ];
    assert_eq!(check(&history), Ok(()));
}

#[test]
fn lower_version_is_acknowledged_without_effect_and_same_version_for_same_text_only() {
    let mut history = vec![
        answered(replace(2, "b"), 1, 2, Answer::Acknowledged),
        answered(replace(1, "a"), 3, 4, Answer::Acknowledged),
        answered(replace(2, "b"), 5, 6, Answer::Acknowledged),
        answered(Command::Read, 7, 8, state(2, "b", &[])),
    ];
    assert_eq!(check(&history), Ok(()));
    history.push(answered(replace(2, "another"), 9, 10, Answer::Acknowledged));
    assert_eq!(check(&history).expect_err("two texts under one version").operation, 4);
}

#[test]
fn two_texts_confirmed_under_one_version_are_reported() {
    let mut history = History::default();
    for (client, command) in [(1, replace(5, "a")), (2, replace(6, "b")), (3, replace(5, "c"))] {
        history.invoked(ClientId(client), &command);
        history.answered(ClientId(client), &Outcome::Acknowledged);
    }
    history.invoked(ClientId(4), &replace(7, "d"));
    history.answered(ClientId(4), &Outcome::NotLeader);
    assert_eq!(history.ambiguous_versions(), [5]);
    assert!(history.operations[3].returned.is_none());
}

#[test]
fn rejection_requires_another_accepted_text_under_the_version() {
    let mut history = vec![
        answered(replace(2, "b"), 1, 2, Answer::Acknowledged),
        answered(replace(2, "another"), 3, 4, Answer::Rejected),
        answered(Command::Read, 5, 6, state(2, "b", &[])),
    ];
    assert_eq!(check(&history), Ok(()));
    history.push(answered(replace(3, "c"), 7, 8, Answer::Rejected));
    assert_eq!(check(&history).expect_err("the version is free").operation, 3);
    let mut history = History::default();
    for (client, outcome) in [(1, Outcome::Acknowledged), (2, Outcome::VersionTaken)] {
        history.invoked(ClientId(client), &replace(5, "a"));
        history.answered(ClientId(client), &outcome);
    }
    assert_eq!(history.rejected_though_acknowledged(), [5]);
}
