//! When proxies are sent updates: after each input that may have brought something new, and at each tick.

use super::publisher::Round;
use super::registry::Registry;
use crate::core_contact::CoreView;
use crate::updates::Installation;
use crate::Millis;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Membership, MembershipDigest, Revision};

impl Registry {
    /// All inputs that were there have been taken in: sends what they have made due.
    pub(super) fn finish_batch(&mut self) {
        if self.batch.take_due_report(self.now()) {
            self.report_to_peers(None);
        }
        if self.batch.take_publication() {
            self.publish();
        }
    }

    /// Sends each proxy what it lacks: at once where this is its primary registry, and a little later otherwise.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        self.update_membership(now);
        let mut round = Round::begin(now, &mut self.publisher, &self.backend_lists);
        for proxy in self.proxies.with_session_mut() {
            round.send_due_updates(proxy);
        }
    }

    /// Makes what is known by now of proxies, registries and shard owners the membership that proxies are sent.
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
        // A registry that is partitioned names those that it can't reach as well: a proxy may reach them.
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
