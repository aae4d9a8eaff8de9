//! What this store knows about the other stores, and the failure detector.

use super::event::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Epoch, Heartbeat, ReplicaConfig, StoreId, StoreNode};

/// A store that sends no heartbeat for this time is suspected to be down.
const SUSPICION_TIMEOUT: Millis = 700;

/// Another store, as its last heartbeat describes it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) node: StoreNode,
    pub(super) heartbeat: Heartbeat,
    pub(super) last_heard: Millis,
}

impl Peer {
    /// Whether the store has sent a heartbeat recently and its disk is healthy, so that it can promise and accept. The
    /// result may be wrong either way: availability depends on it, safety doesn't.
    pub(super) fn is_alive(&self, now: Millis) -> bool {
        self.heartbeat.disk_healthy && now < self.last_heard + SUSPICION_TIMEOUT
    }
}

/// All other stores.
#[derive(Clone, Debug)]
pub(super) struct Peers {
    local_ip: Ipv4Addr,
    by_address: BTreeMap<Ipv4Addr, Peer>,
    /// Known addresses of stores, including those that have sent no heartbeat.
    addresses: BTreeSet<Ipv4Addr>,
}

impl Peers {
    pub(super) fn new(local_ip: Ipv4Addr, addresses: impl IntoIterator<Item = Ipv4Addr>) -> Peers {
        let mut peers = Peers { local_ip, by_address: BTreeMap::new(), addresses: BTreeSet::new() };
        peers.add_addresses(addresses);
        peers
    }

    /// Adds addresses at which there may be a store, except this store's own.
    pub(super) fn add_addresses(&mut self, addresses: impl IntoIterator<Item = Ipv4Addr>) {
        let local_ip = self.local_ip;
        self.addresses.extend(addresses.into_iter().filter(|ip| *ip != local_ip));
    }

    pub(super) fn addresses(&self) -> &BTreeSet<Ipv4Addr> {
        &self.addresses
    }

    pub(super) fn update(&mut self, node: StoreNode, heartbeat: Heartbeat, now: Millis) {
        self.by_address.insert(node.ip, Peer { node, heartbeat, last_heard: now });
    }

    pub(super) fn peer_at(&self, ip: Ipv4Addr) -> Option<&Peer> {
        self.by_address.get(&ip)
    }

    pub(super) fn alive(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.by_address.values().filter(move |peer| peer.is_alive(now))
    }

    /// Whether the store with this id is alive. A store at the same address with another disk doesn't count.
    pub(super) fn is_reachable(&self, id: StoreId, now: Millis) -> bool {
        self.alive(now).any(|peer| peer.node.id == id)
    }

    /// Whether the store is alive and not leaving, so that it may become a data replica.
    pub(super) fn is_eligible(&self, id: StoreId, now: Millis) -> bool {
        self.alive(now).any(|peer| peer.node.id == id && !peer.heartbeat.is_leaving)
    }

    /// The newest replica set that a live store has accepted.
    pub(super) fn newest_config(&self, now: Millis) -> Option<&ReplicaConfig> {
        self.alive(now).map(|peer| &peer.heartbeat.config).max_by_key(|config| config.epoch)
    }

    /// The replica set of a live leader that is not leaving, if its epoch is at least `min_epoch`.
    pub(super) fn leader_config(&self, min_epoch: Epoch, now: Millis) -> Option<&ReplicaConfig> {
        let is_leader = |peer: &&Peer| {
            peer.heartbeat.is_leader && !peer.heartbeat.is_leaving && peer.heartbeat.config.epoch >= min_epoch
        };
        self.alive(now).find(is_leader).map(|peer| &peer.heartbeat.config)
    }
}
