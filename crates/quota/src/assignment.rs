//! Assigns the tenants' counters to registries.

use std::net::Ipv4Addr;
use violetyoke_ownership::{shard_of, Assignment};

/// Number of shards that tenants are hashed into. Must be the same in all programs of a deployment.
const SHARD_COUNT: u32 = 64;
/// Prefix of the hashed name of each shard. Must be the same in all programs of a deployment.
const GROUP: &str = "counts";
/// A registry may own any number of shards.
const UNLIMITED: u32 = 0;

/// The assignment of tenants to registries, by rendezvous hashing of the registries' addresses: when a
/// registry is removed, only its own tenants are reassigned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardAssignment {
    /// The owner of each shard; empty if no registry is known.
    owners: Vec<Ipv4Addr>,
}

impl ShardAssignment {
    /// Assigns all shards to these registries; their order is irrelevant.
    pub fn new(registries: &[Ipv4Addr]) -> ShardAssignment {
        let names: Vec<String> = registries.iter().map(ToString::to_string).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let assignment = Assignment::new(GROUP, SHARD_COUNT, UNLIMITED, &names);
        let owner_of = |shard| assignment.owner(shard, &[])?.parse().ok();
        let owners: Option<Vec<Ipv4Addr>> = (0..SHARD_COUNT).map(owner_of).collect();
        ShardAssignment { owners: owners.unwrap_or_default() }
    }

    /// The registry that owns a tenant's counter, or `None` if no registry is known.
    pub fn owner(&self, tenant: &str) -> Option<Ipv4Addr> {
        self.owners.get(shard_of(tenant, SHARD_COUNT) as usize).copied()
    }
}
