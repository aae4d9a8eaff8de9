//! Judgements over what receivers have noted. Pure functions: the same history, the same verdict.

use std::collections::{BTreeMap, BTreeSet};
use violetyoke_ownership::ShardId;
use violetyoke_standin::sink::{Noted, Verdict};

/// An effect of an older epoch that a receiver let through after one of a newer epoch.
pub fn older_after_newer(history: &[Noted]) -> Vec<&Noted> {
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

/// Effects that a fence had to refuse, but for those of epochs that the test itself has kept back.
pub fn refused_unprovoked<'a>(history: &'a [Noted], provoked: &BTreeSet<u64>) -> Vec<&'a Noted> {
    history
        .iter()
        .filter(|noted| noted.verdict == Verdict::Stale && !provoked.contains(&noted.epoch))
        .collect()
}

/// Two effects by two holders under one epoch.
pub fn shared_epochs(history: &[Noted]) -> Vec<u64> {
    let mut holders: BTreeMap<(&ShardId, u64), BTreeSet<&str>> = BTreeMap::new();
    for noted in history {
        holders.entry((&noted.lease, noted.epoch)).or_default().insert(&noted.holder);
    }
    holders.into_iter().filter(|(_, holders)| holders.len() > 1).map(|((_, epoch), _)| epoch).collect()
}

/// What is wrong with the order of a report's spans: each is to be taken once, and none left out.
pub fn spans_out_of_order(history: &[Noted]) -> Vec<String> {
    let mut last: BTreeMap<&ShardId, u64> = BTreeMap::new();
    let mut wrong = Vec::new();
    for noted in history.iter().filter(|noted| noted.verdict == Verdict::Taken) {
        let Some(span) = noted.span else { continue };
        if let Some(last) = last.insert(&noted.lease, span) {
            if span != last + 1 {
                wrong.push(format!("{}: span {span} after {last}", noted.lease));
            }
        }
    }
    let gaps = history.iter().filter(|noted| noted.verdict == Verdict::Gap);
    wrong.extend(gaps.map(|noted| format!("{}: span {:?} left some out", noted.lease, noted.span)));
    wrong
}

/// A span that was sent again with other figures than the first time.
pub fn changed_spans(history: &[Noted]) -> Vec<String> {
    let mut first: BTreeMap<(&ShardId, u64), &Noted> = BTreeMap::new();
    let mut changed = Vec::new();
    for noted in history.iter().filter(|noted| matches!(noted.verdict, Verdict::Taken | Verdict::Had)) {
        let Some(span) = noted.span else { continue };
        let before = first.entry((&noted.lease, span)).or_insert(noted);
        if before.tries != noted.tries {
            changed.push(format!("{} span {span}: {} and {}", noted.lease, before.tries, noted.tries));
        }
    }
    changed
}

/// The sum of a tenant's tries in all spans that were taken.
pub fn tries(history: &[Noted], tenant: &str) -> u64 {
    let taken = history.iter().filter(|noted| noted.verdict == Verdict::Taken);
    taken.filter_map(|noted| noted.tries[tenant].as_u64()).sum()
}

/// The longest time between two effects of a lease that were let through, in microseconds, from one moment to
/// another; that of a lease without any is the whole time.
pub fn longest_gap(history: &[Noted], lease: &ShardId, from: u64, to: u64) -> u64 {
    let times = history
        .iter()
        .filter(|noted| noted.lease == *lease && noted.verdict != Verdict::Stale)
        .map(|noted| noted.at)
        .filter(|at| (from..to).contains(at));
    let (last, longest) = times.fold((from, 0), |(last, longest), at| (at, longest.max(at - last)));
    longest.max(to - last)
}

/// The newest epoch of a lease that has been let through, and whose it is.
pub fn newest<'a>(history: &'a [Noted], lease: &ShardId) -> Option<&'a Noted> {
    let of = history.iter().filter(|noted| noted.lease == *lease && noted.verdict != Verdict::Stale);
    of.max_by_key(|noted| (noted.epoch, noted.at))
}
