//! Which backend, by what backends have shown and where they stand.

#![cfg(test)]

use std::collections::{BTreeSet, HashMap};
use violetyoke_balancing::backend::Observation;
use violetyoke_balancing::cold::part;
use violetyoke_balancing::fleet::{ListedBackend, Place, Terms};
use violetyoke_balancing::{Choice, Fleet, Wanted};

fn line(id: &str, zone: &str, slots: u32) -> ListedBackend {
    ListedBackend {
        id: id.into(),
        service: "finder".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.into(),
        region: zone[..1].into(),
        slots,
        draining: false,
        slow_start_left_ms: 0,
    }
}

fn members(count: u32) -> Vec<u32> {
    (0..count).collect()
}

fn fleet(lines: Vec<ListedBackend>) -> Fleet {
    let place = Place { me: 0, zone: "a1".into(), region: "a".into(), members: members(9) };
    let mut fleet = Fleet::new(place);
    let warming = Terms { cold_ms: 3_000, cold_rate: 21.0, connections: 100 };
    fleet.configure(0, HashMap::from([("finder".into(), warming)]), BTreeSet::new(), 1_500);
    assert!(fleet.replace_list(10, 10, lines));
    fleet
}

const ANY: Wanted<'static> = Wanted { service: "finder", tried: &[], homes: [&[], &[]] };

fn chosen(fleet: &Fleet, now: u64, wanted: Wanted<'_>) -> Option<String> {
    match fleet.choose(now, wanted) {
        Choice::Backend(id) => Some(id),
        Choice::Full | Choice::Nobody => None,
    }
}

/// Sends as many as are taken, and tells how many each got.
fn fill(fleet: &mut Fleet, now: u64, most: usize) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for _ in 0..most {
        let Some(id) = chosen(fleet, now, ANY) else { break };
        fleet.sent(now, &id);
        *counts.entry(id).or_insert(0) += 1;
    }
    counts
}

#[test]
fn the_own_zone_goes_first_then_the_region_then_the_rest_and_never_past_what_a_backend_bears() {
    let mut fleet = fleet(vec![line("near", "a1", 6), line("next", "a2", 6), line("far", "b1", 6)]);
    let counts = fill(&mut fleet, 100, 1000);
    assert_eq!(fleet.choose(100, ANY), Choice::Full);
    for id in ["near", "next", "far"] {
        assert_eq!(counts[id], 8, "{counts:?}");
    }
    // One place comes free far away: it is taken, as nothing nearer is.
    fleet.ended(150, "far", Observation::Nothing);
    assert_eq!(chosen(&fleet, 150, ANY).as_deref(), Some("far"));
}

#[test]
fn connections_to_a_backend_are_cut_over_all_ingresses() {
    for (ingresses, most) in [(1, 90), (9, 10), (74, 1), (200, 1)] {
        let mut fleet = fleet(vec![line("one", "a1", 500)]);
        fleet.place.members = members(ingresses);
        assert_eq!(fill(&mut fleet, 100, 1000)["one"], most, "{ingresses} ingresses");
    }
}

#[test]
fn ingresses_that_see_the_same_list_don_t_choose_alike() {
    let ids: Vec<String> = (0..20).map(|n| format!("i-{n}")).collect();
    let mut chosen_by: HashMap<String, usize> = HashMap::new();
    for me in 0..200 {
        let mut fleet = fleet(ids.iter().map(|id| line(id, "a1", 6)).collect());
        fleet = Fleet::new(Place { me, ..fleet.place.clone() });
        fleet.replace_list(10, 10, ids.iter().map(|id| line(id, "a1", 6)).collect());
        *chosen_by.entry(chosen(&fleet, 100, ANY).expect("one of twenty")).or_default() += 1;
    }
    assert!(chosen_by.len() == 20 && chosen_by.values().all(|count| *count < 30), "{chosen_by:?}");
}

#[test]
fn homes_of_route_and_tenant_bind_both() {
    let fleet = fleet(vec![line("west", "a1", 6), line("east", "b1", 6)]);
    let (west, east) = ([String::from("a")], [String::from("b")]);
    assert_eq!(chosen(&fleet, 100, Wanted { homes: [&east, &[]], ..ANY }).as_deref(), Some("east"));
    assert_eq!(chosen(&fleet, 100, Wanted { homes: [&[], &west], ..ANY }).as_deref(), Some("west"));
    assert_eq!(fleet.choose(100, Wanted { homes: [&east, &west], ..ANY }), Choice::Nobody);
}

#[test]
fn loads_that_others_caused_count_and_fade() {
    let mut fleet = fleet(vec![line("one", "a1", 2), line("two", "a1", 2)]);
    fleet.sent(100, "one");
    fleet.ended(160, "one", Observation::Answer { took: 60, load: Some((2, 1)) });
    assert_eq!(chosen(&fleet, 170, ANY).as_deref(), Some("two"));
    fleet.sent(170, "two");
    fleet.sent(170, "two");
    assert_eq!(chosen(&fleet, 3_000, ANY).as_deref(), Some("one"), "what was told long ago has faded");
}

#[test]
fn the_faster_of_two_gets_more() {
    let mut fleet = fleet(vec![line("fast", "a1", 6), line("slow", "a1", 6)]);
    let mut counts: HashMap<String, usize> = HashMap::new();
    let mut open: Vec<(u64, u64, String)> = Vec::new();
    for now in (100..60_000).step_by(20) {
        open.retain(|(end, took, id)| {
            if *end <= now {
                fleet.ended(now, id, Observation::Answer { took: *took, load: None });
            }
            *end > now
        });
        if let Some(id) = chosen(&fleet, now, ANY) {
            let took = if id == "fast" { 50 } else { 150 };
            fleet.sent(now, &id);
            *counts.entry(id.clone()).or_default() += 1;
            open.push((now + took, took, id));
        }
    }
    assert!(counts["fast"] > 2 * counts.get("slow").copied().unwrap_or(0), "{counts:?}");
}

#[test]
fn one_that_is_dead_is_left_alone_and_tried_again_where_all_are() {
    let mut fleet = fleet(vec![line("dead", "a1", 6), line("well", "a2", 6)]);
    fleet.sent(100, "dead");
    fleet.ended(101, "dead", Observation::Dead);
    assert_eq!(chosen(&fleet, 110, ANY).as_deref(), Some("well"));
    fleet.sent(110, "well");
    fleet.ended(111, "well", Observation::Dead);
    assert_eq!(chosen(&fleet, 120, ANY).as_deref(), Some("dead"), "the one that rests least");
    assert_eq!(chosen(&fleet, 5_000, ANY).as_deref(), Some("dead"), "rested, and near");
}

#[test]
fn drained_ended_and_evacuated_ones_get_nothing() {
    let mut fleet = fleet(vec![line("one", "a1", 6), line("two", "a2", 6), line("three", "b1", 6)]);
    let draining = ListedBackend { draining: true, ..line("one", "a1", 6) };
    assert!(fleet.replace_list(1_000, 990, vec![draining, line("two", "a2", 6), line("three", "b1", 6)]));
    assert_eq!(chosen(&fleet, 1_001, ANY).as_deref(), Some("two"));
    // An older list, told late, brings nothing back.
    assert!(!fleet.replace_list(1_010, 500, vec![line("one", "a1", 6)]));
    fleet.configure(1_020, HashMap::new(), BTreeSet::from(["a2".to_owned()]), 0);
    assert_eq!(chosen(&fleet, 1_030, ANY).as_deref(), Some("three"));
    assert!(fleet.replace_list(1_100, 1_090, vec![line("two", "a2", 6)]));
    assert_eq!(fleet.choose(1_110, ANY), Choice::Nobody);
    // A life that has ended never comes back, whatever a list says.
    assert!(fleet.replace_list(1_200, 1_190, vec![line("two", "a2", 6), line("three", "b1", 6)]));
    assert_eq!(fleet.choose(1_210, ANY), Choice::Nobody);
}

#[test]
fn another_life_at_its_address_ends_one() {
    let mut fleet = fleet(vec![line("one", "a1", 6)]);
    fleet.sent(100, "one");
    fleet.ended(110, "one", Observation::NotThere);
    assert_eq!(fleet.choose(120, ANY), Choice::Nobody);
}

#[test]
fn cold_backends_get_their_rate_from_all_ingresses_together() {
    for count in [1, 4, 9, 11, 74] {
        let members = members(count);
        for seed in [1, 0xfeed, u64::MAX] {
            let sum: u32 = members.iter().map(|me| part(seed, 21.0, *me, &members)).sum();
            assert_eq!(sum, 21, "{count} ingresses");
        }
    }
    // Whoever has no session has no part: others have it by then.
    assert_eq!(part(1, 21.0, 0, &[]), 0);
}

#[test]
fn a_zone_that_is_taken_back_is_cold_until_a_list_could_say() {
    let mut fleet = fleet(vec![line("one", "a1", 6)]);
    let warming = Terms { cold_ms: 3_000, cold_rate: 21.0, connections: 100 };
    let warming = HashMap::from([("finder".into(), warming)]);
    fleet.configure(1_000, warming.clone(), BTreeSet::from(["a1".to_owned()]), 1_500);
    fleet.configure(9_000, warming, BTreeSet::new(), 1_500);
    assert_eq!(
        sent_in_a_second(&mut fleet, 9_000),
        cold_part(&fleet),
        "in the second after it was taken back"
    );
}

/// What one backend is sent in a second by an ingress that has 400 requests for it.
fn sent_in_a_second(fleet: &mut Fleet, from: u64) -> u32 {
    let mut sent = 0;
    for now in from..from + 1_000 {
        while let Some(id) = chosen(fleet, now, ANY).filter(|_| sent < 400) {
            fleet.sent(now, &id);
            fleet.ended(now, &id, Observation::Nothing);
            sent += 1;
        }
    }
    sent
}

fn cold_part(fleet: &Fleet) -> u32 {
    part(fleet.get("one").expect("a backend").seed, 21.0, 0, &members(9))
}

#[test]
fn one_that_was_dark_gets_one_request_at_a_time_and_then_what_a_cold_one_bears() {
    let mut fleet = fleet(vec![line("one", "a1", 6)]);
    fleet.sent(1_000, "one");
    fleet.ended(1_150, "one", Observation::Dead);
    assert!(fleet.replace_list(3_000, 2_990, vec![line("one", "a1", 6)]));
    // Long after, when nothing is known of it: the first to try it is alone there until it has an answer.
    assert_eq!(fill(&mut fleet, 9_000, 5), HashMap::from([("one".to_owned(), 1)]));
    fleet.ended(9_050, "one", Observation::Answer { took: 50, load: None });
    assert_eq!(
        sent_in_a_second(&mut fleet, 9_051),
        cold_part(&fleet) - 1,
        "until a list could say that it is cold"
    );
    assert_eq!(sent_in_a_second(&mut fleet, 11_000), 400, "no list said so");
}
