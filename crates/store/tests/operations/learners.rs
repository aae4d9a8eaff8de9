//! A store that lost its disk becomes a voter again while operations are claimed at the full rate.

use crate::proxies::Proxies;
use crate::simulation::{Cluster, Millis};

/// Time that the operators' settings allow a lost machine for catching up (`catch-up-s`).
const CATCH_UP: Millis = 6_000;
const WINDOW: Millis = 60_000;
/// Number of distinct keys: more than the operations of a run, so that keys are rarely repeated.
const KEYS: u64 = 1_000_000;
const STEP: Millis = 5;
/// Operations sent in each step: 600/s.
const OPERATIONS_PER_STEP: usize = 3;

/// Guards against a learner that never has all records, because it is offered records which are sent to it only later.
#[test]
fn store_with_an_empty_disk_becomes_voter_within_the_catch_up_time_under_load() {
    (0..5).for_each(|seed| lose_a_disk_under_load(seed, 1));
}

/// Guards against a change of voters that waits for the commit of a batch, which takes as long as the slowest disks.
#[test]
fn store_with_an_empty_disk_becomes_voter_within_the_catch_up_time_beside_slow_disks() {
    (0..5).for_each(|seed| lose_a_disk_under_load(seed, 80));
}

fn lose_a_disk_under_load(seed: u64, log_slowness: u64) {
    let mut cluster = Cluster::with_operations(seed, 5, 2, WINDOW);
    if let Some(operations) = &mut cluster.operations {
        operations.log_slowness = log_slowness;
    }
    assert!(cluster.replace_until_acknowledged(1, 6_000), "seed {seed}: no start");
    cluster.run_for(3_000);
    let mut proxies = Proxies::new(seed, WINDOW, KEYS);
    run(&mut cluster, &mut proxies, 2_000);
    let leader = cluster.active_store().expect("a store answers");
    let lost = (leader + 1) % 5;
    cluster.wipe(lost);
    run(&mut cluster, &mut proxies, 800);
    cluster.restart(lost);
    run(&mut cluster, &mut proxies, CATCH_UP);
    let leader = cluster.active_store().expect("a store answers");
    let replica = cluster.machines[leader].replica.as_ref().expect("it runs");
    let id = cluster.machines[lost].replica.as_ref().expect("it runs").node().id;
    assert!(replica.voters().iter().any(|voter| voter.id == id), "seed {seed}: the store is no voter");
    assert_eq!(proxies.violations, Vec::<String>::new(), "seed {seed}");
}

fn run(cluster: &mut Cluster, proxies: &mut Proxies, span: Millis) {
    let end = cluster.now + span;
    while cluster.now < end {
        for _ in 0..OPERATIONS_PER_STEP {
            proxies.send(cluster.now);
        }
        proxies.step(cluster);
        cluster.run_for(STEP);
    }
}
