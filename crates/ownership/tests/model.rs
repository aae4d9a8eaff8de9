//! Model check of the state machines as they are shipped: one lease manager, two holders and a receiver, in every
//! order in which requests, responses and operations can arrive: late, twice or never, with pauses between a check of
//! the lease and its operation, and with a restart of the lease manager. With a safeguard removed, the same model has
//! to find the violation that the safeguard prevents.

#![cfg(test)]

mod model_world;

use model_world::World;
use stateright::{Checker, HasDiscoveries, Model};
use violetyoke_ownership::InjectedFaults;

/// Steps from the initial state that are explored in every order.
const DEPTH: usize = 11;

/// What a depth-first search discovers first.
fn first_discovery(world: World) -> Vec<&'static str> {
    let checker = world.checker().finish_when(HasDiscoveries::Any).spawn_dfs().join();
    println!("states={} depth={}", checker.unique_state_count(), checker.max_depth());
    checker.discoveries().into_keys().collect()
}

#[test]
fn one_process_at_a_time_holds_the_lease_in_every_order() {
    let checker = World::default().checker().threads(2).target_max_depth(DEPTH).spawn_bfs().join();
    println!("states={} depth={}", checker.unique_state_count(), checker.max_depth());
    assert!(checker.unique_state_count() > 100_000, "the model explores too few states");
    let found: Vec<&str> = checker.discoveries().into_keys().collect();
    assert_eq!(found, Vec::<&str>::new());
}

#[test]
fn model_reaches_operations_of_a_second_owner() {
    assert_eq!(first_discovery(World::default()), ["a second owner operates"]);
}

#[test]
fn without_fencing_an_old_operation_follows_a_newer_one() {
    let world = World { is_fenced: false, expects_second_owner: false, ..World::default() };
    assert_eq!(first_discovery(world), ["operations in the order of epochs"]);
}

#[test]
fn lease_counted_from_the_response_is_held_by_two() {
    let faults = InjectedFaults { counts_from_response: true, ..InjectedFaults::default() };
    let world = World { faults, expects_second_owner: false, ..World::default() };
    assert_eq!(first_discovery(world), ["one holder at a time"]);
}

#[test]
fn lease_renewed_without_progress_stays_with_a_hung_owner() {
    let faults = InjectedFaults { renews_without_progress: true, ..InjectedFaults::default() };
    let world = World { faults, expects_second_owner: false, ..World::default() };
    assert_eq!(first_discovery(world), ["a hung owner's shard goes to the other"]);
}
