//! A tenant joins: one change, and from its acknowledgement on it is served alike wherever its requests land.

#![cfg(test)]

mod common;

use common::{configuration, TestSystem};
use serde_json::{json, Value};
use violetyoke_local::backend::executions_by_attempt;

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
fn book_everywhere(system: &mut TestSystem, n: u64) -> Vec<u16> {
    let (path, key) = (format!("/new-{n}/1"), format!("new-key-{n}"));
    (0..4).map(|edge| system.status(edge, &path, &key, b"two nights")).collect()
}

#[test]
fn a_new_tenant_is_served_at_every_edge_after_acknowledgement() {
    let mut system = TestSystem::start();
    for n in 0..12 {
        system.replace_configuration(&with_newcomers(10 + n, n + 1));
        assert_eq!(book_everywhere(&mut system, n), [200; 4], "newcomer {n}");
    }
    assert!(executions_by_attempt(&system.ledgers).values().all(|times| *times == 1));
}

#[test]
fn an_edge_asks_other_registries_before_denying_when_one_is_stopped() {
    let mut system = TestSystem::start();
    let mut version = 30;
    for stopped in 0..3 {
        system.processes.cores[stopped].registry.pause().expect("stopped");
        // Edges that ask this registry first hear from no other for a while.
        for _ in 0..2 {
            version += 1;
            system.replace_configuration(&with_newcomers(version, version));
            assert_eq!(
                book_everywhere(&mut system, version - 1),
                [200; 4],
                "registry {stopped}, version {version}"
            );
        }
        system.processes.cores[stopped].registry.resume().expect("goes on");
    }
}

#[test]
fn unknown_keys_are_denied_without_a_query_each() {
    let mut system = TestSystem::start();
    let begun = std::time::Instant::now();
    for _ in 0..50 {
        assert_eq!(system.status(0, "/search/1", "invented", b""), 401);
    }
    assert!(begun.elapsed().as_millis() < 4_000, "{:?} for 50 denials", begun.elapsed());
}

#[test]
fn a_removed_tenant_is_denied_until_it_is_added_again() {
    let mut system = TestSystem::start();
    for round in 0..4 {
        system.replace_configuration(&with_newcomers(50 + 2 * round, 1));
        assert_eq!(book_everywhere(&mut system, 0), [200; 4], "round {round}");
        system.replace_configuration(&with_newcomers(51 + 2 * round, 0));
        assert_eq!(book_everywhere(&mut system, 0), [404; 4], "round {round}");
        assert_eq!(system.status(0, "/search/1", "new-key-0", b""), 401);
    }
}
