//! Stores in virtual time, seeded: links with delays and cuts, disks that stall, tear and vanish, processes that are
//! killed, frozen and come back. Its rules are taken from what clients were answered, never from a store's own belief.

#![allow(
    clippy::redundant_closure_for_method_calls,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]
#![allow(dead_code, unreachable_pub, reason = "each file of tests uses its own part")]

mod clients;
pub mod events;
pub mod history;
pub mod linearizability;
mod machines;
pub mod network;
pub mod operators;
pub mod random;

use clients::Asked;
use events::{Restore, Schedule, Scheduled};
use history::History;
use machines::{address, Machine};
use network::Network;
use random::Random;
use std::collections::BTreeMap;
use violetyoke_store::consensus::{ClientId, Effect, Event, Replica};
use violetyoke_transport::messages::{Command, Envelope, Outcome, ReplicaConfig};

pub type Millis = u64;

/// After a SIGTERM the daemon waits so long for others to take over, and then ends.
const LEAVE_TIMEOUT: Millis = 4_500;

pub struct Cluster {
    pub now: Millis,
    pub random: Random,
    pub machines: Vec<Machine>,
    pub network: Network,
    schedule: Schedule,
    clients: u64,
    asked: BTreeMap<u64, Asked>,
    pub history: History,
    /// Answers that clients have got and nobody has taken yet.
    pub answers: BTreeMap<u64, Outcome>,
    /// Of all answers to clients, so many in a hundred are lost.
    pub answers_lost: u64,
    /// Operators that are due, for whoever plays them.
    pub due_operators: Vec<usize>,
    /// The newest configuration that was acknowledged to anybody, and what was sent under each number.
    pub acked: u64,
    pub sent: BTreeMap<u64, Vec<String>>,
    pub acks: u64,
    /// When a change was acknowledged last.
    pub acknowledged_at: Option<Millis>,
    pub reads: u64,
    /// Rules that were broken, in the order in which that was seen.
    pub broken: Vec<String>,
    /// The newest replica set that any store has asked its disk to keep.
    pub newest_config: ReplicaConfig,
    tolerance: u32,
    /// Disks say that they have synced what they have not: the negative control.
    pub lying_disks: bool,
}

impl Cluster {
    pub fn new(seed: u64, machines: usize, tolerance: u32) -> Cluster {
        let mut cluster = Cluster {
            now: 1,
            random: Random(seed),
            machines: Vec::new(),
            network: Network::default(),
            schedule: Schedule::default(),
            clients: 0,
            asked: BTreeMap::new(),
            history: History::default(),
            answers: BTreeMap::new(),
            answers_lost: 0,
            due_operators: Vec::new(),
            acked: 0,
            sent: BTreeMap::new(),
            acks: 0,
            acknowledged_at: None,
            reads: 0,
            broken: Vec::new(),
            newest_config: ReplicaConfig::default(),
            tolerance,
            lying_disks: false,
        };
        let seeds: Vec<_> = (0..machines.min(3)).map(address).collect();
        for n in 0..machines {
            cluster.machines.push(Machine::new(n, seeds.clone()));
        }
        for n in 0..machines {
            cluster.start(n, true);
            cluster.at(1 + n as u64, Scheduled::Tick { to: n });
        }
        cluster
    }

    pub fn at(&mut self, when: Millis, scheduled: Scheduled) {
        self.schedule.add(when, scheduled);
    }

    /// A client gives a store an order; the client's number.
    pub fn order(&mut self, n: usize, order: Command) -> u64 {
        self.clients += 1;
        let client = self.clients;
        if let Command::Replace { version, text } = &order {
            let texts = self.sent.entry(*version).or_default();
            if !texts.contains(text) {
                texts.push(text.clone());
            }
        }
        self.history.invoked(client, &order);
        self.asked.insert(client, Asked { order: order.clone(), acked: self.acked, at: self.now });
        self.event(n, Event::Command { client: ClientId(client), command: order });
        client
    }

    pub fn run(&mut self, until: Millis) {
        while let Some((when, scheduled)) = self.schedule.next(until) {
            self.now = when;
            self.happens(scheduled);
        }
        self.now = until;
    }

    fn happens(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Deliver { to, envelope } => self.event(to, Event::Message(*envelope)),
            Scheduled::Tick { to } => self.tick(to),
            Scheduled::Lied { to, life, number } => {
                if self.machines[to].life == life {
                    self.event(to, Event::Persisted(number));
                }
            }
            Scheduled::Synced { to, life, number } => {
                let machine = &mut self.machines[to];
                if machine.life != life || machine.replica.is_none() {
                    return;
                }
                if self.now < machine.stalled_until {
                    let again = machine.stalled_until + 1;
                    return self.at(again, Scheduled::Synced { to, life, number });
                }
                if machine.synced(number) {
                    self.event(to, Event::Persisted(number));
                    self.begin_write(to);
                }
            }
            Scheduled::Operator { number } => self.due_operators.push(number),
            Scheduled::CutOff { machine } => {
                self.cut_from(machine);
                self.cut_to(machine);
            }
            Scheduled::Restore { to, what } => self.restore(to, what),
        }
    }

    fn tick(&mut self, n: usize) {
        let now = self.now;
        let disk_healthy = self.machines[n].disk_answers(now);
        self.event(n, Event::Tick { disk_healthy });
        let machine = &self.machines[n];
        let may_end = machine.replica.as_ref().is_none_or(Replica::is_handover_complete);
        if now >= machine.frozen_until
            && machine.leaves.is_some_and(|since| now > since + LEAVE_TIMEOUT || may_end)
        {
            self.kill(n, false);
            self.machines[n].removed = true;
        }
        let step = 45 + self.random.below(10);
        self.at(now + step, Scheduled::Tick { to: n });
    }

    fn restore(&mut self, n: usize, what: Restore) {
        match what {
            Restore::Process => self.restart(n),
            Restore::Links => self.network.restore(n),
            Restore::LinkSpeed => self.network.restore_speed(n),
            Restore::DiskSpeed => self.machines[n].disk_slowness = 1,
            Restore::Freeze => {}
            Restore::Messages => self.network.loss = None,
            Restore::Answers => self.answers_lost = 0,
        }
    }

    pub(super) fn event(&mut self, n: usize, event: Event) {
        let now = self.now;
        let machine = &mut self.machines[n];
        if machine.replica.is_none() {
            return;
        }
        if now < machine.frozen_until {
            if !matches!(event, Event::Tick { .. }) {
                machine.late.push(event);
            }
            return;
        }
        let mut events = std::mem::take(&mut machine.late);
        events.push(event);
        for event in events {
            let Some(replica) = &mut self.machines[n].replica else { return };
            for effect in replica.handle(now, event) {
                self.effect(n, effect);
            }
        }
    }

    fn effect(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let Some(to) = self.machines.iter().position(|machine| machine.ip == to) else { return };
                let Some(replica) = &self.machines[n].replica else { return };
                if !self.up(to) {
                    return;
                }
                let envelope = Envelope { from: replica.node().clone(), message };
                let arrival = self.network.arrival(self.now, n, to, &envelope, &mut self.random);
                if let Some(when) = arrival {
                    self.at(when, Scheduled::Deliver { to, envelope: Box::new(envelope) });
                }
            }
            Effect::Persist { number, state } => self.keep(n, number, state),
            Effect::Reply { client, outcome } => self.answered(client.0, outcome),
            Effect::NotifyWatchers => {
                let committed = self.machines[n].replica.as_ref().and_then(Replica::committed_state).cloned();
                if let Some(held) = committed.filter(|held| held.version > 0) {
                    self.known(&held, "told");
                }
            }
        }
    }
}
