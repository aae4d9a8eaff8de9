//! Registries that tell what a test lets them know.

use super::backends::Backend;
use serde_json::Value;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use violetyoke_api::Configuration;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::connection::{self, Event, Sender};
use violetyoke_transport::messages::{
    self, BackendList, Membership, ProxyReply, ProxyRequest, RegistryRequest, Revision, ShardOwners,
};
use violetyoke_transport::net::listen;

const PORT: u16 = 7461;

/// What a registry says to an add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counts {
    /// It passes all.
    Passes,
    Silent,
    /// It is not the holder.
    NotMine,
}

pub struct Script {
    pub state: Option<(Revision, Configuration)>,
    pub list: BackendList,
    pub members: Membership,
    pub counts: Counts,
    /// It answers questions for something newer.
    pub answers: bool,
    /// News is told to a proxy that asks here first, or in any case.
    pub tells_all: bool,
    pub asked: Vec<ProxyRequest>,
    connections: BTreeMap<u64, Sender>,
    opened: u64,
}

/// A registry, at an address of its own.
#[derive(Clone)]
pub struct Registry {
    pub ip: Ipv4Addr,
    pub script: Rc<RefCell<Script>>,
}

impl Registry {
    /// A registry that does not listen yet.
    pub fn new(number: u8) -> Registry {
        let script = Script {
            state: None,
            list: BackendList::default(),
            members: Membership::default(),
            counts: Counts::Passes,
            answers: true,
            tells_all: true,
            asked: Vec::new(),
            connections: BTreeMap::new(),
            opened: 0,
        };
        Registry { ip: Ipv4Addr::new(10, 9, 0, number), script: Rc::new(RefCell::new(script)) }
    }

    pub fn start(number: u8) -> Registry {
        let registry = Registry::new(number);
        registry.listen();
        registry
    }

    pub fn listen(&self) {
        let listener = listen((self.ip, PORT).into()).expect("a place");
        let registry = self.clone();
        tokio::task::spawn_local(connection::accept_all(listener, move |_| {
            let registry = registry.clone();
            registry.script.borrow_mut().opened += 1;
            let number = registry.script.borrow().opened;
            move |event| registry.event(number, event)
        }));
    }

    /// It knows that state of control, under a revision of that number, and those backends.
    pub fn knows(&self, sequence: u64, configuration: Value, backends: &[&Backend]) {
        let configuration = Configuration::parse(configuration.to_string().as_bytes()).expect("valid");
        let script = &mut *self.script.borrow_mut();
        script.state = Some((Revision { epoch: 1, sequence }, configuration));
        let backends = backends.iter().map(|backend| backend.line()).collect();
        script.list = BackendList { digest: messages::ListDigest(77), age_ms: 10, backends };
    }

    /// It sees that many proxies, and knows of those registries, to which counts are dealt under a fence of that number.
    pub fn members_under(&self, fence: u64, proxies: u32, registries: &[&Registry], in_contact: bool) {
        let registries: Vec<Ipv4Addr> = registries.iter().map(|registry| registry.ip).collect();
        let mut numbers: Vec<u32> = (1..proxies).chain([messages::proxy_id("edge-1")]).collect();
        numbers.sort_unstable();
        let script = &mut *self.script.borrow_mut();
        script.members = Membership {
            digest: script.members.digest + 1,
            proxies: numbers,
            shard_owners: ShardOwners {
                fencing_token: Revision { epoch: fence, sequence: 0 },
                registries: registries.clone(),
            },
            registries,
            in_contact,
            newest: script.state.as_ref().map(|(revision, _)| *revision).unwrap_or_default(),
        };
    }

    pub fn members(&self, proxies: u32, registries: &[&Registry], in_contact: bool) {
        self.members_under(1, proxies, registries, in_contact);
    }

    /// Sends something to all proxies that are connected.
    pub fn tell(&self, reply: &ProxyReply) {
        for sender in self.script.borrow().connections.values() {
            sender.send(encode(reply));
        }
    }

    /// Sends what it knows of members to all.
    pub fn tell_members(&self) {
        let members = self.script.borrow().members.clone();
        self.tell(&ProxyReply::Membership(members));
    }

    pub fn connected(&self) -> bool {
        !self.script.borrow().connections.is_empty()
    }

    /// Whether the proxy has asked here first of all, when it asked last.
    pub fn leads(&self) -> bool {
        let script = self.script.borrow();
        let polls = script.asked.iter().rev();
        let mut leads = polls.filter_map(|ask| match ask {
            ProxyRequest::Poll { is_primary: lead, .. } => Some(*lead),
            _ => None,
        });
        leads.next().unwrap_or(false)
    }

    fn event(&self, number: u64, event: Event) {
        let script = &mut *self.script.borrow_mut();
        match event {
            Event::Connected(sender) => drop(script.connections.insert(number, sender)),
            Event::Disconnected => drop(script.connections.remove(&number)),
            Event::Message(frame) => {
                let Ok(RegistryRequest::Proxy(ask)) = decode(&frame) else { return };
                let Some(sender) = script.connections.get(&number).cloned() else { return };
                for reply in script.replies(&ask) {
                    sender.send(encode(&reply));
                }
                script.asked.push(ask);
            }
        }
    }
}

impl Script {
    fn whole(&self, have: Revision) -> Option<ProxyReply> {
        let (revision, configuration) = self.state.as_ref().filter(|(revision, _)| *revision > have)?;
        let packed = Compressed::encode(configuration).expect("packed");
        Some(ProxyReply::FullState { revision: *revision, evacuated: BTreeSet::new(), configuration: packed })
    }

    fn replies(&self, ask: &ProxyRequest) -> Vec<ProxyReply> {
        let mut replies = Vec::new();
        match ask {
            ProxyRequest::Poll {
                revision: have,
                backend_list: list,
                membership: members,
                is_primary: lead,
            } => {
                if *lead || self.tells_all {
                    replies.extend(self.whole(*have));
                    if *list != self.list.digest {
                        replies.push(ProxyReply::BackendList(self.list.clone()));
                    }
                }
                if *members != self.members.digest {
                    replies.push(ProxyReply::Membership(self.members.clone()));
                }
            }
            ProxyRequest::CheckFreshness { request_id: question, known: have } if self.answers => {
                let revision = self.state.as_ref().map(|(revision, _)| *revision).unwrap_or_default();
                let newest = ProxyReply::Freshness { request_id: *question, newest: revision };
                replies.push(self.whole(*have).unwrap_or(newest));
            }
            ProxyRequest::Increment { request_id: call, .. } => match self.counts {
                Counts::Passes => replies.push(ProxyReply::Counted { request_id: *call, retry_ms: None }),
                Counts::NotMine => replies.push(ProxyReply::NotOwner { request_id: *call }),
                Counts::Silent => {}
            },
            _ => {}
        }
        replies
    }
}
