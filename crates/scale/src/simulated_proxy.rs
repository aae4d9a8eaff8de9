//! One simulated proxy with its connections: messages go to its state machine, the requests of that go out, and all of it
//! is counted.

use crate::documents::tenant;
use crate::observations::Observations;
use crate::protocol::{ProxyProtocol, Requests};
use crate::traffic::MessageKind;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use violetyoke_quota::ShardAssignment;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{Event, Sender};
use violetyoke_transport::messages::{
    ListDigest, ProxyReply, ProxyRequest, RegistryRequest, Revision, ShardOwners,
};

/// Increments are for so many tenants in turn.
const TENANTS: usize = 8;

/// One proxy and its connections.
pub(crate) struct SimulatedProxy {
    protocol: RefCell<ProxyProtocol>,
    senders: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    owners: RefCell<ShardOwners>,
    assignment: RefCell<ShardAssignment>,
    is_settled: Cell<bool>,
    is_complete: Cell<bool>,
    observations: Arc<Observations>,
}

impl SimulatedProxy {
    pub(crate) fn new(protocol: ProxyProtocol, observations: Arc<Observations>) -> SimulatedProxy {
        SimulatedProxy {
            protocol: RefCell::new(protocol),
            senders: RefCell::default(),
            owners: RefCell::default(),
            assignment: RefCell::default(),
            is_settled: Cell::new(false),
            is_complete: Cell::new(false),
            observations,
        }
    }

    /// Something has happened on its connection to a registry.
    pub(crate) fn on_event(&self, registry: Ipv4Addr, event: Event) {
        let (revision, list) = (self.revision(), self.backend_list());
        let requests = match event {
            Event::Connected(sender) => {
                self.senders.borrow_mut().insert(registry, sender);
                self.protocol.borrow_mut().on_connected(registry)
            }
            Event::Disconnected => {
                self.senders.borrow_mut().remove(&registry);
                self.protocol.borrow_mut().on_disconnected(registry)
            }
            Event::Message(frame) => self.on_message(registry, &frame),
        };
        self.send(requests);
        if self.revision() != revision {
            self.observations.states.record(self.revision());
        }
        if self.backend_list() != list {
            self.observations.lists.record(self.backend_list());
        }
        self.update_counts();
    }

    fn revision(&self) -> Revision {
        self.protocol.borrow().revision()
    }

    fn backend_list(&self) -> ListDigest {
        self.protocol.borrow().backend_list()
    }

    fn on_message(&self, registry: Ipv4Addr, frame: &[u8]) -> Requests {
        let Ok(reply) = decode::<ProxyReply>(frame) else { return Vec::new() };
        self.observations.traffic.count(MessageKind::from(&reply), frame.len());
        if let ProxyReply::Membership(members) = &reply {
            if members.shard_owners.fencing_token > self.owners.borrow().fencing_token {
                *self.assignment.borrow_mut() = ShardAssignment::new(&members.shard_owners.registries);
                *self.owners.borrow_mut() = members.shard_owners.clone();
            }
        }
        self.protocol.borrow_mut().on_reply(registry, reply)
    }

    fn send(&self, requests: Requests) {
        for (registry, request) in requests {
            if let Some(sender) = self.senders.borrow().get(&registry) {
                let kind = MessageKind::from(&request);
                let frame = encode(&RegistryRequest::Proxy(request));
                self.observations.traffic.count(kind, frame.len());
                sender.send(frame);
            }
        }
    }

    /// One increment at the registry that owns the count of one of a few tenants.
    pub(crate) fn increment(&self, request_id: u32) {
        let tenant = tenant(request_id as usize % TENANTS);
        let owner = self.assignment.borrow().owner(&tenant);
        let fencing_token = self.owners.borrow().fencing_token;
        if let Some(owner) = owner {
            self.send(vec![(owner, ProxyRequest::Increment { request_id, tenant, fencing_token })]);
        }
    }

    /// Keeps the counts of proxies that are settled or complete.
    fn update_counts(&self) {
        let protocol = self.protocol.borrow();
        let is_complete = protocol.knows_members(self.observations.members.load(Ordering::Relaxed));
        update_count(&self.is_settled, protocol.is_settled(), &self.observations.settled);
        update_count(&self.is_complete, is_complete, &self.observations.complete);
    }
}

impl Drop for SimulatedProxy {
    fn drop(&mut self) {
        update_count(&self.is_settled, false, &self.observations.settled);
        update_count(&self.is_complete, false, &self.observations.complete);
    }
}

/// Counts a proxy whose flag is raised now, and no longer one whose flag is lowered.
fn update_count(flag: &Cell<bool>, now: bool, count: &AtomicUsize) {
    match (flag.replace(now), now) {
        (false, true) => {
            count.fetch_add(1, Ordering::Relaxed);
        }
        (true, false) => {
            count.fetch_sub(1, Ordering::Relaxed);
        }
        _ => {}
    }
}
