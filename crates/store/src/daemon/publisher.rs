//! Publishes the status of this store and the newest committed state to the registries that watch it.

use super::connections::{AcceptedConnections, WatcherLink};
use super::encoder::Encoder;
use crate::consensus::Replica;
use std::net::Ipv4Addr;
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{Epoch, Revision, ShardOwners, StoreReply};

/// Sends updates to watchers and, while this store leads, assigns the quota shards to registries.
#[derive(Default)]
pub(super) struct Publisher {
    shard_owners: ShardOwners,
}

impl Publisher {
    /// Sends each watcher the status of this store if it has changed, and the committed state if the watcher has an
    /// older one.
    pub(super) fn publish(
        &mut self,
        replica: &Replica,
        connections: &mut AcceptedConnections,
        encoder: &mut Encoder,
    ) {
        let status = self.status(replica, connections);
        for WatcherLink { sender, watcher } in connections.watchers() {
            if watcher.last_status.as_ref() != Some(&status) {
                sender.send(encode(&status));
                watcher.last_status = Some(status.clone());
            }
            if let Some(state) =
                replica.committed_state().filter(|state| state.revision > watcher.known_revision)
            {
                watcher.known_revision = state.revision;
                sender.send(encoder.encode_state(state));
            }
        }
    }

    fn status(&mut self, replica: &Replica, connections: &AcceptedConnections) -> StoreReply {
        let shard_owners = if replica.is_leader() {
            self.assign_shards(replica.epoch(), connections.registries());
            self.shard_owners.clone()
        } else {
            ShardOwners::default()
        };
        StoreReply::Status {
            epoch: replica.epoch(),
            is_leader: replica.is_leader_in_contact(),
            shard_owners,
            stores: replica.known_stores(),
        }
    }

    /// Makes the connected registries the owners of the shards. Each change of the owners gets a higher fencing token
    /// (a higher sequence within the same epoch), so that messages of earlier owners are recognized as stale.
    fn assign_shards(&mut self, epoch: Epoch, registries: Vec<Ipv4Addr>) {
        let last = self.shard_owners.fencing_token;
        if registries == self.shard_owners.registries && last.epoch == epoch {
            return;
        }
        let sequence = if last.epoch == epoch { last.sequence + 1 } else { 0 };
        self.shard_owners = ShardOwners { fencing_token: Revision { epoch, sequence }, registries };
    }
}
