//! The same runs with and without each safety check of reconfiguration, to show what the check prevents.

#![cfg(test)]

mod simulation;

use simulation::Cluster;
use violetyoke_store::consensus::SafetyChecks;

const NEWCOMER: usize = 3;

fn set_checks(cluster: &mut Cluster, checks: SafetyChecks) {
    for machine in &mut cluster.machines {
        if let Some(replica) = &mut machine.replica {
            replica.set_safety_checks(checks);
        }
    }
}

/// A voter is partitioned until a learner has replaced it, and returns without a connection to the leader. After the
/// next acknowledged command one disk is lost while all other machines lose power. Returns the violations that
/// clients saw.
fn returned_then_wiped(seed: u64, checks: SafetyChecks) -> Vec<String> {
    let mut cluster = Cluster::new(seed, 4, 1);
    assert!(cluster.replace_until_acknowledged(1, 5_000), "seed {seed}");
    let returned = (seed % 3) as usize;
    cluster.isolate(returned);
    cluster.run_for(5_000);
    set_checks(&mut cluster, checks);
    let leader = cluster.leader().filter(|leader| *leader != returned).unwrap_or((returned + 1) % 3);
    cluster.network.unblock_others(leader);
    let until = cluster.now + 1_500;
    while cluster.now < until && cluster.leader() != Some(returned) {
        cluster.run_for(10);
    }
    cluster.network.unblock_all();
    let until = cluster.now + 5_000;
    while cluster.now < until && cluster.acknowledged_version < 2 {
        // The command goes only to the leader.
        if let Some(leader) = cluster.leader() {
            cluster.submit_replace(leader, 2);
        }
        cluster.run_for(50);
    }
    assert_eq!(cluster.acknowledged_version, 2, "seed {seed}");
    // Not the disk of the returned store.
    let wiped = (returned + 1 + (seed / 3 % 3) as usize) % 4;
    cluster.wipe(wiped);
    (0..4).for_each(|n| cluster.kill(n, true));
    cluster.run_for(300);
    cluster.restart_all();
    assert!(cluster.read_until_answered(10_000), "seed {seed}: no store answers");
    cluster.violations
}

#[test]
fn without_check_that_data_replicas_are_voters_an_acknowledged_command_is_lost() {
    let without = SafetyChecks { data_replicas_vote: false, ..SafetyChecks::default() };
    let mut found = 0;
    for seed in 0..90 {
        let violations = returned_then_wiped(seed, SafetyChecks::default());
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        let lost = returned_then_wiped(seed, without);
        if found == 0 && !lost.is_empty() {
            println!("seed {seed}, the returned store leads and holds data without a vote: {lost:?}");
        }
        found += usize::from(!lost.is_empty());
    }
    println!("{found} of 90 runs lose an acknowledged command without the check, none with it");
    assert!(found > 0);
}

/// Joint majorities and the data replicas preserve acknowledged commands whatever state a new voter has. The check that
/// learners catch up first only serves availability.
#[test]
fn without_check_that_learners_catch_up_no_acknowledged_command_is_lost() {
    let without = SafetyChecks { learners_catch_up: false, ..SafetyChecks::default() };
    for seed in 0..60 {
        let mut cluster = Cluster::new(seed, 4, 1);
        cluster.wipe(NEWCOMER);
        assert!(cluster.replace_until_acknowledged(1, 5_000), "seed {seed}");
        set_checks(&mut cluster, without);
        let replaced = (seed % 3) as usize;
        cluster.wipe(replaced);
        cluster.run_for(500);
        cluster.restart(NEWCOMER);
        set_checks(&mut cluster, without);
        cluster.run_for(2_000);
        assert!(cluster.replace_until_acknowledged(2, 2_000), "seed {seed}");
        cluster.wipe((replaced + 1 + (seed / 3 % 2) as usize) % 3);
        assert!(cluster.replace_until_acknowledged(3, 3_000), "seed {seed}");
        assert!(cluster.read_until_answered(2_000), "seed {seed}");
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}
