//! Where this proxy runs, and which proxies share the backends with it.

use crate::slow_start;

/// The failure domains that this proxy runs in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Locality {
    /// Name of the zone, as the list of backends spells it.
    pub zone: String,
    /// Name of the region that the zone belongs to.
    pub region: String,
}

/// The proxies among which limits that hold for all of them together are divided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Membership {
    /// This proxy.
    proxy_id: u32,
    /// All proxies with a session, sorted by id, this one among them; empty while no registry is in contact.
    members: Vec<u32>,
    /// Size of the last membership that was not empty.
    last_known_count: usize,
}

impl Membership {
    pub(crate) fn new(proxy_id: u32) -> Membership {
        Membership { proxy_id, ..Membership::default() }
    }

    /// Replaces the members. An empty list means that membership is unknown: the count stays at what it was, as a share
    /// that is too small is safe and one that is too large is not.
    pub(crate) fn update(&mut self, members: Vec<u32>) {
        if !members.is_empty() {
            self.last_known_count = members.len();
        }
        self.members = members;
    }

    /// This proxy's part of a rate that holds for all proxies together (requests a second); 0 while membership is
    /// unknown.
    pub(crate) fn rate_share(&self, rank_seed: u64, rate_per_s: f64) -> u32 {
        slow_start::rate_share(rank_seed, rate_per_s, self.proxy_id, &self.members)
    }

    /// How many proxies share what is divided among all of them; at least 1.
    pub(crate) fn proxy_count(&self) -> usize {
        self.last_known_count.max(1)
    }
}
