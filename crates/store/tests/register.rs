//! The replica in a cluster with faults: nothing acknowledged is lost, no read goes back, and it comes back by itself.

#![cfg(test)]

mod simulation;

use simulation::operators::{insist, primary, read_back, replace};
use simulation::Cluster;
use violetyoke_transport::messages::Command;

fn settled(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 1);
    assert!(insist(&mut cluster, 1, 5_000), "no first acknowledgement by {} ms", cluster.now);
    cluster
}

#[test]
fn a_primary_that_loses_its_disk_right_after_an_acknowledgement_takes_nothing_with_it() {
    for seed in 0..60 {
        let mut cluster = settled(seed);
        cluster.run(cluster.now + 3_000);
        assert!(insist(&mut cluster, 2, 10_000));
        let lost = primary(&cluster).expect("a primary");
        cluster.wipe(lost);
        // The others lose power with it, and come back with their disks.
        for n in 0..3 {
            if n != lost && seed % 2 == 0 {
                cluster.kill(n, true);
            }
        }
        cluster.run(cluster.now + 1_000);
        for n in 0..3 {
            cluster.restart(n);
        }
        assert!(read_back(&mut cluster, 8_000), "seed {seed}: nobody answers");
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
        // The empty one is a voter again, so that another may be lost now.
        cluster.run(cluster.now + 6_000);
        let next = primary(&cluster).expect("a primary again");
        cluster.wipe(next);
        cluster.run(cluster.now + 500);
        cluster.restart(next);
        assert!(read_back(&mut cluster, 8_000), "seed {seed}: the second loss");
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
}

#[test]
fn a_primary_that_is_cut_off_acknowledges_nothing_and_the_others_go_on() {
    for seed in 0..40 {
        let mut cluster = settled(seed);
        cluster.run(cluster.now + 3_000);
        let old = primary(&cluster).expect("a primary");
        for n in 0..3 {
            if n != old {
                cluster.network.cut(old, n);
                if seed % 2 == 0 {
                    cluster.network.cut(n, old);
                }
            }
        }
        let acked = cluster.acked;
        replace(&mut cluster, old, 5);
        cluster.run(cluster.now + 2_500);
        assert_eq!(cluster.acked, acked, "seed {seed}: acknowledged by one that is cut off");
        assert!(insist(&mut cluster, 7, 4_000), "seed {seed}: the others don't go on");
        cluster.order(old, Command::Read);
        cluster.run(cluster.now + 500);
        cluster.network.restore_all();
        assert!(read_back(&mut cluster, 4_000));
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
}

#[test]
fn a_frozen_primary_wakes_into_an_epoch_that_is_over() {
    for seed in 0..40 {
        let mut cluster = settled(seed);
        cluster.run(cluster.now + 3_000);
        let old = primary(&cluster).expect("a primary");
        cluster.order(old, Command::Read);
        cluster.machines[old].frozen_until = cluster.now + 4_000;
        assert!(insist(&mut cluster, 9, 3_500), "seed {seed}: nobody took over");
        let acked = cluster.acked;
        let woken = cluster.machines[old].frozen_until;
        cluster.run(woken);
        cluster.order(old, Command::Read);
        cluster.run(cluster.now + 3_000);
        assert_eq!(acked, 9);
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
}

#[test]
fn a_stalled_disk_hands_the_lead_on() {
    for seed in 0..40 {
        let mut cluster = settled(seed);
        cluster.run(cluster.now + 3_000);
        let old = primary(&cluster).expect("a primary");
        cluster.machines[old].stalled_until = cluster.now + 4_000;
        assert!(insist(&mut cluster, 4, 3_800), "seed {seed}");
        cluster.run(cluster.now + 6_000);
        assert!(read_back(&mut cluster, 3_000));
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
}

#[test]
fn the_simulation_finds_what_is_lost_where_a_sync_is_skipped() {
    let mut found = 0;
    for seed in 0..10 {
        let mut cluster = settled(seed);
        cluster.run(cluster.now + 2_000);
        cluster.lying_disks = true;
        assert!(insist(&mut cluster, 5, 5_000));
        for n in 0..3 {
            cluster.kill(n, true);
        }
        cluster.lying_disks = false;
        cluster.run(cluster.now + 500);
        for n in 0..3 {
            cluster.restart(n);
        }
        assert!(read_back(&mut cluster, 8_000));
        found += usize::from(!cluster.broken.is_empty());
    }
    assert_eq!(found, 10, "the negative control: each loss is found");
}
