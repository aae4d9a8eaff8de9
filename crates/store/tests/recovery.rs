//! A store returns after hundreds of changes, after a restart, a wipe or a freeze. If it leads, it has the newest
//! acknowledged state, and it catches up soon enough for another store to be lost.

#![cfg(test)]

mod simulation;

use simulation::{Cluster, Millis};

/// Time in which a returned store has to catch up: the smallest `catch-up-s` of all sites.
const CATCH_UP: Millis = 4_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Restart,
    PowerLoss,
    Wipe,
    Freeze,
}

const FAULTS: [Fault; 4] = [Fault::Restart, Fault::PowerLoss, Fault::Wipe, Fault::Freeze];

/// Asserts that the leader of the newest epoch known to a running process has the newest acknowledged version.
fn check_leader(cluster: &Cluster, context: &str) {
    let running = cluster.machines.iter().filter(|machine| machine.frozen_until <= cluster.now);
    let replicas: Vec<_> = running.filter_map(|machine| machine.replica.as_ref()).collect();
    let newest = replicas.iter().map(|replica| replica.epoch()).max().unwrap_or_default();
    let leaders = replicas.iter().filter(|replica| replica.is_leader() && replica.epoch() == newest);
    for state in leaders.filter_map(|replica| replica.committed_state()) {
        let (committed, acknowledged) = (state.version, cluster.acknowledged_version);
        assert!(committed >= acknowledged, "{context}: the leader has version {committed} of {acknowledged}");
    }
}

/// Replaces the configuration `count` times, starting with `first_version`.
fn replace_repeatedly(cluster: &mut Cluster, first_version: u64, count: u64, context: &str) {
    for version in first_version..first_version + count {
        assert!(
            cluster.replace_until_acknowledged(version, 6_000),
            "{context}: no acknowledgement of {version} by {} ms",
            cluster.now
        );
        check_leader(cluster, context);
    }
}

/// Replaces the configuration 270 times, 250 of them during a fault of one store.
fn replace_during_fault(cluster: &mut Cluster, store: usize, fault: Fault, context: &str) {
    replace_repeatedly(cluster, 2, 20, context);
    match fault {
        Fault::Restart => cluster.kill(store, false),
        Fault::PowerLoss => cluster.kill(store, true),
        Fault::Wipe => cluster.wipe(store),
        Fault::Freeze => cluster.freeze(store, 40_000),
    }
    replace_repeatedly(cluster, 22, 250, context);
    match fault {
        Fault::Freeze => {
            let thawed_at = cluster.machines[store].frozen_until.max(cluster.now) + 1;
            cluster.run_until(thawed_at);
        }
        _ => cluster.restart(store),
    }
}

#[test]
fn returned_store_has_caught_up_when_another_is_lost() {
    for (seed, fault) in (0..24).zip(FAULTS.into_iter().cycle()) {
        let mut cluster = Cluster::new(seed, 3, 1);
        let store = (seed / 4) as usize % 3;
        let context = format!("seed {seed}, store {store}, {fault:?}");
        assert!(cluster.replace_until_acknowledged(1, 5_000), "{context}: no start");
        cluster.run_for(2_500);
        replace_during_fault(&mut cluster, store, fault, &context);
        // More changes while the store catches up.
        replace_repeatedly(&mut cluster, 272, 10, &context);
        cluster.run_for(CATCH_UP);
        let lost = (0..3).filter(|n| *n != store).nth(seed as usize % 2).expect("two others");
        cluster.wipe(lost);
        assert!(cluster.read_until_answered(8_000), "{context}: no store answers without {lost}");
        check_leader(&cluster, &context);
        replace_repeatedly(&mut cluster, 300, 5, &context);
        assert!(cluster.violations.is_empty(), "{context}: {:?}", cluster.violations);
    }
}

#[test]
fn returned_store_leads_with_newest_state_or_not_at_all() {
    for (seed, fault) in (100..124).zip(FAULTS.into_iter().cycle()) {
        let mut cluster = Cluster::new(seed, 3, 1);
        let store = (seed / 4) as usize % 3;
        let context = format!("seed {seed}, store {store}, {fault:?}");
        assert!(cluster.replace_until_acknowledged(1, 5_000), "{context}: no start");
        cluster.run_for(2_500);
        replace_during_fault(&mut cluster, store, fault, &context);
        let acknowledged = cluster.acknowledged_version;
        // All processes die before, during or after the first messages of the returned store, depending on the seed.
        cluster.run_for(seed * 13 % 900);
        (0..3).for_each(|n| cluster.kill(n, seed % 2 == 0));
        // The store starts first and has no majority by itself.
        cluster.restart(store);
        cluster.run_for(1_500);
        assert_eq!(cluster.leader(), None, "{context}: one of three stores leads");
        cluster.restart_all();
        assert!(cluster.read_until_answered(10_000), "{context}: no store answers");
        check_leader(&cluster, &context);
        assert!(cluster.acknowledged_version >= acknowledged, "{context}");
        assert!(cluster.violations.is_empty(), "{context}: {:?}", cluster.violations);
    }
}
