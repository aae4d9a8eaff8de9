//! Whether a registry is in contact with the core or partitioned from it.

#![cfg(test)]

use violetyoke_registry::core_contact::{CoreContact, CoreView};

fn view(seeds: usize, shard_owners: usize, connected: usize) -> CoreView {
    CoreView { seeds, shard_owners, connected }
}

#[test]
fn registry_without_a_connected_majority_has_no_contact_whatever_its_own_store_assigns() {
    let mut contact = CoreContact::default();
    assert!(!contact.update(view(3, 0, 1)), "it has just started, alone");
    assert!(contact.update(view(3, 3, 3)));
    assert!(contact.update(view(3, 2, 2)), "one of three was lost");
    assert!(contact.update(view(3, 3, 3)), "the lost one was replaced");
    // The registry is partitioned. Its own store still leads an old epoch, and assigns all shards to the one registry
    // that it reaches.
    assert!(!contact.update(view(3, 3, 1)));
    assert!(!contact.update(view(3, 1, 1)));
    assert!(contact.update(view(3, 3, 3)), "reconnected");
}

#[test]
fn partition_splits_five_registries_into_two_without_contact_and_three_with_contact() {
    let mut minority = CoreContact::default();
    assert!(minority.update(view(3, 5, 5)));
    assert!(!minority.update(view(3, 2, 2)));
    let mut majority = CoreContact::default();
    assert!(majority.update(view(3, 5, 5)));
    assert!(majority.update(view(3, 3, 3)));
    assert!(
        majority.update(view(3, 3, 2)),
        "another one is lost after the shards were reassigned to the three"
    );
}

#[test]
fn core_whose_machines_were_all_replaced_is_in_contact_again() {
    let mut contact = CoreContact::default();
    assert!(contact.update(view(3, 3, 3)));
    assert!(!contact.update(view(3, 3, 1)));
    assert!(contact.update(view(3, 3, 3)));
    assert!(contact.is_established());
    let mut single = CoreContact::default();
    assert!(single.update(view(1, 1, 1)), "a core of one machine");
}
