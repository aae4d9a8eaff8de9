//! One hollow ingress with its connections: what comes in goes to its state machine, what that asks for goes out, and all is
//! counted.

use crate::crowd::Report;
use crate::documents::tenant;
use crate::hollow::{Hollow, Requests};
use crate::traffic::{kind_of_reply, kind_of_request};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use violetyoke_quota::ShardAssignment;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{Event, Sender};
use violetyoke_transport::messages::{ProxyReply, ProxyRequest, RegistryRequest, ShardOwners};

/// Adds are for so many tenants in turn.
const TENANTS: usize = 8;

/// One ingress and its connections.
pub struct Ingress {
    hollow: RefCell<Hollow>,
    senders: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    owners: RefCell<ShardOwners>,
    dealt: RefCell<ShardAssignment>,
    settled: Cell<bool>,
    complete: Cell<bool>,
    report: Arc<Report>,
}

impl Ingress {
    pub fn new(hollow: Hollow, report: Arc<Report>) -> Ingress {
        Ingress {
            hollow: RefCell::new(hollow),
            senders: RefCell::default(),
            owners: RefCell::default(),
            dealt: RefCell::default(),
            settled: Cell::new(false),
            complete: Cell::new(false),
            report,
        }
    }

    /// Something has happened on its connection to a registry.
    pub fn event(&self, registry: Ipv4Addr, event: Event) {
        let (revision, list) = (self.hollow.borrow().have(), self.hollow.borrow().list());
        let requests = match event {
            Event::Connected(sender) => {
                self.senders.borrow_mut().insert(registry, sender);
                self.hollow.borrow_mut().opened(registry)
            }
            Event::Disconnected => {
                self.senders.borrow_mut().remove(&registry);
                self.hollow.borrow_mut().closed(registry)
            }
            Event::Message(frame) => self.frame(registry, &frame),
        };
        self.send(requests);
        if self.hollow.borrow().have() != revision {
            self.report.states.took(self.hollow.borrow().have());
        }
        if self.hollow.borrow().list() != list {
            self.report.lists.took(self.hollow.borrow().list());
        }
        self.count();
    }

    fn frame(&self, registry: Ipv4Addr, frame: &[u8]) -> Requests {
        let Ok(reply) = decode::<ProxyReply>(frame) else { return Vec::new() };
        self.report.traffic.count(kind_of_reply(&reply), frame.len());
        if let ProxyReply::Membership(members) = &reply {
            if members.shard_owners.fencing_token > self.owners.borrow().fencing_token {
                *self.dealt.borrow_mut() = ShardAssignment::new(&members.shard_owners.registries);
                *self.owners.borrow_mut() = members.shard_owners.clone();
            }
        }
        self.hollow.borrow_mut().replied(registry, reply)
    }

    fn send(&self, requests: Requests) {
        for (registry, request) in requests {
            if let Some(sender) = self.senders.borrow().get(&registry) {
                let kind = kind_of_request(&request);
                let frame = encode(&RegistryRequest::Proxy(request));
                self.report.traffic.count(kind, frame.len());
                sender.send(frame);
            }
        }
    }

    /// One add at the registry that counts for one of a few tenants.
    pub fn add(&self, call: u32) {
        let tenant = tenant(call as usize % TENANTS);
        let owner = self.dealt.borrow().owner(&tenant);
        let fence = self.owners.borrow().fencing_token;
        if let Some(owner) = owner {
            self.send(vec![(
                owner,
                ProxyRequest::Increment { request_id: call, tenant, fencing_token: fence },
            )]);
        }
    }

    /// Keeps the counts of those that are settled or complete.
    fn count(&self) {
        let hollow = self.hollow.borrow();
        let complete = hollow.knows(self.report.members.load(Ordering::Relaxed));
        change(&self.settled, hollow.is_settled(), &self.report.settled);
        change(&self.complete, complete, &self.report.complete);
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        change(&self.settled, false, &self.report.settled);
        change(&self.complete, false, &self.report.complete);
    }
}

fn change(flag: &Cell<bool>, now: bool, count: &AtomicUsize) {
    match (flag.replace(now), now) {
        (false, true) => drop(count.fetch_add(1, Ordering::Relaxed)),
        (true, false) => drop(count.fetch_sub(1, Ordering::Relaxed)),
        _ => {}
    }
}
