//! The connections that this store opens to the others.

use super::input::{Input, InputSender};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use tokio::task::JoinSet;
use violetyoke_transport::connection::{self, Sender};

/// One connection to each known store, kept up by a task that ends when this is dropped.
pub(super) struct PeerLinks {
    local_ip: Ipv4Addr,
    port: u16,
    inputs: InputSender,
    /// `None` while the connection is down.
    senders: HashMap<Ipv4Addr, Option<Sender>>,
    tasks: JoinSet<()>,
}

impl PeerLinks {
    pub(super) fn new(local_ip: Ipv4Addr, port: u16, inputs: InputSender) -> PeerLinks {
        PeerLinks { local_ip, port, inputs, senders: HashMap::new(), tasks: JoinSet::new() }
    }

    /// Begins to keep up a connection to each of these stores, where there is none yet.
    pub(super) fn connect(&mut self, stores: impl IntoIterator<Item = Ipv4Addr>) {
        for ip in stores {
            if ip == self.local_ip || self.senders.contains_key(&ip) {
                continue;
            }
            self.senders.insert(ip, None);
            let inputs = self.inputs.clone();
            let address = SocketAddrV4::new(ip, self.port);
            let report = move |event| inputs.send(Input::Peer(ip, event));
            self.tasks.spawn_local(connection::maintain(address, report));
        }
    }

    pub(super) fn on_connected(&mut self, ip: Ipv4Addr, sender: Sender) {
        self.senders.insert(ip, Some(sender));
    }

    pub(super) fn on_disconnected(&mut self, ip: Ipv4Addr) {
        self.senders.insert(ip, None);
    }

    pub(super) fn sender(&self, ip: Ipv4Addr) -> Option<&Sender> {
        self.senders.get(&ip)?.as_ref()
    }
}
