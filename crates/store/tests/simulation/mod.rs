//! A deterministic simulation of stores in virtual time, driven by a seed: links with delays and partitions, disks
//! that stall, tear writes and are lost, and processes that are killed, frozen and restarted. Invariants are checked
//! against the answers that clients received, never against the state of a store.

#![allow(dead_code, unreachable_pub, reason = "each file of tests uses its own part")]

pub mod claims;
mod clients;
mod disk;
pub mod events;
pub mod history;
pub mod linearizability;
mod machine;
pub mod network;
mod operation_log;
pub mod operations;
pub mod operators;
pub mod random;
mod register_model;

use clients::{OpenCommand, Reply};
use events::{Due, EventQueue, Fault, Scheduled};
use history::History;
use machine::Machine;
use network::{Link, Network};
use operations::Operations;
use random::Random;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use violetyoke_store::consensus::{ClientId, Effect, Event, Replica};
use violetyoke_transport::messages::{Envelope, PeerMessage, ReplicaConfig};

pub type Millis = u64;

/// How long the daemon waits after SIGTERM for others to take over before it exits.
const HANDOVER_TIMEOUT: Millis = 4_500;
/// The shortest interval between two ticks of a store, and the random time that is added.
const MIN_TICK_INTERVAL: Millis = 45;
const TICK_JITTER: Millis = 10;

/// Machines that run one store each, and their clients.
pub struct Cluster {
    pub now: Millis,
    pub random: Random,
    pub machines: Vec<Machine>,
    pub network: Network,
    queue: EventQueue,
    fault_tolerance: u32,
    last_client: ClientId,
    open_commands: BTreeMap<ClientId, OpenCommand>,
    pub history: History,
    /// Replies that clients have received and that the test has not taken out.
    pub replies: BTreeMap<ClientId, Reply>,
    /// Percentage of replies to clients that are lost.
    pub reply_loss_percent: u64,
    /// Operators whose scheduled turn has come; the runner of the schedule takes them out.
    pub due_operators: Vec<usize>,
    /// The newest version that was acknowledged to any client.
    pub acknowledged_version: u64,
    pub acknowledged_count: u64,
    pub last_acknowledged_at: Option<Millis>,
    pub read_count: u64,
    /// The texts that were sent under each version.
    sent_texts: BTreeMap<u64, Vec<String>>,
    /// Violated invariants, in the order of detection.
    pub violations: Vec<String>,
    /// The newest replica set that any store has asked its disk to persist.
    pub newest_config: ReplicaConfig,
    /// The duration of each sync, instead of a random one.
    pub fixed_sync_time: Option<Millis>,
    /// Disks report writes as synced that they have dropped (negative control).
    pub disks_skip_syncs: bool,
    /// Present if the stores replicate operations.
    pub operations: Option<Operations>,
}

impl Cluster {
    pub fn new(seed: u64, machines: usize, fault_tolerance: u32) -> Cluster {
        Cluster::start_new(seed, machines, fault_tolerance, None)
    }

    fn start_new(
        seed: u64,
        machines: usize,
        fault_tolerance: u32,
        operations: Option<Operations>,
    ) -> Cluster {
        let mut cluster = Cluster {
            now: 1,
            random: Random(seed),
            machines: Vec::new(),
            network: Network::new(),
            queue: EventQueue::default(),
            fault_tolerance,
            last_client: ClientId::default(),
            open_commands: BTreeMap::new(),
            history: History::default(),
            replies: BTreeMap::new(),
            reply_loss_percent: 0,
            due_operators: Vec::new(),
            acknowledged_version: 0,
            acknowledged_count: 0,
            last_acknowledged_at: None,
            read_count: 0,
            sent_texts: BTreeMap::new(),
            violations: Vec::new(),
            newest_config: ReplicaConfig::default(),
            fixed_sync_time: None,
            disks_skip_syncs: false,
            operations,
        };
        cluster.start_all(machines);
        cluster
    }

    /// Three stores with an installed replica set, without link delays and with syncs of 1 ms.
    pub fn without_delays() -> Cluster {
        let mut cluster = Cluster::new(0, 3, 1);
        cluster.network = Network::without_delay();
        cluster.fixed_sync_time = Some(1);
        cluster.run_for(3_000);
        cluster
    }

    pub fn schedule(&mut self, at: Millis, scheduled: Scheduled) {
        self.queue.push(at, scheduled);
    }

    pub fn run_for(&mut self, span: Millis) {
        self.run_until(self.now + span);
    }

    pub fn run_until(&mut self, until: Millis) {
        while let Some(Due { at, scheduled }) = self.queue.pop_due(until) {
            self.now = at;
            self.on_scheduled(scheduled);
        }
        self.now = until;
    }

    fn on_scheduled(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::Deliver { to, envelope } => self.handle(to, Event::Message(*envelope)),
            Scheduled::DeliverOperation { to, from, message } => {
                let event = violetyoke_store::operations::Event::Message { from: *from, message: *message };
                self.handle_operations(to, event);
            }
            Scheduled::Appended { to, incarnation, number } => self.on_log_synced(to, incarnation, number),
            Scheduled::Tick { to } => self.on_tick(to),
            Scheduled::Synced { to, incarnation, number } => self.on_synced(to, incarnation, number),
            Scheduled::SyncSkipped { to, incarnation, number } => {
                self.on_sync_skipped(to, incarnation, number);
            }
            Scheduled::OperatorTurn { operator } => self.due_operators.push(operator),
            Scheduled::DropConnections { machine } => self.isolate(machine),
            Scheduled::EndFault { to, fault } => self.end_fault(to, fault),
        }
    }

    fn on_tick(&mut self, n: usize) {
        let now = self.now;
        let disk_healthy = self.machines[n].disk.is_healthy(now);
        self.update_consensus(n);
        self.handle(n, Event::Tick { disk_healthy });
        self.handle_operations(n, violetyoke_store::operations::Event::Tick);
        let machine = &self.machines[n];
        let is_handover_complete = machine.replica.as_ref().is_none_or(Replica::is_handover_complete);
        let may_exit = |since: Millis| now > since + HANDOVER_TIMEOUT || is_handover_complete;
        if now >= machine.frozen_until && machine.shutdown_at.is_some_and(may_exit) {
            self.kill(n, false);
            self.machines[n].is_removed = true;
        }
        let interval = MIN_TICK_INTERVAL + self.random.below(TICK_JITTER);
        self.schedule(now + interval, Scheduled::Tick { to: n });
    }

    fn end_fault(&mut self, n: usize, fault: Fault) {
        match fault {
            Fault::ProcessDown => self.restart(n),
            Fault::LinksBlocked => self.network.unblock(n),
            Fault::SlowLinks => self.network.restore_speed(n),
            Fault::SlowDisk => self.machines[n].disk.slowness = 1,
            Fault::MessageLoss => self.network.loss = None,
            Fault::ReplyLoss => self.reply_loss_percent = 0,
        }
    }

    /// Passes an event to a store, or defers it while the store is frozen.
    pub(super) fn handle(&mut self, n: usize, event: Event) {
        let now = self.now;
        let machine = &mut self.machines[n];
        if machine.replica.is_none() {
            return;
        }
        if now < machine.frozen_until {
            if !matches!(event, Event::Tick { .. }) {
                machine.deferred_events.push(event);
            }
            return;
        }
        let mut events = std::mem::take(&mut machine.deferred_events);
        events.push(event);
        for event in events {
            let Some(replica) = &mut self.machines[n].replica else { return };
            for effect in replica.handle(now, event) {
                self.carry_out(n, effect);
            }
            self.observe_consensus(n);
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(n, to, message),
            Effect::Persist { number, state } => self.persist(n, number, state),
            Effect::Reply { client, outcome } => self.on_reply(client, outcome),
            Effect::NotifyWatchers => {
                let committed = self.machines[n].replica.as_ref().and_then(Replica::committed_state);
                if let Some(state) = committed.cloned() {
                    self.check_was_sent(&state, "published");
                }
            }
        }
    }

    /// Sends a message, which is lost if the receiver is down or the link is blocked.
    fn send(&mut self, from: usize, to: Ipv4Addr, message: PeerMessage) {
        let Some(to) = self.machines.iter().position(|machine| machine.ip == to) else { return };
        let Some(replica) = &self.machines[from].replica else { return };
        if !self.is_up(to) {
            return;
        }
        let envelope = Envelope { from: replica.node().clone(), message };
        let link = Link { from, to };
        if let Some(at) = self.network.arrival(self.now, link, &envelope, &mut self.random) {
            self.schedule(at, Scheduled::Deliver { to, envelope: Box::new(envelope) });
        }
    }
}
