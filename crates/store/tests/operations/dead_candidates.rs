//! Voters that have promised an epoch whose candidate died reject records of the leader, whose epoch is lower.

use crate::simulation::{Cluster, Millis};
use violetyoke_store::consensus::Event;
use violetyoke_transport::messages::{Envelope, Epoch, PeerMessage, Revision};

/// Time that the operators' settings allow a lost machine for catching up (`catch-up-s`).
const CATCH_UP: Millis = 6_000;
const WINDOW: Millis = 60_000;
const STORES: usize = 5;
const FAULT_TOLERANCE: u32 = 2;
/// Difference between the candidate's epoch and the epoch that the voter has promised.
const EPOCHS_AHEAD: u64 = 3;

/// Guards against claims that are never granted again, because no majority accepts records of the leader's epoch.
#[test]
fn claims_are_granted_after_a_majority_has_promised_an_epoch_whose_candidate_died() {
    for seed in 0..10 {
        let mut cluster = start(seed);
        let leader = cluster.active_store().expect("a store answers");
        let candidate = witness(&cluster);
        let others = (0..STORES).filter(|n| *n != leader && *n != candidate);
        others.for_each(|voter| promise(&mut cluster, candidate, voter));
        cluster.kill(candidate, false);
        assert!(cluster.claim_until_granted("k-1", CATCH_UP), "seed {seed}: no claim is granted");
    }
}

/// Guards against a voter that rejects the leader's records for good, so that a majority is missing once others fail.
#[test]
fn voter_that_has_promised_an_epoch_whose_candidate_died_accepts_records_again() {
    for seed in 0..10 {
        let mut cluster = start(seed);
        let leader = cluster.active_store().expect("a store answers");
        let voter = witness(&cluster);
        let candidate = (0..STORES).find(|n| *n != leader && *n != voter).expect("a third store");
        promise(&mut cluster, candidate, voter);
        assert!(cluster.claim_until_granted("k-1", CATCH_UP), "seed {seed}: no claim is granted");
        cluster.run_for(CATCH_UP);
        let leader = cluster.active_store().expect("a store answers");
        let epoch = cluster.machines[leader].replica.as_ref().expect("it runs").epoch();
        let promised = cluster.machines[voter].replica.as_ref().expect("it runs").promised();
        assert_eq!(promised, epoch, "seed {seed}");
    }
}

fn start(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_operations(seed, STORES, FAULT_TOLERANCE, WINDOW);
    assert!(cluster.replace_until_acknowledged(1, 6_000), "seed {seed}: no start");
    cluster.run_for(3_000);
    cluster
}

/// A voter that holds no data, so the leader sends it no data other than operation records.
fn witness(cluster: &Cluster) -> usize {
    let leader = cluster.active_store().expect("a store answers");
    let config = &cluster.newest_config;
    let is_witness = |n: &usize| {
        let replica = cluster.machines[*n].replica.as_ref();
        replica.is_some_and(|replica| !config.data_replicas.contains(&replica.node().id))
    };
    (0..STORES).find(|n| *n != leader && is_witness(n)).expect("not all voters hold data")
}

/// Delivers a candidate's request for a promise to a voter.
fn promise(cluster: &mut Cluster, candidate: usize, voter: usize) {
    let from = cluster.machines[candidate].replica.as_ref().expect("it runs").node().clone();
    let promised = cluster.machines[voter].replica.as_ref().expect("it runs").promised();
    let epoch = Epoch(promised.0 + EPOCHS_AHEAD);
    let message = PeerMessage::Prepare { epoch, newest: Revision::default() };
    cluster.handle(voter, Event::Message(Envelope { from, message }));
}
