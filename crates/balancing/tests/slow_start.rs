//! Slow start: the fleet-wide rate of requests to a backend that warms up, according to a list or by
//! assumption.

#![cfg(test)]

mod common;

use common::{directory, fill, limits, listed, members, selected, ANY, SLOW_START_RATE_PER_S};
use std::collections::{BTreeSet, HashMap};
use violetyoke_balancing::slow_start::{rank_seed, rate_share};
use violetyoke_balancing::{BackendDirectory, Observation};

#[test]
fn shares_of_all_proxies_add_up_to_the_rate() {
    for count in [1, 4, 9, 11, 74] {
        let members = members(count);
        for seed in [1, 0xfeed, u64::MAX] {
            let share = |proxy_id: &u32| rate_share(seed, SLOW_START_RATE_PER_S, *proxy_id, &members);
            assert_eq!(members.iter().map(share).sum::<u32>(), 21, "{count} proxies");
        }
    }
    // A proxy without a session has no share: the other proxies have divided it among themselves.
    assert_eq!(rate_share(1, SLOW_START_RATE_PER_S, 0, &[]), 0);
}

#[test]
fn zone_is_in_slow_start_after_its_evacuation_for_as_long_as_lists_may_lag() {
    let mut directory = directory(vec![listed("one", "a1", 6)]);
    directory.configure(1_000, limits(), BTreeSet::from(["a1".to_owned()]), 1_500);
    directory.configure(9_000, limits(), BTreeSet::new(), 1_500);
    assert_eq!(
        sent_in_a_second(&mut directory, 9_000),
        own_share(),
        "in the second after the evacuation ended"
    );
}

/// Number of requests that a proxy with 400 requests for one backend sends within a second.
fn sent_in_a_second(directory: &mut BackendDirectory, from: u64) -> u32 {
    let mut sent = 0;
    for now in from..from + 1_000 {
        while let Some(id) = selected(directory, now, ANY).filter(|_| sent < 400) {
            directory.record_attempt_started(now, &id);
            directory.record_attempt_finished(now, &id, Observation::Inconclusive);
            sent += 1;
        }
    }
    sent
}

/// The share of proxy 0 of nine at the backend `one`.
fn own_share() -> u32 {
    rate_share(rank_seed("one"), SLOW_START_RATE_PER_S, 0, &members(9))
}

#[test]
fn unreachable_backend_is_probed_by_one_request_and_then_in_slow_start() {
    let mut directory = directory(vec![listed("one", "a1", 6)]);
    directory.record_attempt_started(1_000, "one");
    directory.record_attempt_finished(1_150, "one", Observation::Unreachable);
    assert!(directory.replace_all(3_000, 2_990, vec![listed("one", "a1", 6)]));
    // Long after the ejection, no second attempt is allowed until the first has a response.
    assert_eq!(fill(&mut directory, 9_000, 5), HashMap::from([("one".to_owned(), 1)]));
    let response = Observation::Response { latency_ms: 50, load: None };
    directory.record_attempt_finished(9_050, "one", response);
    assert_eq!(
        sent_in_a_second(&mut directory, 9_051),
        own_share() - 1,
        "slow start is assumed for as long as lists may lag"
    );
    assert_eq!(sent_in_a_second(&mut directory, 11_000), 400, "no list shows a warm-up");
}
