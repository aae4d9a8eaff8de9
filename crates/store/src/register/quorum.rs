//! When enough voters have said yes; and how stores that would do the same at the same time are told apart.

use violetyoke_transport::messages::{ReplicaConfig, StoreNode};

/// Enough have said yes to a replica set: of its voters, and of those of configurations before it that may not have installed.
pub(super) fn enough(config: &ReplicaConfig, has: impl Fn(u64) -> bool + Copy) -> bool {
    majority(&config.voters, has) && config.previous_voters.iter().all(|voters| majority(voters, has))
}

/// More than half of the members of a list are in a set.
pub(super) fn majority(of: &[StoreNode], has: impl Fn(u64) -> bool) -> bool {
    of.iter().filter(|node| has(node.id)).count() * 2 > of.len()
}

/// A figure in `0..most` that differs between stores and epochs, the same for the same two.
pub(super) fn drawn(id: u64, epoch: u64, most: u64) -> u64 {
    let mut x = id ^ epoch.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) % most.max(1)
}
