//! What an operator does in the world: insists, reads back, looks who leads.

use super::World;
use violetyoke_transport::messages::Order;

pub fn replace(world: &mut World, n: usize, version: u64) {
    world.order(n, Order::Replace { version, text: format!("configuration {version}") });
}

/// Sends one configuration after the other to all stores until one acknowledges it, for so long.
pub fn insist(world: &mut World, version: u64, within: u64) -> bool {
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
pub fn read_back(world: &mut World, within: u64) -> bool {
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

pub fn primary(world: &World) -> Option<usize> {
    let active = |n: &usize| world.machines[*n].register.as_ref().is_some_and(|register| register.active());
    let epoch = |n: &usize| world.machines[*n].register.as_ref().map_or(0, |register| register.epoch());
    (0..world.machines.len()).filter(active).max_by_key(epoch)
}
