//! The register in a world of faults: nothing acknowledged is lost, no read goes back, and it comes back by itself.

mod world;

use violetyoke_transport::messages::Order;
use world::operator::{insist, primary, read_back, replace};
use world::World;

fn settled(seed: u64) -> World {
    let mut world = World::new(seed, 3, 1);
    assert!(insist(&mut world, 1, 5_000), "no first acknowledgement by {} ms", world.now);
    world
}

#[test]
fn a_primary_that_loses_its_disk_right_after_an_acknowledgement_takes_nothing_with_it() {
    for seed in 0..60 {
        let mut world = settled(seed);
        world.run(world.now + 3_000);
        assert!(insist(&mut world, 2, 10_000));
        let lost = primary(&world).expect("a primary");
        world.wipe(lost);
        // The others lose power with it, and come back with their disks.
        for n in 0..3 {
            if n != lost && seed % 2 == 0 {
                world.kill(n, true);
            }
        }
        world.run(world.now + 1_000);
        for n in 0..3 {
            world.restart(n);
        }
        assert!(read_back(&mut world, 8_000), "seed {seed}: nobody answers");
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        // The empty one is a voter again, so that another may be lost now.
        world.run(world.now + 6_000);
        let next = primary(&world).expect("a primary again");
        world.wipe(next);
        world.run(world.now + 500);
        world.restart(next);
        assert!(read_back(&mut world, 8_000), "seed {seed}: the second loss");
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

#[test]
fn a_primary_that_is_cut_off_acknowledges_nothing_and_the_others_go_on() {
    for seed in 0..40 {
        let mut world = settled(seed);
        world.run(world.now + 3_000);
        let old = primary(&world).expect("a primary");
        for n in 0..3 {
            if n != old {
                world.cut.insert((old, n));
                if seed % 2 == 0 {
                    world.cut.insert((n, old));
                }
            }
        }
        let acked = world.acked;
        replace(&mut world, old, 5);
        world.run(world.now + 2_500);
        assert_eq!(world.acked, acked, "seed {seed}: acknowledged by one that is cut off");
        assert!(insist(&mut world, 7, 4_000), "seed {seed}: the others don't go on");
        world.order(old, Order::Read);
        world.run(world.now + 500);
        world.cut.clear();
        assert!(read_back(&mut world, 4_000));
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

#[test]
fn a_frozen_primary_wakes_into_an_epoch_that_is_over() {
    for seed in 0..40 {
        let mut world = settled(seed);
        world.run(world.now + 3_000);
        let old = primary(&world).expect("a primary");
        world.order(old, Order::Read);
        world.machines[old].frozen_until = world.now + 4_000;
        assert!(insist(&mut world, 9, 3_500), "seed {seed}: nobody took over");
        let acked = world.acked;
        let woken = world.machines[old].frozen_until;
        world.run(woken);
        world.order(old, Order::Read);
        world.run(world.now + 3_000);
        assert_eq!(acked, 9);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

#[test]
fn a_stalled_disk_hands_the_lead_on() {
    for seed in 0..40 {
        let mut world = settled(seed);
        world.run(world.now + 3_000);
        let old = primary(&world).expect("a primary");
        world.machines[old].stalled_until = world.now + 4_000;
        assert!(insist(&mut world, 4, 3_800), "seed {seed}");
        world.run(world.now + 6_000);
        assert!(read_back(&mut world, 3_000));
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    }
}

#[test]
fn the_world_finds_what_is_lost_where_a_sync_is_skipped() {
    let mut found = 0;
    for seed in 0..10 {
        let mut world = settled(seed);
        world.run(world.now + 2_000);
        world.lying_disks = true;
        assert!(insist(&mut world, 5, 5_000));
        for n in 0..3 {
            world.kill(n, true);
        }
        world.lying_disks = false;
        world.run(world.now + 500);
        for n in 0..3 {
            world.restart(n);
        }
        assert!(read_back(&mut world, 8_000));
        found += usize::from(!world.broken.is_empty());
    }
    assert_eq!(found, 10, "the negative control: each loss is found");
}
