//! Which registry owns which tenant's counter.

use std::net::Ipv4Addr;
use violetyoke_ownership::deal::{shard_of, Deal};
use violetyoke_ownership::duty::{Duty, Kind};

/// Tenants are hashed into so many shards. All programs of a system have to agree on it.
const SHARD_COUNT: u32 = 64;

/// The assignment of tenants to registries, by rendezvous hashing of the registries' addresses: when a registry leaves, only
/// its own tenants move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardAssignment {
    /// The owner of each shard; empty where no registry is known.
    owners: Vec<Ipv4Addr>,
}

impl ShardAssignment {
    /// Assigns all shards to these registries; the order in which they are given makes no difference.
    pub fn new(registries: &[Ipv4Addr]) -> ShardAssignment {
        let names: Vec<String> = registries.iter().map(ToString::to_string).collect();
        let deal = Deal::new(&counter_shards(), &names.iter().map(String::as_str).collect::<Vec<_>>());
        let owner_of = |shard| deal.owner(shard, &[])?.parse().ok();
        let owners: Option<Vec<Ipv4Addr>> = (0..SHARD_COUNT).map(owner_of).collect();
        ShardAssignment { owners: owners.unwrap_or_default() }
    }

    /// The registry that owns a tenant's counter, or `None` where no registry is known.
    pub fn owner(&self, tenant: &str) -> Option<Ipv4Addr> {
        self.owners.get(shard_of(tenant, SHARD_COUNT) as usize).copied()
    }
}

/// The counters as a sharded role of `violetyoke-ownership`; of its fields, the assignment depends on name and shards alone.
fn counter_shards() -> Duty {
    Duty {
        name: "counts".into(),
        kind: Kind::Report,
        shards: SHARD_COUNT,
        length_ms: 0,
        most: 0,
        span_ms: 0,
        nodes: Vec::new(),
        every_ms: 0,
    }
}
