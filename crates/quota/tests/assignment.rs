//! The assignment of tenants to registries.

#![cfg(test)]

use std::net::Ipv4Addr;
use violetyoke_quota::ShardAssignment;

fn registry(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number)
}

#[test]
fn removal_of_a_registry_reassigns_only_its_own_tenants() {
    let all = ShardAssignment::new(&[registry(1), registry(2), registry(3)]);
    let without_second = ShardAssignment::new(&[registry(1), registry(3)]);

    let mut moved = 0;
    for tenant in (0..200).map(|n| format!("tenant-{n}")) {
        let owner = all.owner(&tenant).expect("an owner");
        if owner == registry(2) {
            moved += 1;
        } else {
            assert_eq!(without_second.owner(&tenant), Some(owner));
        }
    }

    assert!((20..120).contains(&moved), "{moved} of 200 tenants reassigned");
}

#[test]
fn tenant_has_no_owner_without_registries() {
    assert_eq!(ShardAssignment::new(&[]).owner("tenant-1"), None);
}

/// All versions of all programs must compute the same owners. These are the owners in version 0.2.0.
#[test]
fn assignment_is_the_same_in_all_versions() {
    let all = ShardAssignment::new(&[registry(1), registry(2), registry(3)]);
    let owners: Vec<u8> =
        (0..12).map(|n| all.owner(&format!("tenant-{n}")).expect("an owner").octets()[3]).collect();
    assert_eq!(owners, [2, 2, 3, 3, 1, 1, 2, 2, 3, 1, 2, 3]);
}
