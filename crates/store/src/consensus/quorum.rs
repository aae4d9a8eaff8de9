//! Majorities, and the jitter that keeps stores from acting at the same time.

use violetyoke_transport::messages::{Epoch, ReplicaConfig, StoreId, StoreNode};

/// Whether a set contains a majority of the replica set's voters, and a majority of the voters of each earlier replica
/// set that may not be installed (joint consensus).
pub(super) fn is_joint_majority(config: &ReplicaConfig, contains: impl Fn(StoreId) -> bool + Copy) -> bool {
    is_majority(&config.voters, contains)
        && config.previous_voters.iter().all(|voters| is_majority(voters, contains))
}

/// Whether a set contains more than half of the voters.
pub(crate) fn is_majority(voters: &[StoreNode], contains: impl Fn(StoreId) -> bool) -> bool {
    voters.iter().filter(|voter| contains(voter.id)).count() * 2 > voters.len()
}

/// The number of voters that hold data: the smallest for which every majority of the voters contains a data replica.
pub(super) fn data_replica_count(voters: &[StoreNode]) -> usize {
    voters.len() / 2 + 1
}

/// The voters of a replica set and of the earlier replica sets that it lists. A node may occur several times.
pub(super) fn all_voters(config: &ReplicaConfig) -> impl Iterator<Item = &StoreNode> {
    config.previous_voters.iter().flatten().chain(&config.voters)
}

/// A pseudo-random number in `0..bound` that depends only on the store and the epoch: it differs between stores, and a
/// run can be reproduced. Uses the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
pub(super) fn jitter(id: StoreId, epoch: Epoch, bound: u64) -> u64 {
    let mut x = id.0 ^ epoch.0.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (x ^ (x >> 31)) % bound.max(1)
}
