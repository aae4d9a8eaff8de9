//! Connections to all registries, and the membership that each one reports.

use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::Duration;
use violetyoke_transport::connection::{Event, Sender};
use violetyoke_transport::messages::{Membership, MembershipDigest, Revision, ShardOwners};
use violetyoke_transport::peers::PeerConnections;

/// A registry counts as near if its connection took at most this much longer to open than the fastest connection. The round
/// trip within a region takes a few milliseconds; to another region, 70 ms or more.
const NEAR_MARGIN: Duration = Duration::from_millis(25);

/// Identifies one connection to a registry; a reconnect gets a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RegistryConnectionId {
    pub(crate) registry: Ipv4Addr,
    /// The number of the connection among those to this registry.
    pub(crate) generation: u64,
}

/// All registries that this proxy knows, connected or not.
#[derive(Debug)]
pub(crate) struct RegistryConnections {
    state: RefCell<State>,
    /// The number of proxies, as last reported by a registry in contact with a majority; 0 until then.
    proxy_count: Cell<usize>,
}

#[derive(Debug)]
struct State {
    peers: PeerConnections,
    /// The last report of each known registry on its present connection; the default value if there is none.
    reports: BTreeMap<Ipv4Addr, Membership>,
    /// The shortest time that a connection to each registry took to open, as an estimate of the round trip. Longer times
    /// include delays at one of the two ends.
    connect_times: BTreeMap<Ipv4Addr, Duration>,
}

impl State {
    /// The reports of the registries that are connected.
    fn connected(&self) -> impl Iterator<Item = (Ipv4Addr, &Membership)> + Clone {
        let connected = |(registry, _): &(&Ipv4Addr, _)| self.peers.sender(**registry).is_some();
        self.reports.iter().filter(connected).map(|(registry, report)| (*registry, report))
    }

    /// Whether a registry is probably in this region, judged by the time its connection took to open.
    fn is_near(&self, registry: Ipv4Addr) -> bool {
        let shortest = self.connect_times.values().min().copied().unwrap_or_default();
        self.connect_times.get(&registry).is_some_and(|time| *time <= shortest + NEAR_MARGIN)
    }
}

/// The rank of a registry for this proxy; the lowest one is preferred. The rank depends on the proxy's incarnation, so that
/// proxies spread over the registries.
pub(crate) fn registry_rank(incarnation: u64, registry: Ipv4Addr) -> u32 {
    u32::from(registry).wrapping_mul(0x9e37_79b9) ^ incarnation as u32
}

impl RegistryConnections {
    /// Starts without connections. All registries listen on `port`; `on_event` is called with the events of each connection.
    pub(crate) fn new(port: u16, on_event: impl Fn(Ipv4Addr, Event) + 'static) -> RegistryConnections {
        let state = State {
            peers: PeerConnections::new(port, on_event),
            reports: BTreeMap::new(),
            connect_times: BTreeMap::new(),
        };
        RegistryConnections { state: RefCell::new(state), proxy_count: Cell::new(0) }
    }

    /// Starts to maintain a connection to each of these registries that does not have one yet.
    pub(crate) fn connect_to(&self, registries: BTreeSet<Ipv4Addr>) {
        let state = &mut *self.state.borrow_mut();
        for registry in &registries {
            state.reports.entry(*registry).or_default();
        }
        state.peers.connect_to(registries);
    }

    /// A connection to a registry is open.
    pub(crate) fn on_connected(&self, registry: Ipv4Addr, sender: Sender) {
        let state = &mut *self.state.borrow_mut();
        let shortest = state.connect_times.entry(registry).or_insert(sender.connect_time());
        *shortest = sender.connect_time().min(*shortest);
        state.peers.connected(registry, sender);
    }

    /// The connection to a registry is lost: its report is discarded.
    pub(crate) fn on_disconnected(&self, registry: Ipv4Addr) {
        let state = &mut *self.state.borrow_mut();
        state.peers.disconnected(registry);
        state.reports.insert(registry, Membership::default());
    }

    /// Stores a registry's report of the membership.
    pub(crate) fn set_report(&self, registry: Ipv4Addr, report: Membership) {
        self.state.borrow_mut().reports.insert(registry, report);
    }

    /// The newest connection to a registry, open or not.
    pub(crate) fn newest_connection(&self, registry: Ipv4Addr) -> RegistryConnectionId {
        let generation = self.state.borrow().peers.generation(registry);
        RegistryConnectionId { registry, generation }
    }

    /// The connection to a registry, if it is open.
    pub(crate) fn connection(&self, registry: Ipv4Addr) -> Option<(RegistryConnectionId, Sender)> {
        let sender = self.state.borrow().peers.sender(registry).cloned()?;
        Some((self.newest_connection(registry), sender))
    }

    /// Sends a message to all connected registries, and returns the receivers.
    pub(crate) fn broadcast(&self, message: &Bytes) -> BTreeSet<Ipv4Addr> {
        self.send_to_each(|_, _| message.clone())
    }

    /// Sends each connected registry a message that depends on the registry and its report, and returns the receivers.
    pub(crate) fn send_to_each(
        &self,
        message: impl Fn(Ipv4Addr, &Membership) -> Bytes,
    ) -> BTreeSet<Ipv4Addr> {
        let state = self.state.borrow();
        let mut receivers = BTreeSet::new();
        for (registry, report) in state.connected() {
            if let Some(sender) = state.peers.sender(registry) {
                sender.send(message(registry, report));
                receivers.insert(registry);
            }
        }
        receivers
    }

    /// All registries that are named in the report of any registry.
    pub(crate) fn reported_registries(&self) -> BTreeSet<Ipv4Addr> {
        let state = self.state.borrow();
        state.reports.values().flat_map(|report| report.registries.iter().copied()).collect()
    }

    /// Whether the connection to a registry is open.
    pub(crate) fn is_connected(&self, registry: Ipv4Addr) -> bool {
        self.state.borrow().peers.sender(registry).is_some()
    }

    /// The connected registry to prefer for updates. Compared in this order: registries in contact with a majority of the
    /// registries come first, then near ones, whose messages do not cross regions, then the lowest `rank`.
    pub(crate) fn preferred_registry(&self, rank: impl Fn(Ipv4Addr) -> u32) -> Option<Ipv4Addr> {
        let state = self.state.borrow();
        let preferred = state.connected().min_by_key(|(registry, report)| {
            (!report.in_contact, !state.is_near(*registry), rank(*registry))
        });
        preferred.map(|(registry, _)| registry)
    }

    /// The connected registry with the lowest `rank` among those that are in contact with a majority of the registries. The
    /// second argument of `rank` is whether the registry is near.
    pub(crate) fn registry_in_contact<R: Ord>(&self, rank: impl Fn(Ipv4Addr, bool) -> R) -> Option<Ipv4Addr> {
        let state = self.state.borrow();
        let in_contact = state.connected().filter(|(_, report)| report.in_contact);
        let preferred = in_contact.min_by_key(|(registry, _)| rank(*registry, state.is_near(*registry)));
        preferred.map(|(registry, _)| registry)
    }

    /// Whether a registry reports that it is in contact with a majority of the registries.
    pub(crate) fn is_in_contact(&self, registry: Ipv4Addr) -> bool {
        self.state.borrow().reports.get(&registry).is_some_and(|report| report.in_contact)
    }

    /// Whether at least one connected registry is in contact with a majority of the registries and reports no revision newer
    /// than `known`.
    pub(crate) fn any_confirms(&self, known: Revision) -> bool {
        let state = self.state.borrow();
        let confirms = state.connected().any(|(_, report)| report.in_contact && report.newest <= known);
        confirms
    }

    /// Whether all of these are true: more than half of the known registries are connected, each connected one has sent a
    /// report, none reports a revision newer than `known`, and at least one is in contact with a majority of the registries.
    pub(crate) fn majority_confirms(&self, known: Revision) -> bool {
        let state = self.state.borrow();
        let connected = state.connected();
        let confirms =
            |report: &Membership| report.digest != MembershipDigest::NONE && report.newest <= known;
        connected.clone().any(|(_, report)| report.in_contact)
            && connected.clone().all(|(_, report)| confirms(report))
            && connected.count() * 2 > state.reports.len()
    }

    /// The ids of all proxies, from the report that names the most. Limits are divided by the number of proxies: with too
    /// many, a proxy's share is too small, which is safe; with too few, the proxies together exceed the limit. Registries
    /// without contact to a majority are left out, as they know too few proxies. Empty if no registry is in contact.
    pub(crate) fn largest_membership(&self) -> Vec<u32> {
        let state = self.state.borrow();
        let in_contact = state.connected().map(|(_, report)| report).filter(|report| report.in_contact);
        let largest = in_contact.max_by_key(|report| report.proxies.len());
        largest.map(|report| report.proxies.clone()).unwrap_or_default()
    }

    /// The newest assignment of quota shards that any connected registry reports.
    pub(crate) fn newest_shard_owners(&self) -> Option<ShardOwners> {
        let state = self.state.borrow();
        let owners = state.connected().map(|(_, report)| &report.shard_owners);
        owners.max_by_key(|owners| owners.fencing_token).cloned()
    }

    /// The number of proxies that share limits and budgets, as last reported by a registry in contact with a majority of the
    /// registries; 0 until the first such report.
    pub(crate) fn proxy_count(&self) -> usize {
        self.proxy_count.get()
    }

    /// Sets the number of proxies.
    pub(crate) fn set_proxy_count(&self, count: usize) {
        self.proxy_count.set(count);
    }
}
