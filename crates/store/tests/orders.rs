//! Orders once: one text under each version, the same order again is acknowledged for good, and nothing is confirmed
//! without contact with the backups.

#![cfg(test)]

mod cluster;

use cluster::{replace, Cluster};
use violetyoke_transport::messages::{Acceptance, AcceptedVersions, Command, ControlState, Outcome};

/// How long a control machine is cut off in the operators' words.
const LONG_CUT: u64 = 20_000;

fn read(cluster: &mut Cluster) -> ControlState {
    match cluster.ask(Command::Read) {
        Some(Outcome::Read(state)) => state,
        other => panic!("no read: {other:?}"),
    }
}

#[test]
fn the_same_order_is_acknowledged_again_after_newer_versions_and_by_another_primary() {
    let mut cluster = Cluster::start();
    for version in [3, 7, 12] {
        assert_eq!(cluster.ask(replace(version, &format!("text {version}"))), Some(Outcome::Acknowledged));
    }
    for version in [12, 3, 7] {
        assert_eq!(cluster.ask(replace(version, &format!("text {version}"))), Some(Outcome::Acknowledged));
    }
    let first = cluster.primary();
    cluster.isolate(first);
    cluster.run_for(3_000);
    assert_ne!(cluster.primary(), first);
    for version in [7, 12, 3] {
        assert_eq!(cluster.ask(replace(version, &format!("text {version}"))), Some(Outcome::Acknowledged));
    }
    assert_eq!(read(&mut cluster).text, "text 12");
}

#[test]
fn of_two_texts_under_one_version_only_one_is_ever_confirmed() {
    let mut cluster = Cluster::start();
    let primary = cluster.primary();
    let (one, other) = (cluster.give(primary, replace(5, "one")), cluster.give(primary, replace(5, "other")));
    cluster.run_for(500);
    assert_eq!(cluster.outcome(one), Some(Outcome::Acknowledged));
    assert_eq!(cluster.outcome(other), Some(Outcome::VersionTaken));
    // Texts are compared byte by byte: the same meaning in other bytes is another order.
    assert_eq!(cluster.ask(replace(5, "one ")), Some(Outcome::VersionTaken));
    assert_eq!(cluster.ask(replace(9, "nine")), Some(Outcome::Acknowledged));
    assert_eq!(cluster.ask(replace(5, "other")), Some(Outcome::VersionTaken), "also when it is old");
    let first = cluster.primary();
    cluster.isolate(first);
    cluster.run_for(3_000);
    assert_eq!(cluster.ask(replace(5, "other")), Some(Outcome::VersionTaken), "also by another primary");
    assert_eq!(cluster.ask(replace(5, "one")), Some(Outcome::Acknowledged));
    assert_eq!(read(&mut cluster).text, "nine");
}

#[test]
fn an_older_version_that_comes_late_has_no_effect_and_takes_its_number() {
    let mut cluster = Cluster::start();
    let primary = cluster.primary();
    let newer = cluster.give(primary, replace(8, "eight"));
    // Queued behind the newer one.
    let older = cluster.give(primary, replace(6, "six"));
    let second = cluster.give(primary, replace(6, "another six"));
    cluster.run_for(500);
    assert_eq!(cluster.outcome(newer), Some(Outcome::Acknowledged));
    assert_eq!(cluster.outcome(older), Some(Outcome::Acknowledged));
    assert_eq!(cluster.outcome(second), Some(Outcome::VersionTaken));
    assert_eq!(read(&mut cluster).text, "eight");
}

#[test]
fn a_primary_that_is_cut_off_says_nothing_of_any_configuration_for_as_long_as_it_is() {
    let mut cluster = Cluster::start();
    assert_eq!(cluster.ask(replace(4, "four")), Some(Outcome::Acknowledged));
    let old = cluster.primary();
    cluster.isolate(old);
    let until = cluster.now + LONG_CUT;
    let mut given = Vec::new();
    while cluster.now < until {
        for order in
            [replace(4, "four"), replace(4, "other"), replace(3, "three"), replace(9, "nine"), Command::Read]
        {
            given.push(cluster.give(old, order));
        }
        cluster.run_for(500);
        assert!(!cluster.stores[old].is_leader_in_contact() || cluster.now < until - LONG_CUT + 1_000);
    }
    assert_eq!(given.len(), 200);
    for order in given {
        let said = cluster.outcome(order);
        assert!(matches!(said, None | Some(Outcome::NotLeader)), "cut off, and it says {said:?}");
    }
}

#[test]
fn an_order_that_its_primary_lost_is_not_acknowledged_under_that_primarys_next_epoch() {
    let mut cluster = Cluster::start();
    assert_eq!(cluster.ask(replace(1, "one")), Some(Outcome::Acknowledged));
    let old = cluster.primary();
    cluster.isolate(old);
    // Only on the disk of the one that is cut off.
    let lost = cluster.give(old, replace(2, "lost"));
    cluster.run_for(3_000);
    let next = cluster.primary();
    assert_ne!(next, old);
    assert_eq!(cluster.ask(replace(3, "three")), Some(Outcome::Acknowledged));
    // It comes back to the third store alone, and leads again with what that one has.
    let third = 3 - old - next;
    cluster.cut(next, third);
    cluster.join(old, third);
    cluster.run_for(4_000);
    assert_eq!(cluster.primary(), old);
    assert_eq!(read(&mut cluster).text, "three");
    assert_ne!(cluster.outcome(lost), Some(Outcome::Acknowledged), "acknowledged, and nobody has it");
    assert_eq!(cluster.ask(replace(2, "another")), Some(Outcome::Acknowledged), "its number is free");
}

#[test]
fn eight_orders_at_once_on_a_slow_disk_wait_for_two_syncs_and_not_for_eight() {
    let mut cluster = Cluster::start();
    cluster.sync_ms = 150;
    let (primary, begun) = (cluster.primary(), cluster.now);
    let orders: Vec<u64> =
        (1..=8).map(|version| cluster.give(primary, replace(version, &format!("text {version}")))).collect();
    cluster.run_for(2_000);
    for order in &orders {
        assert_eq!(cluster.outcome(*order), Some(Outcome::Acknowledged));
    }
    let last = orders.iter().filter_map(|order| cluster.answered_at(*order)).max().expect("answers");
    assert!(last - begun <= 310, "{} ms", last - begun);
    assert_eq!(read(&mut cluster).version, 8);
}

#[test]
fn nothing_in_a_batch_is_answered_before_the_whole_is_on_all_disks() {
    let mut cluster = Cluster::start();
    cluster.sync_ms = 100;
    let (primary, begun) = (cluster.primary(), cluster.now);
    let first = cluster.give(primary, replace(1, "one"));
    let second = [replace(1, "one"), replace(1, "other"), replace(2, "two"), Command::Read]
        .map(|order| cluster.give(primary, order));
    cluster.run_for(1_000);
    let at = |order| cluster.answered_at(order).expect("an answer") - begun;
    assert!((100..200).contains(&at(first)), "{}", at(first));
    assert!(second.iter().all(|order| at(*order) >= 200), "they rest on a state that was not committed yet");
    assert_eq!(
        second.map(|order| cluster.outcome(order).is_some_and(|it| it == Outcome::Acknowledged)),
        [true, false, true, false]
    );
    assert!(matches!(cluster.outcome(second[3]), Some(Outcome::Read(state)) if state.text == "two"));
}

#[test]
fn the_history_keeps_the_newest_versions() {
    let mut accepted = AcceptedVersions::default();
    let last = AcceptedVersions::LIMIT as u64 + 40;
    for version in 1..=last {
        assert!(accepted.insert(version, &format!("text {version}")));
    }
    assert_eq!(accepted.find(last, &format!("text {last}")), Acceptance::SameText);
    assert_eq!(accepted.find(41, "text 41"), Acceptance::SameText);
    assert_eq!(accepted.find(41, "another"), Acceptance::OtherText);
    assert_eq!(accepted.find(40, "text 40"), Acceptance::Unknown, "forgotten");
    assert!(!accepted.insert(40, "text 40"), "too old to be remembered");
    assert_eq!(accepted.find(41, "text 41"), Acceptance::SameText);
}

#[test]
fn a_state_that_was_written_before_there_was_a_history_knows_its_own_text() {
    let state = ControlState { version: 6, text: "six".into(), ..ControlState::default() };
    assert_eq!(state.acceptance(6, "six"), Acceptance::SameText);
    assert_eq!(state.acceptance(6, "other"), Acceptance::OtherText);
    assert_eq!(state.acceptance(5, "five"), Acceptance::Unknown);
}
