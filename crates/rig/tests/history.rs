//! Violations that the history of a sink shows.

#![cfg(test)]

use serde_json::json;
use std::collections::BTreeSet;
use violetyoke_ownership::ShardId;
use violetyoke_rig::history::{
    accepted_after_newer, changed_spans, longest_gap_us, newest_effect, spans_out_of_order, total_tries,
    unexpected_refusals,
};
use violetyoke_standin::sink::{ReceivedEffect, Verdict};

fn effect(at_us: u64, epoch: u64, span: u64, verdict: Verdict) -> ReceivedEffect {
    let (shard, owner, tries) = (ShardId::new("report", 0), format!("i{epoch}"), json!({ "acme": span }));
    ReceivedEffect { at_us, shard, epoch, owner, span: Some(span), tries, verdict }
}

#[test]
fn an_older_epoch_accepted_after_a_newer_is_found_and_a_refused_one_is_not() {
    let good = [
        effect(1, 5, 1, Verdict::Accepted),
        effect(2, 6, 2, Verdict::Accepted),
        effect(3, 5, 2, Verdict::Stale),
    ];
    assert!(accepted_after_newer(&good).is_empty());
    let bad = [effect(1, 6, 1, Verdict::Accepted), effect(2, 5, 1, Verdict::Duplicate)];
    assert_eq!(accepted_after_newer(&bad).len(), 1);
    assert_eq!(unexpected_refusals(&good, &BTreeSet::new()).len(), 1);
    assert!(unexpected_refusals(&good, &BTreeSet::from([5])).is_empty());
}

#[test]
fn missing_duplicate_and_changed_spans_are_found() {
    let good = [
        effect(1, 5, 1, Verdict::Accepted),
        effect(2, 5, 1, Verdict::Duplicate),
        effect(3, 5, 2, Verdict::Accepted),
    ];
    assert!(spans_out_of_order(&good).is_empty() && changed_spans(&good).is_empty());
    assert_eq!(total_tries(&good, "acme"), 3);
    let twice = [effect(1, 5, 1, Verdict::Accepted), effect(2, 5, 1, Verdict::Accepted)];
    assert_eq!(spans_out_of_order(&twice).len(), 1);
    let out = [
        effect(1, 5, 1, Verdict::Accepted),
        effect(2, 5, 3, Verdict::Accepted),
        effect(2, 5, 9, Verdict::Gap),
    ];
    assert_eq!(spans_out_of_order(&out).len(), 2);
    let mut changed = effect(2, 6, 1, Verdict::Duplicate);
    changed.tries = json!({ "acme": 7 });
    assert_eq!(changed_spans(&[effect(1, 5, 1, Verdict::Accepted), changed]).len(), 1);
}

#[test]
fn the_longest_gap_counts_from_the_first_moment_to_the_last() {
    let history = [
        effect(10, 5, 1, Verdict::Accepted),
        effect(40, 6, 2, Verdict::Accepted),
        effect(90, 5, 2, Verdict::Stale),
    ];
    let shard = ShardId::new("report", 0);
    assert_eq!(longest_gap_us(&history, &shard, 0, 100), 60);
    assert_eq!(longest_gap_us(&history, &shard, 0, 50), 30);
    assert_eq!(longest_gap_us(&history, &ShardId::new("report", 1), 0, 50), 50);
    assert_eq!(newest_effect(&history, &shard).map(|effect| effect.epoch), Some(6));
}
