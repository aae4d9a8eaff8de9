//! The counters of the tenants whose quota shards this registry owns.

use crate::Millis;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use violetyoke_api::Configuration;
use violetyoke_quota::{
    Admission, Limit, OwnerCounters, PartitionedProxies, ShardAssignment, StaleFence, WindowCounts,
};
use violetyoke_transport::messages::{Revision, ShardOwners};

/// The part of a limit's allowed overshoot that covers the requests which partitioned proxies admit on their own. The
/// rest covers delayed increments and the ends of windows.
const PARTITIONED_PART_OF_OVERSHOOT: f64 = 0.6;

/// The conditions under which a request is counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CountingTerms {
    /// Whether this registry is in contact with the core. While it is not, it counts for no tenant, because its
    /// shards may have been assigned to another registry.
    pub in_contact: bool,
    /// The fraction of a limit by which the limit may be exceeded.
    pub allowed_overshoot: f64,
}

/// This registry does not count the tenant's requests: another registry does, or the owner is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this registry does not count the tenant's requests")]
pub struct NotOwner;

/// The limits, the counters and the assignment of shards at one registry.
pub struct QuotaShards {
    local: Ipv4Addr,
    counters: OwnerCounters<Revision>,
    partitioned: PartitionedProxies,
    /// By tenant; `None` where a tenant has no limit.
    limits: HashMap<String, Option<Limit>>,
    assignment: ShardAssignment,
}

impl QuotaShards {
    /// Without counters and assigned shards.
    pub fn new(local: Ipv4Addr) -> QuotaShards {
        QuotaShards {
            local,
            counters: OwnerCounters::default(),
            partitioned: PartitionedProxies::default(),
            limits: HashMap::new(),
            assignment: ShardAssignment::default(),
        }
    }

    /// Sets the limits from a newer configuration, and drops the counters of tenants that are not in it.
    pub fn set_limits(&mut self, configuration: &Configuration) {
        let limits = configuration.tenants.iter().map(|tenant| {
            let limit = Limit::new(tenant.rate_per_s, tenant.burst);
            (tenant.name.clone(), limit)
        });
        self.limits = limits.collect();
        let limits = &self.limits;
        self.counters.retain(|tenant| limits.contains_key(tenant));
    }

    /// Rejects increments under an older fencing token from now on.
    pub fn advance_fence(&mut self, fencing_token: Revision) {
        self.counters.advance_fence(fencing_token);
    }

    /// Assigns the shards to their owners.
    pub fn assign(&mut self, owners: &ShardOwners) {
        self.assignment = ShardAssignment::new(&owners.registries);
    }

    /// Updates the ids of the proxies that have a session (`proxies`), and of those among them that have not admitted
    /// any request yet (`not_ready`), both in ascending order.
    pub fn update_members(&mut self, now: Millis, proxies: &[u32], not_ready: &[u32]) {
        self.partitioned.update_members(now, proxies, not_ready);
    }

    /// Adds the proxies that a peer reports as partitioned.
    pub fn merge_partitioned(&mut self, now: Millis, proxies: &[u32]) {
        self.partitioned.merge(now, proxies);
    }

    /// The proxies whose sessions ended recently: they may be partitioned, and admit requests on their own.
    pub fn partitioned(&self) -> Vec<u32> {
        self.partitioned.partitioned()
    }

    /// Decides whether a request of a tenant is admitted, and counts it if it is.
    ///
    /// # Errors
    ///
    /// If this registry does not own the tenant's shard or has no contact with the core, if the tenant is not known
    /// here yet, or if the proxy has not received the assignment in force yet.
    pub fn increment(
        &mut self,
        now: Millis,
        tenant: &str,
        fencing_token: Revision,
        terms: CountingTerms,
    ) -> Result<Admission, NotOwner> {
        let limit = match self.limits.get(tenant) {
            // The tenant is of a configuration that this registry has not received yet; the proxy knows its limit.
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

    /// Imports the requests that a proxy admitted for a tenant before the tenant's shard was assigned to this
    /// registry.
    ///
    /// # Errors
    ///
    /// If the count was sent under an older assignment. The count is dropped; the present owner receives it as well.
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
