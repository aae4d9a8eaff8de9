//! Connections opened to this store: by registries, which watch it and send it commands, and by other stores.

use crate::consensus::ClientId;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_transport::connection::{ConnectionId, Sender};
use violetyoke_transport::messages::{Revision, StoreReply};

/// A registry that subscribes to the status and the committed state of this store.
pub(super) struct Watcher {
    pub(super) registry: Ipv4Addr,
    /// The revision of the newest state that the registry has, or that was sent to it.
    pub(super) known_revision: Revision,
    /// The status that was last sent to the registry.
    pub(super) last_status: Option<StoreReply>,
}

struct Connection {
    sender: Sender,
    /// The store whose last message arrived on this connection.
    peer: Option<Ipv4Addr>,
    watcher: Option<Watcher>,
    /// Request ids of the commands and operation requests that are not answered yet.
    open_requests: BTreeMap<ClientId, u64>,
}

/// A watcher and the sender of its connection.
pub(super) struct WatcherLink<'a> {
    pub(super) sender: &'a Sender,
    pub(super) watcher: &'a mut Watcher,
}

/// All open accepted connections.
#[derive(Default)]
pub(super) struct AcceptedConnections {
    by_id: BTreeMap<ConnectionId, Connection>,
    last_client: ClientId,
}

impl AcceptedConnections {
    pub(super) fn open(&mut self, id: ConnectionId, sender: Sender) {
        let connection = Connection { sender, peer: None, watcher: None, open_requests: BTreeMap::new() };
        self.by_id.insert(id, connection);
    }

    /// Removes a connection that has ended. Replies to its open requests are dropped; the senders repeat the requests.
    pub(super) fn close(&mut self, id: ConnectionId) {
        self.by_id.remove(&id);
    }

    /// Records that a message of another store arrived on a connection; messages to that store may use it from now on.
    pub(super) fn set_peer(&mut self, id: ConnectionId, peer: Ipv4Addr) {
        if self.by_id.get(&id).is_none_or(|connection| connection.peer == Some(peer)) {
            return;
        }
        for (other, connection) in &mut self.by_id {
            if *other == id {
                connection.peer = Some(peer);
            } else if connection.peer == Some(peer) {
                connection.peer = None;
            }
        }
    }

    pub(super) fn sender_to_peer(&self, peer: Ipv4Addr) -> Option<&Sender> {
        let is_to_peer = |connection: &&Connection| connection.peer == Some(peer);
        self.by_id.values().find(is_to_peer).map(|connection| &connection.sender)
    }

    /// Registers a registry as the watcher on a connection; it has the state of revision `known_revision`.
    pub(super) fn watch(&mut self, id: ConnectionId, registry: Ipv4Addr, known_revision: Revision) {
        if let Some(connection) = self.by_id.get_mut(&id) {
            let last_status = connection.watcher.take().and_then(|watcher| watcher.last_status);
            connection.watcher = Some(Watcher { registry, known_revision, last_status });
        }
    }

    /// Addresses of the registries that watch this store, sorted and without duplicates.
    pub(super) fn registries(&self) -> Vec<Ipv4Addr> {
        let watchers = self.by_id.values().filter_map(|connection| connection.watcher.as_ref());
        let registries: BTreeSet<Ipv4Addr> = watchers.map(|watcher| watcher.registry).collect();
        registries.into_iter().collect()
    }

    pub(super) fn watchers(&mut self) -> impl Iterator<Item = WatcherLink<'_>> {
        self.by_id.values_mut().filter_map(|connection| {
            let Connection { sender, watcher, .. } = connection;
            watcher.as_mut().map(|watcher| WatcherLink { sender, watcher })
        })
    }

    /// Creates a client for a request that arrived on a connection.
    pub(super) fn open_request(&mut self, id: ConnectionId, request_id: u64) -> ClientId {
        self.last_client = ClientId(self.last_client.0 + 1);
        if let Some(connection) = self.by_id.get_mut(&id) {
            connection.open_requests.insert(self.last_client, request_id);
        }
        self.last_client
    }

    /// Replies to a client, if its connection is still open. `encode` encodes the reply, given the id of the request.
    pub(super) fn reply(&mut self, client: ClientId, encode: impl FnOnce(u64) -> Bytes) {
        for connection in self.by_id.values_mut() {
            if let Some(request_id) = connection.open_requests.remove(&client) {
                return connection.sender.send(encode(request_id));
            }
        }
    }
}
