//! Tracks the proxies that may be admitting requests locally: a proxy whose session has ended may be
//! partitioned from the registries and still serve clients.

use crate::local::LOCAL_WINDOW_MS;
use crate::Millis;
use std::collections::BTreeMap;

/// A proxy that has been partitioned for this long is considered permanently removed (ms).
const FORGET_AFTER_MS: Millis = 60_000;

/// The recent membership of all proxies, by id, from the point of view of one registry.
#[derive(Clone, Debug, Default)]
pub struct PartitionedProxies {
    proxies: BTreeMap<u32, ProxyHistory>,
}

#[derive(Clone, Copy, Debug)]
struct ProxyHistory {
    /// When the proxy was last a member (ms).
    last_seen: Millis,
    is_partitioned: bool,
    /// When the proxy reconnected after a partition in which it may have admitted requests locally (ms).
    reconnected_at: Option<Millis>,
}

impl ProxyHistory {
    fn new(now: Millis, is_partitioned: bool) -> ProxyHistory {
        ProxyHistory { last_seen: now, is_partitioned, reconnected_at: None }
    }

    /// Local admissions count until one local window after the proxy has reconnected.
    fn may_have_admitted_locally(&self, now: Millis) -> bool {
        self.is_partitioned || self.reconnected_at.is_some_and(|at| now < at + LOCAL_WINDOW_MS)
    }
}

impl PartitionedProxies {
    /// Updates the history: `members` (ascending) are the proxies that have a session. Those in `restarted`
    /// have just started and have not admitted any requests yet.
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

    /// Adds proxies that another registry reports as partitioned. A registry that has just started has no
    /// history of them.
    pub fn merge(&mut self, now: Millis, partitioned: &[u32]) {
        for id in partitioned {
            self.proxies.entry(*id).or_insert_with(|| ProxyHistory::new(now, true));
        }
    }

    /// The proxies that are partitioned now, in ascending order.
    pub fn partitioned(&self) -> Vec<u32> {
        self.proxies.iter().filter(|(_, proxy)| proxy.is_partitioned).map(|(id, _)| *id).collect()
    }

    /// Whether at least half of the proxies have a session. Otherwise this registry itself is taken to be
    /// partitioned: the proxies then use another registry, which counts their requests.
    pub(crate) fn is_majority_connected(&self) -> bool {
        self.proxies.values().filter(|proxy| proxy.is_partitioned).count() * 2 <= self.proxies.len()
    }

    /// The fraction of all proxies that may have admitted requests locally within the last local window.
    pub(crate) fn local_admission_fraction(&self, now: Millis) -> f64 {
        let admitting_locally =
            self.proxies.values().filter(|proxy| proxy.may_have_admitted_locally(now)).count();
        admitting_locally as f64 / self.proxies.len().max(1) as f64
    }
}
