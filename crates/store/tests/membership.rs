//! Who votes: learners take the places of voters that are silent, leave or lost their disks, early enough for a second
//! loss; what returns or leaves does no harm.

#![cfg(test)]

mod simulation;

use simulation::operators::{insist, primary, read_back};
use simulation::Cluster;
use violetyoke_store::consensus::{Effect, Event};
use violetyoke_transport::messages::{PeerMessage, ReplicaConfig};

/// The fourth machine, at an address that nobody knows before it starts.
const NEWCOMER: usize = 3;

/// Three stores that lead and follow, and a fourth machine that has not started yet.
fn settled(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 4, 1);
    cluster.wipe(NEWCOMER);
    assert!(insist(&mut cluster, 1, 5_000), "no first acknowledgement by {} ms", cluster.now);
    cluster.run(cluster.now + 1_000);
    cluster
}

/// What a store says in its heartbeats.
fn config(cluster: &Cluster, n: usize) -> ReplicaConfig {
    let mut copy = cluster.machines[n].replica.clone().expect("it runs");
    copy.request_heartbeat();
    let effects = copy.handle(cluster.now, Event::Tick { disk_healthy: true });
    let heartbeat = effects.into_iter().find_map(|effect| match effect {
        Effect::Send { message: PeerMessage::Heartbeat(heartbeat), .. } => Some(heartbeat),
        _ => None,
    });
    heartbeat.expect("a heartbeat").config
}

fn votes(cluster: &Cluster, n: usize) -> bool {
    let leader = primary(cluster).expect("a primary");
    config(cluster, leader).voters.iter().any(|voter| voter.ip == cluster.machines[n].ip)
}

fn leave(cluster: &mut Cluster, n: usize) {
    let now = cluster.now;
    let replica = cluster.machines[n].replica.as_mut().expect("it runs");
    // Its announcement is lost: the next heartbeat repeats it.
    drop(replica.handle(now, Event::Shutdown));
}

/// Waits until a leaver may end, ends it, and says how long it took.
fn ends(cluster: &mut Cluster, n: usize) -> u64 {
    let begun = cluster.now;
    while !cluster.machines[n].replica.as_ref().expect("it runs").is_handover_complete() {
        cluster.run(cluster.now + 10);
        assert!(cluster.now < begun + 4_500, "{n} can't leave");
    }
    cluster.kill(n, false);
    cluster.now - begun
}

#[test]
fn after_a_replacement_without_notice_any_other_machine_may_be_lost() {
    for seed in 0..30 {
        for replaced in 0..3 {
            for lost in (0..4).filter(|n| *n != replaced) {
                let what = format!("seed {seed}: {replaced} replaced, then {lost} lost");
                let mut cluster = settled(seed);
                cluster.wipe(replaced);
                cluster.run(cluster.now + 500);
                cluster.restart(NEWCOMER);
                cluster.run(cluster.now + 2_500);
                assert!(
                    votes(&cluster, NEWCOMER) && !votes(&cluster, replaced),
                    "{what}: no place changed hands"
                );
                assert!(insist(&mut cluster, 2, 1_000), "{what}: not acknowledged before");
                match seed % 2 {
                    0 => cluster.wipe(lost),
                    _ => cluster.kill(lost, true),
                }
                assert!(insist(&mut cluster, 3, 2_000), "{what}: not acknowledged after");
                assert!(read_back(&mut cluster, 1_000), "{what}: not read");
                assert!(cluster.broken.is_empty(), "{what}: {:?}", cluster.broken);
            }
        }
    }
}

#[test]
fn a_primary_that_dies_while_it_replaces_a_voter_is_followed_by_one_that_does() {
    for seed in 0..100 {
        let mut cluster = settled(seed);
        let lost = (seed % 3) as usize;
        cluster.wipe(lost);
        cluster.run(cluster.now + 500);
        cluster.restart(NEWCOMER);
        // Somewhere in the changes of data_replicas and voters, at times before and after them.
        let moment = cluster.now + 200 + 13 * seed;
        cluster.run(moment);
        let Some(leader) = primary(&cluster) else { continue };
        cluster.kill(leader, false);
        cluster.run(cluster.now + 300);
        cluster.restart(leader);
        cluster.run(cluster.now + 4_000);
        assert!(votes(&cluster, NEWCOMER) && !votes(&cluster, lost), "seed {seed}");
        assert!(insist(&mut cluster, 2, 1_000) && read_back(&mut cluster, 1_000), "seed {seed}");
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
}

#[test]
fn a_voter_cut_off_for_longer_than_its_place_returns_as_a_learner_and_disturbs_nobody() {
    for seed in 0..40 {
        let mut cluster = settled(seed);
        cluster.restart(NEWCOMER);
        cluster.run(cluster.now + 1_000);
        let cut = (seed % 3) as usize;
        for other in 0..4 {
            cluster.network.cut(cut, other);
            cluster.network.cut(other, cut);
        }
        assert!(insist(&mut cluster, 2, 4_000), "seed {seed}");
        cluster.run(cluster.now + 4_000);
        let leader = primary(&cluster).expect("a primary");
        let before = config(&cluster, leader);
        assert!(!votes(&cluster, cut), "seed {seed}");
        // Backups are heard before the primary.
        cluster.network.keep_cuts_of(leader);
        cluster.run(cluster.now + 600);
        cluster.network.restore_all();
        cluster.run(cluster.now + 1_500);
        assert_eq!(primary(&cluster), Some(leader), "seed {seed}");
        assert_eq!(config(&cluster, leader), before, "seed {seed}: the epoch is another");
        assert_eq!(config(&cluster, cut), before, "seed {seed}: it doesn't know who votes");
        assert!(read_back(&mut cluster, 1_000), "seed {seed}");
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
}

#[test]
fn a_voter_that_missed_a_change_learns_that_it_is_installed() {
    for seed in 0..40 {
        let mut cluster = settled(seed);
        let leader = primary(&cluster).expect("a primary");
        let replaced = (leader + 1) % 3;
        let witness = (leader + 2) % 3;
        cluster.wipe(replaced);
        cluster.restart(NEWCOMER);
        let moment = cluster.now + 1_300 + 5 * seed;
        cluster.run(moment);
        // What the primary says to the third voter is lost from somewhere in the change on.
        cluster.network.cut(leader, witness);
        cluster.run(cluster.now + 300);
        cluster.network.restore_all();
        cluster.run(cluster.now + 2_500);
        let newest = config(&cluster, primary(&cluster).expect("a primary"));
        assert!(newest.previous_voters.is_empty(), "seed {seed}: {newest:?}");
        for n in [leader, witness, NEWCOMER] {
            assert_eq!(config(&cluster, n), newest, "seed {seed}: store {n}");
        }
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
}

#[test]
fn a_leaver_hands_over_primacy_copy_and_place_where_a_learner_is_there() {
    let mut longest = 0;
    for seed in 0..40 {
        for leaver in 0..3 {
            let mut cluster = settled(seed);
            assert!(insist(&mut cluster, 2, 1_000));
            // The newcomer of a planned replacement starts first; it is a learner, caught up or not.
            cluster.restart(NEWCOMER);
            cluster.run(cluster.now + 100 + 100 * (seed % 10));
            leave(&mut cluster, leaver);
            longest = longest.max(ends(&mut cluster, leaver));
            assert!(votes(&cluster, NEWCOMER) && !votes(&cluster, leaver), "seed {seed}: {leaver} leaves");
            // Another is lost right after it.
            let lost = (leaver + 1 + (seed % 2) as usize) % 3;
            cluster.wipe(lost);
            assert!(insist(&mut cluster, 3, 2_000), "seed {seed}: {leaver} left, {lost} lost");
            assert!(read_back(&mut cluster, 1_000), "seed {seed}: {leaver} left, {lost} lost");
            assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
        }
    }
    println!("a leaver with a successor ends after at most {longest} ms");
    assert!(longest <= 2_500, "{longest} ms");
}

#[test]
fn a_leaver_without_a_learner_ends_once_it_neither_leads_nor_holds() {
    let mut longest = 0;
    for seed in 0..40 {
        let mut cluster = settled(seed);
        for leaver in 0..3 {
            leave(&mut cluster, leaver);
            longest = longest.max(ends(&mut cluster, leaver));
            let leader = primary(&cluster).expect("a primary");
            let newest = config(&cluster, leader);
            let holds = |n: usize| {
                let ip = cluster.machines[n].ip;
                newest.voters.iter().any(|voter| voter.ip == ip && newest.data_replicas.contains(&voter.id))
            };
            assert!(!holds(leaver) && leader != leaver, "seed {seed}: {leaver} holds a copy");
            assert!(insist(&mut cluster, 2 + leaver as u64, 600), "seed {seed}: no order without {leaver}");
            cluster.run(cluster.now + 300);
            cluster.restart(leaver);
            cluster.run(cluster.now + 600);
        }
        assert!(read_back(&mut cluster, 1_000), "seed {seed}");
        assert!(cluster.broken.is_empty(), "seed {seed}: {:?}", cluster.broken);
    }
    println!("a leaver without a successor ends after at most {longest} ms");
    assert!(longest <= 1_200, "{longest} ms");
}
