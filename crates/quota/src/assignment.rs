//! Which registry owns which tenant's counter.

use std::net::Ipv4Addr;
use violetyoke_ownership::{shard_of, Assignment};

/// Tenants are hashed into so many shards. All programs of a system have to agree on it.
const SHARD_COUNT: u32 = 64;
/// The name that the hash of each shard begins with. All programs of a system have to agree on it.
const GROUP: &str = "counts";
/// A registry may own any number of shards.
const UNLIMITED: u32 = 0;

/// The assignment of tenants to registries, by rendezvous hashing of the registries' addresses: when a registry leaves,
/// only its own tenants move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardAssignment {
    /// The owner of each shard; empty where no registry is known.
    owners: Vec<Ipv4Addr>,
}

impl ShardAssignment {
    /// Assigns all shards to these registries; the order in which they are given makes no difference.
    pub fn new(registries: &[Ipv4Addr]) -> ShardAssignment {
        let names: Vec<String> = registries.iter().map(ToString::to_string).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let assignment = Assignment::new(GROUP, SHARD_COUNT, UNLIMITED, &names);
        let owner_of = |shard| assignment.owner(shard, &[])?.parse().ok();
        let owners: Option<Vec<Ipv4Addr>> = (0..SHARD_COUNT).map(owner_of).collect();
        ShardAssignment { owners: owners.unwrap_or_default() }
    }

    /// The registry that owns a tenant's counter, or `None` where no registry is known.
    pub fn owner(&self, tenant: &str) -> Option<Ipv4Addr> {
        self.owners.get(shard_of(tenant, SHARD_COUNT) as usize).copied()
    }
}
