//! Backend selection by locality, capacity, latency, outlier ejection and the platform's lists.

#![cfg(test)]

mod common;

use common::{directory, empty_directory, fill, listed, members, selected, ANY};
use std::collections::{BTreeSet, HashMap};
use violetyoke_balancing::{
    ListedBackend, Observation, ReportedLoad, Selection, SelectionCriteria, ServiceLimits,
};

#[test]
fn nearer_backends_are_preferred_and_no_backend_exceeds_its_capacity() {
    let mut directory =
        directory(vec![listed("near", "a1", 6), listed("next", "a2", 6), listed("far", "b1", 6)]);
    let counts = fill(&mut directory, 100, 1000);
    assert_eq!(directory.select(100, ANY), Selection::AtCapacity);
    for id in ["near", "next", "far"] {
        assert_eq!(counts[id], 8, "{counts:?}");
    }
    // Capacity that becomes free in another region is used while nearer backends have none.
    directory.record_attempt_finished(150, "far", Observation::Inconclusive);
    assert_eq!(selected(&directory, 150, ANY).as_deref(), Some("far"));
}

#[test]
fn connection_limit_is_divided_among_proxies() {
    for (proxies, limit) in [(1, 90), (9, 10), (74, 1), (200, 1)] {
        let mut directory = directory(vec![listed("one", "a1", 500)]);
        directory.update_members(members(proxies));
        assert_eq!(fill(&mut directory, 100, 1000)["one"], limit, "{proxies} proxies");
    }
}

#[test]
fn proxies_with_the_same_list_spread_their_choices() {
    let ids: Vec<String> = (0..20).map(|n| format!("i-{n}")).collect();
    let mut selections: HashMap<String, usize> = HashMap::new();
    for proxy_id in 0..200 {
        let mut directory = empty_directory(proxy_id);
        directory.update_members(members(9));
        directory.replace_all(10, 10, ids.iter().map(|id| listed(id, "a1", 6)).collect());
        *selections.entry(selected(&directory, 100, ANY).expect("one of twenty")).or_default() += 1;
    }
    assert!(selections.len() == 20 && selections.values().all(|count| *count < 30), "{selections:?}");
}

#[test]
fn home_regions_of_route_and_tenant_both_apply() {
    let directory = directory(vec![listed("west", "a1", 6), listed("east", "b1", 6)]);
    let (west, east) = ([String::from("a")], [String::from("b")]);
    let within = |home_regions| SelectionCriteria { home_regions, ..ANY };
    assert_eq!(selected(&directory, 100, within([&east, &[]])).as_deref(), Some("east"));
    assert_eq!(selected(&directory, 100, within([&[], &west])).as_deref(), Some("west"));
    assert_eq!(directory.select(100, within([&east, &west])), Selection::NoBackend);
}

#[test]
fn reported_load_of_other_proxies_counts_and_decays() {
    let mut directory = directory(vec![listed("one", "a1", 2), listed("two", "a1", 2)]);
    directory.record_attempt_started(100, "one");
    let load = ReportedLoad::new(2, 1);
    directory.record_attempt_finished(160, "one", Observation::Response { latency_ms: 60, load });
    assert_eq!(selected(&directory, 170, ANY).as_deref(), Some("two"));
    directory.record_attempt_started(170, "two");
    directory.record_attempt_started(170, "two");
    assert_eq!(selected(&directory, 3_000, ANY).as_deref(), Some("one"), "an old report has decayed");
}

#[test]
fn faster_backend_gets_more_requests() {
    let mut directory = directory(vec![listed("fast", "a1", 6), listed("slow", "a1", 6)]);
    let mut counts: HashMap<String, usize> = HashMap::new();
    let mut in_flight: Vec<(u64, u64, String)> = Vec::new();
    for now in (100..60_000).step_by(20) {
        in_flight.retain(|(end, latency_ms, id)| {
            if *end <= now {
                let response = Observation::Response { latency_ms: *latency_ms, load: None };
                directory.record_attempt_finished(now, id, response);
            }
            *end > now
        });
        if let Some(id) = selected(&directory, now, ANY) {
            let latency_ms = if id == "fast" { 50 } else { 150 };
            directory.record_attempt_started(now, &id);
            *counts.entry(id.clone()).or_default() += 1;
            in_flight.push((now + latency_ms, latency_ms, id));
        }
    }
    assert!(counts["fast"] > 2 * counts.get("slow").copied().unwrap_or(0), "{counts:?}");
}

#[test]
fn unreachable_backend_is_ejected_and_probed_when_all_are_ejected() {
    let mut directory = directory(vec![listed("dead", "a1", 6), listed("well", "a2", 6)]);
    directory.record_attempt_started(100, "dead");
    directory.record_attempt_finished(101, "dead", Observation::Unreachable);
    assert_eq!(selected(&directory, 110, ANY).as_deref(), Some("well"));
    directory.record_attempt_started(110, "well");
    directory.record_attempt_finished(111, "well", Observation::Unreachable);
    assert_eq!(selected(&directory, 120, ANY).as_deref(), Some("dead"), "the ejection of `dead` ends first");
    assert_eq!(
        selected(&directory, 5_000, ANY).as_deref(),
        Some("dead"),
        "`dead` is no longer ejected, and it is nearer"
    );
}

#[test]
fn draining_terminated_and_evacuated_backends_get_no_requests() {
    let mut directory =
        directory(vec![listed("one", "a1", 6), listed("two", "a2", 6), listed("three", "b1", 6)]);
    let draining = ListedBackend { is_draining: true, ..listed("one", "a1", 6) };
    assert!(directory.replace_all(
        1_000,
        990,
        vec![draining, listed("two", "a2", 6), listed("three", "b1", 6)]
    ));
    assert_eq!(selected(&directory, 1_001, ANY).as_deref(), Some("two"));
    // An older list that arrives late does not add removed backends again.
    assert!(!directory.replace_all(1_010, 500, vec![listed("one", "a1", 6)]));
    directory.configure(1_020, HashMap::new(), BTreeSet::from(["a2".to_owned()]), 0);
    assert_eq!(selected(&directory, 1_030, ANY).as_deref(), Some("three"));
    assert!(directory.replace_all(1_100, 1_090, vec![listed("two", "a2", 6)]));
    assert_eq!(directory.select(1_110, ANY), Selection::NoBackend);
    // A terminated instance is never added again, even if a newer list contains it.
    assert!(directory.replace_all(1_200, 1_190, vec![listed("two", "a2", 6), listed("three", "b1", 6)]));
    assert_eq!(directory.select(1_210, ANY), Selection::NoBackend);
}

#[test]
fn backend_whose_address_another_instance_uses_gets_no_requests() {
    let mut directory = directory(vec![listed("one", "a1", 6)]);
    directory.record_attempt_started(100, "one");
    directory.record_attempt_finished(110, "one", Observation::WrongInstance);
    assert_eq!(directory.select(120, ANY), Selection::NoBackend);
}

#[test]
fn random_sequence_is_determined_by_the_proxy_id() {
    // Simulations depend on this sequence to reproduce a proxy's choices: SplitMix64 seeded with `proxy_id <<
    // 32`.
    let directory = empty_directory(7);
    let samples = [(); 3].map(|()| directory.sample_uniform());
    assert_eq!(samples, [0.737_705_618_204_509_3, 0.372_527_779_262_982_97, 0.017_255_399_359_289_214]);
}

#[test]
fn few_slow_responses_do_not_stop_requests_to_a_backend() {
    let ids: Vec<String> = (0..40).map(|n| format!("i-{n}")).collect();
    let mut directory = directory(ids.iter().map(|id| listed(id, "a1", 6)).collect());
    // Requests take 400 ms or 1,600 ms, regardless of the backend.
    let mut now = 100;
    for round in 0..400 {
        let id = selected(&directory, now, ANY).expect("a backend");
        directory.record_attempt_started(now, &id);
        let latency_ms = if round % 4 == 0 { 1_600 } else { 400 };
        let response = Observation::Response { latency_ms, load: None };
        directory.record_attempt_finished(now + 1, &id, response);
        now += 10;
    }
    let sent: Vec<u64> = directory.report(now).iter().map(|report| report.counts.sent).collect();
    assert!(sent.iter().all(|sent| (1..=30).contains(sent)), "{sent:?}");
}

#[test]
fn backends_of_another_region_are_not_selected_for_lack_of_a_latency_estimate() {
    let mut all: Vec<ListedBackend> = (0..10).map(|n| listed(&format!("near-{n}"), "a1", 6)).collect();
    all.extend((0..10).map(|n| listed(&format!("far-{n}"), "b1", 6)));
    let mut directory = directory(all);
    let mut far = 0;
    for now in (100..20_100).step_by(100) {
        let id = selected(&directory, now, ANY).expect("a backend");
        far += usize::from(id.starts_with("far"));
        directory.record_attempt_started(now, &id);
        // Far more than the default latency that is assumed before the first response.
        let response = Observation::Response { latency_ms: 900, load: None };
        directory.record_attempt_finished(now + 50, &id, response);
    }
    assert_eq!(far, 0, "the backends of this region have capacity");
}

#[test]
fn selected_backend_stays_selectable_only_while_it_has_capacity_and_is_not_draining() {
    let mut directory = directory(vec![listed("one", "a1", 1)]);
    assert!(directory.is_selectable(100, "one", ANY));
    assert!(!directory.is_selectable(100, "none", ANY));
    let attempted = ["one".to_owned()];
    assert!(!directory.is_selectable(100, "one", SelectionCriteria { attempted: &attempted, ..ANY }));
    for _ in 0..2 {
        directory.record_attempt_started(100, "one");
    }
    assert!(!directory.is_selectable(100, "one", ANY), "the backend is at capacity");
    directory.record_attempt_finished(110, "one", Observation::WrongInstance);
    assert!(!directory.is_selectable(120, "one", ANY), "another instance has replaced the backend");
}

// Guards against a limit whose share overflows: it ended checked builds, and gave others a share of a few connections.
#[test]
fn share_of_a_limit_of_any_size_is_nine_tenths_of_it_divided_by_the_proxies() {
    let mut directory = empty_directory(0);
    directory.update_members(members(9));
    for (limit, share) in [(1, 1), (100, 10), (477_218_589, 47_721_858), (u32::MAX, 429_496_729)] {
        let limits = ServiceLimits { max_connections: limit, ..ServiceLimits::default() };
        directory.configure(0, HashMap::from([("finder".into(), limits)]), BTreeSet::new(), 0);
        assert_eq!(directory.max_connections("finder"), share, "{limit}");
    }
}
