//! The shipped replica at three stores, in every order in which envelopes, syncs, silence, deaths and orders can come, from a
//! standing epoch on. The same with receivers that don't check epochs has to find what that guard is for.

#![cfg(test)]
#![allow(unreachable_pub, reason = "support modules are public to the tests")]

mod change;
mod moment;
mod sizes;
mod voters;

use moment::{begin, ip, Moment, Store};
use stateright::{Checker, Model, Property};
use violetyoke_store::consensus::{ClientId, DurableState, Event, Replica};
use violetyoke_transport::messages::{Command, Envelope, PeerMessage};

/// More silence than a store is believed to be well through, and less than that.
const SILENCE: u64 = 900;
const SHORT: u64 = 450;
/// Versions that the operator sends at most.
const VERSIONS: u64 = 2;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Deliver(usize),
    Sync(usize),
    /// The next version is sent to a store.
    Send(usize),
    /// A store hears nothing of the primary for so long, and the third one still does.
    Deaf(usize),
    /// A process dies and begins again from its disk.
    Dies(usize),
}

#[derive(Default)]
struct Stores {
    /// Begins when an order is on its way and another store has just begun to take over, and disks sync at once: from there
    /// a second epoch is near. Otherwise at rest, and each sync is a step.
    taken_over: bool,
    /// Receivers take writes whatever epoch they are of.
    unchecked: bool,
}

impl Model for Stores {
    type State = Moment;
    type Action = Step;

    fn init_states(&self) -> Vec<Moment> {
        let store = |n: usize| Store {
            replica: Some(begin(n, DurableState::default(), 1)),
            kept: DurableState::default(),
            writing: Vec::new(),
        };
        let stores = (0..3).map(store).collect();
        let mut moment =
            Moment { now: 1, stores, envelopes: Vec::new(), sent: 0, acknowledged: 0, deaths: 0 };
        for n in 0..3 {
            let empty = Event::Tick { disk_healthy: true };
            moment.handle(n, empty, true);
        }
        moment.settle();
        if !self.taken_over {
            return vec![moment];
        }
        let active = |n: &usize| moment.stores[*n].replica.as_ref().is_some_and(Replica::is_leader);
        let Some(primary) = (0..3).find(active) else { return Vec::new() };
        let begun = |other: usize| {
            let sent = self.next_state(&moment, Step::Send(primary))?;
            self.next_state(&sent, Step::Deaf(other))
        };
        (0..3).filter(|n| *n != primary).filter_map(begun).collect()
    }

    fn actions(&self, moment: &Moment, actions: &mut Vec<Step>) {
        // A envelope that is never delivered is lost.
        actions.extend((0..moment.envelopes.len().min(4)).map(Step::Deliver));
        // What the guard is for is found by envelopes alone.
        for n in (0..3).filter(|_| !self.unchecked) {
            if !moment.stores[n].writing.is_empty() {
                actions.push(Step::Sync(n));
            }
            let active = moment.stores[n].replica.as_ref().is_some_and(Replica::is_leader);
            if active && moment.sent < VERSIONS {
                actions.push(Step::Send(n));
            }
            if !active {
                actions.push(Step::Deaf(n));
            }
            if moment.deaths < 1 {
                actions.push(Step::Dies(n));
            }
        }
    }

    fn next_state(&self, last: &Moment, step: Step) -> Option<Moment> {
        let mut moment = last.clone();
        match step {
            Step::Deliver(place) => {
                let (to, envelope) = moment.envelopes.remove(place);
                match (&envelope.message, &moment.stores[to].replica) {
                    (PeerMessage::Write { epoch, state: held }, Some(replica))
                        if self.unchecked
                            && *epoch < replica.epoch().max(moment.stores[to].kept.promised) =>
                    {
                        // Taken, and overtaken: the old primary is told that it is on the disk.
                        let back = (0..3).find(|n| ip(*n) == envelope.from.ip)?;
                        let message = PeerMessage::Written { epoch: *epoch, revision: held.revision };
                        moment.envelopes.push((back, Envelope { from: replica.node().clone(), message }));
                    }
                    _ => moment.handle(to, Event::Message(envelope), false),
                }
                moment.now += 40;
                moment.handle(to, Event::Tick { disk_healthy: true }, false);
            }
            Step::Sync(n) => moment.sync(n),
            Step::Send(n) => {
                moment.sent += 1;
                let version = moment.sent;
                let order = Command::Replace { version, text: format!("configuration {version}") };
                moment.handle(n, Event::Command { client: ClientId(version), command: order }, false);
            }
            Step::Deaf(n) => {
                let active = |it: usize| moment.stores[it].replica.as_ref().is_some_and(Replica::is_leader);
                let primary = (0..3).find(|it| active(*it));
                let third = (0..3).find(|it| *it != n && Some(*it) != primary)?;
                moment.now += SILENCE;
                for step in [0, SHORT] {
                    moment.now += step;
                    if let Some(primary) = primary {
                        moment.heartbeat(primary, third);
                    }
                    moment.heartbeat(third, n);
                    moment.handle(n, Event::Tick { disk_healthy: true }, false);
                }
            }
            Step::Dies(n) => {
                moment.deaths += 1;
                moment.stores[n].writing.clear();
                let kept = moment.stores[n].kept.clone();
                moment.stores[n].replica = Some(begin(n, kept, moment.now));
            }
        }
        while self.taken_over && moment.stores.iter().any(|store| !store.writing.is_empty()) {
            (0..3).for_each(|n| moment.sync(n));
        }
        Some(moment)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what is acknowledged is held by whoever leads", |_, moment: &Moment| {
                let holds = |replica: &Replica| {
                    replica.committed_state().is_none_or(|held| held.version >= moment.acknowledged)
                };
                moment.leader().is_none_or(holds)
            }),
            Property::sometimes("a version is acknowledged", |_, moment: &Moment| moment.acknowledged > 0),
            Property::sometimes("a second epoch stands", |_, moment: &Moment| {
                moment.leader().is_some_and(|replica| replica.epoch() > 1)
            }),
        ]
    }
}

/// What is found within so many steps in every order, and how many moments were looked at.
fn found(stores: Stores, depth: usize) -> (Vec<&'static str>, usize) {
    let checker = stores.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("states={} depth={}", checker.unique_state_count(), checker.max_depth());
    let discoveries = checker.discoveries();
    // A loss is printed step by step.
    if let Some(lost) = discoveries.get("what is acknowledged is held by whoever leads") {
        for (moment, step) in lost.clone().into_vec() {
            match step {
                Some(Step::Deliver(place)) => {
                    let (to, envelope) = &moment.envelopes[place];
                    println!("  {} to {to}: {:?}", envelope.from.ip, envelope.message);
                }
                Some(other) => println!("  {other:?}"),
                None => {}
            }
        }
    }
    let mut found: Vec<&str> = discoveries.into_keys().collect();
    found.sort_unstable();
    (found, checker.unique_state_count())
}

#[test]
fn nothing_acknowledged_is_lost_from_a_standing_epoch_on() {
    let (found, states) = found(Stores::default(), 7);
    assert_eq!(found, ["a version is acknowledged"]);
    assert!(states > 10_000, "{states}");
}

#[test]
fn nothing_acknowledged_is_lost_while_another_takes_over() {
    let (found, states) = found(Stores { taken_over: true, unchecked: false }, 6);
    assert_eq!(found, ["a second epoch stands", "a version is acknowledged"]);
    assert!(states > 10_000, "{states}");
}

#[test]
fn without_the_receivers_check_a_write_of_an_old_epoch_is_acknowledged_and_lost() {
    let (found, _) = found(Stores { taken_over: true, unchecked: true }, 9);
    assert!(found.contains(&"what is acknowledged is held by whoever leads"), "{found:?}");
}
