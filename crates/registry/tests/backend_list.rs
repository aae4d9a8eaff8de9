//! The list of backends: which one is the newest, which registry polls for the next one, and when.

#![cfg(test)]

mod support;

use proptest::prelude::*;
use std::net::Ipv4Addr;
use support::backend;
use violetyoke_registry::backend_list::{change_between, BackendListCache};
use violetyoke_registry::platform::Page;
use violetyoke_transport::codec::{decode, try_encode};
use violetyoke_transport::messages::{BackendList, ListDigest};

const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

#[test]
fn slow_start_does_not_end_early_when_reading_the_pages_takes_long() {
    let mut lists = BackendListCache::new(500);
    lists.poll_started();
    // The poll was sent at 1,000 ms and answered 600 ms later. The last page was written just before the answer, with
    // 1,000 ms of the slow start left.
    let backends = vec![backend("i-1", false, 1_000), backend("i-2", false, 0)];
    assert!(lists.poll_succeeded(1_600, 1_000, backends));
    let list = lists.newest(1_700).expect("a list");
    let ends_at = |n: usize| 1_700 - list.age_ms + list.backends[n].slow_start_left_ms;
    assert_eq!((ends_at(0), list.backends[1].slow_start_left_ms), (2_600, 0));
}

#[test]
fn one_registry_polls_for_all_until_its_reports_stop() {
    let (mut first, mut second) = (BackendListCache::new(500), BackendListCache::new(500));
    assert!(first.is_poll_due(1, FIRST, &[FIRST, SECOND]));
    first.poll_started();
    assert!(!first.is_poll_due(2, FIRST, &[FIRST, SECOND]), "one poll at a time");
    assert!(first.poll_succeeded(20, 1, vec![backend("i-1", false, 0)]));
    let list = first.newest(30).expect("a list");
    assert_eq!(list.age_ms, 29);
    assert!(second.merge_peer_list(1_000, list));
    assert!(!second.is_poll_due(1_500, SECOND, &[FIRST, SECOND]));
    // A report that the list is still current makes it fresh again.
    let report = first.newest_without_backends(400).expect("a list");
    assert!(!second.merge_peer_list(2_000, BackendList { age_ms: 0, ..report }));
    assert!(!second.is_poll_due(3_500, SECOND, &[FIRST, SECOND]));
    assert!(second.is_poll_due(3_900, SECOND, &[FIRST, SECOND]), "no report for too long");
    assert!(second.is_poll_due(3_900, SECOND, &[SECOND]));
}

/// The times at which the registry that polls for all does so, before `until`; the list changes at `changes_at`.
fn poll_times(max_interval: u64, changes_at: u64, until: u64) -> Vec<u64> {
    let mut lists = BackendListCache::new(max_interval);
    let mut times = Vec::new();
    for now in 1..until {
        if lists.is_poll_due(now, FIRST, &[FIRST]) {
            lists.poll_started();
            lists.poll_succeeded(now, now, vec![backend("i-1", now >= changes_at, 0)]);
            times.push(now);
        }
    }
    times
}

#[test]
fn unchanged_list_is_polled_less_often_until_it_changes() {
    let times = poll_times(1_250, 9_000, 16_000);
    let gaps: Vec<u64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.iter().all(|gap| [500, 1_250].contains(gap)), "{gaps:?}");
    let polls_between = |from: u64, to: u64| times.iter().filter(|time| (from..to).contains(*time)).count();
    assert_eq!((polls_between(1, 4_001), polls_between(5_000, 9_000)), (8, 3), "{times:?}");
    let change_polled_at = times.iter().find(|time| **time >= 9_000).copied().expect("a poll");
    assert!(
        change_polled_at <= 9_000 + 1_250 && polls_between(change_polled_at, change_polled_at + 4_000) == 8,
        "{times:?}"
    );
    // Polls are at least 500 ms apart, even if the settings ask for a shorter interval.
    assert!(poll_times(100, 0, 4_000).windows(2).all(|pair| pair[1] - pair[0] == 500));
}

#[test]
fn another_registry_takes_over_later_if_the_poll_interval_is_longer() {
    let (mut first, mut second) = (BackendListCache::new(1_250), BackendListCache::new(1_250));
    assert!(first.poll_succeeded(20, 1, vec![backend("i-1", false, 0)]));
    assert!(second.merge_peer_list(30, first.newest(30).expect("a list")));
    assert!(!second.is_poll_due(2_400, SECOND, &[FIRST, SECOND]));
    assert!(second.is_poll_due(2_500, SECOND, &[FIRST, SECOND]));
}

#[test]
fn list_that_was_polled_earlier_never_replaces_a_later_one() {
    let mut lists = BackendListCache::new(500);
    assert!(lists.poll_succeeded(500, 480, vec![backend("i-1", true, 0)]));
    let old = BackendList { digest: ListDigest(7), age_ms: 300, backends: vec![backend("i-1", false, 0)] };
    assert!(!lists.merge_peer_list(600, old));
    assert!(lists.newest(600).is_some_and(|list| list.backends[0].draining));
}

#[test]
fn failed_polls_are_repeated_with_backoff() {
    let mut lists = BackendListCache::new(500);
    let mut polls = 0;
    for now in 1..20_000 {
        if lists.is_poll_due(now, FIRST, &[FIRST]) {
            lists.poll_started();
            assert_eq!(lists.poll_failed(now), polls == 0, "only the first failure in a row is reported");
            polls += 1;
        }
    }
    assert!((5..12).contains(&polls), "{polls} polls in 20 s");
}

#[test]
fn list_changes_when_a_slow_start_begins_or_ends_but_not_while_it_lasts() {
    let mut lists = BackendListCache::new(500);
    assert!(lists.poll_succeeded(10, 0, vec![backend("i-1", false, 3_000)]));
    assert!(!lists.poll_succeeded(600, 500, vec![backend("i-1", false, 2_500)]));
    assert!(lists.poll_succeeded(4_000, 3_600, vec![backend("i-1", false, 0)]));
    assert!(lists.poll_succeeded(4_600, 4_500, vec![backend("i-1", false, 3_000)]));
}

#[test]
fn change_between_lists_has_the_changed_and_the_removed_backends() {
    let list = |digest, age_ms, backends| BackendList { digest: ListDigest(digest), age_ms, backends };
    let old =
        list(1, 900, vec![backend("i-1", false, 0), backend("i-2", false, 800), backend("i-3", false, 0)]);
    let new =
        list(2, 100, vec![backend("i-1", true, 0), backend("i-2", false, 100), backend("i-4", false, 0)]);

    let change = change_between(&old, &new);

    assert_eq!((change.from, change.digest, change.age_ms), (ListDigest(1), ListDigest(2), 100));
    assert_eq!(change.upserted, [backend("i-1", true, 0), backend("i-4", false, 0)]);
    assert_eq!(change.removed, ["i-3"]);
}

/// The text of any number that a platform may write, also beyond the range of a float.
fn any_number_text() -> impl Strategy<Value = String> {
    prop_oneof![
        proptest::sample::select(vec!["-1", "0", "-0.0", "1e300", "1e999", "-1e999", "18446744073709551615"])
            .prop_map(str::to_owned),
        any::<f64>()
            .prop_filter("not in JSON", |number| number.is_finite())
            .prop_map(|number| format!("{number:e}")),
        any::<i64>().prop_map(|number| number.to_string()),
    ]
}

/// A list with one backend that states these numbers, and one that is ready and warm.
fn page_with(slots: &str, cold_left_ms: &str) -> Page {
    let text = format!(
        r#"{{"instances":{{
            "i-1":{{"service":"finder","address":"10.0.0.9:80","zone":"a","state":"ready","slots":{slots},
                    "cold-left-ms":{cold_left_ms}}},
            "i-2":{{"service":"finder","address":"10.0.0.8:80","zone":"a","state":"ready","slots":6}}}}}}"#
    );
    Page::parse(text.as_bytes()).expect("a page")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    // Guards against a number of the platform's list that ends a registry on its way to peers and proxies.
    #[test]
    fn list_with_any_numbers_is_published_with_all_its_backends(
        slots in any_number_text(),
        cold_left_ms in any_number_text(),
        polled_at in 1..10_000_000u64,
        peer_age_ms in any::<u64>(),
    ) {
        let (mut lists, mut peer) = (BackendListCache::new(500), BackendListCache::new(500));
        lists.poll_started();
        lists.poll_succeeded(polled_at + 900, polled_at, page_with("6", "0").backends);
        let before = lists.newest(polled_at + 900).expect("a list");
        lists.poll_started();
        lists.poll_succeeded(polled_at + 1_900, polled_at + 1_000, page_with(&slots, &cold_left_ms).backends);
        let list = lists.newest(polled_at + 2_000).expect("a list");
        prop_assert_eq!(list.backends.len(), 2);
        prop_assert_eq!(list.backends[1].slots, 6);
        prop_assert!(change_between(&before, &list).upserted.iter().all(|changed| changed.id == "i-1"));

        let sent = try_encode(&BackendList { age_ms: peer_age_ms, ..list }).expect("an encoding");
        peer.merge_peer_list(polled_at, decode(&sent).expect("decodable"));
        prop_assert_eq!(peer.newest(polled_at).map(|list| list.backends.len()), Some(2));
    }
}
