//! Three stores without chance: messages arrive at once unless a link is cut, syncs take as long as the test says, and
//! each order's outcome can be looked up.

#![allow(unreachable_pub, reason = "support modules are public to the tests")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use violetyoke_store::consensus::{
    ClientId, DurableState, Effect, Event, Millis, Replica, ReplicaOptions, WriteNumber,
};
use violetyoke_transport::messages::{Command, Envelope, Outcome};

const STORES: usize = 3;
const TICK: Millis = 50;

/// A write that a disk is at.
struct Sync {
    store: usize,
    number: WriteNumber,
    done: Millis,
}

pub struct Cluster {
    pub now: Millis,
    pub stores: Vec<Replica>,
    /// How long a sync takes (ms).
    pub sync_ms: Millis,
    syncs: VecDeque<Sync>,
    messages: VecDeque<(usize, Envelope)>,
    /// Links that nothing gets across, both ways.
    cut: BTreeSet<(usize, usize)>,
    orders: u64,
    answers: BTreeMap<u64, (Outcome, Millis)>,
}

pub fn replace(version: u64, text: &str) -> Command {
    Command::Replace { version, text: text.to_owned() }
}

fn ip(store: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, store as u8 + 1)
}

impl Cluster {
    /// Three stores whose first epoch is installed.
    pub fn start() -> Cluster {
        let seeds: Vec<Ipv4Addr> = (0..STORES).map(ip).collect();
        let options = |store: usize| ReplicaOptions {
            ip: ip(store),
            zone: ["a", "a", "b"][store].into(),
            seeds: seeds.clone(),
            fault_tolerance: 1,
            durable: DurableState::default(),
            new_disk_id: store as u64 + 1,
            is_bootstrap: true,
        };
        let stores = (0..STORES).map(|store| Replica::new(options(store), 1)).collect();
        let mut cluster = Cluster {
            now: 1,
            stores,
            sync_ms: 1,
            syncs: VecDeque::new(),
            messages: VecDeque::new(),
            cut: BTreeSet::new(),
            orders: 0,
            answers: BTreeMap::new(),
        };
        cluster.run_for(3_000);
        cluster
    }

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cut.extend([(one, other), (other, one)]);
    }

    pub fn join(&mut self, one: usize, other: usize) {
        self.cut.retain(|link| *link != (one, other) && *link != (other, one));
    }

    /// Cuts a store off from all others.
    pub fn isolate(&mut self, store: usize) {
        (0..STORES).filter(|other| *other != store).for_each(|other| self.cut(store, other));
    }

    /// The primary of the highest epoch.
    pub fn primary(&self) -> usize {
        let active = (0..STORES).filter(|store| self.stores[*store].is_leader());
        active.max_by_key(|store| self.stores[*store].epoch()).expect("a primary")
    }

    /// Gives a store an order, and the number to ask for its outcome with.
    pub fn give(&mut self, store: usize, order: Command) -> u64 {
        self.orders += 1;
        self.handle(store, Event::Command { client: ClientId(self.orders), command: order });
        self.orders
    }

    pub fn outcome(&self, order: u64) -> Option<Outcome> {
        self.answers.get(&order).map(|(outcome, _)| outcome.clone())
    }

    /// When an order was answered.
    pub fn answered_at(&self, order: u64) -> Option<Millis> {
        self.answers.get(&order).map(|(_, at)| *at)
    }

    /// Gives the primary an order and waits for its outcome.
    pub fn ask(&mut self, order: Command) -> Option<Outcome> {
        let primary = self.primary();
        let order = self.give(primary, order);
        self.run_for(1_000);
        self.outcome(order)
    }

    pub fn run_for(&mut self, time: Millis) {
        let until = self.now + time;
        while self.now < until {
            self.now += 1;
            self.finish_syncs();
            if self.now.is_multiple_of(TICK) {
                (0..STORES).for_each(|store| self.handle(store, Event::Tick { disk_healthy: true }));
            }
            self.deliver();
        }
    }

    fn finish_syncs(&mut self) {
        while let Some(place) = self.syncs.iter().position(|sync| sync.done <= self.now) {
            if let Some(sync) = self.syncs.remove(place) {
                self.handle(sync.store, Event::Persisted(sync.number));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((store, envelope)) = self.messages.pop_front() {
            self.handle(store, Event::Message(envelope));
        }
    }

    fn handle(&mut self, store: usize, event: Event) {
        let from = self.stores[store].node().clone();
        for effect in self.stores[store].handle(self.now, event) {
            match effect {
                Effect::Send { to, message } => {
                    let to = (0..STORES).find(|store| ip(*store) == to).expect("a store");
                    if !self.cut.contains(&(store, to)) {
                        self.messages.push_back((to, Envelope { from: from.clone(), message }));
                    }
                }
                Effect::Persist { number, .. } => {
                    // One write after the other on each disk.
                    let busy =
                        self.syncs.iter().filter(|sync| sync.store == store).map(|sync| sync.done).max();
                    let done = busy.unwrap_or(0).max(self.now) + self.sync_ms;
                    self.syncs.push_back(Sync { store, number, done });
                }
                Effect::Reply { client, outcome } => {
                    let again = self.answers.insert(client.0, (outcome, self.now));
                    assert_eq!(again, None, "order {client:?} is answered twice");
                }
                Effect::NotifyWatchers => {}
            }
        }
    }
}
