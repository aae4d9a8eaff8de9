//! Reports of the registries on proxies, registries and the owners of quota shards.

use super::ControlClient;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::Membership;

impl ControlClient {
    /// Handles a registry's report.
    pub(super) fn on_membership(&mut self, registry: Ipv4Addr, membership: Membership) {
        self.proxy.registries.set_report(registry, membership);
        self.apply_membership();
        self.poll_if_primary_changed();
    }

    /// Applies the reports of all registries to everything that is divided among the proxies: limits, budgets, slow-start
    /// rates and connections to backends. While no registry is in contact with a majority, the list of proxies is empty, so
    /// this proxy has no share of slow-start rates; the number of proxies keeps its last value.
    pub(super) fn apply_membership(&self) {
        let registries = &self.proxy.registries;
        let proxies = registries.largest_membership();
        if !proxies.is_empty() {
            registries.set_proxy_count(proxies.len());
        }
        self.proxy.backends.set_proxies(proxies);
        if let Some(owners) = registries.newest_shard_owners() {
            self.proxy.quota.assign(&owners);
        }
    }
}
