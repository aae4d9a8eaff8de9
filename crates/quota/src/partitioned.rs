//! Which proxies may be admitting requests without asking the owner: those whose session has ended may be partitioned
//! from the registries and still serve clients.

use crate::local::LOCAL_WINDOW_MS;
use crate::Millis;
use std::collections::BTreeMap;

/// A proxy that has been partitioned for so long is taken to be gone for good (ms).
const FORGET_AFTER_MS: Millis = 60_000;

/// The recent membership of all proxies, by their ids, as one registry has seen it.
#[derive(Clone, Debug, Default)]
pub struct PartitionedProxies {
    proxies: BTreeMap<u32, ProxyHistory>,
}

#[derive(Clone, Copy, Debug)]
struct ProxyHistory {
    /// When it was last a member (ms).
    last_seen: Millis,
    is_partitioned: bool,
    /// When it came back from a partition in which it may have admitted requests on its own (ms).
    reconnected_at: Option<Millis>,
}

impl ProxyHistory {
    fn new(now: Millis, is_partitioned: bool) -> ProxyHistory {
        ProxyHistory { last_seen: now, is_partitioned, reconnected_at: None }
    }

    /// What it admitted while it was partitioned counts for as long as the window of its local share.
    fn may_have_admitted_locally(&self, now: Millis) -> bool {
        self.is_partitioned || self.reconnected_at.is_some_and(|at| now < at + LOCAL_WINDOW_MS)
    }
}

impl PartitionedProxies {
    /// Updates the history: `members` (ascending) have a session now. Those in `restarted` are processes that have just
    /// started and have admitted nothing yet.
    pub fn update_members(&mut self, now: Millis, members: &[u32], restarted: &[u32]) {
        let was_connected = self.is_majority_connected();
        for id in members {
            let proxy = self.proxies.entry(*id).or_insert_with(|| ProxyHistory::new(now, false));
            if restarted.contains(id) {
                proxy.reconnected_at = None;
            } else if proxy.is_partitioned {
                proxy.reconnected_at = was_connected.then_some(now);
            }
            (proxy.last_seen, proxy.is_partitioned) = (now, false);
        }
        for (id, proxy) in &mut self.proxies {
            proxy.is_partitioned |= members.binary_search(id).is_err();
        }
        self.proxies.retain(|_, proxy| !proxy.is_partitioned || now < proxy.last_seen + FORGET_AFTER_MS);
    }

    /// Adds proxies that another registry knows to be partitioned: a registry that has just started never saw them.
    pub fn merge(&mut self, now: Millis, partitioned: &[u32]) {
        for id in partitioned {
            self.proxies.entry(*id).or_insert_with(|| ProxyHistory::new(now, true));
        }
    }

    /// The proxies that are partitioned now, in ascending order.
    pub fn partitioned(&self) -> Vec<u32> {
        self.proxies.iter().filter(|(_, proxy)| proxy.is_partitioned).map(|(id, _)| *id).collect()
    }

    /// Whether at least half of the proxies have a session. If not, it is this registry that is partitioned: the proxies
    /// then ask another one, and admit nothing beside what that one counts.
    pub(crate) fn is_majority_connected(&self) -> bool {
        self.proxies.values().filter(|proxy| proxy.is_partitioned).count() * 2 <= self.proxies.len()
    }

    /// The part (0 to 1) of all proxies that may have admitted requests on their own within the last local window.
    pub(crate) fn unsupervised_part(&self, now: Millis) -> f64 {
        let unsupervised = self.proxies.values().filter(|proxy| proxy.may_have_admitted_locally(now)).count();
        unsupervised as f64 / self.proxies.len().max(1) as f64
    }
}
