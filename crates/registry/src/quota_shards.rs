//! The counters of the tenants whose quota shards this registry owns.

use crate::Millis;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use violetyoke_api::Configuration;
use violetyoke_quota::{
    Admission, Limit, OwnerCounters, PartitionedProxies, ShardAssignment, StaleFence, WindowCounts,
};
use violetyoke_transport::messages::{Revision, ShardOwners};

/// Of the overshoot that a limit allows, the part that covers what partitioned proxies admit by themselves. Delays of
/// increments and the ends of windows take up the rest.
const PARTITIONED_PART_OF_OVERSHOOT: f64 = 0.6;
/// The circumstances under which a request is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountingTerms {
    /// Whether this registry is in contact with the core. While it is not, it counts for nobody: its shards may have been
    /// assigned to another one by now.
    pub in_contact: bool,
    /// The part of a limit by which it may be exceeded.
    pub allowed_overshoot: f64,
}

/// This registry does not count for the tenant, or not any more: another one does, or none is known that does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this registry does not count for the tenant")]
pub struct NotOwner;

/// Limits, counters and the assignment of shards, as one registry has them.
pub struct QuotaShards {
    local: Ipv4Addr,
    counters: OwnerCounters<Revision>,
    partitioned: PartitionedProxies,
    /// By tenant; `None` where a tenant has no limit.
    limits: HashMap<String, Option<Limit>>,
    assignment: ShardAssignment,
}

impl QuotaShards {
    /// No counters, and no shard assigned yet.
    pub fn new(local: Ipv4Addr) -> QuotaShards {
        QuotaShards {
            local,
            counters: OwnerCounters::default(),
            partitioned: PartitionedProxies::default(),
            limits: HashMap::new(),
            assignment: ShardAssignment::default(),
        }
    }

    /// Takes the limits of a newer configuration, and drops the counters of tenants that are not in it.
    pub fn set_limits(&mut self, configuration: &Configuration) {
        let limits = configuration.tenants.iter().map(|tenant| {
            let limit = Limit::new(tenant.rate_per_s, tenant.burst);
            (tenant.name.clone(), limit)
        });
        self.limits = limits.collect();
        let limits = &self.limits;
        self.counters.retain(|tenant| limits.contains_key(tenant));
    }

    /// From now on increments under an older fencing token are refused.
    pub fn advance_fence(&mut self, fencing_token: Revision) {
        self.counters.advance_fence(fencing_token);
    }

    /// Computes the assignment of shards to their owners.
    pub fn assign(&mut self, owners: &ShardOwners) {
        self.assignment = ShardAssignment::new(&owners.registries);
    }

    /// The proxies that have a session now, and those of them that have not admitted anything yet, in ascending order.
    pub fn update_members(&mut self, now: Millis, proxies: &[u32], not_ready: &[u32]) {
        self.partitioned.update_members(now, proxies, not_ready);
    }

    /// Takes in the proxies that a peer takes for partitioned.
    pub fn merge_partitioned(&mut self, now: Millis, proxies: &[u32]) {
        self.partitioned.merge(now, proxies);
    }

    /// The proxies whose sessions have ended of late: they may be partitioned, and admit requests by themselves.
    pub fn partitioned(&self) -> Vec<u32> {
        self.partitioned.partitioned()
    }

    /// Decides on one request of a tenant, and counts it if it is admitted.
    ///
    /// # Errors
    ///
    /// If another registry counts for the tenant, if the tenant is not known here yet, or if the proxy has not learned yet
    /// of the assignment in force.
    pub fn increment(
        &mut self,
        now: Millis,
        tenant: &str,
        fencing_token: Revision,
        terms: CountingTerms,
    ) -> Result<Admission, NotOwner> {
        let limit = match self.limits.get(tenant) {
            // A tenant of a configuration that has not been received here yet: the proxy that asks knows its limit.
            None => return Err(NotOwner),
            Some(None) => return Ok(Admission::Admitted),
            Some(Some(limit)) => *limit,
        };
        if !terms.in_contact || !self.is_owner(tenant) {
            return Err(NotOwner);
        }
        let covered = terms.allowed_overshoot * PARTITIONED_PART_OF_OVERSHOOT;
        let available = 1.0 - self.partitioned.reserved_fraction(now, covered);
        let limit = limit.scaled(available, limit.window_ms);
        self.counters.increment(now, tenant, fencing_token, limit).map_err(|_| NotOwner)
    }

    /// Takes over what a proxy admitted for a tenant before its shard was assigned to this registry.
    ///
    /// # Errors
    ///
    /// If the count was sent under an older assignment. It is lost then; the present owner is sent it as well.
    pub fn import(
        &mut self,
        now: Millis,
        tenant: &str,
        fencing_token: Revision,
        usage: WindowCounts,
    ) -> Result<(), StaleFence<Revision>> {
        match self.limits.get(tenant) {
            Some(Some(limit)) => self.counters.import(now, tenant, fencing_token, *limit, usage),
            // Nothing is counted for a tenant that is not known or has no limit.
            Some(None) | None => Ok(()),
        }
    }

    fn is_owner(&self, tenant: &str) -> bool {
        self.assignment.owner(tenant) == Some(self.local)
    }
}
