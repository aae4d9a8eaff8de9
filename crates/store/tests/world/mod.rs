//! Stores in virtual time, seeded: links with delays and cuts, disks that stall, tear and vanish, processes that are
//! killed, frozen and come back. Its rules are taken from what clients were answered, never from a store's own belief.

// Each test file uses a part of it.
#![allow(dead_code)]

mod clients;
mod due;
mod faults;
pub mod operator;

use clients::Asked;
pub use due::Chance;
use due::{Due, LetterBox};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::Ipv4Addr;
use violetyoke_store::disk::{self, Turn};
use violetyoke_store::register::{Durable, Effect, Event, Register, Start};
use violetyoke_transport::messages::{Envelope, Order};

pub type Millis = u64;

/// A machine: its process while it runs, and its disk.
pub struct Machine {
    pub ip: Ipv4Addr,
    zone: String,
    pub register: Option<Register>,
    /// Bytes of both slots, as `disk` writes them.
    slots: [Vec<u8>; 2],
    turn: Turn,
    /// What is asked to be kept and is not yet: number of the ask, state, when it is done.
    writing: Vec<(u64, Durable, Millis)>,
    pub stalled_until: Millis,
    pub frozen_until: Millis,
    late: Vec<Event>,
    life: u64,
}

pub struct World {
    pub now: Millis,
    pub chance: Chance,
    pub machines: Vec<Machine>,
    due: BinaryHeap<std::cmp::Reverse<(Millis, u64, Due)>>,
    count: u64,
    /// Pairs that envelopes don't get across, from and to.
    pub cut: BTreeSet<(usize, usize)>,
    asked: BTreeMap<u64, Asked>,
    /// The newest configuration that was acknowledged to anybody, and what was sent under each number.
    pub acked: u64,
    pub sent: BTreeMap<u64, String>,
    pub acks: u64,
    pub reads: u64,
    /// Who led under each epoch, by what it answered with authority.
    pub broken: Vec<String>,
    tolerance: u32,
    /// Disks say that they have synced what they have not: the negative control.
    pub lying_disks: bool,
}

impl World {
    pub fn new(seed: u64, machines: usize, tolerance: u32) -> World {
        let seeds: Vec<Ipv4Addr> =
            (0..machines.min(3)).map(|n| Ipv4Addr::new(10, 0, 0, n as u8 + 1)).collect();
        let mut world = World {
            now: 1,
            chance: Chance(seed),
            machines: Vec::new(),
            due: BinaryHeap::new(),
            count: 0,
            cut: BTreeSet::new(),
            asked: BTreeMap::new(),
            acked: 0,
            sent: BTreeMap::new(),
            acks: 0,
            reads: 0,
            broken: Vec::new(),
            tolerance,
            lying_disks: false,
        };
        for n in 0..machines {
            let zone = if n % 3 == 1 { "b" } else { "a" };
            world.machines.push(Machine {
                ip: Ipv4Addr::new(10, 0, 0, n as u8 + 1),
                zone: zone.into(),
                register: None,
                slots: [Vec::new(), Vec::new()],
                turn: Turn::default(),
                writing: Vec::new(),
                stalled_until: 0,
                frozen_until: 0,
                late: Vec::new(),
                life: 0,
            });
        }
        for n in 0..machines {
            world.start(n, &seeds, true);
            world.at(1 + n as u64, Due::Tick { to: n });
        }
        world
    }

    fn at(&mut self, when: Millis, due: Due) {
        self.count += 1;
        self.due.push(std::cmp::Reverse((when, self.count, due)));
    }

    fn start(&mut self, n: usize, seeds: &[Ipv4Addr], bootstrap: bool) {
        let drawn = self.chance.below(u64::MAX - 1) + 1;
        let now = self.now;
        let machine = &mut self.machines[n];
        let (turn, kept) = Turn::after([disk::read(&machine.slots[0]), disk::read(&machine.slots[1])]);
        machine.turn = turn;
        let start = Start {
            ip: machine.ip,
            zone: machine.zone.clone(),
            seeds: seeds.to_vec(),
            tolerance: self.tolerance,
            kept: kept.unwrap_or_default(),
        };
        machine.life += 1;
        machine.register = Some(Register::new(start, now, drawn, bootstrap));
    }

    /// A client gives a store an order.
    pub fn order(&mut self, n: usize, order: Order) {
        self.count += 1;
        let client = self.count;
        if let Order::Replace { version, text } = &order {
            self.sent.insert(*version, text.clone());
        }
        self.asked.insert(client, Asked { order: order.clone(), acked: self.acked });
        self.event(n, Event::Order { client, order });
    }

    pub fn run(&mut self, until: Millis) {
        while let Some(std::cmp::Reverse((when, ..))) = self.due.peek() {
            if *when > until {
                break;
            }
            let Some(std::cmp::Reverse((when, _, due))) = self.due.pop() else { break };
            self.now = when;
            match due {
                Due::Envelope { to, envelope } => self.event(to, Event::Envelope(*envelope.1)),
                Due::Tick { to } => {
                    let disk = self.now >= self.machines[to].stalled_until + 600
                        || self.now < self.machines[to].stalled_until.saturating_sub(3_000)
                        || self.machines[to].writing.is_empty();
                    self.event(to, Event::Tick { disk });
                    let step = 45 + self.chance.below(10);
                    self.at(when + step, Due::Tick { to });
                }
                Due::Lied { to, life, number } => {
                    if self.machines[to].life == life {
                        self.event(to, Event::Kept(number));
                    }
                }
                Due::Kept { to, life, number } => {
                    let machine = &mut self.machines[to];
                    if machine.life == life && machine.register.is_some() {
                        if let Some(place) = machine.writing.iter().position(|(asked, ..)| *asked == number) {
                            let state = machine.writing[place].1.clone();
                            machine.writing.drain(..=place);
                            machine.slots[machine.turn.slot] = machine.turn.bytes(&state);
                            machine.turn.done();
                            self.event(to, Event::Kept(number));
                        }
                    }
                }
            }
        }
        self.now = until;
    }

    fn event(&mut self, n: usize, event: Event) {
        let now = self.now;
        let machine = &mut self.machines[n];
        if machine.register.is_none() {
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
            let Some(register) = &mut self.machines[n].register else { return };
            for effect in register.handle(now, event) {
                self.effect(n, effect);
            }
        }
    }

    fn effect(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let Some(place) = self.machines.iter().position(|machine| machine.ip == to) else { return };
                if self.cut.contains(&(n, place)) || !self.up(place) {
                    return;
                }
                let Some(register) = &self.machines[n].register else { return };
                let envelope =
                    LetterBox(self.count, Box::new(Envelope { from: register.member().clone(), message }));
                let delay = self.chance.below(4);
                self.at(self.now + delay, Due::Envelope { to: place, envelope });
            }
            Effect::Keep { number, state } => {
                let took = 1 + self.chance.below(6);
                let machine = &mut self.machines[n];
                let done =
                    machine.writing.last().map_or(0, |(.., at)| *at).max(self.now).max(machine.stalled_until)
                        + took;
                machine.writing.push((number, state, done));
                let life = machine.life;
                if self.lying_disks {
                    // Never written: what a sync that was skipped leaves behind.
                    machine.writing.clear();
                    self.at(self.now + 1, Due::Lied { to: n, life, number });
                } else {
                    self.at(done, Due::Kept { to: n, life, number });
                }
            }
            Effect::Answer { client, outcome } => self.answered(client, outcome),
            Effect::Publish => {
                let committed = self.machines[n].register.as_ref().and_then(Register::committed).cloned();
                if let Some(held) = committed.filter(|held| held.version > 0) {
                    self.known(&held, "told");
                }
            }
        }
    }
}
