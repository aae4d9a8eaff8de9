//! Checks of what a sink has received. Pure functions: the same history gives the same findings.

use std::collections::{BTreeMap, BTreeSet};
use violetyoke_ownership::ShardId;
use violetyoke_standin::sink::{Noted, Verdict};

/// Effects of an older epoch that the sink let through after one of a newer epoch of the same shard.
pub fn accepted_after_newer(history: &[Noted]) -> Vec<&Noted> {
    let mut newest: BTreeMap<&ShardId, u64> = BTreeMap::new();
    let mut found = Vec::new();
    for noted in history {
        let newest = newest.entry(&noted.lease).or_default();
        if noted.epoch < *newest && noted.verdict != Verdict::Stale {
            found.push(noted);
        }
        *newest = (*newest).max(noted.epoch);
    }
    found
}

/// Effects that the sink refused as stale, without those of epochs whose actions the test itself has delayed.
pub fn unexpected_refusals<'a>(history: &'a [Noted], delayed_epochs: &BTreeSet<u64>) -> Vec<&'a Noted> {
    history
        .iter()
        .filter(|noted| noted.verdict == Verdict::Stale && !delayed_epochs.contains(&noted.epoch))
        .collect()
}

/// Epochs of a shard under which more than one owner has acted.
pub fn epochs_with_two_owners(history: &[Noted]) -> Vec<u64> {
    let mut owners: BTreeMap<(&ShardId, u64), BTreeSet<&str>> = BTreeMap::new();
    for noted in history {
        owners.entry((&noted.lease, noted.epoch)).or_default().insert(&noted.holder);
    }
    owners.into_iter().filter(|(_, owners)| owners.len() > 1).map(|((_, epoch), _)| epoch).collect()
}

/// Violations of the order of a report's spans: each must be accepted once, in order, without gaps.
pub fn spans_out_of_order(history: &[Noted]) -> Vec<String> {
    let mut last: BTreeMap<&ShardId, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for noted in history.iter().filter(|noted| noted.verdict == Verdict::Taken) {
        let Some(span) = noted.span else { continue };
        if let Some(last) = last.insert(&noted.lease, span) {
            if span != last + 1 {
                violations.push(format!("{}: span {span} after {last}", noted.lease));
            }
        }
    }
    let gaps = history.iter().filter(|noted| noted.verdict == Verdict::Gap);
    violations.extend(gaps.map(|noted| format!("{}: span {:?} leaves a gap", noted.lease, noted.span)));
    violations
}

/// Spans that were sent again with other figures than the first time.
pub fn changed_spans(history: &[Noted]) -> Vec<String> {
    let mut first: BTreeMap<(&ShardId, u64), &Noted> = BTreeMap::new();
    let mut changed = Vec::new();
    for noted in history.iter().filter(|noted| matches!(noted.verdict, Verdict::Taken | Verdict::Had)) {
        let Some(span) = noted.span else { continue };
        let original = first.entry((&noted.lease, span)).or_insert(noted);
        if original.tries != noted.tries {
            changed.push(format!("{} span {span}: {} and {}", noted.lease, original.tries, noted.tries));
        }
    }
    changed
}

/// The sum of a tenant's tries over all accepted spans.
pub fn total_tries(history: &[Noted], tenant: &str) -> u64 {
    let accepted = history.iter().filter(|noted| noted.verdict == Verdict::Taken);
    accepted.filter_map(|noted| noted.tries[tenant].as_u64()).sum()
}

/// The longest time without an effect of the shard that was let through, in microseconds, between two moments; the whole
/// time if there is none.
pub fn longest_gap_us(history: &[Noted], shard: &ShardId, from_us: u64, to_us: u64) -> u64 {
    let times = history
        .iter()
        .filter(|noted| noted.lease == *shard && noted.verdict != Verdict::Stale)
        .map(|noted| noted.at)
        .filter(|at| (from_us..to_us).contains(at));
    let (last, longest) = times.fold((from_us, 0), |(last, longest), at| (at, longest.max(at - last)));
    longest.max(to_us - last)
}

/// The newest effect of the shard under its newest epoch that was let through.
pub fn newest_effect<'a>(history: &'a [Noted], shard: &ShardId) -> Option<&'a Noted> {
    let effects = history.iter().filter(|noted| noted.lease == *shard && noted.verdict != Verdict::Stale);
    effects.max_by_key(|noted| (noted.epoch, noted.at))
}
