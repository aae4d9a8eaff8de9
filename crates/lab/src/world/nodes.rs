//! Attempts: delivery to nodes, execution there, and their results.

use super::*;
use crate::adapter::Kept;
use crate::node::Placement;

/// Time that a node takes to fail a request, in microseconds.
const FAILS_IN: Micros = 1_000;

impl World<'_> {
    /// An ingress starts an attempt.
    pub(super) fn attempt(
        &mut self,
        ingress: usize,
        serial: u64,
        id: AttemptId,
        route: (usize, Option<Kept>, Rc<Cell<bool>>),
    ) {
        let (node, kept, sent) = route;
        let Some(pending) = self.tries.get(&id.request) else { return };
        let work = pending.planned.demanded.work;
        self.checker.on_attempt_sent(self.now, id.request, serial, ingress, node);
        self.outcome.attempts += u64::from(self.is_measuring());
        let node_epoch = kept.map_or(self.nodes[node].epoch, |kept| kept.epoch);
        let flight = AttemptInFlight {
            id,
            ingress,
            node,
            node_epoch,
            sent,
            idle_time: kept.map(|kept| kept.idle_time),
            work,
            is_cancelled: false,
            connected: kept.is_some(),
            at_node: false,
            fails: false,
        };
        self.flights.insert(serial, flight);
        let (ingress_zone, node_zone) = (self.ingresses[ingress].zone, self.nodes[node].zone);
        if self.nodes[node].is_silent || self.is_partitioned(ingress_zone, node_zone) {
            return;
        }
        let delay = self.link_delay(ingress_zone, node_zone);
        match kept {
            Some(kept) if kept.epoch != self.nodes[node].epoch || !self.nodes[node].is_up => {
                self.events.schedule(
                    self.now + 2 * delay,
                    WorldEvent::AttemptEnded { serial, outcome: AttemptOutcome::Stale },
                );
            }
            Some(_) => self.events.schedule(self.now + delay, WorldEvent::RequestArrives(serial)),
            None if !self.nodes[node].is_up => {
                self.events.schedule(
                    self.now + 2 * delay,
                    WorldEvent::AttemptEnded { serial, outcome: AttemptOutcome::ConnectFailed },
                );
            }
            // One round trip opens the connection, and the first message of the handshake arrives after another delay.
            None => self.events.schedule(self.now + 3 * delay, WorldEvent::ConnectionRequest(serial)),
        }
    }

    /// Cancels an attempt and closes its connection. A node still completes work that it has started.
    pub(super) fn cancel(&mut self, serial: u64) {
        let Some(flight) = self.flights.get_mut(&serial) else { return };
        flight.is_cancelled = true;
        let node = &mut self.nodes[flight.node];
        if std::mem::take(&mut flight.connected) && node.epoch == flight.node_epoch {
            node.connections = node.connections.saturating_sub(1);
        }
        self.checker.on_attempt_ended(flight.id.request, serial);
        if !flight.at_node {
            self.flights.remove(&serial);
        }
    }

    /// Sends the result of an attempt to its ingress, unless the network is partitioned.
    fn send_result(&mut self, serial: u64, outcome: AttemptOutcome) {
        let Some(flight) = self.flights.get(&serial) else { return };
        let (ingress_zone, node_zone) = (self.ingresses[flight.ingress].zone, self.nodes[flight.node].zone);
        if self.nodes[flight.node].is_silent || self.is_partitioned(ingress_zone, node_zone) {
            return;
        }
        let delay = self.link_delay(ingress_zone, node_zone);
        self.events.schedule(self.now + delay, WorldEvent::AttemptEnded { serial, outcome });
    }

    pub(super) fn on_connection_request(&mut self, serial: u64) {
        let Some(flight) = self.flights.get_mut(&serial) else { return };
        let node = &mut self.nodes[flight.node];
        if node.is_silent {
            return;
        }
        flight.node_epoch = node.epoch;
        if !node.is_up || node.connections >= self.node_settings.connections {
            return self.send_result(serial, AttemptOutcome::ConnectFailed);
        }
        node.connections += 1;
        (flight.connected, flight.at_node) = (true, true);
        let node_index = flight.node;
        self.outcome.handshakes += u64::from(self.is_measuring());
        match self.nodes[node_index].place(Job::Handshake(serial), &self.node_settings) {
            Placement::Started => self.work_on(node_index, Job::Handshake(serial)),
            Placement::Queued | Placement::QueueFull => {}
        }
    }

    pub(super) fn on_connected(&mut self, serial: u64) {
        let Some(flight) = self.flights.get(&serial) else { return };
        flight.sent.set(true);
        let (ingress_zone, node_zone) = (self.ingresses[flight.ingress].zone, self.nodes[flight.node].zone);
        if self.is_partitioned(ingress_zone, node_zone) {
            return;
        }
        let delay = self.link_delay(ingress_zone, node_zone);
        self.events.schedule(self.now + delay, WorldEvent::RequestArrives(serial));
    }

    /// The last byte of a request arrives at a node.
    pub(super) fn on_request(&mut self, serial: u64) {
        let Some(flight) = self.flights.get(&serial) else { return };
        let (node_index, id, work) = (flight.node, flight.id, flight.work);
        let node = &mut self.nodes[node_index];
        if node.is_silent {
            return;
        }
        if node.epoch != flight.node_epoch || !node.is_up {
            return self.send_result(serial, AttemptOutcome::Reset);
        }
        if id.number == 0 {
            self.charge(id.request);
        }
        let node = &mut self.nodes[node_index];
        if node.is_draining {
            return self.send_result(serial, AttemptOutcome::Full);
        }
        if node.add_work(self.now, work, &self.node_settings) {
            self.checker.on_pushed_over();
            self.outcome.falls += u64::from(self.is_measuring());
            let restart = self.experiment.nodes.restart;
            return self.kill_node(node_index, Some(restart));
        }
        match node.place(Job::Attempt(serial), &self.node_settings) {
            Placement::QueueFull => return self.send_result(serial, AttemptOutcome::Full),
            Placement::Started => self.work_on(node_index, Job::Attempt(serial)),
            Placement::Queued => {}
        }
        if let Some(flight) = self.flights.get_mut(&serial) {
            flight.at_node = true;
        }
    }

    /// Charges the units of a try when its first attempt arrives at a node.
    fn charge(&mut self, request: RequestId) {
        let is_measuring = self.is_measuring();
        let Some(pending) = self.tries.get_mut(&request) else { return };
        let (demanded, now) = (&pending.planned.demanded, self.now);
        let account = &mut self.accounts[demanded.account];
        let over_quota_units = account.quota.as_mut().map_or(0.0, |quota| quota.take(now, demanded.units));
        let past = account.ceiling.as_mut().map_or(0.0, |ceiling| ceiling.take(now, demanded.units));
        if past > 0.0 {
            self.checker.on_past_ceiling(past);
        }
        pending.over_quota_units = over_quota_units;
        if is_measuring {
            let plan = &self.experiment.plans[usize::from(account.plan)].plan;
            let class = &self.experiment.classes[usize::from(demanded.class)].class;
            let cost = over_quota_units / demanded.units * plan.over_quota_cost * class.value * plan.value;
            self.outcome.units += demanded.units;
            self.outcome.beyond_units += over_quota_units;
            *self.outcome.prices.entry("beyond_quota".into()).or_default() += cost;
        }
    }

    fn work_on(&mut self, node_index: usize, job: Job) {
        let node = &mut self.nodes[node_index];
        let (serial, took) = match job {
            Job::Handshake(serial) => {
                (serial, node.work_time(self.now, self.node_settings.handshake as f64, &self.node_settings))
            }
            Job::Attempt(serial) => {
                let Some(flight) = self.flights.get_mut(&serial) else { return };
                self.checker.on_executed(flight.id.request);
                flight.fails =
                    node.failure_share > 0.0 && self.nodes_rng.random::<f64>() < node.failure_share;
                let duration = node.work_time(self.now, flight.work, &self.node_settings);
                (serial, if flight.fails { FAILS_IN } else { duration })
            }
        };
        node.working.push(serial);
        let epoch = node.epoch;
        self.events.schedule(self.now + took, WorldEvent::JobDone { node: node_index, epoch, job, took });
    }

    pub(super) fn on_job_done(&mut self, node_index: usize, epoch: u32, job: Job, took: Micros) {
        let node = &mut self.nodes[node_index];
        if node.epoch != epoch {
            return;
        }
        if self.now < node.paused_until {
            let at = node.paused_until + 1;
            return self.events.schedule(at, WorldEvent::JobDone { node: node_index, epoch, job, took });
        }
        let (Job::Handshake(serial) | Job::Attempt(serial)) = job;
        node.working.retain(|other| *other != serial);
        node.busy += took as f64;
        let is_measuring = self.is_measuring();
        self.outcome.work += if is_measuring { took as f64 } else { 0.0 };
        if let Some(flight) = self.flights.get_mut(&serial) {
            flight.at_node = false;
            if flight.is_cancelled {
                self.outcome.useless_work += if is_measuring { took as f64 } else { 0.0 };
                self.flights.remove(&serial);
            } else if let Job::Handshake(_) = job {
                let (ingress_zone, node_zone) =
                    (self.ingresses[flight.ingress].zone, self.nodes[node_index].zone);
                let delay = self.link_delay(ingress_zone, node_zone);
                self.events.schedule(self.now + delay, WorldEvent::Connected(serial));
            } else {
                let outcome = if flight.fails { AttemptOutcome::Error } else { AttemptOutcome::Ok };
                self.send_result(serial, outcome);
            }
        }
        while self.nodes[node_index].working.len() < self.node_settings.workers {
            let Some(next) = self.nodes[node_index].queue.pop_front() else { break };
            let (Job::Handshake(serial) | Job::Attempt(serial)) = next;
            // A cancelled attempt is not started.
            if self.flights.get(&serial).is_some_and(|flight| flight.is_cancelled) {
                self.flights.remove(&serial);
            } else {
                self.work_on(node_index, next);
            }
        }
    }

    /// The result of an attempt arrives at its ingress.
    pub(super) fn on_attempt_ended(&mut self, serial: u64, outcome: AttemptOutcome) {
        let Some(flight) = self.flights.remove(&serial) else { return };
        let now = self.now;
        self.checker.on_attempt_ended(flight.id.request, serial);
        let node = &mut self.nodes[flight.node];
        let load = (node.working.len() + node.queue.len()) as f64;
        let report = match self.experiment.nodes.reports {
            true => vec![load, node.queue.len() as f64],
            false => Vec::new(),
        };
        let kept = matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Full)
            && flight.connected;
        let adapter = self.ingresses[flight.ingress].adapter();
        if kept {
            adapter.keep(now, flight.node, flight.node_epoch);
        } else if flight.connected && node.epoch == flight.node_epoch {
            node.connections = node.connections.saturating_sub(1);
        }
        let carried = flight.sent.get().then_some(Event::ConnectionUsed {
            idle: flight.idle_time,
            broken: matches!(outcome, AttemptOutcome::Reset | AttemptOutcome::Stale),
        });
        if self.policy == Policy::Module {
            self.drive(flight.ingress, |exchange, now| {
                carried.into_iter().for_each(|carried| exchange.enqueue(carried));
                exchange.attempt_ended(now, flight.id, outcome, report, ());
            });
        } else {
            self.reference_ended(flight.ingress, flight.id, outcome);
            self.execute_commands(flight.ingress);
        }
    }

    /// Kills the process of a node and schedules its restart, if there is one.
    pub(super) fn kill_node(&mut self, node_index: usize, back_after: Option<Micros>) {
        if !self.nodes[node_index].is_up {
            return;
        }
        let lost = self.nodes[node_index].kill();
        for serial in lost {
            let Some(flight) = self.flights.get_mut(&serial) else { continue };
            flight.at_node = false;
            flight.connected = false;
            if flight.is_cancelled {
                self.flights.remove(&serial);
            } else {
                let ran = flight.sent.get();
                self.send_result(
                    serial,
                    if ran { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed },
                );
            }
        }
        if let Some(after) = back_after {
            let epoch = self.nodes[node_index].epoch;
            self.events.schedule(self.now + after, WorldEvent::NodeStarts { node: node_index, epoch });
        }
    }

    pub(super) fn start_node(&mut self, node_index: usize, epoch: u32) {
        let node = &mut self.nodes[node_index];
        if node.epoch == epoch && !node.is_removed {
            node.start(self.now);
            self.announce_node(node_index);
        }
    }
}
