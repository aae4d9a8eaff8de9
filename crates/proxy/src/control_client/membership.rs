//! What registries report of proxies, registries and the owners of quota shards.

use super::ControlClient;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::Membership;

impl ControlClient {
    /// Takes a registry's report.
    pub(super) fn on_membership(&mut self, registry: Ipv4Addr, membership: Membership) {
        self.proxy.registries.set_report(registry, membership);
        self.apply_membership();
        self.poll_if_primary_changed();
    }

    /// Applies the reports of all registries to what is shared with other proxies: limits, budgets, slow-start rates and
    /// backends' connections. While no registry is in contact there are no members, and so no share of slow-start rates;
    /// the number of proxies stays as it was.
    pub(super) fn apply_membership(&self) {
        let registries = &self.proxy.registries;
        let proxies = registries.widest_membership();
        if !proxies.is_empty() {
            registries.set_proxy_count(proxies.len());
        }
        self.proxy.backends.set_proxies(proxies);
        if let Some(owners) = registries.newest_shard_owners() {
            self.proxy.quota.assign(&owners);
        }
    }
}
