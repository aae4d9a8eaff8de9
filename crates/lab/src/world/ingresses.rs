//! The emulated ingresses: each hands what happens to its decisions, and the world carries out what they ask for.

use super::clients::Got;
use super::*;
use crate::reference::Reference;
use crate::wires::{Command, Wires};
use std::collections::BTreeSet;
use violetyoke_exchange::{AcceptedRequest, Exchange, FinalResponse};

/// Serials of attempts: so many for each ingress.
const SERIALS: u32 = 40;
/// Marks the serial of a second copy.
const TWIN: u64 = 1 << (SERIALS - 1);

pub(super) enum Brain {
    Module(Box<Exchange<Wires>>),
    Reference(Box<Reference>),
}

pub(super) struct Ingress {
    pub zone: u16,
    /// Rises with each start.
    pub epoch: u32,
    pub down_since: Micros,
    brain: Option<Brain>,
    next_serial: u64,
    /// The earliest wake-up that is set.
    wakes: Micros,
    /// Its tries that have no answer yet.
    open: BTreeSet<RequestId>,
    /// What was known of a try before its call to the counter: whether its quota had room.
    believed: BTreeMap<RequestId, bool>,
    /// Messages that it can take in, and as of when.
    intake: (f64, Micros),
}

impl Ingress {
    pub fn new(number: usize, experiment: &Experiment) -> Ingress {
        Ingress {
            zone: (number % usize::from(experiment.zones)) as u16,
            epoch: 0,
            down_since: 0,
            brain: None,
            next_serial: (number as u64) << SERIALS,
            wakes: Micros::MAX,
            open: BTreeSet::new(),
            believed: BTreeMap::new(),
            intake: (0.0, 0),
        }
    }

    pub fn up(&self) -> bool {
        self.brain.is_some()
    }

    pub fn idle(&self) -> usize {
        match &self.brain {
            Some(Brain::Module(exchange)) => exchange.port.idle(),
            Some(Brain::Reference(reference)) => reference.wires.idle(),
            None => 0,
        }
    }

    /// Its wires; it must be up.
    pub fn wires(&mut self) -> &mut Wires {
        match self.brain.as_mut().expect("it is up") {
            Brain::Module(exchange) => &mut exchange.port,
            Brain::Reference(reference) => &mut reference.wires,
        }
    }

    /// Whether it takes in one more message: a second's worth at once at most.
    pub fn takes_message(&mut self, now: Micros, a_second: f64) -> bool {
        let (level, at) = self.intake;
        let level = (level + now.saturating_sub(at) as f64 / 1e6 * a_second).min(a_second.max(1.0));
        let takes = level >= 1.0;
        self.intake = (level - if takes { 1.0 } else { 0.0 }, now);
        takes
    }
}

impl World<'_> {
    pub(super) fn ingress_starts(&mut self, number: usize) {
        if self.ingresses[number].up() {
            return;
        }
        let settings =
            Settings { index: number as u16, zone: self.ingresses[number].zone, ..self.settings.clone() };
        let ingress = &mut self.ingresses[number];
        let wires = Wires::new(ingress.next_serial);
        let seed = self.seed ^ ((number as u64) << 20) ^ u64::from(ingress.epoch);
        ingress.brain = Some(match self.policy {
            Policy::Module => Brain::Module(Box::new(Exchange::new(self.now, settings, seed, wires))),
            Policy::Oracle | Policy::Random(_) => Brain::Reference(Box::new(Reference::new(wires))),
        });
        ingress.wakes = Micros::MAX;
        ingress.intake = (0.0, self.now);
        self.checker.on_ingress_started(number);
        let nodes: Vec<usize> = (0..self.nodes.len()).filter(|node| !self.nodes[*node].is_removed).collect();
        self.tell_nodes(number, ListKind::Full, &nodes);
    }

    /// The process is killed: its connections break, and what it had taken has no answer.
    pub(super) fn ingress_dies(&mut self, number: usize) {
        let now = self.now;
        let ingress = &mut self.ingresses[number];
        if !ingress.up() {
            return;
        }
        ingress.wires().close_all();
        self.perform(number);
        let ingress = &mut self.ingresses[number];
        ingress.next_serial = ingress.wires().next_serial();
        ingress.brain = None;
        ingress.epoch += 1;
        ingress.down_since = now;
        ingress.believed.clear();
        let open = std::mem::take(&mut ingress.open);
        let (first, last) = ((number as u64) << SERIALS, ((number as u64) + 1) << SERIALS);
        let out: Vec<u64> = self.flights.range(first..last).map(|(serial, _)| *serial).collect();
        out.into_iter().for_each(|serial| self.withdraw(serial));
        for request in open {
            self.checker.on_orphaned(request);
            self.got(request, Got::Nothing);
        }
    }

    /// Lets an ingress's decisions have their say, and carries out what they ask for.
    pub(super) fn drive(&mut self, number: usize, say: impl FnOnce(&mut Exchange<Wires>, Micros)) {
        if let Some(Brain::Module(exchange)) = &mut self.ingresses[number].brain {
            say(exchange, self.now);
            exchange.process_events(self.now);
        }
        self.perform(number);
    }

    pub(super) fn wake(&mut self, number: usize, epoch: u32) {
        if self.ingresses[number].epoch != epoch {
            return;
        }
        self.ingresses[number].wakes = Micros::MAX;
        self.drive(number, |exchange, now| exchange.fire_due(now));
    }

    pub(super) fn delivered(&mut self, request: RequestId) {
        let Some(held) = self.tries.get(&request).filter(|held| !held.over) else { return };
        let number = held.ingress;
        if !self.ingresses[number].up() {
            // Refused at once: nobody listens there.
            return self.got(request, Got::Nothing);
        }
        let account = &self.accounts[held.coming.demanded.account];
        let class = &self.experiment.classes[usize::from(held.coming.demanded.class)].class;
        let patience = if self.sabotage == Some(Sabotage::Patience) { PATIENCE } else { 1 };
        let words = Request {
            id: request,
            class: held.coming.demanded.class,
            plan: account.plan,
            customer: held.coming.demanded.account as u64 + 1,
            units: held.coming.demanded.units,
            gateway_count: f64::from(account.set.spread),
            first_gateway: f64::from(account.set.first),
            timeout: (held.deadline - held.arrived) * patience,
            is_retry: false,
            is_write: class.idempotency != Idempotency::Idempotent,
        };
        let until = held.deadline + self.experiment.settings.safety.deadline_slack;
        let (arrived, effect) = (held.arrived, class.idempotency);
        self.checker.on_accepted(request, effect, until);
        self.ingresses[number].open.insert(request);
        if self.policy == Policy::Module {
            let ingress = &mut self.ingresses[number];
            if let Some(Brain::Module(exchange)) = &ingress.brain {
                // A customer that nothing is known of is taken to be within its quota.
                let standing = exchange.gateway().quota_state(words.customer);
                let believed = standing.is_none_or(|standing| standing.remaining >= words.units);
                ingress.believed.insert(request, believed);
            }
            self.drive(number, |exchange, now| {
                let accepted = AcceptedRequest {
                    request: words,
                    arrived_at: arrived,
                    is_admission_check: false,
                    claim: None,
                };
                exchange.accept_request(now, accepted, ());
            });
        } else {
            self.reference_takes(number, request);
            self.perform(number);
        }
    }

    pub(super) fn abandoned(&mut self, number: usize, request: RequestId) {
        self.ingresses[number].open.remove(&request);
        self.ingresses[number].believed.remove(&request);
        match &mut self.ingresses[number].brain {
            Some(Brain::Module(_)) => {
                self.drive(number, |exchange, now| exchange.abandon_request(now, request));
            }
            Some(Brain::Reference(reference)) => {
                reference.abandoned(request);
                self.perform(number);
            }
            None => {}
        }
    }

    /// The reference that decides at an ingress which runs none of the module.
    pub(crate) fn reference(&mut self, number: usize) -> Option<&mut Reference> {
        match &mut self.ingresses[number].brain {
            Some(Brain::Reference(reference)) => Some(reference),
            _ => None,
        }
    }

    /// Carries out what an ingress has asked for, and sets its next wake-up.
    pub(super) fn perform(&mut self, number: usize) {
        if !self.ingresses[number].up() {
            return;
        }
        let epoch = self.ingresses[number].epoch;
        let mut commands = std::mem::take(&mut self.ingresses[number].wires().out);
        for command in commands.drain(..) {
            match command {
                Command::Attempt { serial, id, node, kept, sent } => {
                    self.believed(number, id, Some(true));
                    self.attempt(number, serial, id, (node, kept, sent.clone()));
                    if self.sabotage == Some(Sabotage::SendsTwice) {
                        self.attempt(number, serial | TWIN, id, (node, None, sent));
                    }
                }
                Command::Withdraw { serial } => self.withdraw(serial),
                Command::Count { call, name, amount, life } => {
                    self.call(number, epoch, (call, name, amount, life));
                }
                Command::Answer { summary, response } => {
                    // Only this rule speaks of a total.
                    let refused = (summary.reason == Some(RejectionReason::Quota)).then_some(false);
                    self.believed(number, AttemptId { request: summary.request, number: 0 }, refused);
                    self.ingresses[number].open.remove(&summary.request);
                    self.checker.on_answered(self.now, summary.request);
                    if self.sabotage == Some(Sabotage::AnswersTwice) {
                        self.checker.on_answered(self.now, summary.request);
                    }
                    self.got(
                        summary.request,
                        match response {
                            FinalResponse::Served(()) | FinalResponse::Admitted => Got::Served,
                            FinalResponse::Refused { retry_after } => {
                                Got::Refused { retry_after, why: summary.reason }
                            }
                            FinalResponse::Failed => Got::Failed { why: summary.reason },
                        },
                    );
                }
                Command::Close { node, epoch, many } => {
                    let node = &mut self.nodes[node];
                    if node.epoch == epoch {
                        node.connections = node.connections.saturating_sub(many);
                    }
                }
                Command::Tell { to, data } => self.send_message(number, to, data),
                Command::Ended(outcome) => {
                    if self.counts() {
                        *self.outcome.ends.entry(format!("{outcome:?}")).or_default() += 1;
                    }
                }
                Command::Defect => self.outcome.defects += 1,
            }
        }
        let ingress = &mut self.ingresses[number];
        // Room that was grown once is used again.
        if ingress.wires().out.is_empty() {
            ingress.wires().out = commands;
        }
        if let Some(Brain::Module(exchange)) = &mut ingress.brain {
            if let Some(at) = exchange.next_due().filter(|at| *at < ingress.wakes) {
                ingress.wakes = at;
                self.events.schedule(at.max(self.now), Happens::Wake { ingress: number, epoch });
            }
        }
    }

    /// A try's quota has been decided. If a total did it, and otherwise than what was known when the try came, its
    /// call has made a difference. One that is let in and then waits for a node is not seen here.
    fn believed(&mut self, number: usize, id: AttemptId, passes: Option<bool>) {
        if id.number == 0 {
            let before = self.ingresses[number].believed.remove(&id.request);
            let differs = before.is_some() && passes.is_some() && before != passes;
            self.outcome.calls.changed += u64::from(self.by_total && self.counts() && differs);
        }
    }
}
