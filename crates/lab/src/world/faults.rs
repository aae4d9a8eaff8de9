//! Injects the faults of the experiment.

use super::*;
use crate::counter::Slowdown;
use crate::fault::{Fault, FaultKind, Target, VictimKind};
use rand::seq::SliceRandom;
use rand_distr::Exp1;

/// How long a replaced node drains before it ends.
const DRAIN: Micros = 2_000_000;

impl World<'_> {
    pub(super) fn start_fault(&mut self, number: usize) {
        let fault = self.experiment.faults[number].clone();
        if let Some(interval) = fault.mean_interval {
            let drawn: f64 = Exp1.sample(&mut self.faults_rng);
            self.events.schedule(
                self.now + (drawn * interval as f64) as Micros + 1,
                WorldEvent::FaultStarts(number),
            );
        }
        let victims = self.victims(&fault);
        let victim_count = victims.len().max(1) as u64;
        for (order, victim) in victims.into_iter().enumerate() {
            let at = self.now + fault.stagger * order as u64 / victim_count;
            self.events.schedule(at, WorldEvent::FaultHits { fault: number, victim });
        }
    }

    /// The numbers of the affected nodes, ingresses or counter parts; a single 0 if the fault affects the whole system.
    fn victims(&mut self, fault: &Fault) -> Vec<usize> {
        let all: Vec<usize> = match fault.kind.victims() {
            VictimKind::Node => (0..self.nodes.len()).filter(|node| !self.nodes[*node].is_removed).collect(),
            VictimKind::Ingress => (0..self.ingresses.len()).collect(),
            VictimKind::CounterPart => (0..self.counter.parts.len()).collect(),
            VictimKind::System => vec![0],
        };
        let on_nodes = fault.kind.victims() == VictimKind::Node;
        match fault.target {
            Target::One(number) => vec![number],
            Target::Zone(zone) if fault.kind == FaultKind::CutZone => vec![usize::from(zone)],
            Target::Zone(zone) => all
                .into_iter()
                .filter(|victim| {
                    let victim_zone =
                        if on_nodes { self.nodes[*victim].zone } else { self.ingresses[*victim].zone };
                    victim_zone == zone
                })
                .collect(),
            Target::Share(part) => {
                let mut all = all;
                all.shuffle(&mut self.faults_rng);
                let hit_count = (all.len() as f64 * part).round() as usize;
                all.truncate(hit_count.max(1));
                all
            }
        }
    }

    pub(super) fn inject(&mut self, number: usize, victim: usize) {
        let fault = self.experiment.faults[number].clone();
        let until = self.now + fault.duration;
        let heals = WorldEvent::FaultEnds { fault: number, victim };
        match fault.kind {
            FaultKind::KillNodes => self.kill_node(victim, Some(fault.duration)),
            FaultKind::SilenceNodes => {
                self.nodes[victim].is_silent = true;
                self.events.schedule(until, heals);
            }
            FaultKind::ReplaceNodes => {
                self.nodes[victim].is_draining = true;
                self.announce_node(victim);
                self.events.schedule(self.now + DRAIN, WorldEvent::NodeReplaced { node: victim });
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
                self.kill_ingress(victim);
                let after = if fault.duration > 0 { fault.duration } else { self.experiment.ingress_restart };
                self.events.schedule(self.now + after, WorldEvent::IngressStarts(victim));
            }
            FaultKind::CutZone => self.network_faults.zones[victim] = until,
            FaultKind::CutPeers => self.network_faults.peers[victim] = until,
            FaultKind::CutCounter => self.network_faults.counter[victim] = until,
            FaultKind::CutDiscovery => self.network_faults.discovery[victim] = until,
            FaultKind::SilenceCounter => self.counter.parts[victim].silent_until = until,
            FaultKind::SlowCounter => {
                self.counter.parts[victim].slowdown = Slowdown { factor: fault.magnitude.max(0.01), until }
            }
            FaultKind::DeafCounter => self.counter.parts[victim].answers_lost_until = until,
            FaultKind::EmptyCounter => self.counter.clear(),
            FaultKind::StopDiscovery => self.network_faults.lists_stopped = until,
            FaultKind::LoseMessages => self.network_faults.loss = (fault.magnitude.min(1.0), until),
            FaultKind::Surge => self.network_faults.surge = (fault.magnitude.max(0.01), until),
            FaultKind::ShiftDemand => self.shift_demand(),
        }
    }

    pub(super) fn end_fault(&mut self, number: usize, victim: usize) {
        let node = &mut self.nodes[victim];
        match self.experiment.faults[number].kind {
            FaultKind::SlowNodes => node.slowdown = 1.0,
            FaultKind::FailNodes => node.failure_share = 0.0,
            // The machine is reachable again, as after a restart.
            FaultKind::SilenceNodes => {
                self.kill_node(victim, None);
                let epoch = self.nodes[victim].epoch;
                self.nodes[victim].is_silent = false;
                self.start_node(victim, epoch);
            }
            _ => {}
        }
    }

    /// A drained node has ended; a new node replaces it.
    pub(super) fn on_node_replaced(&mut self, node_index: usize) {
        self.kill_node(node_index, None);
        self.nodes[node_index].is_removed = true;
        self.announce_node(node_index);
        let number = self.nodes.len();
        let (zone, speed) = (self.nodes[node_index].zone, self.nodes[node_index].speed);
        self.nodes.push(Node::new(format!("n{number}"), zone, speed, self.now));
        self.announce_node(number);
    }

    /// Moves demand between accounts, and the demand of each account between its ingresses.
    fn shift_demand(&mut self) {
        self.demand.shift();
        let part_skew = self.experiment.clients.part_skew;
        for account in &mut self.accounts {
            account.set.parts = demand::set_parts(account.set.spread, part_skew, &mut self.faults_rng);
        }
    }
}
