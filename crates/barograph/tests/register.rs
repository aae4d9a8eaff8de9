//! The register in a world of faults: nothing acknowledged is lost, no read goes back, and it comes back by itself.

mod world;

use violetyoke_mast::words::Order;
use world::World;

fn replace(world: &mut World, n: usize, version: u64) {
    world.order(n, Order::Replace { version, text: format!("configuration {version}") });
}

/// Sends one configuration after the other to all stores until one acknowledges it, for so long.
fn insist(world: &mut World, version: u64, within: u64) -> bool {
    let until = world.now + within;
    while world.now < until && world.acked < version {
        for n in 0..world.machines.len() {
            replace(world, n, version);
        }
        world.run(world.now + 100);
    }
    world.acked >= version
}

/// Reads at all stores until one answers.
fn read_back(world: &mut World, within: u64) -> bool {
    let until = world.now + within;
    let reads = world.reads;
    while world.now < until && world.reads == reads {
        for n in 0..world.machines.len() {
            world.order(n, Order::Read);
        }
        world.run(world.now + 100);
    }
    world.reads > reads
}

fn primary(world: &World) -> Option<usize> {
    let active = |n: &usize| world.machines[*n].register.as_ref().is_some_and(|register| register.active());
    let epoch = |n: &usize| world.machines[*n].register.as_ref().map_or(0, |register| register.epoch());
    (0..world.machines.len()).filter(active).max_by_key(epoch)
}

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

/// Faults drawn by the seed, with no more counted losses at once than are to be borne.
fn day(seed: u64, machines: usize, tolerance: u32) -> World {
    let mut world = World::new(seed, machines, tolerance);
    insist(&mut world, 1, 6_000);
    world.run(world.now + 2_500);
    let mut version = 1;
    // Until when each machine counts as lost.
    let mut lost = vec![0u64; machines];
    let mut back: Vec<(u64, usize)> = Vec::new();
    let mut heal = 0;
    while world.now < 60_000 {
        let now = world.now;
        back.retain(|(at, n)| {
            if *at <= now {
                world.restart(*n);
            }
            *at > now
        });
        if heal <= now {
            world.cut.clear();
        }
        let n = world.chance.below(machines as u64) as usize;
        let others = lost.iter().enumerate().filter(|(other, until)| *other != n && **until > now).count();
        let takes = others < tolerance as usize;
        let down = 300 + world.chance.below(3_000);
        match world.chance.below(60) {
            0 if takes && world.up(n) => {
                world.kill(n, true);
                back.push((now + down, n));
                lost[n] = now + down + 4_000;
            }
            1 if takes && world.up(n) => {
                world.wipe(n);
                back.push((now + down, n));
                lost[n] = now + down + 4_000;
            }
            2 if takes && heal <= now => {
                for other in 0..machines {
                    world.cut.insert((n, other));
                    if down.is_multiple_of(2) {
                        world.cut.insert((other, n));
                    }
                }
                heal = now + down;
                lost[n] = now + down + 4_000;
            }
            3 if takes && world.up(n) => {
                world.machines[n].frozen_until = now + down;
                lost[n] = now + down + 4_000;
            }
            4 if takes => {
                world.machines[n].stalled_until = now + down;
                lost[n] = now + down + 4_000;
            }
            // All processes at once; their disks stay.
            5 => {
                for n in 0..machines {
                    world.kill(n, down.is_multiple_of(2));
                    back.push((now + 200 + down / 4, n));
                }
            }
            6..=30 => {
                version += 1 + world.chance.below(3);
                replace(&mut world, n, version);
            }
            31..=40 => world.order(n, Order::Read),
            _ => {}
        }
        let step = 10 + world.chance.below(80);
        world.run(now + step);
    }
    world.cut.clear();
    for n in 0..machines {
        world.restart(n);
    }
    world.run(world.now + 1_000);
    assert!(read_back(&mut world, 20_000), "seed {seed}: nobody answers at the end");
    world
}

#[test]
fn days_of_drawn_faults_lose_nothing_with_three_machines() {
    let (mut acks, mut reads) = (0, 0);
    for seed in 0..150 {
        let world = day(seed, 3, 1);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        (acks, reads) = (acks + world.acks, reads + world.reads);
    }
    // The faults left room for something to be lost.
    assert!(acks > 10_000 && reads > 3_000, "{acks} acknowledged, {reads} read");
}

#[test]
fn days_of_drawn_faults_lose_nothing_with_five_machines() {
    let mut acks = 0;
    for seed in 0..60 {
        let world = day(1_000 + seed, 5, 2);
        assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
        acks += world.acks;
    }
    assert!(acks > 3_000, "{acks} acknowledged");
}
