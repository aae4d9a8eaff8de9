//! How long no store answers after its primary is lost, over many losses. Shown by
//! `cargo test -p violetyoke-store --test takeover -- --nocapture`.

#![cfg(test)]

mod simulation;

use simulation::operators::primary;
use simulation::Cluster;
use violetyoke_transport::messages::Command;

/// What is lost with the primary.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Process,
    Disk,
    Links,
    Frozen,
}

/// From the loss to the first acknowledgement after it (ms).
fn without(seed: u64, machines: usize, tolerance: u32, loss: Loss) -> u64 {
    let mut cluster = Cluster::new(seed, machines, tolerance);
    cluster.run(5_000);
    let lost = primary(&cluster).expect("a primary");
    match loss {
        Loss::Process => cluster.kill(lost, true),
        Loss::Disk => cluster.wipe(lost),
        Loss::Frozen => cluster.machines[lost].frozen_until = cluster.now + 20_000,
        Loss::Links => {
            for other in 0..machines {
                cluster.network.cut(lost, other);
                cluster.network.cut(other, lost);
            }
        }
    }
    let begun = cluster.now;
    while cluster.acked == 0 {
        for n in 0..machines {
            cluster.order(n, Command::Replace { version: 1, text: "configuration 1".into() });
        }
        cluster.run(cluster.now + 10);
        assert!(cluster.now < begun + 10_000, "seed {seed}, {loss:?}: nobody takes over");
    }
    assert!(cluster.broken.is_empty(), "seed {seed}, {loss:?}: {:?}", cluster.broken);
    cluster.now - begun
}

#[test]
fn another_store_answers_within_two_seconds_of_a_loss() {
    for (machines, tolerance) in [(3, 1), (5, 2)] {
        for loss in [Loss::Process, Loss::Disk, Loss::Links, Loss::Frozen] {
            let mut times: Vec<u64> = (0..50).map(|seed| without(seed, machines, tolerance, loss)).collect();
            times.sort_unstable();
            let (p50, p99) = (times[25], times[49]);
            println!(
                "{machines} stores, {loss:?} lost, 50 losses: p50 {p50} ms, p99 {p99} ms without a store"
            );
            assert!(p99 <= 2_000, "{machines} stores, {loss:?}: {p99} ms");
        }
    }
}
