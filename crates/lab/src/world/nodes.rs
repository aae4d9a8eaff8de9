//! Attempts on their way to nodes, in their hands, and back.

use super::*;
use crate::node::Placement;
use crate::wires::Kept;

/// How long a node takes to fail a request at once (us).
const FAILS_IN: Micros = 1_000;

impl World<'_> {
    /// An ingress begins an attempt.
    pub(super) fn attempt(
        &mut self,
        ingress: usize,
        serial: u64,
        id: AttemptId,
        way: (usize, Option<Kept>, Rc<Cell<bool>>),
    ) {
        let (node, kept, sent) = way;
        let Some(held) = self.tries.get(&id.request) else { return };
        let work = held.coming.demanded.work;
        self.checker.on_attempt_sent(self.now, id.request, serial, ingress, node);
        self.outcome.attempts += u64::from(self.counts());
        let node_epoch = kept.map_or(self.nodes[node].epoch, |kept| kept.epoch);
        let flight = Flight {
            id,
            ingress,
            node,
            node_epoch,
            sent,
            unused: kept.map(|kept| kept.unused),
            work,
            withdrawn: false,
            connected: kept.is_some(),
            at_node: false,
            errs: false,
        };
        self.flights.insert(serial, flight);
        let (one, other) = (self.ingresses[ingress].zone, self.nodes[node].zone);
        if self.nodes[node].is_silent || self.apart(one, other) {
            return;
        }
        let way = self.way(one, other);
        match kept {
            Some(kept) if kept.epoch != self.nodes[node].epoch || !self.nodes[node].is_up => {
                self.events.schedule(self.now + 2 * way, Happens::Ended { serial, outcome: Outcome_::Stale });
            }
            Some(_) => self.events.schedule(self.now + way, Happens::Offered(serial)),
            None if !self.nodes[node].is_up => {
                self.events.schedule(
                    self.now + 2 * way,
                    Happens::Ended { serial, outcome: Outcome_::ConnectFailed },
                );
            }
            // There and back, and there again with what begins a handshake.
            None => self.events.schedule(self.now + 3 * way, Happens::Connects(serial)),
        }
    }

    /// Nobody waits for it any more, and its connection is closed. What a node has begun it works on.
    pub(super) fn withdraw(&mut self, serial: u64) {
        let Some(flight) = self.flights.get_mut(&serial) else { return };
        flight.withdrawn = true;
        let node = &mut self.nodes[flight.node];
        if std::mem::take(&mut flight.connected) && node.epoch == flight.node_epoch {
            node.connections = node.connections.saturating_sub(1);
        }
        self.checker.on_attempt_ended(flight.id.request, serial);
        if !flight.at_node {
            self.flights.remove(&serial);
        }
    }

    /// What a node says goes back to the ingress, if the way is open.
    fn back(&mut self, serial: u64, outcome: Outcome_) {
        let Some(flight) = self.flights.get(&serial) else { return };
        let (one, other) = (self.ingresses[flight.ingress].zone, self.nodes[flight.node].zone);
        if self.nodes[flight.node].is_silent || self.apart(one, other) {
            return;
        }
        let way = self.way(one, other);
        self.events.schedule(self.now + way, Happens::Ended { serial, outcome });
    }

    pub(super) fn connects(&mut self, serial: u64) {
        let Some(flight) = self.flights.get_mut(&serial) else { return };
        let node = &mut self.nodes[flight.node];
        if node.is_silent {
            return;
        }
        flight.node_epoch = node.epoch;
        if !node.is_up || node.connections >= self.node_settings.connections {
            return self.back(serial, Outcome_::ConnectFailed);
        }
        node.connections += 1;
        (flight.connected, flight.at_node) = (true, true);
        let place = flight.node;
        self.outcome.handshakes += u64::from(self.counts());
        match self.nodes[place].place(Job::Handshake(serial), &self.node_settings) {
            Placement::Started => self.work_on(place, Job::Handshake(serial)),
            Placement::Queued | Placement::QueueFull => {}
        }
    }

    pub(super) fn connected(&mut self, serial: u64) {
        let Some(flight) = self.flights.get(&serial) else { return };
        flight.sent.set(true);
        let (one, other) = (self.ingresses[flight.ingress].zone, self.nodes[flight.node].zone);
        if self.apart(one, other) {
            return;
        }
        let way = self.way(one, other);
        self.events.schedule(self.now + way, Happens::Offered(serial));
    }

    /// A request's last byte has come to a node.
    pub(super) fn offered(&mut self, serial: u64) {
        let Some(flight) = self.flights.get(&serial) else { return };
        let (place, id, work) = (flight.node, flight.id, flight.work);
        let node = &mut self.nodes[place];
        if node.is_silent {
            return;
        }
        if node.epoch != flight.node_epoch || !node.is_up {
            return self.back(serial, Outcome_::Reset);
        }
        if id.number == 0 {
            self.charge(id.request);
        }
        let node = &mut self.nodes[place];
        if node.is_draining {
            return self.back(serial, Outcome_::Full);
        }
        if node.add_work(self.now, work, &self.node_settings) {
            self.checker.on_pushed_over();
            self.outcome.falls += u64::from(self.counts());
            let restart = self.experiment.nodes.restart;
            return self.node_dies(place, Some(restart));
        }
        match node.place(Job::Attempt(serial), &self.node_settings) {
            Placement::QueueFull => return self.back(serial, Outcome_::Full),
            Placement::Started => self.work_on(place, Job::Attempt(serial)),
            Placement::Queued => {}
        }
        if let Some(flight) = self.flights.get_mut(&serial) {
            flight.at_node = true;
        }
    }

    /// A try takes its units: its first attempt has come to a node.
    fn charge(&mut self, request: RequestId) {
        let counts = self.counts();
        let Some(held) = self.tries.get_mut(&request) else { return };
        let (demanded, now) = (&held.coming.demanded, self.now);
        let account = &mut self.accounts[demanded.account];
        let beyond = account.quota.as_mut().map_or(0.0, |quota| quota.take(now, demanded.units));
        let past = account.ceiling.as_mut().map_or(0.0, |ceiling| ceiling.take(now, demanded.units));
        if past > 0.0 {
            self.checker.on_past_ceiling(past);
        }
        held.beyond = beyond;
        if counts {
            let plan = &self.experiment.plans[usize::from(account.plan)].plan;
            let class = &self.experiment.classes[usize::from(demanded.class)].class;
            let cost = beyond / demanded.units * plan.over_quota_cost * class.value * plan.value;
            self.outcome.units += demanded.units;
            self.outcome.beyond_units += beyond;
            *self.outcome.prices.entry("beyond_quota".into()).or_default() += cost;
        }
    }

    fn work_on(&mut self, place: usize, job: Job) {
        let node = &mut self.nodes[place];
        let (serial, took) = match job {
            Job::Handshake(serial) => {
                (serial, node.work_time(self.now, self.node_settings.handshake as f64, &self.node_settings))
            }
            Job::Attempt(serial) => {
                let Some(flight) = self.flights.get_mut(&serial) else { return };
                self.checker.on_executed(flight.id.request);
                flight.errs = node.failure_share > 0.0 && self.nodes_rng.random::<f64>() < node.failure_share;
                let takes = node.work_time(self.now, flight.work, &self.node_settings);
                (serial, if flight.errs { FAILS_IN } else { takes })
            }
        };
        node.working.push(serial);
        let epoch = node.epoch;
        self.events.schedule(self.now + took, Happens::Done { node: place, epoch, job, took });
    }

    pub(super) fn done(&mut self, place: usize, epoch: u32, job: Job, took: Micros) {
        let node = &mut self.nodes[place];
        if node.epoch != epoch {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until + 1;
            return self.events.schedule(at, Happens::Done { node: place, epoch, job, took });
        }
        let (Job::Handshake(serial) | Job::Attempt(serial)) = job;
        node.working.retain(|other| *other != serial);
        node.busy += took as f64;
        let counts = self.counts();
        self.outcome.work += if counts { took as f64 } else { 0.0 };
        if let Some(flight) = self.flights.get_mut(&serial) {
            flight.at_node = false;
            if flight.withdrawn {
                self.outcome.useless_work += if counts { took as f64 } else { 0.0 };
                self.flights.remove(&serial);
            } else if let Job::Handshake(_) = job {
                let (one, other) = (self.ingresses[flight.ingress].zone, self.nodes[place].zone);
                let way = self.way(one, other);
                self.events.schedule(self.now + way, Happens::Connected(serial));
            } else {
                let outcome = if flight.errs { Outcome_::Error } else { Outcome_::Ok };
                self.back(serial, outcome);
            }
        }
        while self.nodes[place].working.len() < self.node_settings.workers {
            let Some(next) = self.nodes[place].queue.pop_front() else { break };
            let (Job::Handshake(serial) | Job::Attempt(serial)) = next;
            // One that nobody waits for any more is not begun.
            if self.flights.get(&serial).is_some_and(|flight| flight.withdrawn) {
                self.flights.remove(&serial);
            } else {
                self.work_on(place, next);
            }
        }
    }

    /// An attempt's end has come to its ingress.
    pub(super) fn ended(&mut self, serial: u64, outcome: Outcome_) {
        let Some(flight) = self.flights.remove(&serial) else { return };
        let now = self.now;
        self.checker.on_attempt_ended(flight.id.request, serial);
        let node = &mut self.nodes[flight.node];
        let load = (node.working.len() + node.queue.len()) as f64;
        let report = match self.experiment.nodes.reports {
            true => vec![load, node.queue.len() as f64],
            false => Vec::new(),
        };
        let kept = matches!(outcome, Outcome_::Ok | Outcome_::Error | Outcome_::Full) && flight.connected;
        let wires = self.ingresses[flight.ingress].wires();
        if kept {
            wires.keep(now, flight.node, flight.node_epoch);
        } else if flight.connected && node.epoch == flight.node_epoch {
            node.connections = node.connections.saturating_sub(1);
        }
        let carried = flight.sent.get().then_some(Event::ConnectionUsed {
            idle: flight.unused,
            broken: matches!(outcome, Outcome_::Reset | Outcome_::Stale),
        });
        if self.policy == Policy::Module {
            self.drive(flight.ingress, |exchange, now| {
                carried.into_iter().for_each(|carried| exchange.enqueue(carried));
                exchange.attempt_ended(now, flight.id, outcome, report, ());
            });
        } else {
            self.reference_ended(flight.ingress, flight.id, outcome);
            self.perform(flight.ingress);
        }
    }

    /// A node's process dies, and comes back after a while, if at all.
    pub(super) fn node_dies(&mut self, place: usize, back_after: Option<Micros>) {
        if !self.nodes[place].is_up {
            return;
        }
        let lost = self.nodes[place].kill();
        for serial in lost {
            let Some(flight) = self.flights.get_mut(&serial) else { continue };
            flight.at_node = false;
            flight.connected = false;
            if flight.withdrawn {
                self.flights.remove(&serial);
            } else {
                let ran = flight.sent.get();
                self.back(serial, if ran { Outcome_::Reset } else { Outcome_::ConnectFailed });
            }
        }
        if let Some(after) = back_after {
            let epoch = self.nodes[place].epoch;
            self.events.schedule(self.now + after, Happens::NodeStarts { node: place, epoch });
        }
    }

    pub(super) fn node_starts(&mut self, place: usize, epoch: u32) {
        let node = &mut self.nodes[place];
        if node.epoch == epoch && !node.is_removed {
            node.start(self.now);
            self.announce(place);
        }
    }
}
