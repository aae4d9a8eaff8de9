//! Checks of the history of a sink. They are pure functions: the same history gives the same results.

use std::collections::{BTreeMap, BTreeSet};
use violetyoke_ownership::ShardId;
use violetyoke_standin::sink::{ReceivedEffect, Verdict};

/// Effects of an older epoch that the sink accepted after an effect of a newer epoch of the same shard.
pub fn accepted_after_newer(history: &[ReceivedEffect]) -> Vec<&ReceivedEffect> {
    let mut newest: BTreeMap<&ShardId, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for effect in history {
        let newest = newest.entry(&effect.shard).or_default();
        if effect.epoch < *newest && effect.verdict != Verdict::Stale {
            found.push(effect);
        }
        *newest = (*newest).max(effect.epoch);
    }
    found
}

/// Effects that the sink rejected as stale, except those of epochs whose operations the test itself has delayed.
pub fn unexpected_refusals<'a>(
    history: &'a [ReceivedEffect],
    delayed_epochs: &BTreeSet<u64>,
) -> Vec<&'a ReceivedEffect> {
    history
        .iter()
        .filter(|effect| effect.verdict == Verdict::Stale && !delayed_epochs.contains(&effect.epoch))
        .collect()
}

/// Epochs of a shard under which more than one owner has sent effects.
pub fn epochs_with_two_owners(history: &[ReceivedEffect]) -> Vec<u64> {
    let mut owners: BTreeMap<(&ShardId, u64), BTreeSet<&str>> = BTreeMap::new();
    for effect in history {
        owners.entry((&effect.shard, effect.epoch)).or_default().insert(&effect.owner);
    }
    owners.into_iter().filter(|(_, owners)| owners.len() > 1).map(|((_, epoch), _)| epoch).collect()
}

/// Violations of the order of a report's spans: each must be accepted once, in order, without gaps.
pub fn spans_out_of_order(history: &[ReceivedEffect]) -> Vec<String> {
    let mut last: BTreeMap<&ShardId, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for effect in history.iter().filter(|effect| effect.verdict == Verdict::Accepted) {
        let Some(span) = effect.span else { continue };
        if let Some(last) = last.insert(&effect.shard, span) {
            if span != last + 1 {
                violations.push(format!("{}: span {span} after {last}", effect.shard));
            }
        }
    }
    let gaps = history.iter().filter(|effect| effect.verdict == Verdict::Gap);
    violations.extend(gaps.map(|effect| format!("{}: span {:?} leaves a gap", effect.shard, effect.span)));
    violations
}

/// Spans that were sent again with other counts than the first time.
pub fn changed_spans(history: &[ReceivedEffect]) -> Vec<String> {
    let mut first: BTreeMap<(&ShardId, u64), &ReceivedEffect> = BTreeMap::new();
    let mut changed = Vec::new();
    for effect in
        history.iter().filter(|effect| matches!(effect.verdict, Verdict::Accepted | Verdict::Duplicate))
    {
        let Some(span) = effect.span else { continue };
        let original = first.entry((&effect.shard, span)).or_insert(effect);
        if original.tries != effect.tries {
            changed.push(format!("{} span {span}: {} and {}", effect.shard, original.tries, effect.tries));
        }
    }
    changed
}

/// The sum of a tenant's attempts over all accepted spans.
pub fn total_tries(history: &[ReceivedEffect], tenant: &str) -> u64 {
    let accepted = history.iter().filter(|effect| effect.verdict == Verdict::Accepted);
    accepted.filter_map(|effect| effect.tries[tenant].as_u64()).sum()
}

/// The longest time (µs) between `from_us` and `to_us` without an effect of the shard that was not stale; the entire
/// time if there is none.
pub fn longest_gap_us(history: &[ReceivedEffect], shard: &ShardId, from_us: u64, to_us: u64) -> u64 {
    let times = history
        .iter()
        .filter(|effect| effect.shard == *shard && effect.verdict != Verdict::Stale)
        .map(|effect| effect.at_us)
        .filter(|at| (from_us..to_us).contains(at));
    let (last, longest) = times.fold((from_us, 0), |(last, longest), at| (at, longest.max(at - last)));
    longest.max(to_us - last)
}

/// The newest effect of the shard under its newest epoch that was not stale.
pub fn newest_effect<'a>(history: &'a [ReceivedEffect], shard: &ShardId) -> Option<&'a ReceivedEffect> {
    let effects = history.iter().filter(|effect| effect.shard == *shard && effect.verdict != Verdict::Stale);
    effects.max_by_key(|effect| (effect.epoch, effect.at_us))
}
