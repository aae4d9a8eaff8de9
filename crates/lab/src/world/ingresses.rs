//! The emulated ingresses: each passes events to its decision logic, and the world executes the resulting commands.

use super::clients::TryResult;
use super::*;
use crate::adapter::{Adapter, Command};
use crate::reference::Reference;
use std::collections::BTreeSet;
use violetyoke_exchange::{AcceptedRequest, Exchange, FinalResponse};

/// Bits of an attempt's serial; the bits above hold the number of the ingress.
const SERIAL_BITS: u32 = 40;
/// Marks the serial of a duplicate attempt.
const DUPLICATE: u64 = 1 << (SERIAL_BITS - 1);

pub(super) enum DecisionLogic {
    Module(Box<Exchange<Adapter>>),
    Reference(Box<Reference>),
}

pub(super) struct Ingress {
    pub zone: u16,
    /// Incremented when the process dies.
    pub epoch: u32,
    pub down_since: Micros,
    logic: Option<DecisionLogic>,
    next_serial: u64,
    /// The earliest scheduled wake-up.
    next_wake_up: Micros,
    /// Tries without an answer.
    open: BTreeSet<RequestId>,
    /// For each try, whether its quota seemed sufficient before the call to the counter.
    quota_estimates: BTreeMap<RequestId, bool>,
    /// Token bucket of incoming messages: tokens, and the time of the last refill.
    intake: (f64, Micros),
}

impl Ingress {
    pub fn new(number: usize, experiment: &Experiment) -> Ingress {
        Ingress {
            zone: (number % usize::from(experiment.zones)) as u16,
            epoch: 0,
            down_since: 0,
            logic: None,
            next_serial: (number as u64) << SERIAL_BITS,
            next_wake_up: Micros::MAX,
            open: BTreeSet::new(),
            quota_estimates: BTreeMap::new(),
            intake: (0.0, 0),
        }
    }

    pub fn is_up(&self) -> bool {
        self.logic.is_some()
    }

    pub fn idle(&self) -> usize {
        match &self.logic {
            Some(DecisionLogic::Module(exchange)) => exchange.port.idle(),
            Some(DecisionLogic::Reference(reference)) => reference.adapter.idle(),
            None => 0,
        }
    }

    /// The adapter. The ingress must be up.
    pub fn adapter(&mut self) -> &mut Adapter {
        match self.logic.as_mut().expect("the ingress is up") {
            DecisionLogic::Module(exchange) => &mut exchange.port,
            DecisionLogic::Reference(reference) => &mut reference.adapter,
        }
    }

    /// Takes a token for a message. Returns false if the rate is exceeded; the burst is one second's worth.
    pub fn accepts_message(&mut self, now: Micros, rate: f64) -> bool {
        let (level, at) = self.intake;
        let level = (level + now.saturating_sub(at) as f64 / 1e6 * rate).min(rate.max(1.0));
        let takes = level >= 1.0;
        self.intake = (level - if takes { 1.0 } else { 0.0 }, now);
        takes
    }
}

impl World<'_> {
    pub(super) fn start_ingress(&mut self, number: usize) {
        if self.ingresses[number].is_up() {
            return;
        }
        let settings =
            Settings { index: number as u16, zone: self.ingresses[number].zone, ..self.settings.clone() };
        let ingress = &mut self.ingresses[number];
        let adapter = Adapter::new(ingress.next_serial);
        let seed = self.seed ^ ((number as u64) << 20) ^ u64::from(ingress.epoch);
        ingress.logic = Some(match self.policy {
            Policy::Module => {
                DecisionLogic::Module(Box::new(Exchange::new(self.now, settings, seed, adapter)))
            }
            Policy::Oracle | Policy::Random(_) => DecisionLogic::Reference(Box::new(Reference::new(adapter))),
        });
        ingress.next_wake_up = Micros::MAX;
        ingress.intake = (0.0, self.now);
        self.checker.on_ingress_started(number);
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(|node| !self.nodes[*node].is_removed).collect();
        self.send_list(number, ListKind::Full, &nodes);
    }

    /// Kills the process: its connections close, and its open tries get no answer.
    pub(super) fn kill_ingress(&mut self, number: usize) {
        let now = self.now;
        let ingress = &mut self.ingresses[number];
        if !ingress.is_up() {
            return;
        }
        ingress.adapter().close_all();
        self.execute_commands(number);
        let ingress = &mut self.ingresses[number];
        ingress.next_serial = ingress.adapter().next_serial();
        ingress.logic = None;
        ingress.epoch += 1;
        ingress.down_since = now;
        ingress.quota_estimates.clear();
        let open = std::mem::take(&mut ingress.open);
        let (first, last) = ((number as u64) << SERIAL_BITS, ((number as u64) + 1) << SERIAL_BITS);
        let out: Vec<u64> = self.flights.range(first..last).map(|(serial, _)| *serial).collect();
        out.into_iter().for_each(|serial| self.cancel(serial));
        for request in open {
            self.checker.on_orphaned(request);
            self.on_result(request, TryResult::Nothing);
        }
    }

    /// Passes an input to the exchange of an ingress and executes the resulting commands.
    pub(super) fn drive(&mut self, number: usize, input: impl FnOnce(&mut Exchange<Adapter>, Micros)) {
        if let Some(DecisionLogic::Module(exchange)) = &mut self.ingresses[number].logic {
            input(exchange, self.now);
            exchange.process_events(self.now);
        }
        self.execute_commands(number);
    }

    pub(super) fn on_wake_up(&mut self, number: usize, epoch: u32) {
        if self.ingresses[number].epoch != epoch {
            return;
        }
        self.ingresses[number].next_wake_up = Micros::MAX;
        self.drive(number, |exchange, now| exchange.fire_due(now));
    }

    pub(super) fn on_delivery(&mut self, request: RequestId) {
        let Some(pending) = self.tries.get(&request).filter(|pending| !pending.is_finished) else { return };
        let number = pending.ingress;
        if !self.ingresses[number].is_up() {
            // The connection is refused at once.
            return self.on_result(request, TryResult::Nothing);
        }
        let account = &self.accounts[pending.planned.demanded.account];
        let class = &self.experiment.classes[usize::from(pending.planned.demanded.class)].class;
        let timeout_factor =
            if self.injected_defect == Some(InjectedDefect::ExtendedDeadlines) { DEADLINE_FACTOR } else { 1 };
        let request_data = Request {
            id: request,
            class: pending.planned.demanded.class,
            plan: account.plan,
            customer: pending.planned.demanded.account as u64 + 1,
            units: pending.planned.demanded.units,
            gateway_count: f64::from(account.set.spread),
            first_gateway: f64::from(account.set.first),
            timeout: (pending.deadline - pending.arrived) * timeout_factor,
            is_retry: false,
            is_write: class.idempotency != Idempotency::Idempotent,
        };
        let until = pending.deadline + self.experiment.settings.safety.deadline_slack;
        let (arrived, effect) = (pending.arrived, class.idempotency);
        self.checker.on_accepted(request, effect, until);
        self.ingresses[number].open.insert(request);
        if self.policy == Policy::Module {
            let ingress = &mut self.ingresses[number];
            if let Some(DecisionLogic::Module(exchange)) = &ingress.logic {
                // A customer without known state is assumed to be within its quota.
                let standing = exchange.gateway().quota_state(request_data.customer);
                let has_quota = standing.is_none_or(|standing| standing.remaining >= request_data.units);
                ingress.quota_estimates.insert(request, has_quota);
            }
            self.drive(number, |exchange, now| {
                let accepted = AcceptedRequest {
                    request: request_data,
                    arrived_at: arrived,
                    is_admission_check: false,
                    claim: None,
                };
                exchange.accept_request(now, accepted, ());
            });
        } else {
            self.reference_takes(number, request);
            self.execute_commands(number);
        }
    }

    pub(super) fn abandoned(&mut self, number: usize, request: RequestId) {
        self.ingresses[number].open.remove(&request);
        self.ingresses[number].quota_estimates.remove(&request);
        match &mut self.ingresses[number].logic {
            Some(DecisionLogic::Module(_)) => {
                self.drive(number, |exchange, now| exchange.abandon_request(now, request));
            }
            Some(DecisionLogic::Reference(reference)) => {
                reference.abandoned(request);
                self.execute_commands(number);
            }
            None => {}
        }
    }

    /// The reference policy of an ingress that doesn't run the decision module.
    pub(crate) fn reference(&mut self, number: usize) -> Option<&mut Reference> {
        match &mut self.ingresses[number].logic {
            Some(DecisionLogic::Reference(reference)) => Some(reference),
            _ => None,
        }
    }

    /// Executes the commands of an ingress and schedules its next wake-up.
    pub(super) fn execute_commands(&mut self, number: usize) {
        if !self.ingresses[number].is_up() {
            return;
        }
        let epoch = self.ingresses[number].epoch;
        let mut commands = std::mem::take(&mut self.ingresses[number].adapter().commands);
        for command in commands.drain(..) {
            match command {
                Command::Attempt { serial, id, node, kept, sent } => {
                    self.record_quota_decision(number, id, Some(true));
                    self.attempt(number, serial, id, (node, kept, sent.clone()));
                    if self.injected_defect == Some(InjectedDefect::DuplicateAttempts) {
                        self.attempt(number, serial | DUPLICATE, id, (node, None, sent));
                    }
                }
                Command::Cancel { serial } => self.cancel(serial),
                Command::CounterCall { call, name, amount, ttl } => {
                    self.send_call(number, epoch, (call, name, amount, ttl));
                }
                Command::Answer { summary, response } => {
                    // Only this reason depends on a total.
                    let refused = (summary.reason == Some(RejectionReason::Quota)).then_some(false);
                    self.record_quota_decision(
                        number,
                        AttemptId { request: summary.request, number: 0 },
                        refused,
                    );
                    self.ingresses[number].open.remove(&summary.request);
                    self.checker.on_answered(self.now, summary.request);
                    if self.injected_defect == Some(InjectedDefect::DuplicateAnswers) {
                        self.checker.on_answered(self.now, summary.request);
                    }
                    self.on_result(
                        summary.request,
                        match response {
                            FinalResponse::Served(()) | FinalResponse::Admitted => TryResult::Served,
                            FinalResponse::Refused { retry_after } => {
                                TryResult::Refused { retry_after, why: summary.reason }
                            }
                            FinalResponse::Failed => TryResult::Failed { why: summary.reason },
                        },
                    );
                }
                Command::Close { node, epoch, connections } => {
                    let node = &mut self.nodes[node];
                    if node.epoch == epoch {
                        node.connections = node.connections.saturating_sub(connections);
                    }
                }
                Command::SendMessage { to, data } => self.send_message(number, to, data),
                Command::AttemptEnded(outcome) => {
                    if self.is_measuring() {
                        *self.outcome.ends.entry(format!("{outcome:?}")).or_default() += 1;
                    }
                }
                Command::Defect => self.outcome.defects += 1,
            }
        }
        let ingress = &mut self.ingresses[number];
        // Reuses the allocation.
        if ingress.adapter().commands.is_empty() {
            ingress.adapter().commands = commands;
        }
        if let Some(DecisionLogic::Module(exchange)) = &mut ingress.logic {
            if let Some(at) = exchange.next_due().filter(|at| *at < ingress.next_wake_up) {
                ingress.next_wake_up = at;
                self.events.schedule(at.max(self.now), WorldEvent::WakeUp { ingress: number, epoch });
            }
        }
    }

    /// Records the quota decision of a try. If a total led to another decision than the state known when the try
    /// arrived, the call changed the decision. Tries that are admitted and then wait for a node are not recorded.
    fn record_quota_decision(&mut self, number: usize, id: AttemptId, passes: Option<bool>) {
        if id.number == 0 {
            let before = self.ingresses[number].quota_estimates.remove(&id.request);
            let differs = before.is_some() && passes.is_some() && before != passes;
            self.outcome.calls.changed +=
                u64::from(self.is_total_being_processed && self.is_measuring() && differs);
        }
    }
}
