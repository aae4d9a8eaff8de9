//! When the old process hands over its state and takes it back.

use violetyoke_succession::{
    HandoverAction, Predecessor, StateHandover, PREDECESSOR_TIMEOUT, TAKE_BACK_AFTER,
};

const START: u64 = 1_000_000;

#[test]
fn state_is_handed_over_once_to_each_process_that_requests_it() {
    let mut handover = StateHandover::default();
    assert_eq!(handover.next_action(START, None, false), HandoverAction::None);
    assert_eq!(handover.next_action(START + 1, Some("b"), false), HandoverAction::HandOver("b".into()));
    assert_eq!(handover.next_action(START + 2, Some("b"), false), HandoverAction::None);
    assert_eq!(handover.next_action(START + 3, Some("b"), true), HandoverAction::None);
}

#[test]
fn a_request_made_before_this_process_served_is_not_answered() {
    let mut handover = StateHandover::new(Some("b".into()));
    assert_eq!(handover.next_action(START, Some("b"), false), HandoverAction::None);
    assert_eq!(handover.next_action(START + 1, Some("c"), false), HandoverAction::HandOver("c".into()));
}

#[test]
fn state_is_taken_back_once_if_the_successor_never_serves() {
    let mut handover = StateHandover::default();
    let handed_over = HandoverAction::HandOver("b".into());
    assert_eq!(handover.next_action(START, Some("b"), false), handed_over);
    assert_eq!(handover.next_action(START + TAKE_BACK_AFTER - 1, Some("b"), false), HandoverAction::None);
    assert_eq!(handover.next_action(START + TAKE_BACK_AFTER, Some("b"), false), HandoverAction::TakeBack);
    assert_eq!(handover.next_action(START + 2 * TAKE_BACK_AFTER, Some("b"), false), HandoverAction::None);
    // Another process is started in place of the failed successor.
    assert_eq!(
        handover.next_action(START + 3 * TAKE_BACK_AFTER, Some("c"), false),
        HandoverAction::HandOver("c".into())
    );
}

#[test]
fn state_is_taken_back_before_it_is_handed_to_another_process() {
    let mut handover = StateHandover::default();
    let handed_over = HandoverAction::HandOver("b".into());
    assert_eq!(handover.next_action(START, Some("b"), false), handed_over);
    assert_eq!(handover.next_action(START + 1, Some("c"), false), HandoverAction::TakeBack);
    assert_eq!(handover.next_action(START + 2, Some("c"), false), HandoverAction::HandOver("c".into()));
}

#[test]
fn state_is_not_taken_back_while_a_successor_serves() {
    let mut handover = StateHandover::default();
    let handed_over = HandoverAction::HandOver("b".into());
    assert_eq!(handover.next_action(START, Some("b"), false), handed_over);
    for after in [1, TAKE_BACK_AFTER, 10 * TAKE_BACK_AFTER] {
        assert_eq!(handover.next_action(START + after, Some("c"), true), HandoverAction::None);
    }
}

#[test]
fn state_is_taken_back_at_once_if_the_successor_dies_after_it_served() {
    let mut handover = StateHandover::default();
    let handed_over = HandoverAction::HandOver("b".into());
    assert_eq!(handover.next_action(START, Some("b"), false), handed_over);
    assert_eq!(handover.next_action(START + 1, Some("b"), true), HandoverAction::None);
    assert_eq!(handover.next_action(START + 2, Some("b"), false), HandoverAction::TakeBack);
    assert_eq!(handover.next_action(START + 3, Some("b"), false), HandoverAction::None);
}

#[test]
fn the_predecessor_is_alive_until_it_reports_its_end_or_times_out() {
    let predecessor = Predecessor::new("a".into(), START);
    assert!(!predecessor.has_ended(START, None));
    assert!(!predecessor.has_ended(START + PREDECESSOR_TIMEOUT - 1, Some("an earlier one")));
    assert!(predecessor.has_ended(START + 1, Some("a")));
    assert!(predecessor.has_ended(START + PREDECESSOR_TIMEOUT, None));
}
