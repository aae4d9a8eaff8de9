//! Single faults of a leader: no acknowledged command is lost, no read returns an older state, and another store
//! takes over.

#![cfg(test)]

mod simulation;

use simulation::Cluster;
use violetyoke_transport::messages::Command;

/// Three stores that have acknowledged a command.
fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3, 1);
    assert!(cluster.replace_until_acknowledged(1, 5_000), "no first acknowledgement by {} ms", cluster.now);
    cluster
}

#[test]
fn acknowledged_command_survives_when_leader_loses_its_disk() {
    for seed in 0..60 {
        let mut cluster = started(seed);
        cluster.run_for(3_000);
        assert!(cluster.replace_until_acknowledged(2, 10_000));
        let leader = cluster.leader().expect("a leader");
        cluster.wipe(leader);
        // The others lose power at the same time, for half of the seeds, and keep their disks.
        for n in 0..3 {
            if n != leader && seed % 2 == 0 {
                cluster.kill(n, true);
            }
        }
        cluster.run_for(1_000);
        cluster.restart_all();
        assert!(cluster.read_until_answered(8_000), "seed {seed}: no store answers");
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
        // Once the wiped store is a voter again, another store may be lost.
        cluster.run_for(6_000);
        let next_leader = cluster.leader().expect("a leader again");
        cluster.wipe(next_leader);
        cluster.run_for(500);
        cluster.restart(next_leader);
        assert!(cluster.read_until_answered(8_000), "seed {seed}: the second loss");
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn partitioned_leader_acknowledges_nothing_while_the_majority_stays_available() {
    for seed in 0..40 {
        let mut cluster = started(seed);
        cluster.run_for(3_000);
        let leader = cluster.leader().expect("a leader");
        cluster.block_outbound(leader);
        if seed % 2 == 0 {
            cluster.block_inbound(leader);
        }
        let acknowledged = cluster.acknowledged_version;
        cluster.submit_replace(leader, 5);
        cluster.run_for(2_500);
        assert_eq!(
            cluster.acknowledged_version, acknowledged,
            "seed {seed}: acknowledged by a partitioned leader"
        );
        assert!(cluster.replace_until_acknowledged(7, 4_000), "seed {seed}: the majority is unavailable");
        cluster.submit(leader, Command::Read);
        cluster.run_for(500);
        cluster.network.unblock_all();
        assert!(cluster.read_until_answered(4_000));
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn frozen_leader_is_superseded_before_it_thaws() {
    for seed in 0..40 {
        let mut cluster = started(seed);
        cluster.run_for(3_000);
        let leader = cluster.leader().expect("a leader");
        cluster.submit(leader, Command::Read);
        cluster.freeze(leader, 4_000);
        assert!(cluster.replace_until_acknowledged(9, 3_500), "seed {seed}: no store took over");
        let acknowledged = cluster.acknowledged_version;
        let thaws_at = cluster.machines[leader].frozen_until;
        cluster.run_until(thaws_at);
        cluster.submit(leader, Command::Read);
        cluster.run_for(3_000);
        assert_eq!(acknowledged, 9);
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn leader_with_stalled_disk_is_replaced() {
    for seed in 0..40 {
        let mut cluster = started(seed);
        cluster.run_for(3_000);
        let leader = cluster.leader().expect("a leader");
        cluster.machines[leader].disk.stalled_until = cluster.now + 4_000;
        assert!(cluster.replace_until_acknowledged(4, 3_800), "seed {seed}");
        cluster.run_for(6_000);
        assert!(cluster.read_until_answered(3_000));
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn simulation_detects_losses_caused_by_skipped_syncs() {
    let mut found = 0;
    for seed in 0..10 {
        let mut cluster = started(seed);
        cluster.run_for(2_000);
        cluster.disks_skip_syncs = true;
        assert!(cluster.replace_until_acknowledged(5, 5_000));
        (0..3).for_each(|n| cluster.kill(n, true));
        cluster.disks_skip_syncs = false;
        cluster.run_for(500);
        cluster.restart_all();
        assert!(cluster.read_until_answered(8_000));
        found += usize::from(!cluster.violations.is_empty());
    }
    assert_eq!(found, 10, "negative control: the loss is detected in each run");
}
