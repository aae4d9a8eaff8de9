//! Measures how long no store acknowledges commands after the loss of the leader, over many losses. Printed by
//! `cargo test -p violetyoke-store --test takeover -- --nocapture`.

#![cfg(test)]

mod simulation;

use simulation::{Cluster, Millis};

/// What happens to the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    /// The process and the power of its machine.
    Process,
    /// The power and the disk.
    Disk,
    /// All links.
    Links,
    /// The process is frozen.
    Frozen,
}

/// The time from the loss to the first acknowledgement after it.
fn takeover_time(seed: u64, machines: usize, fault_tolerance: u32, loss: Loss) -> Millis {
    let mut cluster = Cluster::new(seed, machines, fault_tolerance);
    cluster.run_until(5_000);
    let leader = cluster.leader().expect("a leader");
    match loss {
        Loss::Process => cluster.kill(leader, true),
        Loss::Disk => cluster.wipe(leader),
        Loss::Frozen => cluster.freeze(leader, 20_000),
        Loss::Links => cluster.isolate(leader),
    }
    let lost_at = cluster.now;
    while cluster.acknowledged_version == 0 {
        for n in 0..machines {
            cluster.submit_replace(n, 1);
        }
        cluster.run_for(10);
        assert!(cluster.now < lost_at + 10_000, "seed {seed}, {loss:?}: no store takes over");
    }
    assert!(cluster.violations.is_empty(), "seed {seed}, {loss:?}: {:?}", cluster.violations);
    cluster.now - lost_at
}

#[test]
fn another_store_takes_over_within_two_seconds() {
    for (machines, fault_tolerance) in [(3, 1), (5, 2)] {
        for loss in [Loss::Process, Loss::Disk, Loss::Links, Loss::Frozen] {
            let mut times: Vec<Millis> =
                (0..50).map(|seed| takeover_time(seed, machines, fault_tolerance, loss)).collect();
            times.sort_unstable();
            let (p50, p99) = (times[25], times[49]);
            println!(
                "{machines} stores, {loss:?} lost, 50 losses: p50 {p50} ms, p99 {p99} ms without an acknowledgement"
            );
            assert!(p99 <= 2_000, "{machines} stores, {loss:?}: {p99} ms");
        }
    }
}
