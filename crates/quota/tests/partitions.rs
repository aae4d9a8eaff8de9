//! Proxies that can't reach the owner: their local admissions, and the owners' reservations for them.

#![cfg(test)]

use violetyoke_quota::{Limit, LocalUsage, PartitionedProxies};

/// Fraction by which a limit may be exceeded in these tests.
const TOLERATED: f64 = 0.06;

fn all() -> Vec<u32> {
    (0..10).collect()
}

/// The history of a registry to which ten proxies were connected at 1 s, and three of them partitioned from 2
/// s on.
fn with_three_partitioned() -> PartitionedProxies {
    let mut proxies = PartitionedProxies::default();
    proxies.update_members(1_000, &all(), &[]);
    proxies.update_members(2_000, &all()[..7], &[]);
    proxies
}

#[test]
fn owner_reserves_the_local_share_of_partitioned_proxies_beyond_the_tolerated_overshoot() {
    let mut proxies = PartitionedProxies::default();
    proxies.update_members(1_000, &all(), &[]);
    assert_eq!(proxies.reserved_fraction(1_000, TOLERATED), 0.0);

    proxies.update_members(2_000, &all()[..7], &[]);

    assert_eq!(proxies.partitioned(), [7, 8, 9]);
    assert!((proxies.reserved_fraction(2_000, TOLERATED) - (0.3 * 0.75 - TOLERATED)).abs() < 1e-9);
}

#[test]
fn reservation_lasts_one_local_window_after_reconnection() {
    let mut proxies = with_three_partitioned();

    proxies.update_members(9_000, &all(), &[]);

    assert!(
        proxies.reserved_fraction(13_000, TOLERATED) > 0.1,
        "their local admissions are within the local window"
    );
    assert_eq!(proxies.reserved_fraction(14_001, TOLERATED), 0.0);
}

#[test]
fn nothing_is_reserved_for_restarted_proxies() {
    let mut proxies = with_three_partitioned();

    proxies.update_members(16_000, &all(), &[7, 8, 9]);
    proxies.update_members(16_300, &all(), &[]);

    assert_eq!(proxies.reserved_fraction(16_400, TOLERATED), 0.0);
}

#[test]
fn new_registry_reserves_for_proxies_that_another_registry_reports_as_partitioned() {
    let mut proxies = PartitionedProxies::default();

    proxies.merge(20_000, &[7, 8, 9]);
    proxies.update_members(20_000, &all()[..7], &[]);

    assert!(proxies.reserved_fraction(20_000, TOLERATED) > 0.1);
}

#[test]
fn partitioned_registry_reserves_nothing() {
    let mut proxies = PartitionedProxies::default();
    proxies.update_members(1_000, &all(), &[]);

    proxies.update_members(30_000, &[], &[]);
    assert_eq!(proxies.reserved_fraction(30_000, TOLERATED), 0.0);

    proxies.update_members(31_000, &all(), &[]);
    let message = "another registry counted their requests during the partition";
    assert_eq!(proxies.reserved_fraction(31_000, TOLERATED), 0.0, "{message}");
}

#[test]
fn proxy_that_does_not_reconnect_is_removed() {
    let mut proxies = PartitionedProxies::default();
    proxies.update_members(31_000, &all(), &[]);

    proxies.update_members(40_000, &all()[..9], &[]);
    proxies.update_members(100_000, &all()[..9], &[]);

    assert_eq!(proxies.partitioned(), [0u32; 0]);
}

#[test]
fn reservation_is_correct_over_a_sequence_of_partitions_and_restarts() {
    let members = all();
    let mut proxies = with_three_partitioned();
    proxies.update_members(9_000, &members, &[]);
    assert!(proxies.reserved_fraction(13_000, TOLERATED) > 0.1);
    assert_eq!(proxies.reserved_fraction(14_001, TOLERATED), 0.0);
    // Proxies that were killed and restarted have not admitted any requests locally.
    proxies.update_members(15_000, &members[..7], &[]);
    proxies.update_members(16_000, &members, &[7, 8, 9]);
    proxies.update_members(16_300, &members, &[]);
    assert_eq!(proxies.reserved_fraction(16_400, TOLERATED), 0.0);
    // This registry is partitioned and reconnects.
    proxies.update_members(30_000, &[], &[]);
    assert_eq!(proxies.reserved_fraction(30_000, TOLERATED), 0.0);
    proxies.update_members(31_000, &members, &[]);
    assert_eq!(proxies.reserved_fraction(31_000, TOLERATED), 0.0);
    // One proxy does not reconnect.
    proxies.update_members(40_000, &members[..9], &[]);
    proxies.update_members(100_000, &members[..9], &[]);
    assert_eq!(proxies.partitioned(), [0u32; 0]);
}

#[test]
fn proxies_without_an_owner_stay_within_the_limit_together() {
    let limit = Limit::new(245.0, 245.0).expect("a limit");
    let mut proxies = vec![LocalUsage::default(); 9];

    let mut admitted = 0;
    for now in 0..20_000 {
        for proxy in &mut proxies {
            admitted += usize::from(proxy.try_admit_locally(now, "tenant", limit, 9).is_admitted());
        }
    }

    assert!(admitted as f64 <= 245.0 * 20.0, "{admitted} in 20 s");
    assert!(admitted as f64 >= 0.6 * 245.0 * 20.0, "{admitted} in 20 s");
}
