//! What registries are sent without asking: the status of this store, and the newest committed state.

use super::connections::{AcceptedConnections, WatcherLink};
use super::encoder::Encoder;
use crate::consensus::Replica;
use std::net::Ipv4Addr;
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{Epoch, Revision, ShardOwners, StoreReply};

/// Sends updates to watchers, and appoints the registries that own the quota shards while this store leads.
#[derive(Default)]
pub(super) struct Publisher {
    shard_owners: ShardOwners,
}

impl Publisher {
    /// Sends each watcher the status of this store where it has changed, and the committed state where it has an older
    /// one.
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
            if let Some(state) = replica.committed_state().filter(|state| state.revision > watcher.known) {
                watcher.known = state.revision;
                sender.send(encoder.encode_state(state));
            }
        }
    }

    fn status(&mut self, replica: &Replica, connections: &AcceptedConnections) -> StoreReply {
        let shard_owners = if replica.is_leader() {
            self.appoint(replica.epoch(), connections.registries());
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

    /// Appoints the connected registries. Each change of them gets a higher fencing token, within an epoch by its
    /// sequence, so that what earlier owners send is recognized as stale.
    fn appoint(&mut self, epoch: Epoch, registries: Vec<Ipv4Addr>) {
        let last = self.shard_owners.fencing_token;
        if registries == self.shard_owners.registries && last.epoch == epoch {
            return;
        }
        let sequence = if last.epoch == epoch { last.sequence + 1 } else { 0 };
        self.shard_owners = ShardOwners { fencing_token: Revision { epoch, sequence }, registries };
    }
}
