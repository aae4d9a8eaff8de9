//! Encoded updates of the membership: which proxies and registries there are, and who owns the quota shards.

use crate::Millis;
use bytes::Bytes;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{Membership, MembershipDigest, ProxyReply, Revision};

/// Minimum interval (ms) between two memberships, because many proxies may join and leave at once. Changes of the
/// owners of quota shards and of contact with the core are not delayed.
pub const MEMBERSHIP_INTERVAL: Millis = 250;
/// Minimum interval for each proxy (ms). A membership names all proxies and is sent to all of them, so its cost at a
/// fixed interval would be quadratic in their number. Until the next membership, quota shares are computed for the
/// previous one, which differs only by the few proxies that have joined or left since.
const INTERVAL_PER_PROXY: Millis = 4;

/// The minimum time for which a membership of that many proxies is kept (ms).
pub fn membership_interval(proxies: usize) -> Millis {
    MEMBERSHIP_INTERVAL.max(INTERVAL_PER_PROXY * proxies as Millis)
}

/// The membership that proxies are sent.
#[derive(Default)]
pub struct MembershipUpdates {
    current: Membership,
    installed_at: Millis,
}

/// The result of offering a membership for installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Installation {
    /// The membership is the same as the current one, or is delayed.
    Skipped,
    /// The membership is now the current one.
    Installed {
        /// Whether the quota shards have other owners than before.
        has_new_owners: bool,
    },
}

impl MembershipUpdates {
    /// Makes `next` the current membership if it differs and is not to be delayed; its digest is computed here.
    pub fn install(&mut self, now: Millis, mut next: Membership) -> Installation {
        next.digest = digest_of(&next);
        let has_new_owners = next.shard_owners != self.current.shard_owners;
        let is_urgent = has_new_owners || next.in_contact != self.current.in_contact;
        let interval = membership_interval(self.current.proxies.len());
        let is_due = is_urgent || now >= self.installed_at + interval;
        if next.digest == self.current.digest || !is_due {
            return Installation::Skipped;
        }
        self.installed_at = now;
        self.current = next;
        Installation::Installed { has_new_owners }
    }

    /// The current membership.
    pub fn current(&self) -> &Membership {
        &self.current
    }

    /// The encoded message, with the revision of the newest state that this registry has.
    pub fn encode(&self, newest: Revision) -> Bytes {
        encode(&ProxyReply::Membership(Membership { newest, ..self.current.clone() }))
    }
}

/// The digest of all fields but the newest state. It is never [`MembershipDigest::NONE`].
fn digest_of(membership: &Membership) -> MembershipDigest {
    let Membership { digest: _, proxies, registries, in_contact, shard_owners, newest: _ } = membership;
    let mut hasher = DefaultHasher::new();
    (proxies, registries, *in_contact, shard_owners.fencing_token).hash(&mut hasher);
    MembershipDigest(hasher.finish() | 1)
}
