//! One register of control state, held by a primary and its backups. Witnesses keep only epochs, and with them decide
//! who takes over. There is no log: a state is small, and is handed on whole.
//!
//! - A *replica set* says who votes, who holds (the primary first) and under which epoch.
//! - A replica set is installed once a majority of the voters of the replica set before it and of its own have accepted it, and
//!   all its data_replicas have the state on their disks. Holders are more than half of the voters, so that any majority has
//!   one.
//! - Who promises an epoch takes nothing of a lower one any more; receivers check, whatever the sender believes.
//! - An order is acknowledged when all data_replicas have it on their disks.
//! - A voter is a disk, not a machine: one that comes back empty is a learner, which the primary makes a voter.

mod membership;
mod model;
mod orders;
mod peers;
mod quorum;
mod status;
mod takeover;
mod voter;

#[doc(hidden)]
pub use model::Guards;
pub use model::{Client, Durable, Effect, Event, Millis, Start};

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use takeover::Promised;
use violetyoke_transport::messages::{
    Command, Heartbeat, Outcome, PeerMessage, ReplicaConfig, Revision, StoreNode,
};

#[derive(Clone, Debug)]
struct Peer {
    node: StoreNode,
    heartbeat: Heartbeat,
    heard: Millis,
}

/// What this store is about.
#[derive(Clone, Debug)]
enum Role {
    /// Follows whoever is primary.
    Follower,
    /// Asks for promises.
    Asking {
        epoch: u64,
        since: Millis,
        /// The voters that a primary wants; none where one takes over.
        voters: Option<Vec<StoreNode>>,
        promises: BTreeMap<u64, Promised>,
    },
    /// Has them, and offers its replica set.
    Offering { config: ReplicaConfig, number: u64, since: Millis, accepted: BTreeSet<u64> },
    /// Primary, and its epoch stands.
    Active,
}

#[derive(Clone, Debug)]
struct Pending {
    answers: orders::Answers,
    /// What is asked to be kept of it here.
    number: u64,
    written: BTreeSet<u64>,
    /// When it was last sent to the backups.
    sent: Millis,
}

#[derive(Clone, Debug)]
struct Confirming {
    answers: orders::Answers,
    confirmed: BTreeSet<u64>,
    since: Millis,
}

#[derive(Clone, Debug)]
pub struct Register {
    me: StoreNode,
    seeds: Vec<Ipv4Addr>,
    tolerance: u32,
    now: Millis,
    durable: Durable,
    /// Numbers of the last write that the disk was asked for, and of the last that it has done.
    requested: u64,
    persisted: u64,
    /// The revision of the newest state that is on the disk.
    persisted_state: Revision,
    /// What may go out once so much is on the disk.
    gated: VecDeque<(u64, Effect)>,
    out: Vec<Effect>,
    disk: bool,
    peers: BTreeMap<Ipv4Addr, Peer>,
    known: BTreeSet<Ipv4Addr>,
    /// The process is to end.
    leaving: bool,
    /// What was last sent to each learner, and when.
    snapshots: BTreeMap<u64, (Revision, Millis)>,
    role: Role,
    committed: Revision,
    /// The highest epoch heard of.
    highest: u64,
    waiting: VecDeque<(Client, Command, Millis)>,
    pending: Option<Pending>,
    confirming: BTreeMap<u64, Confirming>,
    nonce: u64,
    /// Whether registries were last told that this store leads in contact with its backups.
    published_contact: bool,
    /// Since when the primary has not been well, and until when not to ask.
    unled: Option<Millis>,
    rest_until: Millis,
    heartbeat_at: Millis,
    settled_at: Millis,
    guards: Guards,
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
        let me = StoreNode { id: durable.id, ip: start.ip, zone: start.zone };
        // The seeds may be gone, or be cut off, when all stores begin anew: those that voted are known from the disk.
        let voters = durable.config.previous_voters.iter().flatten().chain(&durable.config.voters);
        let addresses = start.seeds.iter().copied().chain(voters.map(|voter| voter.ip));
        let known = addresses.filter(|ip| *ip != me.ip).collect();
        let mut register = Register {
            me,
            seeds: start.seeds,
            tolerance: start.tolerance,
            now,
            highest: durable.promised,
            persisted_state: durable.held.revision,
            durable,
            requested: 0,
            persisted: 0,
            gated: VecDeque::new(),
            out: Vec::new(),
            disk: true,
            peers: BTreeMap::new(),
            known,
            leaving: false,
            snapshots: BTreeMap::new(),
            role: Role::Follower,
            committed: Revision::default(),
            waiting: VecDeque::new(),
            pending: None,
            confirming: BTreeMap::new(),
            nonce: 0,
            published_contact: false,
            unled: None,
            rest_until: 0,
            heartbeat_at: 0,
            settled_at: now,
            guards: Guards::default(),
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
                self.persisted = self.persisted.max(number);
                self.own_persisted();
            }
            Event::Tick { disk } => {
                self.disk = disk;
                self.tick();
            }
            Event::Command { client, order } => self.order(client, order),
            Event::Leave => {
                self.leaving = true;
                self.greet();
                self.send_heartbeats();
            }
        }
        while self.gated.front().is_some_and(|(number, _)| *number <= self.persisted) {
            self.out.extend(self.gated.pop_front().map(|(_, effect)| effect));
        }
        std::mem::take(&mut self.out)
    }

    /// What this store's own disk has counts as another's does.
    fn own_persisted(&mut self) {
        let (id, kept) = (self.me.id, self.persisted);
        if self.persisted == self.requested {
            self.persisted_state = self.durable.held.revision;
        }
        if let Role::Offering { config, number, .. } = &self.role {
            let epoch = config.epoch;
            if *number <= kept {
                self.accepted(id, epoch);
            }
        }
        if self.pending.as_ref().is_some_and(|pending| pending.number <= kept) {
            self.written(id, self.durable.config.epoch, self.durable.held.revision);
        }
    }

    /// Asks for the state to be kept; what is sent from now on waits for it.
    fn keep(&mut self) {
        self.requested += 1;
        self.out.push(Effect::Keep { number: self.requested, state: self.durable.clone() });
    }

    /// Sends once all that it may rest on is on the disk.
    fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.gated.push_back((self.requested, Effect::Send { to, message }));
    }

    fn answer(&mut self, client: Client, outcome: Outcome) {
        self.gated.push_back((self.requested, Effect::Answer { client, outcome }));
    }

    fn ip_of(&self, id: u64) -> Option<Ipv4Addr> {
        let voters = self.durable.config.voters.iter();
        voters.clone().find(|voter| voter.id == id).map(|voter| voter.ip)
    }

    /// Backups of the replica set in force.
    fn backups(&self) -> Vec<(u64, Ipv4Addr)> {
        let others = self.durable.config.data_replicas.iter().filter(|id| **id != self.me.id);
        others.filter_map(|id| Some((*id, self.ip_of(*id)?))).collect()
    }

    /// Gives up being primary, or trying to be.
    fn step_down(&mut self) {
        self.role = Role::Follower;
        self.unled = Some(self.now);
        let clients = self.take_clients();
        self.turn_away(clients);
        self.out.push(Effect::Publish);
    }
}
