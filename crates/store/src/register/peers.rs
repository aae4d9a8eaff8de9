//! Heartbeats between stores: who can be reached, who leads, and which replica set is the newest.

use super::{Effect, Millis, Peer, Promised, Register, Role};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Envelope, Heartbeat, PeerMessage, ReplicaConfig, StoreNode};

const HEARTBEAT_INTERVAL: Millis = 150;
/// Silence after which a store is suspected to be down.
pub(super) const SUSPECT: Millis = 700;

impl Register {
    pub(super) fn envelope(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        if from.ip == self.me.ip {
            return;
        }
        self.known.insert(from.ip);
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat(from, heartbeat),
            PeerMessage::Prepare { epoch, newest: has } => self.prepare(from, epoch, has),
            PeerMessage::Promise { epoch, config, revision, state } => {
                self.promised(epoch, Promised { from, config, revision, state });
            }
            PeerMessage::Refuse { epoch, promised } => self.refused(epoch, promised),
            PeerMessage::Accept { config, state } => self.accept(from, config, state),
            PeerMessage::Snapshot { epoch, state } => self.snapshot(epoch, state),
            PeerMessage::Accepted { epoch } => self.accepted(from.id, epoch),
            PeerMessage::Write { epoch, state: held } => self.write(from, epoch, held),
            PeerMessage::Written { epoch, revision } => self.written(from.id, epoch, revision),
            PeerMessage::Confirm { epoch, nonce } => self.confirm(from, epoch, nonce),
            PeerMessage::Confirmed { epoch, nonce } => self.confirmed(from.id, epoch, nonce),
        }
    }

    fn heartbeat(&mut self, from: StoreNode, heartbeat: Heartbeat) {
        self.highest = self.highest.max(heartbeat.config.epoch);
        self.known.extend(heartbeat.known_stores.iter().copied().filter(|ip| *ip != self.me.ip));
        let leads = heartbeat.is_leader && heartbeat.config.data_replicas.first() == Some(&from.id);
        if leads {
            self.learn_record(&heartbeat.config);
        }
        // A backup learns from its primary that all data_replicas have what it has.
        if leads
            && heartbeat.config.epoch == self.durable.config.epoch
            && heartbeat.committed == self.durable.held.revision
        {
            let holder = self.durable.config.data_replicas.contains(&self.me.id);
            if holder && self.committed != heartbeat.committed && self.persisted == self.requested {
                self.committed = heartbeat.committed;
                self.out.push(Effect::Publish);
            }
        }
        self.peers.insert(from.ip, Peer { node: from, heartbeat, heard: self.now });
    }

    /// Another store can be reached now: the next heartbeat is due at once.
    pub fn greet(&mut self) {
        self.heartbeat_at = 0;
    }

    /// Sends each known store a heartbeat when one is due.
    pub(super) fn send_heartbeats(&mut self) {
        if self.now < self.heartbeat_at + HEARTBEAT_INTERVAL && self.heartbeat_at != 0 {
            return;
        }
        self.heartbeat_at = self.now;
        let heartbeat = Heartbeat {
            config: self.durable.config.clone(),
            is_leader: self.active(),
            committed: self.committed,
            persisted: self.persisted_state,
            disk_healthy: self.disk,
            is_leaving: self.leaving,
            is_bootstrapping: self.durable.fresh,
            known_stores: self.stores(),
        };
        for to in self.known.clone() {
            // No decision rests on a replica set that isn't installed here: heartbeats don't wait for the disk.
            self.out.push(Effect::Send { to, message: PeerMessage::Heartbeat(heartbeat.clone()) });
        }
    }

    /// Heard of lately under this very id, with a disk that answers: it can promise and accept.
    pub(super) fn reachable(&self, id: u64) -> bool {
        self.peers.values().any(|peer| peer.node.id == id && self.hears(peer))
    }

    /// Reachable, and it stays: it may become a holder.
    pub(super) fn eligible(&self, id: u64) -> bool {
        let of_id = |peer: &&Peer| peer.node.id == id && !peer.heartbeat.is_leaving;
        self.peers.values().filter(of_id).any(|peer| self.hears(peer))
    }

    pub(super) fn hears(&self, peer: &Peer) -> bool {
        peer.heartbeat.disk_healthy && self.now < peer.heard + SUSPECT
    }

    pub(super) fn silent_for(&self, ip: Ipv4Addr) -> Millis {
        self.peers.get(&ip).map_or(self.now - self.settled_at, |peer| self.now - peer.heard)
    }

    /// The newest replica set that this store or one that it hears of has accepted.
    pub(super) fn newest_record(&self) -> &ReplicaConfig {
        let heard = self.peers.values().filter(|peer| self.hears(peer)).map(|peer| &peer.heartbeat.config);
        let newest = heard.max_by_key(|config| config.epoch);
        newest.filter(|config| config.epoch > self.durable.config.epoch).unwrap_or(&self.durable.config)
    }

    /// The replica set of a primary that can be reached and stays, where none newer is accepted here.
    pub(super) fn leading_record(&self) -> Option<&ReplicaConfig> {
        let newest = self.durable.config.epoch;
        let leads = |peer: &&Peer| {
            peer.heartbeat.is_leader
                && !peer.heartbeat.is_leaving
                && peer.heartbeat.config.epoch >= newest
                && self.hears(peer)
        };
        self.peers.values().find(leads).map(|peer| &peer.heartbeat.config)
    }

    /// Another store is primary of the newest replica set.
    pub(super) fn led(&self) -> bool {
        self.leading_record().is_some()
    }

    /// The first start: all seeds are there, each with an empty disk.
    pub(super) fn all_fresh(&self) -> Option<Vec<StoreNode>> {
        let mut members = Vec::new();
        for seed in &self.seeds {
            match self.peers.get(seed) {
                _ if *seed == self.me.ip => members.push(self.me.clone()),
                Some(peer) if peer.heartbeat.is_bootstrapping && self.reachable(peer.node.id) => {
                    members.push(peer.node.clone())
                }
                _ => return None,
            }
        }
        members.contains(&self.me).then_some(members)
    }

    pub(super) fn trying(&self) -> bool {
        matches!(self.role, Role::Asking { .. } | Role::Offering { .. })
    }
}
