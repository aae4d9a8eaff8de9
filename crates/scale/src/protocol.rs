//! What a simulated proxy does: sessions, polls and views of a proxy, without what requests need. No I/O:
//! [`crate::load`] has the sockets.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{
    ListDigest, MembershipDigest, ProxyReply, ProxyRequest, Revision, Session,
};

/// Requests to be sent, each to a registry.
pub type Requests = Vec<(Ipv4Addr, ProxyRequest)>;

/// What one registry has sent.
#[derive(Clone, Debug, Default)]
struct RegistryView {
    is_connected: bool,
    membership: MembershipDigest,
    member_count: usize,
    newest: Revision,
}

/// The state machine of one simulated proxy.
#[derive(Clone, Debug)]
pub struct ProxyProtocol {
    session: Session,
    /// A number of its own: proxies differ in which registry is their primary.
    incarnation: u32,
    revision: Revision,
    backend_list: ListDigest,
    registries: BTreeMap<Ipv4Addr, RegistryView>,
}

impl ProxyProtocol {
    /// A proxy that knows nothing yet.
    #[must_use]
    pub fn new(session: Session, incarnation: u32, registries: &[Ipv4Addr]) -> ProxyProtocol {
        let registries = registries.iter().map(|ip| (*ip, RegistryView::default())).collect();
        ProxyProtocol {
            session,
            incarnation,
            revision: Revision::default(),
            backend_list: ListDigest::NONE,
            registries,
        }
    }

    /// The state that it has.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The backend list that it has.
    #[must_use]
    pub fn backend_list(&self) -> ListDigest {
        self.backend_list
    }

    /// It has a session with each registry, each has sent its membership, and none has a newer state than this proxy.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        let is_up_to_date = |view: &RegistryView| {
            view.is_connected && view.membership != MembershipDigest::NONE && view.newest <= self.revision
        };
        self.backend_list != ListDigest::NONE
            && self.revision != Revision::default()
            && self.registries.values().all(is_up_to_date)
    }

    /// Every registry has sent a membership of at least so many proxies.
    #[must_use]
    pub fn knows_members(&self, members: usize) -> bool {
        self.registries.values().all(|view| view.is_connected && view.member_count >= members)
    }

    /// A connection to a registry has opened.
    pub fn on_connected(&mut self, registry: Ipv4Addr) -> Requests {
        self.registries.entry(registry).or_default().is_connected = true;
        let mut requests = vec![(registry, ProxyRequest::Hello(self.session.clone()))];
        requests.extend(self.poll());
        requests
    }

    /// A connection to a registry has ended.
    pub fn on_disconnected(&mut self, registry: Ipv4Addr) -> Requests {
        self.registries.insert(registry, RegistryView::default());
        self.poll()
    }

    /// A registry has sent a message.
    pub fn on_reply(&mut self, registry: Ipv4Addr, reply: ProxyReply) -> Requests {
        let mut requests = match reply {
            ProxyReply::FullState { revision, .. } => self.install_state(revision),
            ProxyReply::StateChange { from, revision, .. } if from == self.revision => {
                self.install_state(revision)
            }
            ProxyReply::StateChange { .. } => self.poll(),
            ProxyReply::BackendList(list) => self.install_list(list.digest),
            ProxyReply::BackendListChange(change) if change.from == self.backend_list => {
                self.install_list(change.digest)
            }
            ProxyReply::BackendListChange(_) => self.poll(),
            ProxyReply::Membership(members) => {
                let view = self.registries.entry(registry).or_default();
                view.membership = members.digest;
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

    fn install_state(&mut self, revision: Revision) -> Requests {
        self.revision = self.revision.max(revision);
        self.poll()
    }

    fn install_list(&mut self, digest: ListDigest) -> Requests {
        self.backend_list = digest;
        self.poll()
    }

    /// Polls all registries; one of them is the primary, chosen as proxies choose it.
    fn poll(&self) -> Requests {
        let connected = self.registries.iter().filter(|(_, view)| view.is_connected).map(|(ip, _)| *ip);
        let primary = connected.min_by_key(|ip| u32::from(*ip).wrapping_mul(0x9e37_79b9) ^ self.incarnation);
        self.to_all(|ip| ProxyRequest::Poll {
            revision: self.revision,
            backend_list: self.backend_list,
            membership: self.registries.get(&ip).map_or(MembershipDigest::NONE, |view| view.membership),
            is_primary: primary == Some(ip),
        })
    }

    fn to_all(&self, request: impl Fn(Ipv4Addr) -> ProxyRequest) -> Requests {
        let connected = self.registries.iter().filter(|(_, view)| view.is_connected);
        connected.map(|(ip, _)| (*ip, request(*ip))).collect()
    }
}
