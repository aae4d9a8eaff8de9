//! How long no store answers after its primary is lost, over many losses. Shown by
//! `cargo test -p violetyoke-store --test takeover -- --nocapture`.

mod world;

use violetyoke_transport::messages::Order;
use world::operator::primary;
use world::World;

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
    let mut world = World::new(seed, machines, tolerance);
    world.run(5_000);
    let lost = primary(&world).expect("a primary");
    match loss {
        Loss::Process => world.kill(lost, true),
        Loss::Disk => world.wipe(lost),
        Loss::Frozen => world.machines[lost].frozen_until = world.now + 20_000,
        Loss::Links => {
            for other in 0..machines {
                world.cut.insert((lost, other));
                world.cut.insert((other, lost));
            }
        }
    }
    let begun = world.now;
    while world.acked == 0 {
        for n in 0..machines {
            world.order(n, Order::Replace { version: 1, text: "configuration 1".into() });
        }
        world.run(world.now + 10);
        assert!(world.now < begun + 10_000, "seed {seed}, {loss:?}: nobody takes over");
    }
    assert!(world.broken.is_empty(), "seed {seed}, {loss:?}: {:?}", world.broken);
    world.now - begun
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
