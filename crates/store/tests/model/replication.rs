//! Three stores with an installed replica set, in every order of messages, syncs, lost heartbeats, restarts and
//! commands.

use crate::explore::Action;
use crate::system::{address, Heartbeats, InFlight, System};
use stateright::{Model, Property};
use violetyoke_store::consensus::{Event, Millis};
use violetyoke_transport::messages::{Envelope, Epoch, PeerMessage};

pub const LEADER_HAS_ACKNOWLEDGED: &str = "the leader has every acknowledged version";
pub const ACKNOWLEDGED: &str = "a version is acknowledged";
pub const SECOND_EPOCH: &str = "a second epoch is installed";

/// Longer than the time without heartbeats after which a leader is considered dead.
const LEADER_TIMEOUT: Millis = 900;
/// The longest delay of a follower before it becomes a candidate.
const ELECTION_DELAY: Millis = 450;
/// The time from the delivery of a message to the receiver's next tick.
const DELIVERY_TIME: Millis = 40;
/// Maximum number of versions that the operator sends.
const VERSIONS: u64 = 2;
/// Number of messages in flight, from the oldest on, that may be delivered next.
const DELIVERABLE: usize = 4;

/// One step of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Delivers the message with this index. A message that is never delivered is lost.
    Deliver(usize),
    /// A disk completes its writes.
    Sync(usize),
    /// The next version is sent to a store.
    Submit(usize),
    /// A store receives no heartbeats of the leader until it takes over, while the third store still receives them.
    LoseHeartbeats(usize),
    /// A process dies and starts again from its disk.
    Restart(usize),
}

impl Action for Step {
    fn delivered(&self) -> Option<usize> {
        match self {
            Step::Deliver(index) => Some(*index),
            _ => None,
        }
    }
}

/// The model of replication.
#[derive(Default)]
pub struct Replication {
    /// Starts with a command in flight and a store that has just started to take over, and disks sync at once, so
    /// that a second epoch is within the depth. Otherwise the model starts without messages in flight, and each sync
    /// is a step.
    pub starts_in_takeover: bool,
    /// Receivers acknowledge writes of any epoch (negative control).
    pub skips_epoch_check: bool,
}

impl Replication {
    /// Delivers a message. Without the epoch check, a write of an old epoch is acknowledged.
    fn deliver(&self, system: &mut System, index: usize) -> Option<()> {
        let InFlight { to, envelope } = system.in_flight.remove(index);
        let receiver = &system.stores[to];
        let newest = receiver.replica.epoch().max(receiver.durable.promised);
        match &envelope.message {
            PeerMessage::Write { epoch, state } if self.skips_epoch_check && *epoch < newest => {
                let sender = (0..3).find(|n| address(*n) == envelope.from.ip)?;
                let message = PeerMessage::Written { epoch: *epoch, revision: state.revision };
                let envelope = Envelope { from: receiver.replica.node().clone(), message };
                system.in_flight.push(InFlight { to: sender, envelope });
            }
            _ => system.handle(to, Event::Message(envelope), Heartbeats::Dropped),
        }
        system.now += DELIVERY_TIME;
        system.tick(to, Heartbeats::Dropped);
        Some(())
    }

    fn lose_heartbeats(system: &mut System, n: usize) -> Option<()> {
        let leader = (0..3).find(|other| system.is_leader(*other));
        let third = (0..3).find(|other| *other != n && Some(*other) != leader)?;
        for span in [LEADER_TIMEOUT, ELECTION_DELAY] {
            system.now += span;
            if let Some(leader) = leader {
                system.heartbeat(leader, third);
            }
            system.heartbeat(third, n);
            system.tick(n, Heartbeats::Dropped);
        }
        Some(())
    }
}

impl Model for Replication {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        let mut system = System::new(3);
        (0..3).for_each(|n| system.tick(n, Heartbeats::Sent));
        system.settle();
        if !self.starts_in_takeover {
            return vec![system];
        }
        let leader = (0..3).find(|n| system.is_leader(*n)).expect("a leader");
        let in_takeover = |other: usize| {
            let sent = self.next_state(&system, Step::Submit(leader))?;
            self.next_state(&sent, Step::LoseHeartbeats(other))
        };
        (0..3).filter(|n| *n != leader).filter_map(in_takeover).collect()
    }

    fn actions(&self, system: &System, actions: &mut Vec<Step>) {
        actions.extend((0..system.in_flight.len().min(DELIVERABLE)).map(Step::Deliver));
        // Deliveries suffice to find what the epoch check prevents.
        for n in (0..3).filter(|_| !self.skips_epoch_check) {
            if !system.stores[n].pending_writes.is_empty() {
                actions.push(Step::Sync(n));
            }
            let is_leader = system.is_leader(n);
            if is_leader && system.sent_version < VERSIONS {
                actions.push(Step::Submit(n));
            }
            if !is_leader {
                actions.push(Step::LoseHeartbeats(n));
            }
            if system.deaths < 1 {
                actions.push(Step::Restart(n));
            }
        }
    }

    fn next_state(&self, last: &System, step: Step) -> Option<System> {
        let mut system = last.clone();
        match step {
            Step::Deliver(index) => self.deliver(&mut system, index)?,
            Step::Sync(n) => system.sync(n),
            Step::Submit(n) => {
                system.sent_version += 1;
                system.submit(n, system.sent_version);
            }
            Step::LoseHeartbeats(n) => Replication::lose_heartbeats(&mut system, n)?,
            Step::Restart(n) => {
                system.deaths += 1;
                system.restart(n);
            }
        }
        if self.starts_in_takeover {
            system.sync_all();
        }
        Some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(LEADER_HAS_ACKNOWLEDGED, |_, system: &System| system.leader_has_acknowledged()),
            Property::sometimes(ACKNOWLEDGED, |_, system: &System| system.acknowledged_version > 0),
            Property::sometimes(SECOND_EPOCH, |_, system: &System| {
                system.leader().is_some_and(|leader| system.stores[leader].replica.epoch() > Epoch(1))
            }),
        ]
    }
}
