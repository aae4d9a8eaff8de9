//! The state of the modelled system: processes, disks and messages in flight.

use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use violetyoke_store::consensus::{
    ClientId, DurableState, Effect, Event, Millis, Replica, ReplicaOptions, WriteNumber,
};
use violetyoke_transport::messages::{Command, Envelope, Epoch, Outcome, PeerMessage, StoreId};

const TICK_INTERVAL: Millis = 50;
/// Ticks until the first replica set is installed.
const START_TICKS: usize = 60;

/// A state that a store has asked its disk to persist.
#[derive(Clone, Debug)]
pub struct PendingWrite {
    number: WriteNumber,
    state: DurableState,
}

/// The process and the disk of a store.
#[derive(Clone, Debug)]
pub struct Store {
    pub replica: Replica,
    /// The state on the disk.
    pub durable: DurableState,
    pub pending_writes: Vec<PendingWrite>,
}

/// A message in flight. A message that is never delivered is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlight {
    pub to: usize,
    pub envelope: Envelope,
}

/// Whether heartbeats are sent like other messages. If they are dropped, the loss of heartbeats is a separate action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heartbeats {
    Sent,
    Dropped,
}

/// The system at one point in time.
#[derive(Clone, Debug)]
pub struct System {
    pub now: Millis,
    pub stores: Vec<Store>,
    pub in_flight: Vec<InFlight>,
    /// The newest version that the operator has sent, and the newest acknowledged version.
    pub sent_version: u64,
    pub acknowledged_version: u64,
    /// Number of processes that have died or were told to shut down.
    pub deaths: u32,
}

// States are compared by their debug output, which contains all fields of a replica.
impl Hash for System {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for System {
    fn eq(&self, other: &System) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

pub fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

/// A replica that starts from its disk; the first three stores are the seeds.
pub fn start_replica(n: usize, durable: DurableState, now: Millis) -> Replica {
    let options = ReplicaOptions {
        ip: address(n),
        zone: if n % 2 == 1 { "b" } else { "a" }.to_owned(),
        seeds: (0..3).map(address).collect(),
        fault_tolerance: 1,
        durable,
        new_disk_id: StoreId(n as u64 + 1),
        is_bootstrap: true,
    };
    Replica::new(options, now)
}

/// The configuration of a version, as its operator sends it.
pub fn replace(version: u64) -> Command {
    Command::Replace { version, text: format!("configuration {version}") }
}

impl System {
    /// Stores with empty disks.
    pub fn new(stores: usize) -> System {
        let store = |n: usize| Store {
            replica: start_replica(n, DurableState::default(), 1),
            durable: DurableState::default(),
            pending_writes: Vec::new(),
        };
        System {
            now: 1,
            stores: (0..stores).map(store).collect(),
            in_flight: Vec::new(),
            sent_version: 0,
            acknowledged_version: 0,
            deaths: 0,
        }
    }

    pub fn handle(&mut self, n: usize, event: Event, heartbeats: Heartbeats) {
        let replica = &mut self.stores[n].replica;
        let effects = replica.handle(self.now, event);
        let from = replica.node().clone();
        for effect in effects {
            match effect {
                Effect::Send { message: PeerMessage::Heartbeat(_), .. }
                    if heartbeats == Heartbeats::Dropped => {}
                Effect::Send { to, message } => {
                    let Some(to) = (0..self.stores.len()).find(|n| address(*n) == to) else { continue };
                    // A message that is repeated while the first one is in flight is kept only once.
                    let message = InFlight { to, envelope: Envelope { from: from.clone(), message } };
                    if !self.in_flight.contains(&message) {
                        self.in_flight.push(message);
                    }
                }
                Effect::Persist { number, state } => {
                    self.stores[n].pending_writes.push(PendingWrite { number, state });
                }
                Effect::Reply { outcome: Outcome::Acknowledged, client: ClientId(version) } => {
                    self.acknowledged_version = self.acknowledged_version.max(version);
                }
                Effect::Reply { .. } | Effect::NotifyWatchers => {}
            }
        }
    }

    pub fn tick(&mut self, n: usize, heartbeats: Heartbeats) {
        self.handle(n, Event::Tick { disk_healthy: true }, heartbeats);
    }

    /// The operator sends a version to a store; the client id is the version.
    pub fn submit(&mut self, n: usize, version: u64) {
        let event = Event::Command { client: ClientId(version), command: replace(version) };
        self.handle(n, event, Heartbeats::Dropped);
    }

    /// A disk completes its pending writes.
    pub fn sync(&mut self, n: usize) {
        let Some(PendingWrite { number, state }) = self.stores[n].pending_writes.pop() else { return };
        self.stores[n].pending_writes.clear();
        self.stores[n].durable = state;
        self.handle(n, Event::Persisted(number), Heartbeats::Dropped);
    }

    pub fn has_pending_writes(&self) -> bool {
        self.stores.iter().any(|store| !store.pending_writes.is_empty())
    }

    /// All disks complete their pending writes and the writes that follow from them.
    pub fn sync_all(&mut self) {
        while self.has_pending_writes() {
            (0..self.stores.len()).for_each(|n| self.sync(n));
        }
    }

    /// A process dies, and a new one starts from the disk.
    pub fn restart(&mut self, n: usize) {
        self.stores[n].pending_writes.clear();
        self.stores[n].replica = start_replica(n, self.stores[n].durable.clone(), self.now);
    }

    /// Ticks a store and delivers its heartbeat to one other store only.
    pub fn heartbeat(&mut self, from: usize, to: usize) {
        let count = self.in_flight.len();
        self.tick(from, Heartbeats::Sent);
        for message in self.in_flight.split_off(count) {
            match message.envelope.message {
                PeerMessage::Heartbeat(_) if message.to == to => {
                    self.handle(to, Event::Message(message.envelope), Heartbeats::Dropped);
                }
                PeerMessage::Heartbeat(_) => {}
                _ => self.in_flight.push(message),
            }
        }
    }

    /// Delivers all messages in flight.
    pub fn deliver_all(&mut self, heartbeats: Heartbeats) {
        for InFlight { to, envelope } in std::mem::take(&mut self.in_flight) {
            self.handle(to, Event::Message(envelope), heartbeats);
        }
    }

    /// Runs without faults until a replica set is installed.
    pub fn settle(&mut self) {
        for _ in 0..START_TICKS {
            self.now += TICK_INTERVAL;
            (0..self.stores.len()).for_each(|n| self.tick(n, Heartbeats::Sent));
            while !self.in_flight.is_empty() || self.has_pending_writes() {
                self.deliver_all(Heartbeats::Sent);
                (0..self.stores.len()).for_each(|n| self.sync(n));
            }
        }
    }

    /// A store receives heartbeats of only one other store until it takes over, if the protocol allows it.
    pub fn elect(&mut self, n: usize, connected: usize) {
        // Longer than the leader time-out, then the longest delay before an election.
        for span in [900, 450] {
            self.now += span;
            self.heartbeat(connected, n);
            self.tick(n, Heartbeats::Dropped);
            self.sync_all();
        }
    }

    pub fn is_leader(&self, n: usize) -> bool {
        self.stores[n].replica.is_leader()
    }

    /// The store that leads; the one with the highest epoch if there are several.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.stores.len()).filter(|n| self.is_leader(*n));
        leaders.max_by_key(|n| self.stores[*n].replica.epoch())
    }

    /// Whether the leader of the highest epoch has committed every acknowledged version.
    pub fn leader_has_acknowledged(&self) -> bool {
        let committed = self.leader().and_then(|n| self.stores[n].replica.committed_state());
        committed.is_none_or(|state| state.version >= self.acknowledged_version)
    }

    /// Whether no two stores lead in the same epoch.
    pub fn has_one_leader_per_epoch(&self) -> bool {
        let leaders = self.stores.iter().map(|store| &store.replica).filter(|replica| replica.is_leader());
        let mut epochs: Vec<Epoch> = leaders.map(Replica::epoch).collect();
        let count = epochs.len();
        epochs.sort_unstable();
        epochs.dedup();
        epochs.len() == count
    }
}
