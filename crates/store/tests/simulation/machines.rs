//! A machine: its process while it runs, and its disk.

use super::events::Scheduled;
use super::{Cluster, Millis};
use std::net::Ipv4Addr;
use violetyoke_store::consensus::{DurableState, Event, Replica, ReplicaOptions, WriteNumber};
use violetyoke_store::disk::{decode_slot, SlotCursor};

/// A disk that takes longer for one state does not answer.
const DISK_LATE: Millis = 600;

/// A state that a store has asked to be kept, and the disk has not synced yet.
pub struct Writing {
    pub number: WriteNumber,
    pub state: DurableState,
    pub asked: Millis,
}

pub struct Machine {
    pub ip: Ipv4Addr,
    pub zone: String,
    pub seeds: Vec<Ipv4Addr>,
    pub replica: Option<Replica>,
    /// Bytes of both slots, as `disk` writes them.
    slots: [Vec<u8>; 2],
    turn: SlotCursor,
    /// What is asked to be kept and is not yet, in order.
    pub writing: Vec<Writing>,
    /// The number of the one that is being written.
    in_flight: Option<WriteNumber>,
    pub stalled_until: Millis,
    /// How many times as long a sync takes.
    pub disk_slowness: u64,
    pub frozen_until: Millis,
    /// What reached the process while it was frozen.
    pub late: Vec<Event>,
    /// Which process of this machine it is.
    pub life: u64,
    pub started: Millis,
    /// Since when it is to leave (SIGTERM).
    pub leaves: Option<Millis>,
    /// It is gone for good.
    pub removed: bool,
}

impl Machine {
    pub fn new(number: usize, seeds: Vec<Ipv4Addr>) -> Machine {
        Machine {
            ip: address(number),
            zone: if number % 3 == 1 { "b" } else { "a" }.into(),
            seeds,
            replica: None,
            slots: [Vec::new(), Vec::new()],
            turn: SlotCursor::default(),
            writing: Vec::new(),
            in_flight: None,
            stalled_until: 0,
            disk_slowness: 1,
            frozen_until: 0,
            late: Vec::new(),
            life: 0,
            started: 0,
            leaves: None,
            removed: false,
        }
    }

    /// Takes the newest state that waits; its number, where the disk is free and one waits.
    pub fn begin_write(&mut self) -> Option<WriteNumber> {
        if self.in_flight.is_some() {
            return None;
        }
        // A later state holds all that an earlier one does.
        self.in_flight = self.writing.last().map(|writing| writing.number);
        self.in_flight
    }

    /// A state that the disk has synced; whether that was still awaited.
    pub fn synced(&mut self, number: WriteNumber) -> bool {
        let Some(place) = self.writing.iter().position(|writing| writing.number == number) else {
            return false;
        };
        let Some(written) = self.writing.drain(..=place).next_back() else { return false };
        self.slots[self.turn.slot()] = self.turn.encode(&written.state).expect("encoded");
        self.turn.advance();
        self.in_flight = None;
        true
    }

    /// A lying disk takes all that waits, and writes nothing.
    pub fn forget_writes(&mut self) {
        self.writing.clear();
        self.in_flight = None;
    }

    /// The disk answers, as the daemon judges it.
    pub fn disk_answers(&self, now: Millis) -> bool {
        self.writing.first().is_none_or(|writing| now < writing.asked + DISK_LATE)
    }

    /// The process ends. With the power, what is not synced is lost, and the slot that was being written may be torn.
    fn end(&mut self, power: bool, tear: u64) {
        self.replica = None;
        self.late.clear();
        self.leaves = None;
        let in_flight = self.in_flight.take();
        let written = self.writing.iter().find(|writing| Some(writing.number) == in_flight);
        if let Some(Writing { state, .. }) = written {
            let whole = self.turn.encode(state).expect("encoded");
            match (tear, power) {
                (0, _) => {}
                (1, true) => self.slots[self.turn.slot()] = whole[..whole.len() / 2].to_vec(),
                // Bytes that a process wrote stay when only the process dies.
                _ => self.slots[self.turn.slot()] = whole,
            }
        }
        self.writing.clear();
    }
}

pub fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, number as u8 + 1)
}

impl Cluster {
    pub(super) fn start(&mut self, n: usize, bootstrap: bool) {
        let drawn = self.random.below(u64::MAX - 1) + 1;
        let (now, fault_tolerance) = (self.now, self.tolerance);
        let machine = &mut self.machines[n];
        let (turn, kept) =
            SlotCursor::recover([decode_slot(&machine.slots[0]), decode_slot(&machine.slots[1])]);
        machine.turn = turn;
        let options = ReplicaOptions {
            ip: machine.ip,
            zone: machine.zone.clone(),
            seeds: machine.seeds.clone(),
            fault_tolerance,
            durable: kept.unwrap_or_default(),
            new_disk_id: drawn,
            is_bootstrap: bootstrap,
        };
        machine.life += 1;
        machine.started = now;
        machine.replica = Some(Replica::new(options, now));
    }

    /// A store asks its disk to keep a state.
    pub(super) fn keep(&mut self, n: usize, number: WriteNumber, state: DurableState) {
        if state.config.epoch >= self.newest_config.epoch {
            self.newest_config = state.config.clone();
        }
        let machine = &mut self.machines[n];
        machine.writing.push(Writing { number, state, asked: self.now });
        let life = machine.life;
        if self.lying_disks {
            // Never written: what a sync that was skipped leaves behind.
            machine.forget_writes();
            self.at(self.now + 1, Scheduled::Lied { to: n, life, number });
        } else {
            self.begin_write(n);
        }
    }

    /// A disk that is free takes the newest state that waits.
    pub(super) fn begin_write(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        let (life, slowness) = (machine.life, machine.disk_slowness);
        let Some(number) = machine.begin_write() else { return };
        let took = (1 + self.random.below(6)) * slowness;
        self.at(self.now + took, Scheduled::Synced { to: n, life, number });
    }

    pub fn kill(&mut self, n: usize, power: bool) {
        let tear = self.random.below(3);
        self.machines[n].end(power, tear);
    }

    pub fn wipe(&mut self, n: usize) {
        self.kill(n, true);
        self.machines[n].slots = [Vec::new(), Vec::new()];
    }

    pub fn restart(&mut self, n: usize) {
        if self.machines[n].replica.is_none() && !self.machines[n].removed {
            self.start(n, false);
        }
    }

    pub fn up(&self, n: usize) -> bool {
        self.machines[n].replica.is_some()
    }

    /// Nothing that a machine sends arrives.
    pub fn cut_from(&mut self, n: usize) {
        for other in 0..self.machines.len() {
            self.network.cut(n, other);
        }
    }

    /// Nothing arrives at a machine.
    pub fn cut_to(&mut self, n: usize) {
        for other in 0..self.machines.len() {
            self.network.cut(other, n);
        }
    }

    /// A SIGTERM: the process ends when others have taken over, or after a while, and does not come back.
    pub fn leave(&mut self, n: usize) {
        self.machines[n].leaves = Some(self.now);
        self.event(n, Event::Shutdown);
    }

    /// An empty machine at another address; its number.
    pub fn add_machine(&mut self) -> usize {
        let n = self.machines.len();
        let members = self.machines.iter().filter(|machine| !machine.removed);
        let seeds = members.map(|machine| machine.ip).take(3).collect();
        self.machines.push(Machine::new(n, seeds));
        self.start(n, false);
        self.schedule.add(self.now + 1, Scheduled::Tick { to: n });
        n
    }
}
