//! Connections to all stores, and how each says that it stands.

use super::{Input, Registry};
use slog::info;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio::sync::mpsc::UnboundedSender;
use violetyoke_transport::frame::{decode, encode};
use violetyoke_transport::link::{self, Sender};
use violetyoke_transport::messages::{Owners, StoreReply, StoreRequest};

#[derive(Default)]
struct Store {
    sender: Option<Sender>,
    epoch: u64,
    active: bool,
}

pub(super) struct Stores {
    me: Ipv4Addr,
    port: u16,
    by_ip: BTreeMap<Ipv4Addr, Store>,
    known: BTreeSet<Ipv4Addr>,
    pub owners: Owners,
}

impl Stores {
    pub fn new(me: Ipv4Addr, port: u16) -> Stores {
        Stores { me, port, by_ip: BTreeMap::new(), known: BTreeSet::from([me]), owners: Owners::default() }
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
            tokio::task::spawn_local(link::keep(SocketAddrV4::new(ip, self.port), move |event| {
                drop(inputs.send(Input::Store(ip, event)));
            }));
        }
    }

    /// The store that leads under the highest epoch.
    pub fn primary(&self) -> Option<(Ipv4Addr, &Sender)> {
        let active = self.by_ip.iter().filter(|(_, store)| store.active);
        let active = active.filter_map(|(ip, store)| Some((store.epoch, *ip, store.sender.as_ref()?)));
        active.max_by_key(|(epoch, ..)| *epoch).map(|(_, ip, sender)| (ip, sender))
    }
}

impl Registry {
    pub(super) fn store(&mut self, ip: Ipv4Addr, event: link::Event) {
        let now = self.now();
        match event {
            link::Event::Up(sender) => {
                let watch = StoreRequest::Watch { registry: self.settings.me.ip, have: self.held.stamp };
                sender.send(encode(&watch));
                self.stores.by_ip.entry(ip).or_default().sender = Some(sender);
            }
            link::Event::Down => {
                self.stores.by_ip.insert(ip, Store::default());
                self.orders.lost(ip);
            }
            link::Event::Frame(frame) => match decode(&frame) {
                Ok(StoreReply::Status { epoch, active, owners, stores }) => {
                    self.stores.known.extend(stores);
                    let store = self.stores.by_ip.entry(ip).or_default();
                    (store.epoch, store.active) = (epoch, active);
                    if owners.fence > self.stores.owners.fence {
                        self.proxies.counts.raise(owners.fence);
                        self.stores.owners = owners;
                        self.publish();
                    }
                }
                Ok(StoreReply::News(held)) => {
                    if held.stamp > self.held.stamp {
                        info!(self.log, "in force"; "version" => held.version, "epoch" => held.stamp.epoch,
                            "evacuated" => held.evacuated.len());
                        self.take(held);
                    }
                }
                Ok(StoreReply::Done { call, outcome }) => self.orders.done(now, call, outcome),
                Err(error) => slog::warn!(self.log, "unread frame"; "why" => error.to_string()),
            },
        }
        self.orders.tick(now, &self.stores);
    }
}
