//! After hundreds of changes a member comes back, restarted, wiped or thawed: it leads with the newest that was
//! acknowledged or not at all, and may be all that is left of the newest before long.

mod world;

use world::operator::{insist, primary, read_back};
use world::World;

/// Time in which a member that is back has to count again: the least of the sites' `catch-up-s`.
const CATCH_UP: u64 = 4_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Restart,
    PowerLoss,
    Wipe,
    Freeze,
}

const TROUBLES: [Trouble; 4] = [Trouble::Restart, Trouble::PowerLoss, Trouble::Wipe, Trouble::Freeze];

/// Whoever leads under the newest epoch that a running process knows has what was acknowledged.
fn check_leader(world: &World, story: &str) {
    let runs = world.machines.iter().filter(|machine| machine.frozen_until <= world.now);
    let registers: Vec<_> = runs.filter_map(|machine| machine.register.as_ref()).collect();
    let newest = registers.iter().map(|register| register.epoch()).max().unwrap_or_default();
    let leaders = registers.iter().filter(|register| register.active() && register.epoch() == newest);
    for state in leaders.filter_map(|register| register.committed()) {
        assert!(state.version >= world.acked, "{story}: leads with {} of {}", state.version, world.acked);
    }
}

fn changes(world: &mut World, from: u64, count: u64, story: &str) {
    for version in from..from + count {
        assert!(
            insist(world, version, 6_000),
            "{story}: no acknowledgement of {version} by {} ms",
            world.now
        );
        check_leader(world, story);
    }
}

/// Some hundred changes, with `member` in trouble for most of them.
fn hundreds_of_changes(world: &mut World, member: usize, trouble: Trouble, story: &str) {
    changes(world, 2, 20, story);
    match trouble {
        Trouble::Restart => world.kill(member, false),
        Trouble::PowerLoss => world.kill(member, true),
        Trouble::Wipe => world.wipe(member),
        Trouble::Freeze => world.machines[member].frozen_until = world.now + 40_000,
    }
    changes(world, 22, 250, story);
    match trouble {
        Trouble::Freeze => {
            let thawed = world.machines[member].frozen_until.max(world.now) + 1;
            world.run(thawed);
        }
        _ => world.restart(member),
    }
}

#[test]
fn a_member_that_is_back_carries_the_newest_alone_with_one_other_after_catch_up() {
    for (seed, trouble) in (0..24).zip(TROUBLES.into_iter().cycle()) {
        let mut world = World::new(seed, 3, 1);
        let member = (seed / 4) as usize % 3;
        let story = format!("seed {seed}, member {member}, {trouble:?}");
        assert!(insist(&mut world, 1, 5_000), "{story}: no start");
        world.run(world.now + 2_500);
        hundreds_of_changes(&mut world, member, trouble, &story);
        // More changes while it catches up.
        changes(&mut world, 272, 10, &story);
        world.run(world.now + CATCH_UP);
        let lost = (0..3).filter(|n| *n != member).nth(seed as usize % 2).expect("two others");
        world.wipe(lost);
        assert!(read_back(&mut world, 8_000), "{story}: nobody answers without {lost}");
        check_leader(&world, &story);
        changes(&mut world, 300, 5, &story);
        assert!(world.broken.is_empty(), "{story}: {:?}", world.broken);
    }
}

#[test]
fn a_member_that_is_back_among_killed_ones_leads_with_the_newest_or_not_at_all() {
    for (seed, trouble) in (100..124).zip(TROUBLES.into_iter().cycle()) {
        let mut world = World::new(seed, 3, 1);
        let member = (seed / 4) as usize % 3;
        let story = format!("seed {seed}, member {member}, {trouble:?}");
        assert!(insist(&mut world, 1, 5_000), "{story}: no start");
        world.run(world.now + 2_500);
        hundreds_of_changes(&mut world, member, trouble, &story);
        let acked = world.acked;
        // All lose power in the moment in which it is back: before, within and after its first exchange.
        world.run(world.now + seed * 13 % 900);
        for n in 0..3 {
            world.kill(n, seed % 2 == 0);
        }
        // It comes first, and alone has nothing to say unless it holds the newest.
        world.restart(member);
        world.run(world.now + 1_500);
        assert_eq!(primary(&world), None, "{story}: one of three leads");
        for n in 0..3 {
            world.restart(n);
        }
        assert!(read_back(&mut world, 10_000), "{story}: nobody answers");
        check_leader(&world, &story);
        assert!(world.acked >= acked && world.broken.is_empty(), "{story}: {:?}", world.broken);
    }
}
