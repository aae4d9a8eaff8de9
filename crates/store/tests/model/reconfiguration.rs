//! A reconfiguration in every order of its messages: the leader (0) replaces an unreachable voter (1) by a learner (3),
//! while messages are lost, the replaced voter returns and takes over, processes die or shut down, and a disk is lost.

use crate::explore::Action;
use crate::system::{address, Heartbeats, InFlight, System};
use stateright::{Model, Property};
use violetyoke_store::consensus::{DurableState, Event, Millis, SafetyChecks};
use violetyoke_transport::messages::{Epoch, PeerMessage, StoreId};

const LEADER: usize = 0;
const REPLACED: usize = 1;
const OTHER: usize = 2;
const LEARNER: usize = 3;
const STORES: usize = 4;

const TICK_INTERVAL: Millis = 50;
/// The time from the delivery of a message to the receiver's next tick.
const DELIVERY_TIME: Millis = 40;
/// Number of messages in flight, from the oldest on, that may be delivered next.
const DELIVERABLE: usize = 8;

pub const LEADER_HAS_ACKNOWLEDGED: &str = "the leader has every acknowledged version";
pub const ONE_LEADER: &str = "one store leads in each epoch";
pub const ACKNOWLEDGED: &str = "a command is acknowledged after the reconfiguration";
pub const RETURNED_LEADS: &str = "the returned voter becomes leader";

/// One step of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Delivers the message with this index. A message that is never delivered is lost.
    Deliver(usize),
    /// A store takes over while it receives messages from only one other store.
    Elect { candidate: usize, connected: usize },
    /// A process dies and starts again from its disk.
    Restart(usize),
    /// A process is told to shut down and announces it.
    ShutDown(usize),
    /// A disk is lost: an empty store starts at the same address.
    Wipe(usize),
}

impl Action for Step {
    fn delivered(&self) -> Option<usize> {
        match self {
            Step::Deliver(index) => Some(*index),
            _ => None,
        }
    }
}

/// The state from which all orders are explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPoint {
    /// The replica set with the learner has just been proposed.
    Proposed,
    /// The learner and the third voter have accepted it.
    Accepted,
    /// The replica set has just been proposed, and the replaced voter has returned and requests promises.
    Returned,
}

/// Which steps are explored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Steps {
    All,
    /// Deliveries and, from `StartPoint::Proposed`, elections of one store. They suffice to find what a check prevents.
    DeliveriesOnly,
}

/// The model of a reconfiguration.
pub struct Reconfiguration {
    pub checks: SafetyChecks,
    pub start: StartPoint,
    pub steps: Steps,
}

/// Whether a proposal of a replica set with the learner is in flight.
fn is_proposed(system: &System) -> bool {
    let names_learner = |message: &PeerMessage| match message {
        PeerMessage::Accept { config, .. } => config.voters.iter().any(|voter| voter.ip == address(LEARNER)),
        _ => false,
    };
    system.in_flight.iter().any(|message| names_learner(&message.envelope.message))
}

/// Ticks all stores except the unreachable voter and delivers their messages, until the replica set is proposed.
fn advance(system: &mut System) {
    const CONNECTED: [usize; 3] = [LEADER, OTHER, LEARNER];
    system.now += TICK_INTERVAL;
    CONNECTED.into_iter().for_each(|n| system.tick(n, Heartbeats::Sent));
    while !system.in_flight.is_empty() && !is_proposed(system) {
        system.in_flight.retain(|message| CONNECTED.contains(&message.to));
        system.deliver_all(Heartbeats::Sent);
        system.sync_all();
    }
}

impl Reconfiguration {
    /// Runs from the first start until the replica set is proposed. A command is waiting then.
    fn proposed(&self) -> System {
        let mut system = System::new(STORES);
        for store in &mut system.stores {
            store.replica.set_safety_checks(self.checks);
        }
        system.settle();
        for _ in 0..100 {
            advance(&mut system);
            if is_proposed(&system) {
                break;
            }
        }
        assert!(is_proposed(&system), "no reconfiguration starts");
        system.in_flight.retain(|message| matches!(message.envelope.message, PeerMessage::Accept { .. }));
        system.sent_version = 1;
        system.submit(LEADER, 1);
        system
    }

    fn accepted(&self, mut system: System) -> System {
        for store in [LEARNER, OTHER] {
            let delivery = system.in_flight.iter().position(|message| message.to == store);
            if let Some(next) = delivery.and_then(|index| self.next_state(&system, Step::Deliver(index))) {
                system = next;
            }
        }
        system
    }

    /// The replaced voter returns and requests promises for an epoch that is new to the third voter.
    fn returned(mut system: System) -> System {
        let proposals = std::mem::take(&mut system.in_flight);
        let prepare = loop {
            system.elect(REPLACED, OTHER);
            let sent = std::mem::take(&mut system.in_flight);
            let Some(last) = sent.into_iter().rfind(|message| message.to == OTHER) else { continue };
            if matches!(last.envelope.message, PeerMessage::Prepare { epoch, .. } if epoch > Epoch(3)) {
                break last;
            }
            // The third voter rejects the request, and its answer reports the newer epoch.
            system.handle(last.to, Event::Message(last.envelope), Heartbeats::Dropped);
            system.deliver_all(Heartbeats::Dropped);
            system.sync_all();
        };
        system.in_flight.push(prepare);
        system.in_flight.extend(proposals);
        system
    }

    fn restart(&self, system: &mut System, n: usize) {
        system.deaths += 1;
        system.restart(n);
        system.stores[n].replica.set_safety_checks(self.checks);
    }
}

impl Model for Reconfiguration {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        let proposed = self.proposed();
        vec![match self.start {
            StartPoint::Proposed => proposed,
            StartPoint::Accepted => self.accepted(proposed),
            StartPoint::Returned => Reconfiguration::returned(proposed),
        }]
    }

    fn actions(&self, system: &System, actions: &mut Vec<Step>) {
        actions.extend((0..system.in_flight.len().min(DELIVERABLE)).map(Step::Deliver));
        if self.steps == Steps::DeliveriesOnly {
            // Voters give a candidate time to complete a phase, so without this step no other store becomes a candidate
            // while messages of the first candidate are in flight.
            if self.start == StartPoint::Proposed {
                actions.push(Step::Elect { candidate: OTHER, connected: LEARNER });
            }
            return;
        }
        actions.extend([
            Step::Elect { candidate: REPLACED, connected: OTHER },
            Step::Elect { candidate: OTHER, connected: LEARNER },
            Step::Elect { candidate: LEARNER, connected: OTHER },
        ]);
        if system.deaths < 1 {
            actions.extend((0..STORES).flat_map(|n| [Step::Restart(n), Step::Wipe(n), Step::ShutDown(n)]));
        }
    }

    fn next_state(&self, last: &System, step: Step) -> Option<System> {
        let mut system = last.clone();
        match step {
            Step::Deliver(index) => {
                let InFlight { to, envelope } = system.in_flight.remove(index);
                system.handle(to, Event::Message(envelope), Heartbeats::Dropped);
                system.sync_all();
                system.now += DELIVERY_TIME;
                system.tick(to, Heartbeats::Dropped);
            }
            Step::Elect { candidate, connected } => system.elect(candidate, connected),
            Step::ShutDown(n) => {
                system.deaths += 1;
                system.handle(n, Event::Shutdown, Heartbeats::Dropped);
            }
            Step::Restart(n) => self.restart(&mut system, n),
            Step::Wipe(n) => {
                system.stores[n].durable =
                    DurableState { id: StoreId(n as u64 + 11), ..DurableState::default() };
                self.restart(&mut system, n);
            }
        }
        system.sync_all();
        Some(system)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(LEADER_HAS_ACKNOWLEDGED, |_, system: &System| system.leader_has_acknowledged()),
            Property::always(ONE_LEADER, |_, system: &System| system.has_one_leader_per_epoch()),
            Property::sometimes(ACKNOWLEDGED, |_, system: &System| system.acknowledged_version > 0),
            Property::sometimes(RETURNED_LEADS, |_, system: &System| system.is_leader(REPLACED)),
        ]
    }
}
