//! The script of faults, carried out.

use super::*;
use crate::fault::{Fault, Kind, Whom};
use rand::seq::SliceRandom;
use rand_distr::Exp1;

/// How long a node that is replaced goes on with what it has, before it ends.
const DRAIN: Micros = 2_000_000;

impl World<'_> {
    pub(super) fn trouble(&mut self, number: usize) {
        let fault = self.experiment.faults[number].clone();
        if let Some(every) = fault.every {
            let drawn: f64 = Exp1.sample(&mut self.faults_rng);
            self.heap.set(self.now + (drawn * every as f64) as Micros + 1, Happens::Trouble(number));
        }
        let victims = self.victims(&fault);
        let many = victims.len().max(1) as u64;
        for (place, victim) in victims.into_iter().enumerate() {
            let at = self.now + fault.over * place as u64 / many;
            self.heap.set(at, Happens::Hit { fault: number, victim });
        }
    }

    /// Who is hit: nodes, ingresses or parts of the counter by their numbers; one for all that is one.
    fn victims(&mut self, fault: &Fault) -> Vec<usize> {
        use Kind::*;
        let nodes = self.nodes.len();
        let all: Vec<usize> = match fault.kind {
            KillNodes | SilenceNodes | ReplaceNodes | SlowNodes | FailNodes | PauseNodes => {
                (0..nodes).filter(|node| !self.nodes[*node].gone).collect()
            }
            KillIngresses | CutPeers | CutCounter | CutDiscovery => (0..self.ingresses.len()).collect(),
            SilenceCounter | SlowCounter | DeafCounter => (0..self.counter.parts.len()).collect(),
            _ => vec![0],
        };
        let on_nodes = matches!(
            fault.kind,
            KillNodes | SilenceNodes | ReplaceNodes | SlowNodes | FailNodes | PauseNodes
        );
        match fault.whom {
            Whom::One(one) => vec![one],
            Whom::Zone(zone) if fault.kind == CutZone => vec![usize::from(zone)],
            Whom::Zone(zone) => all
                .into_iter()
                .filter(|one| {
                    let of = if on_nodes { self.nodes[*one].zone } else { self.ingresses[*one].zone };
                    of == zone
                })
                .collect(),
            Whom::Part(part) => {
                let mut all = all;
                all.shuffle(&mut self.faults_rng);
                let many = (all.len() as f64 * part).round() as usize;
                all.truncate(many.max(1));
                all
            }
        }
    }

    pub(super) fn hit(&mut self, number: usize, victim: usize) {
        use Kind::*;
        let fault = self.experiment.faults[number].clone();
        let until = self.now + fault.lasts;
        let heals = Happens::Healed { fault: number, victim };
        match fault.kind {
            KillNodes => self.node_dies(victim, Some(fault.lasts)),
            SilenceNodes => {
                self.nodes[victim].silent = true;
                self.heap.set(until, heals);
            }
            ReplaceNodes => {
                self.nodes[victim].draining = true;
                self.announce(victim);
                self.heap.set(self.now + DRAIN, Happens::Replaced { node: victim });
            }
            SlowNodes => {
                self.nodes[victim].slow = fault.by.max(0.01);
                self.heap.set(until, heals);
            }
            FailNodes => {
                self.nodes[victim].fails = fault.by.min(1.0);
                self.heap.set(until, heals);
            }
            PauseNodes => self.nodes[victim].paused_until = until,
            KillIngresses => {
                self.ingress_dies(victim);
                let after = if fault.lasts > 0 { fault.lasts } else { self.experiment.ingress_restart };
                self.heap.set(self.now + after, Happens::IngressStarts(victim));
            }
            CutZone => self.cuts.zones[victim] = until,
            CutPeers => self.cuts.peers[victim] = until,
            CutCounter => self.cuts.counter[victim] = until,
            CutDiscovery => self.cuts.discovery[victim] = until,
            SilenceCounter => self.counter.parts[victim].silent_until = until,
            SlowCounter => self.counter.parts[victim].slow = (fault.by.max(0.01), until),
            DeafCounter => self.counter.parts[victim].deaf_until = until,
            EmptyCounter => self.counter.empty(),
            StopDiscovery => self.cuts.lists_stopped = until,
            LoseMessages => self.cuts.loss = (fault.by.min(1.0), until),
            Surge => self.cuts.surge = (fault.by.max(0.01), until),
            ShiftDemand => self.shift(),
        }
    }

    pub(super) fn healed(&mut self, number: usize, victim: usize) {
        let node = &mut self.nodes[victim];
        match self.experiment.faults[number].kind {
            Kind::SlowNodes => node.slow = 1.0,
            Kind::FailNodes => node.fails = 0.0,
            // Back on the network, as a machine that was started anew.
            Kind::SilenceNodes => {
                self.node_dies(victim, None);
                let epoch = self.nodes[victim].epoch;
                self.nodes[victim].silent = false;
                self.node_starts(victim, epoch);
            }
            _ => {}
        }
    }

    /// A drained node has ended; another one takes its place.
    pub(super) fn replaced(&mut self, place: usize) {
        self.node_dies(place, None);
        self.nodes[place].gone = true;
        self.announce(place);
        let number = self.nodes.len();
        let (zone, speed) = (self.nodes[place].zone, self.nodes[place].speed);
        self.nodes.push(Node::new(format!("n{number}"), zone, speed, self.now));
        self.announce(number);
    }

    /// Demand moves between accounts, and each account's between its ingresses.
    fn shift(&mut self) {
        self.demand.shift();
        let uneven = self.experiment.clients.uneven;
        for account in &mut self.accounts {
            account.parts = demand::parts(account.spread, uneven, &mut self.faults_rng);
        }
    }
}
