//! After hundreds of changes a member comes back, restarted, wiped or thawed: it leads with the newest that was
//! acknowledged or not at all, and may be all that is left of the newest before long.

#![cfg(test)]

mod simulation;

use simulation::operators::{insist, primary, read_back};
use simulation::Cluster;

/// Time in which a member that is back has to count again: the least of the sites' `catch-up-s`.
const CATCH_UP: u64 = 4_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Restart,
    PowerLoss,
    Wipe,
    Freeze,
}

const TROUBLES: [Trouble; 4] = [Trouble::Restart, Trouble::PowerLoss, Trouble::Wipe, Trouble::Freeze];

/// Whoever leads under the newest epoch that a running process knows has what was acknowledged.
fn check_leader(cluster: &Cluster, story: &str) {
    let runs = cluster.machines.iter().filter(|machine| machine.frozen_until <= cluster.now);
    let replicas: Vec<_> = runs.filter_map(|machine| machine.replica.as_ref()).collect();
    let newest = replicas.iter().map(|replica| replica.epoch()).max().unwrap_or_default();
    let leaders = replicas.iter().filter(|replica| replica.is_leader() && replica.epoch() == newest);
    for state in leaders.filter_map(|replica| replica.committed_state()) {
        assert!(state.version >= cluster.acked, "{story}: leads with {} of {}", state.version, cluster.acked);
    }
}

fn changes(cluster: &mut Cluster, from: u64, count: u64, story: &str) {
    for version in from..from + count {
        assert!(
            insist(cluster, version, 6_000),
            "{story}: no acknowledgement of {version} by {} ms",
            cluster.now
        );
        check_leader(cluster, story);
    }
}

/// Some hundred changes, with `store` in trouble for most of them.
fn hundreds_of_changes(cluster: &mut Cluster, store: usize, trouble: Trouble, story: &str) {
    changes(cluster, 2, 20, story);
    match trouble {
        Trouble::Restart => cluster.kill(store, false),
        Trouble::PowerLoss => cluster.kill(store, true),
        Trouble::Wipe => cluster.wipe(store),
        Trouble::Freeze => cluster.machines[store].frozen_until = cluster.now + 40_000,
    }
    changes(cluster, 22, 250, story);
    match trouble {
        Trouble::Freeze => {
            let thawed = cluster.machines[store].frozen_until.max(cluster.now) + 1;
            cluster.run(thawed);
        }
        _ => cluster.restart(store),
    }
}

#[test]
fn a_member_that_is_back_carries_the_newest_alone_with_one_other_after_catch_up() {
    for (seed, trouble) in (0..24).zip(TROUBLES.into_iter().cycle()) {
        let mut cluster = Cluster::new(seed, 3, 1);
        let store = (seed / 4) as usize % 3;
        let story = format!("seed {seed}, store {store}, {trouble:?}");
        assert!(insist(&mut cluster, 1, 5_000), "{story}: no start");
        cluster.run(cluster.now + 2_500);
        hundreds_of_changes(&mut cluster, store, trouble, &story);
        // More changes while it catches up.
        changes(&mut cluster, 272, 10, &story);
        cluster.run(cluster.now + CATCH_UP);
        let lost = (0..3).filter(|n| *n != store).nth(seed as usize % 2).expect("two others");
        cluster.wipe(lost);
        assert!(read_back(&mut cluster, 8_000), "{story}: nobody answers without {lost}");
        check_leader(&cluster, &story);
        changes(&mut cluster, 300, 5, &story);
        assert!(cluster.broken.is_empty(), "{story}: {:?}", cluster.broken);
    }
}

#[test]
fn a_member_that_is_back_among_killed_ones_leads_with_the_newest_or_not_at_all() {
    for (seed, trouble) in (100..124).zip(TROUBLES.into_iter().cycle()) {
        let mut cluster = Cluster::new(seed, 3, 1);
        let store = (seed / 4) as usize % 3;
        let story = format!("seed {seed}, store {store}, {trouble:?}");
        assert!(insist(&mut cluster, 1, 5_000), "{story}: no start");
        cluster.run(cluster.now + 2_500);
        hundreds_of_changes(&mut cluster, store, trouble, &story);
        let acked = cluster.acked;
        // All lose power in the moment in which it is back: before, within and after its first exchange.
        cluster.run(cluster.now + seed * 13 % 900);
        for n in 0..3 {
            cluster.kill(n, seed % 2 == 0);
        }
        // It comes first, and alone has nothing to say unless it holds the newest.
        cluster.restart(store);
        cluster.run(cluster.now + 1_500);
        assert_eq!(primary(&cluster), None, "{story}: one of three leads");
        for n in 0..3 {
            cluster.restart(n);
        }
        assert!(read_back(&mut cluster, 10_000), "{story}: nobody answers");
        check_leader(&cluster, &story);
        assert!(cluster.acked >= acked && cluster.broken.is_empty(), "{story}: {:?}", cluster.broken);
    }
}
