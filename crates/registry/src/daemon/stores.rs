//! Connections to all stores, and the status of each.

use super::{Input, Registry};
use crate::orders::StoreConnection;
use slog::info;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio::sync::mpsc::UnboundedSender;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{self, Sender};
use violetyoke_transport::messages::{ShardOwners, StoreReply, StoreRequest};

#[derive(Default)]
struct Store {
    sender: Option<Sender>,
    /// How many connections to it there have been.
    connection: u64,
    epoch: u64,
    active: bool,
}

pub(super) struct Stores {
    me: Ipv4Addr,
    port: u16,
    by_ip: BTreeMap<Ipv4Addr, Store>,
    known: BTreeSet<Ipv4Addr>,
    pub owners: ShardOwners,
}

impl Stores {
    pub fn new(me: Ipv4Addr, port: u16) -> Stores {
        Stores {
            me,
            port,
            by_ip: BTreeMap::new(),
            known: BTreeSet::from([me]),
            owners: ShardOwners::default(),
        }
    }

    pub fn known(&self) -> impl Iterator<Item = Ipv4Addr> + '_ {
        self.known.iter().copied()
    }

    pub fn connect(&mut self, known: &BTreeSet<Ipv4Addr>, inputs: &UnboundedSender<Input>) {
        for ip in known.iter().copied().chain([self.me]) {
            if self.by_ip.contains_key(&ip) {
                continue;
            }
            self.by_ip.insert(ip, Store::default());
            let inputs = inputs.clone();
            tokio::task::spawn_local(connection::maintain(SocketAddrV4::new(ip, self.port), move |event| {
                drop(inputs.send(Input::Store(ip, event)));
            }));
        }
    }

    /// The store that leads under the highest epoch, in contact with its backups by its own account.
    pub fn primary(&self) -> Option<(StoreConnection, &Sender)> {
        let active = self.by_ip.iter().filter(|(_, store)| store.active);
        let (ip, store) = active.max_by_key(|(_, store)| store.epoch)?;
        Some((StoreConnection { ip: *ip, connection: store.connection }, store.sender.as_ref()?))
    }

    fn opened(&mut self, ip: Ipv4Addr, sender: Sender) {
        let store = self.by_ip.entry(ip).or_default();
        store.connection += 1;
        store.sender = Some(sender);
    }

    /// The connection to a store has ended: nothing is known of it but how many there were.
    fn closed(&mut self, ip: Ipv4Addr) -> StoreConnection {
        let connection = self.connection(ip);
        self.by_ip.insert(ip, Store { connection: connection.connection, ..Store::default() });
        connection
    }

    fn connection(&self, ip: Ipv4Addr) -> StoreConnection {
        StoreConnection { ip, connection: self.by_ip.get(&ip).map_or(0, |store| store.connection) }
    }
}

impl Registry {
    pub(super) fn store(&mut self, ip: Ipv4Addr, event: connection::Event) {
        let now = self.now();
        match event {
            connection::Event::Connected(sender) => {
                let watch =
                    StoreRequest::Watch { registry: self.settings.local.ip, known: self.held.revision };
                sender.send(encode(&watch));
                self.stores.opened(ip, sender);
            }
            connection::Event::Disconnected => {
                let connection = self.stores.closed(ip);
                self.orders.lost(connection);
            }
            connection::Event::Message(frame) => match decode(&frame) {
                Ok(StoreReply::Status { epoch, is_leader: active, shard_owners: owners, stores }) => {
                    self.stores.known.extend(stores);
                    let store = self.stores.by_ip.entry(ip).or_default();
                    (store.epoch, store.active) = (epoch, active);
                    if owners.fencing_token > self.stores.owners.fencing_token {
                        self.proxies.counts.advance_fence(owners.fencing_token);
                        self.stores.owners = owners;
                        self.publish();
                    }
                }
                Ok(StoreReply::State(held)) => {
                    if held.revision > self.held.revision {
                        info!(self.log, "in force"; "version" => held.version, "epoch" => held.revision.epoch,
                            "evacuated" => held.evacuated.len());
                        self.take(held);
                    }
                }
                Ok(StoreReply::Completed { request_id: call, outcome }) => {
                    let from = self.stores.connection(ip);
                    self.orders.done(now, from, call, outcome);
                }
                Err(error) => slog::warn!(self.log, "unread frame"; "why" => error.to_string()),
            },
        }
        self.orders.step(now, &self.stores);
    }
}
