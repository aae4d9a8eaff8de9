//! A store comes back after hundreds of changes, restarted, wiped or thawed: it leads with the newest acknowledged state
//! or not at all, and has caught up in time to be one of the last two that have it.

#![cfg(test)]

mod simulation;

use simulation::{Cluster, Millis};

/// Time in which a store that is back has to count again: the least `catch-up-s` of all sites.
const CATCH_UP: Millis = 4_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Restart,
    PowerLoss,
    Wipe,
    Freeze,
}

const FAULTS: [Fault; 4] = [Fault::Restart, Fault::PowerLoss, Fault::Wipe, Fault::Freeze];

/// The leader of the newest epoch that a running process knows has what was acknowledged.
fn check_leader(cluster: &Cluster, run: &str) {
    let running = cluster.machines.iter().filter(|machine| machine.frozen_until <= cluster.now);
    let replicas: Vec<_> = running.filter_map(|machine| machine.replica.as_ref()).collect();
    let newest = replicas.iter().map(|replica| replica.epoch()).max().unwrap_or_default();
    let leaders = replicas.iter().filter(|replica| replica.is_leader() && replica.epoch() == newest);
    for state in leaders.filter_map(|replica| replica.committed_state()) {
        let (has, acknowledged) = (state.version, cluster.acknowledged_version);
        assert!(has >= acknowledged, "{run}: leads with {has} of {acknowledged}");
    }
}

fn changes(cluster: &mut Cluster, from: u64, count: u64, run: &str) {
    for version in from..from + count {
        assert!(
            cluster.replace_until_acknowledged(version, 6_000),
            "{run}: no acknowledgement of {version} by {} ms",
            cluster.now
        );
        check_leader(cluster, run);
    }
}

/// Some hundred changes, with a fault of one store during most of them.
fn hundreds_of_changes(cluster: &mut Cluster, store: usize, fault: Fault, run: &str) {
    changes(cluster, 2, 20, run);
    match fault {
        Fault::Restart => cluster.kill(store, false),
        Fault::PowerLoss => cluster.kill(store, true),
        Fault::Wipe => cluster.wipe(store),
        Fault::Freeze => cluster.freeze(store, 40_000),
    }
    changes(cluster, 22, 250, run);
    match fault {
        Fault::Freeze => {
            let thawed = cluster.machines[store].frozen_until.max(cluster.now) + 1;
            cluster.run_until(thawed);
        }
        _ => cluster.restart(store),
    }
}

#[test]
fn returned_store_has_caught_up_when_another_is_lost() {
    for (seed, fault) in (0..24).zip(FAULTS.into_iter().cycle()) {
        let mut cluster = Cluster::new(seed, 3, 1);
        let store = (seed / 4) as usize % 3;
        let run = format!("seed {seed}, store {store}, {fault:?}");
        assert!(cluster.replace_until_acknowledged(1, 5_000), "{run}: no start");
        cluster.run_for(2_500);
        hundreds_of_changes(&mut cluster, store, fault, &run);
        // More changes while it catches up.
        changes(&mut cluster, 272, 10, &run);
        cluster.run_for(CATCH_UP);
        let lost = (0..3).filter(|n| *n != store).nth(seed as usize % 2).expect("two others");
        cluster.wipe(lost);
        assert!(cluster.read_until_answered(8_000), "{run}: no store answers without {lost}");
        check_leader(&cluster, &run);
        changes(&mut cluster, 300, 5, &run);
        assert!(cluster.violations.is_empty(), "{run}: {:?}", cluster.violations);
    }
}

#[test]
fn returned_store_leads_with_newest_state_or_not_at_all() {
    for (seed, fault) in (100..124).zip(FAULTS.into_iter().cycle()) {
        let mut cluster = Cluster::new(seed, 3, 1);
        let store = (seed / 4) as usize % 3;
        let run = format!("seed {seed}, store {store}, {fault:?}");
        assert!(cluster.replace_until_acknowledged(1, 5_000), "{run}: no start");
        cluster.run_for(2_500);
        hundreds_of_changes(&mut cluster, store, fault, &run);
        let acknowledged = cluster.acknowledged_version;
        // All lose power at the moment in which it is back: before, within and after its first exchange.
        cluster.run_for(seed * 13 % 900);
        (0..3).for_each(|n| cluster.kill(n, seed % 2 == 0));
        // It comes first, and alone it has no majority.
        cluster.restart(store);
        cluster.run_for(1_500);
        assert_eq!(cluster.leader(), None, "{run}: one of three stores leads");
        cluster.restart_all();
        assert!(cluster.read_until_answered(10_000), "{run}: no store answers");
        check_leader(&cluster, &run);
        assert!(cluster.acknowledged_version >= acknowledged, "{run}");
        assert!(cluster.violations.is_empty(), "{run}: {:?}", cluster.violations);
    }
}
