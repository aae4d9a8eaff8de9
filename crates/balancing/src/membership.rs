//! The locality of this proxy, and the proxies that share the backends with it.

use crate::slow_start;

/// The failure domains of this proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Name of the zone, as the list of backends spells it.
    pub zone: String,
    /// Name of the region that the zone belongs to.
    pub region: String,
}

/// The proxies that divide fleet-wide limits among themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Membership {
    /// Id of this proxy.
    proxy_id: u32,
    /// Ids of all proxies with a session, sorted, including this one; empty while no registry is reachable.
    members: Vec<u32>,
    /// Size of the last non-empty membership.
    last_known_count: usize,
}

impl Membership {
    pub(crate) fn new(proxy_id: u32) -> Membership {
        Membership { proxy_id, ..Membership::default() }
    }

    /// Replaces the members. An empty list means that membership is unknown. [`Self::proxy_count`] then keeps
    /// its value: a share that is too small is safe, one that is too large is not.
    pub(crate) fn update(&mut self, members: Vec<u32>) {
        if !members.is_empty() {
            self.last_known_count = members.len();
        }
        self.members = members;
    }

    /// This proxy's share of a fleet-wide rate (requests per second); 0 while membership is unknown.
    pub(crate) fn rate_share(&self, rank_seed: u64, rate_per_s: f64) -> u32 {
        slow_start::rate_share(rank_seed, rate_per_s, self.proxy_id, &self.members)
    }

    /// Number of proxies that share fleet-wide limits; at least 1.
    pub(crate) fn proxy_count(&self) -> usize {
        self.last_known_count.max(1)
    }
}
