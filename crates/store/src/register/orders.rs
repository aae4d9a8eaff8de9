//! Orders of operators, at the primary: one after the other, each on all holders' disks before it is answered.

use super::{Client, Confirming, Effect, Millis, Pending, Register, Role};
use std::collections::BTreeSet;
use violetyoke_transport::messages::{ControlState, Order, Outcome, PeerMessage, Stamp};

/// A state that a backup has not said to have is sent again after so long.
const AGAIN: Millis = 250;
/// An order waits so long for an epoch to stand; whoever sent it asks elsewhere then.
const ORDER_WAITS: Millis = 1_500;

impl Register {
    pub(super) fn order(&mut self, client: Client, order: Order) {
        if !self.active() && !self.trying() {
            return self.out.push(Effect::Answer { client, outcome: Outcome::Elsewhere });
        }
        self.waiting.push_back((client, order, self.now));
        self.next_order();
    }

    pub(super) fn expire_orders(&mut self) {
        let now = self.now;
        let late = |(.., since): &(Client, Order, Millis)| now > since + ORDER_WAITS;
        let gone: Vec<Client> =
            self.waiting.iter().filter(|one| late(one)).map(|(client, ..)| *client).collect();
        self.waiting.retain(|one| !late(one));
        self.out
            .extend(gone.into_iter().map(|client| Effect::Answer { client, outcome: Outcome::Elsewhere }));
    }

    pub(super) fn next_order(&mut self) {
        while matches!(self.role, Role::Active) && self.pending.is_none() {
            let Some((client, order, _)) = self.waiting.pop_front() else { return };
            let mut held = self.durable.held.clone();
            let news = match order {
                Order::Replace { version, text } => {
                    let newer = version > held.version;
                    if newer {
                        (held.version, held.text) = (version, text);
                    } else {
                        // A configuration held is a configuration acknowledged, whoever leads by now.
                        self.answer(client, Outcome::Acknowledged);
                        continue;
                    }
                    newer
                }
                Order::Evacuate { zone, empty: true } => held.evacuated.insert(zone),
                Order::Evacuate { zone, empty: false } => held.evacuated.remove(&zone),
                Order::Read => {
                    self.ask_whether(client, Outcome::Read(held));
                    continue;
                }
            };
            if news {
                self.put(client, held);
            } else {
                self.ask_whether(client, Outcome::Acknowledged);
            }
        }
    }

    fn put(&mut self, client: Client, mut held: ControlState) {
        held.stamp.seq += 1;
        self.durable.held = held.clone();
        self.keep();
        self.pending =
            Some(Pending { client, number: self.requested, written: BTreeSet::new(), sent: self.now });
        self.send_pending();
    }

    /// Sends what is not on all disks yet to those that have not said so. A backup may write while this disk does: the
    /// answer waits for both.
    fn send_pending(&mut self) {
        let Some(pending) = &mut self.pending else { return };
        pending.sent = self.now;
        let written = pending.written.clone();
        let (epoch, held) = (self.durable.record.epoch, self.durable.held.clone());
        for (id, ip) in self.backups() {
            if !written.contains(&id) {
                self.out
                    .push(Effect::Send { to: ip, message: PeerMessage::Write { epoch, held: held.clone() } });
            }
        }
    }

    /// A message may be lost with its connection, while both ends are well: it is sent again.
    pub(super) fn send_again(&mut self) {
        let now = self.now;
        if self.pending.as_ref().is_some_and(|pending| now > pending.sent + AGAIN) {
            self.send_pending();
        }
        let late = |one: &Confirming| now > one.since + ORDER_WAITS;
        let gone: Vec<Client> =
            self.confirming.values().filter(|one| late(one)).map(|one| one.client).collect();
        self.confirming.retain(|_, one| !late(one));
        self.out
            .extend(gone.into_iter().map(|client| Effect::Answer { client, outcome: Outcome::Elsewhere }));
    }

    pub(super) fn written(&mut self, id: u64, epoch: u64, stamp: Stamp) {
        let now = self.durable.held.stamp;
        if epoch != self.durable.record.epoch || stamp != now || !self.active() {
            return;
        }
        if let Some(pending) = &mut self.pending {
            pending.written.insert(id);
            self.maybe_committed();
        }
    }

    fn maybe_committed(&mut self) {
        let Some(pending) = &self.pending else { return };
        if self.durable.record.holders.iter().all(|id| pending.written.contains(id)) {
            let client = pending.client;
            self.pending = None;
            self.committed = self.durable.held.stamp;
            self.answer(client, Outcome::Acknowledged);
            self.gated.push_back((self.requested, Effect::Publish));
            self.send_snapshots();
            self.next_order();
        }
    }

    /// An answer that tells how things are is true only while no other store leads: the backups say whether.
    fn ask_whether(&mut self, client: Client, outcome: Outcome) {
        self.nonce += 1;
        let nonce = self.nonce;
        let confirmed = BTreeSet::from([self.me.id]);
        self.confirming.insert(nonce, Confirming { client, outcome, confirmed, since: self.now });
        let epoch = self.durable.record.epoch;
        for (_, ip) in self.backups() {
            self.send(ip, PeerMessage::Confirm { epoch, nonce });
        }
        self.confirmed(self.me.id, epoch, nonce);
    }

    pub(super) fn confirmed(&mut self, id: u64, epoch: u64, nonce: u64) {
        if epoch != self.durable.record.epoch || !self.active() {
            return;
        }
        let Some(one) = self.confirming.get_mut(&nonce) else { return };
        one.confirmed.insert(id);
        let confirmed = &one.confirmed;
        if self.durable.record.holders.iter().all(|id| confirmed.contains(id)) {
            if let Some(one) = self.confirming.remove(&nonce) {
                self.answer(one.client, one.outcome);
            }
        }
    }
}
