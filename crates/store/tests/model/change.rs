//! A change of voters in every order: the primary (0) gives the place of a silent voter (1) to a learner (3), while
//! messages are lost, the silent one returns and takes over, processes die or leave and a disk is lost.

use crate::moment::{begin, ip, Moment, Store};
use stateright::{Model, Property};
use violetyoke_store::consensus::{ClientId, DurableState, Event, Replica, SafetyChecks};
use violetyoke_transport::messages::{Command, PeerMessage};

const SILENT: usize = 1;
const OTHER: usize = 2;
const LEARNER: usize = 3;

pub const LOST: &str = "what is acknowledged is held by whoever leads";
pub const ACKNOWLEDGED: &str = "an order is acknowledged after the change";

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// A message that is never delivered is lost.
    Deliver(usize),
    /// A store takes over, hearing only one other.
    Elect(usize, usize),
    Dies(usize),
    /// A process is told to end, and says so.
    Leaves(usize),
    /// A disk is lost: an empty store begins at the same address.
    Wiped(usize),
}

/// From where all orders are looked at.
#[derive(PartialEq)]
pub enum Start {
    /// The replica set that names the learner has just been sent.
    Offered,
    /// The learner and the third voter have accepted it.
    Accepted,
    /// It has just been sent, and the silent one has returned and asks for promises.
    Returned,
}

pub struct Change {
    pub checks: SafetyChecks,
    pub start: Start,
    /// Nothing but deliveries (and, from the offer on, one store that takes over): what a guard is for is found by them.
    pub deliveries: bool,
}

/// Ticks and heartbeats among some stores, and all messages between them, for one step.
fn advance(moment: &mut Moment, among: &[usize], until: impl Fn(&Moment) -> bool) {
    moment.now += 50;
    for n in among {
        moment.handle(*n, Event::Tick { disk_healthy: true }, true);
    }
    while !moment.envelopes.is_empty() && !until(moment) {
        for (to, envelope) in std::mem::take(&mut moment.envelopes) {
            if among.contains(&to) {
                moment.handle(to, Event::Message(envelope), true);
            }
        }
        moment.sync_all();
    }
}

/// A replica set that names the learner is on its way.
fn offered(moment: &Moment) -> bool {
    let names = |message: &PeerMessage| match message {
        PeerMessage::Accept { config, .. } => config.voters.iter().any(|voter| voter.ip == ip(LEARNER)),
        _ => false,
    };
    moment.envelopes.iter().any(|(_, envelope)| names(&envelope.message))
}

impl Change {
    /// From the first start to the moment in which the replica set that names the learner is sent, and an order waits.
    fn begun(&self) -> Moment {
        let store = |n: usize| {
            let mut replica = begin(n, DurableState::default(), 1);
            replica.set_safety_checks(self.checks);
            Store { replica: Some(replica), kept: DurableState::default(), writing: Vec::new() }
        };
        let stores = (0..4).map(store).collect();
        let mut moment =
            Moment { now: 1, stores, envelopes: Vec::new(), sent: 0, acknowledged: 0, deaths: 0 };
        moment.settle();
        let among = [0, OTHER, LEARNER];
        for _ in 0..100 {
            advance(&mut moment, &among, offered);
            if offered(&moment) {
                break;
            }
        }
        assert!(offered(&moment), "no change of voters begins");
        moment.envelopes.retain(|(_, envelope)| matches!(envelope.message, PeerMessage::Accept { .. }));
        moment.sent = 1;
        let order = Command::Replace { version: 1, text: "configuration 1".into() };
        moment.handle(0, Event::Command { client: ClientId(1), command: order }, false);
        moment
    }

    fn accepted(&self, mut moment: Moment) -> Moment {
        for store in [LEARNER, OTHER] {
            let to = |moment: &Moment| moment.envelopes.iter().position(|(to, _)| *to == store);
            if let Some(next) = to(&moment).and_then(|place| self.next_state(&moment, Step::Deliver(place))) {
                moment = next;
            }
        }
        moment
    }

    /// The silent voter has returned and asks for promises of an epoch that is new to the third one.
    fn returns(mut moment: Moment) -> Moment {
        let accepts = std::mem::take(&mut moment.envelopes);
        while !moment.envelopes.iter().any(|(to, envelope)| {
            *to == OTHER && matches!(envelope.message, PeerMessage::Prepare { epoch, .. } if epoch > 3)
        }) {
            moment.elect(SILENT, OTHER);
            let refused = std::mem::take(&mut moment.envelopes);
            let last = refused.into_iter().rfind(|(to, _)| *to == OTHER);
            let Some((to, envelope)) = last else { continue };
            match envelope.message {
                PeerMessage::Prepare { epoch, .. } if epoch > 3 => moment.envelopes.push((to, envelope)),
                _ => {
                    moment.handle(to, Event::Message(envelope), false);
                    for (to, answer) in std::mem::take(&mut moment.envelopes) {
                        moment.handle(to, Event::Message(answer), false);
                    }
                    moment.sync_all();
                }
            }
        }
        moment.envelopes.extend(accepts);
        moment
    }
}

impl Model for Change {
    type State = Moment;
    type Action = Step;

    fn init_states(&self) -> Vec<Moment> {
        let begun = self.begun();
        vec![match self.start {
            Start::Offered => begun,
            Start::Accepted => self.accepted(begun),
            Start::Returned => Change::returns(begun),
        }]
    }

    fn actions(&self, moment: &Moment, actions: &mut Vec<Step>) {
        actions.extend((0..moment.envelopes.len().min(8)).map(Step::Deliver));
        if self.deliveries {
            // Voters leave a candidate the time of a phase: without this step nobody else asks amid its messages.
            if self.start == Start::Offered {
                actions.push(Step::Elect(OTHER, LEARNER));
            }
            return;
        }
        actions.extend([
            Step::Elect(SILENT, OTHER),
            Step::Elect(OTHER, LEARNER),
            Step::Elect(LEARNER, OTHER),
        ]);
        if moment.deaths < 1 {
            actions.extend((0..4).flat_map(|n| [Step::Dies(n), Step::Wiped(n), Step::Leaves(n)]));
        }
    }

    fn next_state(&self, last: &Moment, step: Step) -> Option<Moment> {
        let mut moment = last.clone();
        match step {
            Step::Deliver(place) => {
                let (to, envelope) = moment.envelopes.remove(place);
                moment.handle(to, Event::Message(envelope), false);
                moment.sync_all();
                moment.now += 40;
                moment.handle(to, Event::Tick { disk_healthy: true }, false);
            }
            Step::Elect(n, heard) => moment.elect(n, heard),
            Step::Leaves(n) => {
                moment.deaths += 1;
                moment.handle(n, Event::Shutdown, false);
            }
            Step::Dies(n) | Step::Wiped(n) => {
                moment.deaths += 1;
                if step == Step::Wiped(n) {
                    moment.stores[n].kept = DurableState { id: n as u64 + 11, ..DurableState::default() };
                }
                let mut replica = begin(n, moment.stores[n].kept.clone(), moment.now);
                replica.set_safety_checks(self.checks);
                moment.stores[n].writing.clear();
                moment.stores[n].replica = Some(replica);
            }
        }
        moment.sync_all();
        Some(moment)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(LOST, |_, moment: &Moment| {
                let holds = |replica: &Replica| {
                    replica.committed_state().is_none_or(|held| held.version >= moment.acknowledged)
                };
                moment.leader().is_none_or(holds)
            }),
            Property::always("one store leads under an epoch", |_, moment: &Moment| {
                let replicas = moment.stores.iter().filter_map(|store| store.replica.as_ref());
                let mut epochs: Vec<u64> =
                    replicas.filter(|replica| replica.is_leader()).map(Replica::epoch).collect();
                let all = epochs.len();
                epochs.sort_unstable();
                epochs.dedup();
                epochs.len() == all
            }),
            Property::sometimes(ACKNOWLEDGED, |_, moment: &Moment| moment.acknowledged > 0),
            Property::sometimes("the one that returned leads", |_, moment: &Moment| {
                moment.stores[SILENT].replica.as_ref().is_some_and(Replica::is_leader)
            }),
        ]
    }
}
