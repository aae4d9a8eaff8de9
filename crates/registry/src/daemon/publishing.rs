//! When proxies are sent updates: after each batch of inputs that may have brought something new, and at each tick.

use super::publisher::Round;
use super::registry::Registry;
use crate::core_contact::CoreView;
use crate::updates::Installation;
use crate::Millis;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Membership, MembershipDigest, Revision};

impl Registry {
    /// Sends the updates and reports that have become due in a batch of inputs.
    pub(super) fn finish_batch(&mut self) {
        if self.batch.take_due_report(self.now()) {
            self.report_to_peers(None);
        }
        if self.batch.take_publication() {
            self.publish();
        }
    }

    /// Sends each proxy the updates that it lacks: at once if this is its primary registry, and after a delay
    /// otherwise.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        self.update_membership(now);
        let mut round = Round::begin(now, &mut self.publisher, &self.backend_lists);
        for proxy in self.proxies.with_session_mut() {
            round.send_due_updates(proxy);
        }
    }

    /// Offers a membership made of the proxies, registries and shard owners that are known now.
    fn update_membership(&mut self, now: Millis) {
        let connected = self.peers.connected_registries(self.settings.local.ip);
        let owners = self.stores.shard_owners.clone();
        let seeds = self.settings.seeds();
        let view = CoreView {
            seeds: seeds.len(),
            shard_owners: owners.registries.len(),
            connected: connected.len(),
        };
        let in_contact = self.contact.update(view);
        self.quota.update_members(now, self.sessions.proxy_ids(), self.sessions.not_ready());
        // Registries that can't be reached from here are named as well: proxies may be able to reach them.
        let known =
            self.stores.known().chain(seeds).chain(connected).chain(owners.registries.iter().copied());
        let registries: BTreeSet<Ipv4Addr> = known.collect();
        let membership = Membership {
            digest: MembershipDigest::NONE,
            proxies: self.sessions.proxy_ids().to_vec(),
            registries: registries.into_iter().collect(),
            in_contact,
            shard_owners: owners,
            newest: Revision::default(),
        };
        let installation = self.publisher.install_membership(now, membership);
        if installation == (Installation::Installed { has_new_owners: true }) {
            self.quota.assign(self.publisher.shard_owners());
        }
    }
}
