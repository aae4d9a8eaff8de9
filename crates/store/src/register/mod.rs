//! One register of control state, held by a primary and its backups. Witnesses keep only epochs, and with them decide
//! who takes over. There is no log: a state is small, and is handed on whole.
//!
//! - A *record* says who votes, who holds (the primary first) and under which epoch.
//! - A new epoch stands once a majority of the voters of the record before it and of its own have accepted it, and all
//!   its holders have the state on their disks. Holders are more than half of the voters, so that any majority has one.
//! - Who promises an epoch takes nothing of a lower one any more; receivers check, whatever the sender believes.
//! - An order is acknowledged when all holders have it on their disks.
//! - A voter is a disk, not a machine: one that comes back empty is another voter, which the primary has to take in.

mod model;
mod orders;
mod peers;
mod quorum;
mod takeover;
mod voter;

pub use model::{Client, Durable, Effect, Event, Millis, Start};

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{
    ControlState, Heartbeat, Member, Order, Outcome, PeerMessage, Record, Stamp,
};

#[derive(Clone, Debug)]
struct Peer {
    member: Member,
    heartbeat: Heartbeat,
    heard: Millis,
}

/// What this store is about.
#[derive(Clone, Debug)]
enum Role {
    /// Follows whoever is primary.
    Follower,
    /// Asks for promises.
    Asking { epoch: u64, since: Millis, promises: BTreeMap<u64, (Member, Record, ControlState)> },
    /// Has them, and offers its record.
    Offering { record: Record, number: u64, since: Millis, accepted: BTreeSet<u64> },
    /// Primary, and its epoch stands.
    Active,
}

#[derive(Clone, Debug)]
struct Pending {
    client: Client,
    /// What is asked to be kept of it here.
    number: u64,
    written: BTreeSet<u64>,
    /// When it was last sent to the backups.
    sent: Millis,
}

#[derive(Clone, Debug)]
struct Confirming {
    client: Client,
    outcome: Outcome,
    confirmed: BTreeSet<u64>,
    since: Millis,
}

#[derive(Clone, Debug)]
pub struct Register {
    me: Member,
    seeds: Vec<Ipv4Addr>,
    tolerance: u32,
    now: Millis,
    durable: Durable,
    /// Numbers of what was asked to be kept, and of what is.
    asked: u64,
    kept: u64,
    /// What may go out once so much is kept.
    gated: VecDeque<(u64, Effect)>,
    out: Vec<Effect>,
    disk: bool,
    peers: BTreeMap<Ipv4Addr, Peer>,
    known: BTreeSet<Ipv4Addr>,
    role: Role,
    committed: Stamp,
    /// The highest epoch heard of.
    highest: u64,
    waiting: VecDeque<(Client, Order, Millis)>,
    pending: Option<Pending>,
    confirming: BTreeMap<u64, Confirming>,
    nonce: u64,
    /// Since when the primary has not been well, and until when not to ask.
    unled: Option<Millis>,
    rest_until: Millis,
    heartbeat_at: Millis,
    settled_at: Millis,
}

impl Register {
    /// `drawn` names this disk where it is empty.
    pub fn new(start: Start, now: Millis, drawn: u64, bootstrap: bool) -> Register {
        let mut durable = start.kept;
        let empty = durable.id == 0;
        if empty {
            durable.id = drawn.max(1);
            durable.fresh = bootstrap;
        }
        let me = Member { id: durable.id, ip: start.ip, zone: start.zone };
        let known = start.seeds.iter().copied().filter(|ip| *ip != me.ip).collect();
        let mut register = Register {
            me,
            seeds: start.seeds,
            tolerance: start.tolerance,
            now,
            highest: durable.promised,
            durable,
            asked: 0,
            kept: 0,
            gated: VecDeque::new(),
            out: Vec::new(),
            disk: true,
            peers: BTreeMap::new(),
            known,
            role: Role::Follower,
            committed: Stamp::default(),
            waiting: VecDeque::new(),
            pending: None,
            confirming: BTreeMap::new(),
            nonce: 0,
            unled: None,
            rest_until: 0,
            heartbeat_at: 0,
            settled_at: now,
        };
        if empty {
            register.keep();
        }
        register
    }

    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Envelope(envelope) => self.envelope(envelope),
            Event::Kept(number) => {
                self.kept = self.kept.max(number);
                self.own_kept();
            }
            Event::Tick { disk } => {
                self.disk = disk;
                self.tick();
            }
            Event::Order { client, order } => self.order(client, order),
        }
        while self.gated.front().is_some_and(|(number, _)| *number <= self.kept) {
            self.out.extend(self.gated.pop_front().map(|(_, effect)| effect));
        }
        std::mem::take(&mut self.out)
    }

    /// The state that all holders have, as far as this store knows.
    pub fn committed(&self) -> Option<&ControlState> {
        (self.committed == self.durable.held.stamp && self.committed.epoch > 0).then_some(&self.durable.held)
    }

    /// Machines whose stores are asked first, as the settings have them by now.
    pub fn seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.known.extend(seeds.into_iter().filter(|ip| *ip != self.me.ip));
    }

    pub fn member(&self) -> &Member {
        &self.me
    }

    /// Another store leads.
    pub fn follows(&self) -> bool {
        matches!(self.role, Role::Follower) && self.led()
    }

    pub fn epoch(&self) -> u64 {
        self.durable.record.epoch
    }

    pub fn active(&self) -> bool {
        matches!(self.role, Role::Active)
    }

    /// All stores that this one knows of, itself among them.
    pub fn stores(&self) -> Vec<Ipv4Addr> {
        self.known.iter().copied().chain([self.me.ip]).collect()
    }

    /// What this store's own disk has counts as another's does.
    fn own_kept(&mut self) {
        let (id, kept) = (self.me.id, self.kept);
        if let Role::Offering { record, number, .. } = &self.role {
            let epoch = record.epoch;
            if *number <= kept {
                self.accepted(id, epoch);
            }
        }
        if self.pending.as_ref().is_some_and(|pending| pending.number <= kept) {
            self.written(id, self.durable.record.epoch, self.durable.held.stamp);
        }
    }

    /// Asks for the state to be kept; what is sent from now on waits for it.
    fn keep(&mut self) {
        self.asked += 1;
        self.out.push(Effect::Keep { number: self.asked, state: self.durable.clone() });
    }

    /// Sends once all that it may rest on is on the disk.
    fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.gated.push_back((self.asked, Effect::Send { to, message }));
    }

    fn answer(&mut self, client: Client, outcome: Outcome) {
        self.gated.push_back((self.asked, Effect::Answer { client, outcome }));
    }

    fn voter(&self, id: u64) -> bool {
        self.durable.record.voters.iter().any(|voter| voter.id == id)
    }

    fn ip_of(&self, id: u64) -> Option<Ipv4Addr> {
        let voters = self.durable.record.voters.iter();
        voters.clone().find(|voter| voter.id == id).map(|voter| voter.ip)
    }

    /// Backups of the record in force.
    fn backups(&self) -> Vec<(u64, Ipv4Addr)> {
        let others = self.durable.record.holders.iter().filter(|id| **id != self.me.id);
        others.filter_map(|id| Some((*id, self.ip_of(*id)?))).collect()
    }

    fn others(&self) -> Vec<(u64, Ipv4Addr)> {
        let voters = self.durable.record.voters.iter();
        voters.filter(|voter| voter.id != self.me.id).map(|voter| (voter.id, voter.ip)).collect()
    }

    /// Gives up being primary, or trying to be.
    fn step_down(&mut self) {
        self.role = Role::Follower;
        self.unled = Some(self.now);
        let clients = self.pending.take().map(|pending| pending.client).into_iter();
        let confirming = std::mem::take(&mut self.confirming).into_values().map(|one| one.client);
        let waiting = std::mem::take(&mut self.waiting).into_iter().map(|(client, ..)| client);
        let told: Vec<Client> = clients.chain(confirming).chain(waiting).collect();
        // Nothing that this answer says rests on the disk.
        self.out
            .extend(told.into_iter().map(|client| Effect::Answer { client, outcome: Outcome::Elsewhere }));
        self.out.push(Effect::Publish);
    }
}
