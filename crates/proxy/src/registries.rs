//! Connections to all registries, and the membership that each one reports.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_transport::connection::Sender;
use violetyoke_transport::messages::{Membership, Revision, ShardOwners};

/// One connection to a registry: after a reconnect, the same registry has another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionId {
    pub(crate) registry: Ipv4Addr,
    /// Counts the connections to that registry.
    pub(crate) generation: u64,
}

/// A registry that this proxy has learned of, connected or not.
#[derive(Debug, Default)]
struct Registry {
    sender: Option<Sender>,
    /// What it last reported on the present connection; the default until then.
    membership: Membership,
    connection_count: u64,
}

/// All registries that this proxy has learned of.
#[derive(Debug, Default)]
pub(crate) struct RegistryConnections {
    registries: RefCell<BTreeMap<Ipv4Addr, Registry>>,
    proxy_count: Cell<usize>,
}

impl RegistryConnections {
    /// Adds a registry without a connection. Returns whether it is new.
    pub(crate) fn add(&self, registry: Ipv4Addr) -> bool {
        let registries = &mut *self.registries.borrow_mut();
        let is_new = !registries.contains_key(&registry);
        if is_new {
            registries.insert(registry, Registry::default());
        }
        is_new
    }

    /// A connection to a registry is up.
    pub(crate) fn connected(&self, registry: Ipv4Addr, sender: Sender) {
        if let Some(registry) = self.registries.borrow_mut().get_mut(&registry) {
            registry.sender = Some(sender);
            registry.connection_count += 1;
        }
    }

    /// The connection to a registry is down: what it reported no longer counts.
    pub(crate) fn disconnected(&self, registry: Ipv4Addr) {
        if let Some(registry) = self.registries.borrow_mut().get_mut(&registry) {
            registry.sender = None;
            registry.membership = Membership::default();
        }
    }

    /// Keeps what a registry reports of the membership.
    pub(crate) fn set_membership(&self, registry: Ipv4Addr, membership: Membership) {
        if let Some(registry) = self.registries.borrow_mut().get_mut(&registry) {
            registry.membership = membership;
        }
    }

    /// The newest connection to a registry, up or not.
    pub(crate) fn newest_connection(&self, registry: Ipv4Addr) -> ConnectionId {
        let registries = self.registries.borrow();
        let generation = registries.get(&registry).map_or(0, |registry| registry.connection_count);
        ConnectionId { registry, generation }
    }

    /// The connection to a registry, if it is up.
    pub(crate) fn connection(&self, registry: Ipv4Addr) -> Option<(ConnectionId, Sender)> {
        let registries = self.registries.borrow();
        let Registry { sender, connection_count, .. } = registries.get(&registry)?;
        Some((ConnectionId { registry, generation: *connection_count }, sender.clone()?))
    }

    /// Sends a message to all registries that are connected, and returns which.
    pub(crate) fn broadcast(&self, message: &Bytes) -> BTreeSet<Ipv4Addr> {
        self.send_to_each(|_, _| message.clone())
    }

    /// Sends each connected registry a message that depends on it and on what it reported, and returns to which.
    pub(crate) fn send_to_each(
        &self,
        message: impl Fn(Ipv4Addr, &Membership) -> Bytes,
    ) -> BTreeSet<Ipv4Addr> {
        let registries = self.registries.borrow();
        let mut receivers = BTreeSet::new();
        for (ip, registry) in registries.iter() {
            if let Some(sender) = &registry.sender {
                sender.send(message(*ip, &registry.membership));
                receivers.insert(*ip);
            }
        }
        receivers
    }

    /// All registries that any registry has reported.
    pub(crate) fn reported_registries(&self) -> BTreeSet<Ipv4Addr> {
        let registries = self.registries.borrow();
        registries.values().flat_map(|registry| registry.membership.registries.iter().copied()).collect()
    }

    /// The connected registry that ranks first: one that is in contact with a majority of the registries before any, and among
    /// equals the one with the lowest `rank`.
    pub(crate) fn preferred_registry(&self, rank: impl Fn(Ipv4Addr) -> u32) -> Option<Ipv4Addr> {
        let registries = self.registries.borrow();
        let connected = registries.iter().filter(|(_, registry)| registry.sender.is_some());
        let first = connected.min_by_key(|(ip, registry)| (!registry.membership.in_contact, rank(**ip)));
        first.map(|(ip, _)| *ip)
    }

    /// Whether a registry reports that it is in contact with a majority of the registries.
    pub(crate) fn is_in_contact(&self, registry: Ipv4Addr) -> bool {
        self.registries.borrow().get(&registry).is_some_and(|registry| registry.membership.in_contact)
    }

    /// Whether a connected registry is in contact with a majority of the registries and reports nothing newer than `known`.
    pub(crate) fn any_confirms(&self, known: Revision) -> bool {
        let registries = self.registries.borrow();
        let mut connected = registries.values().filter(|registry| registry.sender.is_some());
        connected.any(|registry| registry.membership.in_contact && registry.membership.newest <= known)
    }

    /// Whether more than half of the known registries are connected, each has reported, none of them anything newer than
    /// `known`, and one is in contact with a majority of the registries.
    pub(crate) fn majority_confirms(&self, known: Revision) -> bool {
        let registries = self.registries.borrow();
        let connected = || registries.values().filter(|registry| registry.sender.is_some());
        let confirms =
            |registry: &Registry| registry.membership.digest != 0 && registry.membership.newest <= known;
        connected().any(|registry| registry.membership.in_contact)
            && connected().all(confirms)
            && connected().count() * 2 > registries.len()
    }

    /// The ids of all proxies, from the widest report: a share cut for too many proxies is safe, one cut for too few is not.
    /// Reports of registries without contact count for nothing, as they see too few. Empty where no registry is in contact.
    pub(crate) fn widest_membership(&self) -> Vec<u32> {
        let registries = self.registries.borrow();
        let connected = registries.values().filter(|registry| registry.sender.is_some());
        let reports = connected.map(|registry| &registry.membership).filter(|report| report.in_contact);
        let widest = reports.max_by_key(|report| report.proxies.len());
        widest.map(|report| report.proxies.clone()).unwrap_or_default()
    }

    /// The newest assignment of quota shards that a connected registry reports.
    pub(crate) fn newest_shard_owners(&self) -> Option<ShardOwners> {
        let registries = self.registries.borrow();
        let connected = registries.values().filter(|registry| registry.sender.is_some());
        let owners = connected.map(|registry| &registry.membership.shard_owners);
        owners.max_by_key(|owners| owners.fencing_token).cloned()
    }

    /// How many proxies share limits and budgets, as last known for certain; 0 until then.
    pub(crate) fn proxy_count(&self) -> usize {
        self.proxy_count.get()
    }

    /// Sets the number of proxies.
    pub(crate) fn set_proxy_count(&self, count: usize) {
        self.proxy_count.set(count);
    }
}
