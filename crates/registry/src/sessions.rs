//! A proxy is a member while its session with a registry stands; registries tell each other their sessions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use violetyoke_transport::messages::{proxy_id, Session};

/// The most addresses in one answer.
const MOST: usize = 64;

/// Sessions here and at other registries.
#[derive(Clone, Debug, Default)]
pub struct Sessions {
    own: BTreeMap<u64, Session>,
    others: BTreeMap<Ipv4Addr, Vec<Session>>,
    /// Computed anew when a session begins, changes or ends, not each time that it is read: the registry reads it at
    /// each message of a proxy, and a table of all sessions for each message makes the work grow with their square.
    members: ProxyIds,
}

/// Numbers of all proxies, in order, and of those that are not ready.
#[derive(Clone, Debug, Default)]
struct ProxyIds {
    all: Vec<u32>,
    not_ready: Vec<u32>,
}

impl Sessions {
    /// A proxy says who it is, on a connection of that number.
    pub fn begin(&mut self, connection: u64, session: Session) {
        let changed = self.own.get(&connection) != Some(&session);
        self.own.insert(connection, session);
        if changed {
            self.update_members();
        }
    }

    /// The connection has ended; whether a session did.
    pub fn end(&mut self, connection: u64) -> bool {
        let ended = self.own.remove(&connection).is_some();
        if ended {
            self.update_members();
        }
        ended
    }

    pub fn told(&mut self, registry: Ipv4Addr, sessions: Vec<Session>) {
        if self.others.get(&registry) != Some(&sessions) {
            self.others.insert(registry, sessions);
            self.update_members();
        }
    }

    pub fn lost(&mut self, registry: Ipv4Addr) {
        if self.others.remove(&registry).is_some() {
            self.update_members();
        }
    }

    /// What is told to other registries.
    pub fn own(&self) -> Vec<Session> {
        self.own.values().cloned().collect()
    }

    /// Each proxy's session here, or else as others tell of it.
    fn all(&self) -> BTreeMap<&str, &Session> {
        let mut all: BTreeMap<&str, &Session> = BTreeMap::new();
        for session in self.others.values().flatten().chain(self.own.values()) {
            all.insert(&session.node, session);
        }
        all
    }

    /// Numbers of all proxies, in order.
    pub fn members(&self) -> &[u32] {
        &self.members.all
    }

    /// Those of them that are not ready: most have just begun.
    pub fn not_ready(&self) -> &[u32] {
        &self.members.not_ready
    }

    fn update_members(&mut self) {
        let all = self.all();
        let members: BTreeSet<u32> = all.keys().map(|name| proxy_id(name)).collect();
        let not_ready =
            all.values().filter(|session| !session.is_ready).map(|session| proxy_id(&session.node));
        self.members = ProxyIds { all: members.into_iter().collect(), not_ready: not_ready.collect() };
    }

    /// Where a client of that zone is to go: ready proxies of its zone, or else of its region, or else any.
    pub fn resolve(&self, region: &str, zone: &str) -> Vec<SocketAddrV4> {
        let all = self.all();
        let ready: Vec<&Session> = all.into_values().filter(|session| session.is_ready).collect();
        let near = [
            ready.iter().filter(|it| it.zone == zone).copied().collect::<Vec<_>>(),
            ready.iter().filter(|it| it.region == region).copied().collect(),
            ready,
        ];
        let chosen = near.into_iter().find(|some| !some.is_empty()).unwrap_or_default();
        let fronts: BTreeSet<SocketAddrV4> =
            chosen.into_iter().map(|session| session.front_address).collect();
        fronts.into_iter().take(MOST).collect()
    }
}
