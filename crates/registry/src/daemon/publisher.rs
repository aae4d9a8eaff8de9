//! The newest versions of all updates for proxies, and the pass over all proxies that sends each the updates that are
//! due.

use super::proxies::ProxyConnection;
use crate::backend_list::BackendListCache;
use crate::updates::{
    BackendListUpdates, Installation, LatestVersions, MembershipUpdates, ProxyVersions, StateUpdates,
};
use crate::Millis;
use bytes::Bytes;
use violetyoke_api::Configuration;
use violetyoke_transport::messages::{ControlState, ListDigest, Membership, Revision, ShardOwners};

/// The newest versions of all updates for proxies, with their encoded messages.
#[derive(Default)]
pub(super) struct Publisher {
    states: StateUpdates,
    backend_lists: BackendListUpdates,
    membership: MembershipUpdates,
}

impl Publisher {
    pub(super) fn install_state(
        &mut self,
        state: &ControlState,
        configuration: Configuration,
        has_other_text: bool,
    ) {
        self.states.install(state, configuration, has_other_text);
    }

    /// The revision of the newest state that proxies are sent.
    pub(super) fn latest_state(&self) -> Option<Revision> {
        self.states.latest()
    }

    /// The revision under which a version of the configuration is sent, if it is still known.
    pub(super) fn revision_of(&self, version: u64) -> Option<Revision> {
        self.states.revision_of(version)
    }

    /// Offers a membership; see [`MembershipUpdates::install`].
    pub(super) fn install_membership(&mut self, now: Millis, membership: Membership) -> Installation {
        self.membership.install(now, membership)
    }

    /// The owners of quota shards in the membership that proxies are sent.
    pub(super) fn shard_owners(&self) -> &ShardOwners {
        &self.membership.current().shard_owners
    }

    fn latest(&self, backend_list: ListDigest) -> LatestVersions {
        LatestVersions {
            state: self.states.latest(),
            backend_list,
            membership: self.membership.current().digest,
            ownership: self.membership.current().ownership(),
        }
    }
}

/// One pass over all proxies. Each message is encoded once for all proxies that need it.
pub(super) struct Round<'a> {
    now: Millis,
    latest: LatestVersions,
    publisher: &'a mut Publisher,
    backend_lists: &'a BackendListCache,
    membership_message: Option<Bytes>,
}

impl<'a> Round<'a> {
    pub(super) fn begin(
        now: Millis,
        publisher: &'a mut Publisher,
        backend_lists: &'a BackendListCache,
    ) -> Round<'a> {
        let digest = backend_lists.digest();
        // A pass follows every batch of inputs, so the list is copied only if it has changed.
        if publisher.backend_lists.latest() != digest {
            if let Some(list) = backend_lists.newest(now) {
                publisher.backend_lists.install(list);
            }
        }
        publisher.backend_lists.discard_encoded();
        let latest = publisher.latest(digest);
        Round { now, latest, publisher, backend_lists, membership_message: None }
    }

    pub(super) fn send_due_updates(&mut self, proxy: &mut ProxyConnection) {
        let due = proxy.progress.due_updates(self.now, &self.latest);
        let ProxyVersions { state, backend_list, membership: _ } = proxy.progress.sent();
        if due.state {
            self.send_state(proxy, state);
        }
        if due.backend_list {
            self.send_backend_list(proxy, backend_list);
        }
        if due.membership {
            self.send_membership(proxy);
        }
    }

    fn send_state(&mut self, proxy: &mut ProxyConnection, known: Revision) {
        let Some(latest) = self.latest.state else { return };
        if let Some(message) = self.publisher.states.update_from(known) {
            proxy.progress.state_sent(self.now, latest);
            proxy.send(message);
        }
    }

    fn send_backend_list(&mut self, proxy: &mut ProxyConnection, known: ListDigest) {
        if let Some(newest) = self.backend_lists.newest(self.now) {
            let message = self.publisher.backend_lists.update_from(known, newest);
            proxy.progress.backend_list_sent(self.now, self.latest.backend_list);
            proxy.send(message);
        }
    }

    fn send_membership(&mut self, proxy: &mut ProxyConnection) {
        let newest_state = self.latest.state.unwrap_or_default();
        let membership = &self.publisher.membership;
        let message = self.membership_message.get_or_insert_with(|| membership.encode(newest_state));
        proxy.progress.membership_sent(self.latest.membership, self.latest.ownership);
        proxy.send(message.clone());
    }
}
