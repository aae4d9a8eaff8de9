//! The script of faults, carried out.

use super::*;
use crate::counter::Slowdown;
use crate::fault::{Fault, FaultKind, Target, VictimKind};
use rand::seq::SliceRandom;
use rand_distr::Exp1;

/// How long a node that is replaced goes on with what it has, before it ends.
const DRAIN: Micros = 2_000_000;

impl World<'_> {
    pub(super) fn trouble(&mut self, number: usize) {
        let fault = self.experiment.faults[number].clone();
        if let Some(interval) = fault.mean_interval {
            let drawn: f64 = Exp1.sample(&mut self.faults_rng);
            self.events
                .schedule(self.now + (drawn * interval as f64) as Micros + 1, Happens::Trouble(number));
        }
        let victims = self.victims(&fault);
        let many = victims.len().max(1) as u64;
        for (place, victim) in victims.into_iter().enumerate() {
            let at = self.now + fault.stagger * place as u64 / many;
            self.events.schedule(at, Happens::Hit { fault: number, victim });
        }
    }

    /// Who is hit: nodes, ingresses or parts of the counter by their numbers; one for all that is one.
    fn victims(&mut self, fault: &Fault) -> Vec<usize> {
        let all: Vec<usize> = match fault.kind.victims() {
            VictimKind::Node => (0..self.nodes.len()).filter(|node| !self.nodes[*node].is_removed).collect(),
            VictimKind::Ingress => (0..self.ingresses.len()).collect(),
            VictimKind::CounterPart => (0..self.counter.parts.len()).collect(),
            VictimKind::System => vec![0],
        };
        let on_nodes = fault.kind.victims() == VictimKind::Node;
        match fault.target {
            Target::One(one) => vec![one],
            Target::Zone(zone) if fault.kind == FaultKind::CutZone => vec![usize::from(zone)],
            Target::Zone(zone) => all
                .into_iter()
                .filter(|one| {
                    let of = if on_nodes { self.nodes[*one].zone } else { self.ingresses[*one].zone };
                    of == zone
                })
                .collect(),
            Target::Share(part) => {
                let mut all = all;
                all.shuffle(&mut self.faults_rng);
                let many = (all.len() as f64 * part).round() as usize;
                all.truncate(many.max(1));
                all
            }
        }
    }

    pub(super) fn hit(&mut self, number: usize, victim: usize) {
        let fault = self.experiment.faults[number].clone();
        let until = self.now + fault.duration;
        let heals = Happens::Healed { fault: number, victim };
        match fault.kind {
            FaultKind::KillNodes => self.node_dies(victim, Some(fault.duration)),
            FaultKind::SilenceNodes => {
                self.nodes[victim].is_silent = true;
                self.events.schedule(until, heals);
            }
            FaultKind::ReplaceNodes => {
                self.nodes[victim].is_draining = true;
                self.announce(victim);
                self.events.schedule(self.now + DRAIN, Happens::Replaced { node: victim });
            }
            FaultKind::SlowNodes => {
                self.nodes[victim].slowdown = fault.magnitude.max(0.01);
                self.events.schedule(until, heals);
            }
            FaultKind::FailNodes => {
                self.nodes[victim].failure_share = fault.magnitude.min(1.0);
                self.events.schedule(until, heals);
            }
            FaultKind::PauseNodes => self.nodes[victim].paused_until = until,
            FaultKind::KillIngresses => {
                self.ingress_dies(victim);
                let after = if fault.duration > 0 { fault.duration } else { self.experiment.ingress_restart };
                self.events.schedule(self.now + after, Happens::IngressStarts(victim));
            }
            FaultKind::CutZone => self.cuts.zones[victim] = until,
            FaultKind::CutPeers => self.cuts.peers[victim] = until,
            FaultKind::CutCounter => self.cuts.counter[victim] = until,
            FaultKind::CutDiscovery => self.cuts.discovery[victim] = until,
            FaultKind::SilenceCounter => self.counter.parts[victim].silent_until = until,
            FaultKind::SlowCounter => {
                self.counter.parts[victim].slowdown = Slowdown { factor: fault.magnitude.max(0.01), until }
            }
            FaultKind::DeafCounter => self.counter.parts[victim].answers_lost_until = until,
            FaultKind::EmptyCounter => self.counter.clear(),
            FaultKind::StopDiscovery => self.cuts.lists_stopped = until,
            FaultKind::LoseMessages => self.cuts.loss = (fault.magnitude.min(1.0), until),
            FaultKind::Surge => self.cuts.surge = (fault.magnitude.max(0.01), until),
            FaultKind::ShiftDemand => self.shift(),
        }
    }

    pub(super) fn healed(&mut self, number: usize, victim: usize) {
        let node = &mut self.nodes[victim];
        match self.experiment.faults[number].kind {
            FaultKind::SlowNodes => node.slowdown = 1.0,
            FaultKind::FailNodes => node.failure_share = 0.0,
            // Back on the network, as a machine that was started anew.
            FaultKind::SilenceNodes => {
                self.node_dies(victim, None);
                let epoch = self.nodes[victim].epoch;
                self.nodes[victim].is_silent = false;
                self.node_starts(victim, epoch);
            }
            _ => {}
        }
    }

    /// A drained node has ended; another one takes its place.
    pub(super) fn replaced(&mut self, place: usize) {
        self.node_dies(place, None);
        self.nodes[place].is_removed = true;
        self.announce(place);
        let number = self.nodes.len();
        let (zone, speed) = (self.nodes[place].zone, self.nodes[place].speed);
        self.nodes.push(Node::new(format!("n{number}"), zone, speed, self.now));
        self.announce(number);
    }

    /// Demand moves between accounts, and each account's between its ingresses.
    fn shift(&mut self) {
        self.demand.shift();
        let part_skew = self.experiment.clients.part_skew;
        for account in &mut self.accounts {
            account.set.parts = demand::set_parts(account.set.spread, part_skew, &mut self.faults_rng);
        }
    }
}
