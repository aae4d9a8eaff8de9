//! The replica, and its dispatch of events to the handlers.
//!
//! Each child module adds the handlers of one concern to [`Replica`].

mod acceptor;
mod candidate;
mod election;
mod heartbeat;
mod leader;
mod learner;
mod proposal;
mod reconfiguration;
mod rejection;
mod shutdown;
mod status;
mod voter_gate;

use super::commands::CommandsInFlight;
use super::durable::DurableState;
use super::event::{ClientId, Effect, EpochRejection, Event, Millis, ReplicaOptions, WriteNumber};
use super::outbox::Outbox;
use super::peers::Peers;
use super::quorum::all_voters;
use super::role::{Promise, Role};
use super::safety_checks::SafetyChecks;
use super::snapshots::SentSnapshots;
use super::timers::Timers;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Envelope, Epoch, Outcome, PeerMessage, Revision, StoreId, StoreNode};

pub(super) use voter_gate::VoterGate;

/// Parameters that don't change while a replica runs.
#[derive(Clone, Debug)]
struct Settings {
    /// This store, as others know it.
    node: StoreNode,
    seeds: Vec<Ipv4Addr>,
    fault_tolerance: u32,
    checks: SafetyChecks,
}

/// The status that this store reports in its heartbeats.
#[derive(Clone, Debug)]
struct LocalStatus {
    is_disk_healthy: bool,
    /// The process is to end.
    is_leaving: bool,
    /// The revision of the newest state on the disk.
    persisted: Revision,
}

/// One replica of the register: a state machine that does no I/O itself.
///
/// It is deterministic, with neither a clock nor a source of randomness: a clone that gets the same events returns the
/// same effects.
#[derive(Clone, Debug)]
pub struct Replica {
    settings: Settings,
    /// The time of the event that is being handled.
    now: Millis,
    durable: DurableState,
    status: LocalStatus,
    outbox: Outbox,
    peers: Peers,
    role: Role,
    timers: Timers,
    commands: CommandsInFlight,
    snapshots: SentSnapshots,
    /// The revision of the newest state that is known to be on the disks of all data replicas.
    committed: Revision,
    /// The highest epoch known from own promises and from messages.
    highest_epoch: Epoch,
    /// The voters of the replica set that this store's newest proposal replaces, and of the earlier sets that may not
    /// be installed: a majority of each list has promised the proposal's epoch.
    base_voters: Vec<Vec<StoreNode>>,
    voter_gate: VoterGate,
    /// Set if another store has rejected records of the led epoch since the last tick.
    rejection: Option<EpochRejection>,
    /// The value of [`Replica::is_leader_in_contact`] of which watchers were last notified.
    notified_contact: bool,
}

impl Replica {
    /// Creates a replica, which starts as a follower.
    #[must_use]
    pub fn new(options: ReplicaOptions, now: Millis) -> Replica {
        let mut durable = options.durable;
        let is_empty = durable.id == StoreId::default();
        if is_empty {
            durable.id = options.new_disk_id.max(StoreId(1));
            durable.is_bootstrapping = options.is_bootstrap;
        }
        let node = StoreNode { id: durable.id, ip: options.ip, zone: options.zone };
        // The seeds may be down or partitioned when all stores restart: the voters are known from the disk.
        let voters = all_voters(&durable.config).map(|voter| voter.ip);
        let peers = Peers::new(node.ip, options.seeds.iter().copied().chain(voters));
        let settings = Settings {
            node,
            seeds: options.seeds,
            fault_tolerance: options.fault_tolerance,
            checks: SafetyChecks::default(),
        };
        let status =
            LocalStatus { is_disk_healthy: true, is_leaving: false, persisted: durable.state.revision };
        let mut replica = Replica {
            settings,
            now,
            highest_epoch: durable.promised,
            durable,
            status,
            outbox: Outbox::default(),
            peers,
            role: Role::Follower,
            timers: Timers::new(now),
            commands: CommandsInFlight::default(),
            snapshots: SentSnapshots::default(),
            committed: Revision::default(),
            base_voters: Vec::new(),
            voter_gate: VoterGate::default(),
            rejection: None,
            notified_contact: false,
        };
        if is_empty {
            replica.persist();
        }
        replica
    }

    /// Handles one event; the caller has to carry out the effects in order. `now` must not decrease.
    #[must_use]
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Message(envelope) => self.on_message(envelope),
            Event::Persisted(number) => self.on_persisted(number),
            Event::Tick { disk_healthy } => {
                self.status.is_disk_healthy = disk_healthy;
                self.on_tick();
            }
            Event::Command { client, command } => self.on_command(client, command),
            Event::Shutdown => self.on_shutdown(),
        }
        self.outbox.take_ready()
    }

    fn on_message(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        if from.ip == self.settings.node.ip {
            return;
        }
        self.peers.add_addresses([from.ip]);
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            PeerMessage::Prepare { epoch, newest } => self.on_prepare(&from, epoch, newest),
            PeerMessage::Promise { epoch, config, revision, state } => {
                self.on_promise(epoch, Promise { from, config, revision, state });
            }
            PeerMessage::Refuse { epoch, promised } => self.on_refuse(epoch, promised),
            PeerMessage::Accept { config, state } => self.on_accept(&from, config, state),
            PeerMessage::Snapshot { epoch, state } => self.on_snapshot(epoch, state),
            PeerMessage::Accepted { epoch } => self.on_accepted(from.id, epoch),
            PeerMessage::Write { epoch, state } => self.on_write(&from, epoch, state),
            PeerMessage::Written { epoch, revision } => self.on_written(from.id, epoch, revision),
            PeerMessage::Confirm { epoch, nonce } => self.on_confirm(&from, epoch, nonce),
            PeerMessage::Confirmed { epoch, nonce } => self.on_confirmed(from.id, epoch, nonce),
        }
    }

    fn on_tick(&mut self) {
        self.send_due_heartbeats();
        self.reject_expired_commands();
        self.notify_contact_change();
        self.answer_rejection();
        match &self.role {
            Role::Follower => self.maybe_start_election(),
            Role::Preparing(_) | Role::Proposing(_) => self.continue_candidacy(),
            Role::Leader => {
                self.resend_pending_write();
                self.send_snapshots();
                self.maybe_reconfigure();
            }
        }
    }

    /// Counts this store's own completed writes as acceptance and acknowledgement, like the messages of other stores.
    fn on_persisted(&mut self, number: WriteNumber) {
        self.outbox.on_persisted(number);
        if self.outbox.is_all_persisted() {
            self.status.persisted = self.durable.state.revision;
        }
        let id = self.settings.node.id;
        if let Role::Proposing(proposing) = &self.role {
            if self.outbox.is_persisted(proposing.write) {
                let epoch = proposing.config.epoch;
                self.on_accepted(id, epoch);
            }
        }
        if self.commands.pending().is_some_and(|pending| self.outbox.is_persisted(pending.write)) {
            self.on_written(id, self.durable.config.epoch, self.durable.state.revision);
        }
    }

    /// Requests that the durable state is persisted; effects added `_after_fsync` from now on wait for it.
    fn persist(&mut self) {
        self.outbox.persist(self.durable.clone());
    }

    /// Stops leading or being a candidate. Commands in progress are rejected: this store doesn't learn their outcome.
    fn step_down(&mut self) {
        self.role = Role::Follower;
        self.timers.restart_leaderless(self.now);
        let clients = self.commands.take_clients();
        self.reject(clients);
        self.outbox.notify_watchers_now();
    }

    /// Replies that this store doesn't lead. The reply doesn't depend on the disk, so it is sent at once.
    fn reject(&mut self, clients: impl IntoIterator<Item = ClientId>) {
        for client in clients {
            self.outbox.reply_now(client, Outcome::NotLeader);
        }
    }

    /// The data replicas of the accepted replica set, without this store.
    fn backups(&self) -> Vec<StoreNode> {
        let config = &self.durable.config;
        let others = config.data_replicas.iter().filter(|id| **id != self.settings.node.id);
        others.filter_map(|id| config.voters.iter().find(|voter| voter.id == *id)).cloned().collect()
    }

    fn is_reachable(&self, id: StoreId) -> bool {
        self.peers.is_reachable(id, self.now)
    }

    fn is_eligible(&self, id: StoreId) -> bool {
        self.peers.is_eligible(id, self.now)
    }

    fn is_local(&self, id: StoreId) -> bool {
        id == self.settings.node.id
    }

    /// Whether this store holds data under the replica set that it has accepted.
    fn is_data_replica(&self) -> bool {
        self.durable.config.data_replicas.contains(&self.settings.node.id)
    }
}
