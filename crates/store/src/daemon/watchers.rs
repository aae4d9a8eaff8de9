//! Registries that watch this store: what they have, who waits for an answer, and which of them count for tenants.

use super::encoder::Encoder;
use crate::register::{Client, Register};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_transport::codec::{encode, encode_deflated};
use violetyoke_transport::connection::Sender;
use violetyoke_transport::messages::{Outcome, Revision, ShardOwners, StoreReply};

struct Watcher {
    sender: Sender,
    registry: Option<Ipv4Addr>,
    have: Revision,
    /// The status that it was told last.
    told: Option<StoreReply>,
}

#[derive(Default)]
pub(super) struct Watchers {
    by_connection: BTreeMap<u64, Watcher>,
    clients: BTreeMap<Client, (u64, u64)>,
    next: Client,
    owners: ShardOwners,
}

impl Watchers {
    pub fn opened(&mut self, number: u64, sender: Sender) {
        let watcher = Watcher { sender, registry: None, have: Revision::default(), told: None };
        self.by_connection.insert(number, watcher);
    }

    pub fn sender(&self, number: u64) -> Option<Sender> {
        self.by_connection.get(&number).map(|watcher| watcher.sender.clone())
    }

    pub fn closed(&mut self, number: u64) {
        self.by_connection.remove(&number);
        self.clients.retain(|_, (connection, _)| *connection != number);
    }

    pub fn watch(&mut self, number: u64, registry: Ipv4Addr, have: Revision) {
        if let Some(watcher) = self.by_connection.get_mut(&number) {
            watcher.registry = Some(registry);
            watcher.have = have;
        }
    }

    pub fn client(&mut self, number: u64, call: u64) -> Client {
        self.next += 1;
        self.clients.insert(self.next, (number, call));
        self.next
    }

    pub fn answer(&mut self, client: Client, outcome: Outcome) {
        let Some((number, call)) = self.clients.remove(&client) else { return };
        if let Some(watcher) = self.by_connection.get(&number) {
            watcher.sender.send(encode_deflated(&StoreReply::Completed { request_id: call, outcome }));
        }
    }

    /// Tells each registry the status of the store, and the newest state where it has an older one.
    pub fn publish(&mut self, register: &Register, encoder: &mut Encoder) {
        let epoch = register.epoch();
        if register.active() {
            let live: BTreeSet<Ipv4Addr> =
                self.by_connection.values().filter_map(|watcher| watcher.registry).collect();
            let live: Vec<Ipv4Addr> = live.into_iter().collect();
            if live != self.owners.registries || self.owners.fencing_token.epoch != epoch {
                let sequence = if self.owners.fencing_token.epoch == epoch {
                    self.owners.fencing_token.sequence + 1
                } else {
                    0
                };
                self.owners = ShardOwners { fencing_token: Revision { epoch, sequence }, registries: live };
            }
        }
        let owners = if register.active() { self.owners.clone() } else { ShardOwners::default() };
        let active = register.leads_in_contact();
        let status =
            StoreReply::Status { epoch, is_leader: active, shard_owners: owners, stores: register.stores() };
        for watcher in self.by_connection.values_mut().filter(|watcher| watcher.registry.is_some()) {
            if watcher.told.as_ref() != Some(&status) {
                watcher.sender.send(encode(&status));
                watcher.told = Some(status.clone());
            }
            if let Some(held) = register.committed().filter(|held| held.revision > watcher.have) {
                watcher.have = held.revision;
                watcher.sender.send(encoder.news(held));
            }
        }
    }
}
