//! Who is there: heartbeats between stores, and who is well.

use super::{Effect, Millis, Peer, Register, Role};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Envelope, Heartbeat, Member, PeerMessage};

const BEAT_EVERY: Millis = 150;
/// Silence after which a store is not well.
pub(super) const SUSPECT: Millis = 700;
/// Silence after which a voter's place may go to another store.
pub(super) const GONE: Millis = 9_000;

impl Register {
    pub(super) fn envelope(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        if from.ip == self.me.ip {
            return;
        }
        self.known.insert(from.ip);
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.heartbeat(from, heartbeat),
            PeerMessage::Prepare { epoch } => self.prepare(from, epoch),
            PeerMessage::Promise { epoch, record, held } => self.promised(from, epoch, record, held),
            PeerMessage::Refuse { epoch, promised } => self.refused(epoch, promised),
            PeerMessage::Accept { record, held } => self.accept(from, record, held),
            PeerMessage::Installed { epoch } => self.installed(epoch),
            PeerMessage::Accepted { epoch } => self.accepted(from.id, epoch),
            PeerMessage::Write { epoch, held } => self.write(from, epoch, held),
            PeerMessage::Written { epoch, stamp } => self.written(from.id, epoch, stamp),
            PeerMessage::Confirm { epoch, nonce } => self.confirm(from, epoch, nonce),
            PeerMessage::Confirmed { epoch, nonce } => self.confirmed(from.id, epoch, nonce),
        }
    }

    fn heartbeat(&mut self, from: Member, heartbeat: Heartbeat) {
        self.highest = self.highest.max(heartbeat.record.epoch);
        self.known.extend(heartbeat.known.iter().copied().filter(|ip| *ip != self.me.ip));
        let leads = heartbeat.active && heartbeat.record.holders.first() == Some(&from.id);
        // A backup learns from its primary that all holders have what it has.
        if leads
            && heartbeat.record.epoch == self.durable.record.epoch
            && heartbeat.committed == self.durable.held.stamp
        {
            let holder = self.durable.record.holders.contains(&self.me.id);
            if holder && self.committed != heartbeat.committed && self.kept == self.asked {
                self.committed = heartbeat.committed;
                self.out.push(Effect::Publish);
            }
        }
        self.peers.insert(from.ip, Peer { member: from, heartbeat, heard: self.now });
    }

    /// Another store can be reached now: the next heartbeat is due at once.
    pub fn greet(&mut self) {
        self.heartbeat_at = 0;
    }

    /// Sends each known store a heartbeat when one is due.
    pub(super) fn send_heartbeats(&mut self) {
        if self.now < self.heartbeat_at + BEAT_EVERY && self.heartbeat_at != 0 {
            return;
        }
        self.heartbeat_at = self.now;
        let heartbeat = Heartbeat {
            record: self.durable.record.clone(),
            active: self.active(),
            committed: self.committed,
            disk: self.disk,
            fresh: self.durable.fresh,
            known: self.stores(),
        };
        for to in self.known.clone() {
            // Beats tell how things are; nobody takes them for a promise, so they don't wait for the disk.
            self.out.push(Effect::Send { to, message: PeerMessage::Heartbeat(heartbeat.clone()) });
        }
    }

    /// Heard of lately under this very id, with a disk that answers.
    pub(super) fn healthy(&self, id: u64) -> bool {
        let mut peers = self.peers.values();
        peers.any(|peer| peer.member.id == id && peer.heartbeat.disk && self.now < peer.heard + SUSPECT)
    }

    pub(super) fn silent_for(&self, ip: Ipv4Addr) -> Millis {
        self.peers.get(&ip).map_or(self.now - self.settled_at, |peer| self.now - peer.heard)
    }

    /// The primary of the record in force is well, and says that it leads under that record or a newer one.
    pub(super) fn led(&self) -> bool {
        let leads =
            |peer: &&Peer| peer.heartbeat.active && peer.heartbeat.disk && self.now < peer.heard + SUSPECT;
        let newest = self.durable.record.epoch;
        self.peers.values().filter(leads).any(|peer| peer.heartbeat.record.epoch >= newest)
    }

    /// Well stores that have no vote yet.
    pub(super) fn joiners(&self) -> Vec<Member> {
        let voters = &self.durable.record.voters;
        let others = self.peers.values().filter(|peer| !voters.contains(&peer.member));
        others.filter(|peer| self.healthy(peer.member.id)).map(|peer| peer.member.clone()).collect()
    }

    /// The first start: all seeds are there, each with an empty disk.
    pub(super) fn all_fresh(&self) -> Option<Vec<Member>> {
        let mut members = Vec::new();
        for seed in &self.seeds {
            match self.peers.get(seed) {
                _ if *seed == self.me.ip => members.push(self.me.clone()),
                Some(peer) if peer.heartbeat.fresh && self.healthy(peer.member.id) => {
                    members.push(peer.member.clone())
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
