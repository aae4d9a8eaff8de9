//! A tenant joins: one change, and from its acknowledgement on it is served alike wherever its requests land.

#![cfg(test)]

mod common;

use common::{configuration, stage, Stage};
use serde_json::{json, Value};
use violetyoke_local::backends::times_run;

fn with_newcomers(version: u64, newcomers: u64) -> Value {
    let mut next = configuration(version);
    for n in 0..newcomers {
        let row = json!([format!("newcomer-{n}"), [format!("new-key-{n}")], 50, 50]);
        next["tenants"]["rows"].as_array_mut().expect("rows").push(row);
        let route = json!([
            format!("new-{n}"),
            "rooms.example",
            format!("/new-{n}/"),
            "nonidempotent",
            2000,
            800,
            2,
            [],
            "ledger"
        ]);
        next["routes"]["rows"].as_array_mut().expect("rows").push(route);
    }
    next
}

/// One booking of a newcomer at each edge; what each was answered.
fn book_everywhere(stage: &mut Stage, n: u64) -> Vec<u16> {
    let (path, key) = (format!("/new-{n}/1"), format!("new-key-{n}"));
    (0..4).map(|edge| stage.status(edge, &path, &key, b"two nights")).collect()
}

#[test]
fn from_the_acknowledgement_on_a_newcomer_is_known_at_every_edge() {
    let mut stage = stage();
    for n in 0..12 {
        stage.put(with_newcomers(10 + n, n + 1));
        assert_eq!(book_everywhere(&mut stage, n), [200; 4], "newcomer {n}");
    }
    assert!(times_run(&stage.ledgers).values().all(|times| *times == 1));
}

#[test]
fn an_edge_whose_registry_is_stopped_asks_the_others_before_it_denies() {
    let mut stage = stage();
    let mut version = 30;
    for stopped in 0..3 {
        stage.system.cores[stopped].registry.stop().expect("stopped");
        // Edges that ask this registry first hear from no other for a while.
        for _ in 0..2 {
            version += 1;
            stage.put(with_newcomers(version, version));
            assert_eq!(
                book_everywhere(&mut stage, version - 1),
                [200; 4],
                "registry {stopped}, version {version}"
            );
        }
        stage.system.cores[stopped].registry.go_on().expect("goes on");
    }
}

#[test]
fn invented_keys_are_denied_without_a_question_each() {
    let mut stage = stage();
    let begun = std::time::Instant::now();
    for _ in 0..50 {
        assert_eq!(stage.status(0, "/search/1", "invented", b""), 401);
    }
    assert!(begun.elapsed().as_millis() < 4_000, "{:?} for 50 denials", begun.elapsed());
}

#[test]
fn a_tenant_that_leaves_and_comes_back_with_its_key_is_denied_in_between() {
    let mut stage = stage();
    for round in 0..4 {
        stage.put(with_newcomers(50 + 2 * round, 1));
        assert_eq!(book_everywhere(&mut stage, 0), [200; 4], "round {round}");
        stage.put(with_newcomers(51 + 2 * round, 0));
        assert_eq!(book_everywhere(&mut stage, 0), [404; 4], "round {round}");
        assert_eq!(stage.status(0, "/search/1", "new-key-0", b""), 401);
    }
}
