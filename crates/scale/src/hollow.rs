//! What a hollow ingress does: sessions, polls and views of a proxy, without what requests need. No I/O: [`crate::crowd`]
//! has the sockets.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{ListDigest, ProxyReply, ProxyRequest, Revision, Session};

/// Requests to be sent, each to a registry.
pub type Requests = Vec<(Ipv4Addr, ProxyRequest)>;

/// What one registry has told.
#[derive(Clone, Debug, Default)]
struct View {
    connected: bool,
    members: u64,
    member_count: usize,
    newest: Revision,
}

/// One hollow ingress.
#[derive(Clone, Debug)]
pub struct Hollow {
    session: Session,
    /// A number of its own: ingresses differ in which registry they ask first.
    life: u32,
    have: Revision,
    list: ListDigest,
    registries: BTreeMap<Ipv4Addr, View>,
}

impl Hollow {
    pub fn new(session: Session, life: u32, registries: &[Ipv4Addr]) -> Hollow {
        let registries = registries.iter().map(|ip| (*ip, View::default())).collect();
        Hollow { session, life, have: Revision::default(), list: ListDigest::NONE, registries }
    }

    pub fn have(&self) -> Revision {
        self.have
    }

    pub fn list(&self) -> ListDigest {
        self.list
    }

    /// A session with each registry, each has told of its members, and none has a newer state than this one.
    pub fn is_settled(&self) -> bool {
        let told = |view: &View| view.connected && view.members != 0 && view.newest <= self.have;
        self.list != ListDigest::NONE
            && self.have != Revision::default()
            && self.registries.values().all(told)
    }

    /// Every registry has told of at least that many members.
    pub fn knows(&self, members: usize) -> bool {
        self.registries.values().all(|view| view.connected && view.member_count >= members)
    }

    /// A connection to a registry has opened.
    pub fn opened(&mut self, registry: Ipv4Addr) -> Requests {
        self.registries.entry(registry).or_default().connected = true;
        let mut requests = vec![(registry, ProxyRequest::Hello(self.session.clone()))];
        requests.extend(self.poll());
        requests
    }

    /// A connection to a registry has ended.
    pub fn closed(&mut self, registry: Ipv4Addr) -> Requests {
        self.registries.insert(registry, View::default());
        self.poll()
    }

    /// A registry says something.
    pub fn replied(&mut self, registry: Ipv4Addr, reply: ProxyReply) -> Requests {
        let mut requests = match reply {
            ProxyReply::FullState { revision, .. } => self.take_state(revision),
            ProxyReply::StateChange { from, revision, .. } if from == self.have => self.take_state(revision),
            ProxyReply::StateChange { .. } => self.poll(),
            ProxyReply::BackendList(list) => self.take_list(list.digest),
            ProxyReply::BackendListChange(change) if change.from == self.list => {
                self.take_list(change.digest)
            }
            ProxyReply::BackendListChange(_) => self.poll(),
            ProxyReply::Membership(members) => {
                let view = self.registries.entry(registry).or_default();
                view.members = members.digest;
                view.member_count = members.proxies.len();
                view.newest = members.newest;
                Vec::new()
            }
            ProxyReply::Counted { .. } | ProxyReply::NotOwner { .. } | ProxyReply::Freshness { .. } => {
                Vec::new()
            }
        };
        if !self.session.is_ready && self.is_settled() {
            self.session.is_ready = true;
            requests.extend(self.to_all(|_| ProxyRequest::Hello(self.session.clone())));
        }
        requests
    }

    fn take_state(&mut self, revision: Revision) -> Requests {
        self.have = self.have.max(revision);
        self.poll()
    }

    fn take_list(&mut self, digest: ListDigest) -> Requests {
        self.list = digest;
        self.poll()
    }

    /// Asks all registries for what is newer; one of them is to answer first, chosen as proxies choose it.
    fn poll(&self) -> Requests {
        let connected = self.registries.iter().filter(|(_, view)| view.connected).map(|(ip, _)| *ip);
        let lead = connected.min_by_key(|ip| u32::from(*ip).wrapping_mul(0x9e37_79b9) ^ self.life);
        self.to_all(|ip| ProxyRequest::Poll {
            revision: self.have,
            backend_list: self.list,
            membership: self.registries.get(&ip).map_or(0, |view| view.members),
            is_primary: lead == Some(ip),
        })
    }

    fn to_all(&self, request: impl Fn(Ipv4Addr) -> ProxyRequest) -> Requests {
        let connected = self.registries.iter().filter(|(_, view)| view.connected);
        connected.map(|(ip, _)| (*ip, request(*ip))).collect()
    }
}
