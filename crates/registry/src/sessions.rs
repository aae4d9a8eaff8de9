//! The sessions of proxies. A proxy is a member while it has a session with this registry or with one of its peers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use violetyoke_transport::connection::ConnectionId;
use violetyoke_transport::messages::{proxy_id, Session};

/// Maximum number of addresses in one response of the directory.
const MAX_ADDRESSES: usize = 64;

/// The sessions of all proxies: those with this registry, and those that its peers report.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    local: BTreeMap<ConnectionId, Session>,
    by_peer: BTreeMap<Ipv4Addr, Vec<Session>>,
    /// Recomputed when a session begins, changes or ends, and not on each read: it is read for each message of a
    /// proxy, so that computing it there would cost time quadratic in the number of sessions.
    proxies: ProxyIds,
}

/// The ids of all proxies in ascending order, and of those that are not ready.
#[derive(Clone, Debug, Default)]
struct ProxyIds {
    all: Vec<u32>,
    not_ready: Vec<u32>,
}

impl Sessions {
    /// Begins or updates the session of the proxy on `connection`. Returns whether the session is new or has changed.
    pub fn register(&mut self, connection: ConnectionId, session: Session) -> bool {
        let has_changed = self.local.get(&connection) != Some(&session);
        self.local.insert(connection, session);
        if has_changed {
            self.update_proxy_ids();
        }
        has_changed
    }

    /// Ends the session on `connection`. Returns whether there was one.
    pub fn remove(&mut self, connection: ConnectionId) -> bool {
        let had_session = self.local.remove(&connection).is_some();
        if had_session {
            self.update_proxy_ids();
        }
        had_session
    }

    /// Replaces the sessions that the registry at `peer` reports.
    pub fn merge_peer(&mut self, peer: Ipv4Addr, sessions: Vec<Session>) {
        if self.by_peer.get(&peer) != Some(&sessions) {
            self.by_peer.insert(peer, sessions);
            self.update_proxy_ids();
        }
    }

    /// Drops the sessions that a peer has reported, because the peer is no longer connected.
    pub fn remove_peer(&mut self, peer: Ipv4Addr) {
        if self.by_peer.remove(&peer).is_some() {
            self.update_proxy_ids();
        }
    }

    /// The sessions with this registry, as they are reported to its peers.
    pub fn local(&self) -> Vec<Session> {
        self.local.values().cloned().collect()
    }

    /// The ids of all proxies, in ascending order.
    pub fn proxy_ids(&self) -> &[u32] {
        &self.proxies.all
    }

    /// The ids of the proxies that are not ready to serve: most of them have just started.
    pub fn not_ready(&self) -> &[u32] {
        &self.proxies.not_ready
    }

    /// The addresses to which a client in `zone` of `region` is directed: the ready proxies of its zone; if there are
    /// none, those of its region; if there are none either, all ready ones.
    pub fn resolve(&self, region: &str, zone: &str) -> Vec<SocketAddrV4> {
        let by_node = self.by_node();
        let ready: Vec<&Session> = by_node.into_values().filter(|session| session.is_ready).collect();
        let in_zone: Vec<&Session> = ready.iter().filter(|session| session.zone == zone).copied().collect();
        let in_region: Vec<&Session> =
            ready.iter().filter(|session| session.region == region).copied().collect();
        let candidates = [in_zone, in_region, ready].into_iter().find(|sessions| !sessions.is_empty());
        let addresses: BTreeSet<SocketAddrV4> =
            candidates.into_iter().flatten().map(|session| session.front_address).collect();
        addresses.into_iter().take(MAX_ADDRESSES).collect()
    }

    /// One session for each proxy. A session with this registry takes precedence over those that peers report.
    fn by_node(&self) -> BTreeMap<&str, &Session> {
        let sessions = self.by_peer.values().flatten().chain(self.local.values());
        sessions.map(|session| (session.node.as_str(), session)).collect()
    }

    fn update_proxy_ids(&mut self) {
        let by_node = self.by_node();
        let all: BTreeSet<u32> = by_node.keys().map(|node| proxy_id(node)).collect();
        let not_ready = by_node.values().filter(|session| !session.is_ready);
        let not_ready = not_ready.map(|session| proxy_id(&session.node)).collect();
        self.proxies = ProxyIds { all: all.into_iter().collect(), not_ready };
    }
}
