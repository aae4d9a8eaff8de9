//! Reconfiguration: learners replace voters that are silent, shut down or have lost their disks, soon enough to
//! tolerate a second loss. A store that returns or shuts down neither loses commands nor interrupts the service.

#![cfg(test)]

mod simulation;

use simulation::{Cluster, Millis};
use violetyoke_store::consensus::{Effect, Event};
use violetyoke_transport::messages::{PeerMessage, ReplicaConfig};

/// The fourth machine, whose address the other stores don't know before it starts.
const NEWCOMER: usize = 3;

/// Three stores with an elected leader, and a fourth machine that has not started yet.
fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 4, 1);
    cluster.wipe(NEWCOMER);
    assert!(cluster.replace_until_acknowledged(1, 5_000), "no first acknowledgement by {} ms", cluster.now);
    cluster.run_for(1_000);
    cluster
}

/// The replica set that a store reports in its heartbeats.
fn config_of(cluster: &Cluster, n: usize) -> ReplicaConfig {
    let mut replica = cluster.machines[n].replica.clone().expect("it runs");
    replica.request_heartbeat();
    let effects = replica.handle(cluster.now, Event::Tick { disk_healthy: true });
    let heartbeat = effects.into_iter().find_map(|effect| match effect {
        Effect::Send { message: PeerMessage::Heartbeat(heartbeat), .. } => Some(heartbeat),
        _ => None,
    });
    heartbeat.expect("a heartbeat").config
}

fn is_voter(cluster: &Cluster, n: usize) -> bool {
    let leader = cluster.leader().expect("a leader");
    config_of(cluster, leader).voters.iter().any(|voter| voter.ip == cluster.machines[n].ip)
}

fn begin_shutdown(cluster: &mut Cluster, n: usize) {
    let now = cluster.now;
    let replica = cluster.machines[n].replica.as_mut().expect("it runs");
    // The announcement is dropped here; the next heartbeat repeats it.
    drop(replica.handle(now, Event::Shutdown));
}

/// Waits until a store may exit and kills it. Returns how long that took.
fn complete_shutdown(cluster: &mut Cluster, n: usize) -> Millis {
    let started_at = cluster.now;
    while !cluster.machines[n].replica.as_ref().expect("it runs").is_handover_complete() {
        cluster.run_for(10);
        assert!(cluster.now < started_at + 4_500, "store {n} doesn't complete its shutdown");
    }
    cluster.kill(n, false);
    cluster.now - started_at
}

#[test]
fn another_machine_may_be_lost_after_an_unannounced_replacement() {
    for seed in 0..30 {
        for replaced in 0..3 {
            for lost in (0..4).filter(|n| *n != replaced) {
                let context = format!("seed {seed}: {replaced} replaced, then {lost} lost");
                let mut cluster = started(seed);
                cluster.wipe(replaced);
                cluster.run_for(500);
                cluster.restart(NEWCOMER);
                cluster.run_for(2_500);
                assert!(
                    is_voter(&cluster, NEWCOMER) && !is_voter(&cluster, replaced),
                    "{context}: {replaced} is still a voter"
                );
                assert!(
                    cluster.replace_until_acknowledged(2, 1_000),
                    "{context}: no acknowledgement before the loss"
                );
                match seed % 2 {
                    0 => cluster.wipe(lost),
                    _ => cluster.kill(lost, true),
                }
                assert!(
                    cluster.replace_until_acknowledged(3, 2_000),
                    "{context}: no acknowledgement after the loss"
                );
                assert!(cluster.read_until_answered(1_000), "{context}: no read after the loss");
                assert!(cluster.violations.is_empty(), "{context}: {:?}", cluster.violations);
            }
        }
    }
}

#[test]
fn reconfiguration_completes_when_its_leader_is_killed() {
    for seed in 0..100 {
        let mut cluster = started(seed);
        let lost = (seed % 3) as usize;
        cluster.wipe(lost);
        cluster.run_for(500);
        cluster.restart(NEWCOMER);
        // Before, during or after the changes of data replicas and voters, depending on the seed.
        let moment = cluster.now + 200 + 13 * seed;
        cluster.run_until(moment);
        let Some(leader) = cluster.leader() else { continue };
        cluster.kill(leader, false);
        cluster.run_for(300);
        cluster.restart(leader);
        cluster.run_for(4_000);
        assert!(is_voter(&cluster, NEWCOMER) && !is_voter(&cluster, lost), "seed {seed}");
        assert!(cluster.replace_until_acknowledged(2, 1_000), "seed {seed}");
        assert!(cluster.read_until_answered(1_000), "seed {seed}");
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn partitioned_voter_that_was_replaced_returns_as_learner_without_a_new_epoch() {
    for seed in 0..40 {
        let mut cluster = started(seed);
        cluster.restart(NEWCOMER);
        cluster.run_for(1_000);
        let partitioned = (seed % 3) as usize;
        cluster.isolate(partitioned);
        assert!(cluster.replace_until_acknowledged(2, 4_000), "seed {seed}");
        cluster.run_for(4_000);
        let leader = cluster.leader().expect("a leader");
        let before = config_of(&cluster, leader);
        assert!(!is_voter(&cluster, partitioned), "seed {seed}");
        // The partitioned store is connected to the backups before it is connected to the leader.
        cluster.network.unblock_others(leader);
        cluster.run_for(600);
        cluster.network.unblock_all();
        cluster.run_for(1_500);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(config_of(&cluster, leader), before, "seed {seed}: the configuration changed");
        assert_eq!(
            config_of(&cluster, partitioned),
            before,
            "seed {seed}: store {partitioned} has another configuration"
        );
        assert!(cluster.read_until_answered(1_000), "seed {seed}");
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn voter_that_missed_a_reconfiguration_catches_up_with_it() {
    for seed in 0..40 {
        let mut cluster = started(seed);
        let leader = cluster.leader().expect("a leader");
        let replaced = (leader + 1) % 3;
        let witness = (leader + 2) % 3;
        cluster.wipe(replaced);
        cluster.restart(NEWCOMER);
        let moment = cluster.now + 1_300 + 5 * seed;
        cluster.run_until(moment);
        // From some moment of the reconfiguration on, messages from the leader to the third voter are lost.
        cluster.network.block(leader, witness);
        cluster.run_for(300);
        cluster.network.unblock_all();
        cluster.run_for(2_500);
        let newest = config_of(&cluster, cluster.leader().expect("a leader"));
        assert!(newest.previous_voters.is_empty(), "seed {seed}: {newest:?}");
        for n in [leader, witness, NEWCOMER] {
            assert_eq!(config_of(&cluster, n), newest, "seed {seed}: store {n}");
        }
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
}

#[test]
fn store_that_shuts_down_hands_over_leadership_data_and_vote_to_learner() {
    let mut longest = 0;
    for seed in 0..40 {
        for leaving in 0..3 {
            let mut cluster = started(seed);
            assert!(cluster.replace_until_acknowledged(2, 1_000));
            // In a planned replacement the newcomer starts first; it is a learner that may not have caught up yet.
            cluster.restart(NEWCOMER);
            cluster.run_for(100 + 100 * (seed % 10));
            begin_shutdown(&mut cluster, leaving);
            longest = longest.max(complete_shutdown(&mut cluster, leaving));
            assert!(
                is_voter(&cluster, NEWCOMER) && !is_voter(&cluster, leaving),
                "seed {seed}: {leaving} was not replaced by the newcomer"
            );
            // Another store is lost right after the shutdown.
            let lost = (leaving + 1 + (seed % 2) as usize) % 3;
            cluster.wipe(lost);
            assert!(cluster.replace_until_acknowledged(3, 2_000), "seed {seed}: {leaving} left, {lost} lost");
            assert!(cluster.read_until_answered(1_000), "seed {seed}: {leaving} left, {lost} lost");
            assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
        }
    }
    println!("a shutdown with a successor takes at most {longest} ms");
    assert!(longest <= 2_500, "{longest} ms");
}

#[test]
fn store_that_shuts_down_without_learner_hands_over_leadership_and_data() {
    let mut longest = 0;
    for seed in 0..40 {
        let mut cluster = started(seed);
        for leaving in 0..3 {
            begin_shutdown(&mut cluster, leaving);
            longest = longest.max(complete_shutdown(&mut cluster, leaving));
            let leader = cluster.leader().expect("a leader");
            let newest = config_of(&cluster, leader);
            let holds_data = |n: usize| {
                let ip = cluster.machines[n].ip;
                newest.voters.iter().any(|voter| voter.ip == ip && newest.data_replicas.contains(&voter.id))
            };
            assert!(!holds_data(leaving) && leader != leaving, "seed {seed}: {leaving} holds data");
            assert!(
                cluster.replace_until_acknowledged(2 + leaving as u64, 600),
                "seed {seed}: no command without {leaving}"
            );
            cluster.run_for(300);
            cluster.restart(leaving);
            cluster.run_for(600);
        }
        assert!(cluster.read_until_answered(1_000), "seed {seed}");
        assert!(cluster.violations.is_empty(), "seed {seed}: {:?}", cluster.violations);
    }
    println!("a shutdown without a successor takes at most {longest} ms");
    assert!(longest <= 1_200, "{longest} ms");
}
