//! The driver of a pool: the single task that owns the pool's exchange. It passes on what the sockets report,
//! in order, and the lists of backends.

use super::backend::{Backend, ConnectionBudget};
use super::config::Names;
use super::decision_log::DecisionLog;
use super::discovery::{Phase, Target, TargetList};
use super::embedded_counter::CounterLocation;
use super::exchange_port::{PendingClient, SocketPort};
use super::handover_state::HandoverState;
use super::peers::PeerSocket;
use super::pool::Pool;
use super::task_scheduler;
use super::{ClientAnswer, ClientRequest, Clock, Message, Messages};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};
use violetyoke_decision::interface::*;
use violetyoke_exchange::{AcceptedRequest, AttemptId, BackendIds, Exchange};
use violetyoke_operations::ManualEjections;

/// Maximum number of messages received at once.
const BATCH: usize = 256;

/// The initial state of a driver.
pub struct DriverSetup {
    pub settings: Settings,
    pub names: Names,
    pub seed: u64,
    pub budget: Rc<ConnectionBudget>,
    /// The last known list of backends.
    pub initial_targets: TargetList,
    pub counter: Option<CounterLocation>,
    pub peers: Option<PeerSocket>,
    /// Backends that operators have ejected.
    pub ejections: ManualEjections,
    /// Whether this process takes over from one that is still running.
    pub predecessor_alive: bool,
    /// The state that the other process has handed over.
    pub imported_state: Option<Box<HandoverState>>,
}

pub struct Driver {
    clock: Clock,
    exchange: Exchange<SocketPort>,
    names: Names,
    pool: Rc<Pool>,
    /// Whether the pool has been removed; the driver ends once no request is open.
    retiring: bool,
    ejections: ManualEjections,
    budget: Rc<ConnectionBudget>,
}

impl Driver {
    pub fn new(setup: DriverSetup, clock: Clock, messages: Messages, pool: Rc<Pool>) -> Driver {
        let DriverSetup {
            settings,
            names,
            seed,
            budget,
            initial_targets,
            counter,
            peers,
            ejections,
            predecessor_alive,
            imported_state,
        } = setup;
        let timeout = settings.counter.map_or(0, |counter| counter.timeout);
        let mut port = SocketPort {
            clock,
            messages,
            pool: pool.clone(),
            counter: None,
            peers,
            report_fields: settings.report_fields.clone().into(),
            backend_ids: BackendIds::default(),
            backends: HashMap::new(),
            listed_targets: HashMap::new(),
            max_idle: 0,
            decision_log: DecisionLog::open(&settings, &names.classes, &names.plans),
        };
        port.counter = counter.map(|location| port.open_counter(location, timeout));
        let exchange = Exchange::new(clock.now(), settings, seed, port);
        let mut driver = Driver { clock, exchange, names, pool, retiring: false, ejections, budget };
        driver.update_targets(TargetList { cached: true, complete: true, ..initial_targets });
        driver.exchange.process_events(clock.now());
        driver.exchange.gateway_mut().set_overlapping(predecessor_alive);
        if let Some(imported_state) = imported_state {
            driver.import_state(*imported_state);
        }
        driver
    }

    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut batch = Vec::with_capacity(BATCH);
        let mut wake = Box::pin(sleep_until(Instant::now()));
        let mut wake_time = None;
        loop {
            let next = self.exchange.next_due();
            if let Some(next) = next.filter(|next| wake_time != Some(*next)) {
                wake.as_mut().reset(self.clock.instant(next).into());
                wake_time = Some(next);
            }
            tokio::select! {
                biased;
                taken = inbox.recv_many(&mut batch, BATCH) => if taken == 0 { return },
                () = wake.as_mut() => wake_time = None,
            }
            for message in batch.drain(..) {
                let charged_member = match &message {
                    Message::Request(request) => {
                        request.charged_member.map(|member| (member, Instant::now()))
                    }
                    _ => None,
                };
                let now = self.clock.now();
                self.handle_message(now, message);
                self.exchange.process_events(now);
                if let Some((member, started_at)) = charged_member {
                    task_scheduler::charge(member, started_at.elapsed().as_micros() as u64);
                }
            }
            if self.retiring && self.pool.open_requests() == 0 && self.exchange.is_idle() {
                return;
            }
            self.exchange.fire_due(self.clock.now());
        }
    }

    fn handle_message(&mut self, now: Micros, message: Message) {
        let exchange = &mut self.exchange;
        match message {
            Message::Request(request) => self.accept_request(now, request),
            Message::Abandoned(request) => exchange.abandon_request(now, request),
            Message::AttemptEnded { request, attempt, outcome, report, body, connection_event } => {
                connection_event.into_iter().for_each(|connection_event| exchange.enqueue(connection_event));
                let id = AttemptId { request, number: attempt };
                exchange.attempt_ended(now, id, outcome, report, ClientAnswer::Complete(body));
            }
            Message::StreamingStarted { request, attempt, report, first, rest } => {
                let id = AttemptId { request, number: attempt };
                exchange.attempt_ended(now, id, Outcome::Ok, report, ClientAnswer::Streaming(first, rest));
            }
            Message::CounterCallEnded { call, outcome, total } => {
                exchange.counter_call_ended(now, call, outcome, total);
            }
            Message::Targets(list) => self.update_targets(list),
            // The previous counter's task ends once its calls are answered or its connection is closed.
            Message::CounterReplaced(location) => {
                let counter = exchange.port.open_counter(location, exchange.counter_timeout());
                exchange.port.counter = Some(counter);
                exchange.gateway_mut().counter_replaced();
            }
            Message::Reconfigure(changed) => self.reconfigure(now, changed.0, changed.1),
            Message::SetManualEjection { node, ejected, reply } => {
                let _ = reply.send(self.set_manual_ejection(&node, ejected));
            }
            Message::ManualEjections(stored) => {
                let changed = self.ejections.update_from(&stored, now);
                changed.iter().for_each(|node| self.report_target(node));
            }
            Message::ExportState(reply) => {
                if let Err(unsent) = reply.send(self.export_state()) {
                    self.exchange.gateway_mut().reclaim_state(now, &unsent.learned_state);
                }
            }
            Message::PredecessorEnded => exchange.gateway_mut().set_overlapping(false),
            Message::ReclaimState(exported) => {
                exchange.gateway_mut().reclaim_state(now, &exported.learned_state);
            }
            Message::Retire => self.retiring = true,
            Message::Withdrawn(request) => exchange.enqueue(Event::Withdrawn { request }),
            Message::AddToClaim { claim, amount, reply } => exchange.add_to_claim(now, claim, amount, reply),
            Message::FromPeer { from, data } => exchange.enqueue(Event::PeerMessage { from, data }),
        }
    }

    #[cold]
    fn export_state(&mut self) -> Box<HandoverState> {
        let learned_state = self.exchange.gateway_mut().export_state(self.clock.now());
        let port = &self.exchange.port;
        let (nodes, restored_nodes) =
            (port.listed_targets.values().cloned().collect(), self.ejections.restored().clone());
        Box::new(HandoverState::new(
            nodes,
            port.backend_ids.as_map(),
            &self.names,
            restored_nodes,
            learned_state,
        ))
    }

    /// Starts with the state of an older process, whose list of backends is newer than the one in the
    /// configuration.
    #[cold]
    fn import_state(&mut self, mut imported_state: HandoverState) {
        self.ejections.import_restored(std::mem::take(&mut imported_state.restored_nodes));
        if let Some(list) = imported_state.take_target_list() {
            self.update_targets(list);
            self.exchange.process_events(self.clock.now());
        }
        let learned_state =
            imported_state.into_learned_state(self.exchange.port.backend_ids.as_map(), &self.names);
        let ((nodes, accounts), now) = (learned_state.entry_counts(), self.clock.now());
        let age = now.saturating_sub(learned_state.exported_at()) / 1000;
        let imported = self.exchange.gateway_mut().import_state(now, learned_state);
        let result = if imported { "imported" } else { "too old" };
        eprintln!("state handover: {result}: {nodes} nodes, {accounts} accounts, {age} ms ago");
    }

    fn reconfigure(&mut self, now: Micros, settings: Settings, names: Names) {
        let port = &mut self.exchange.port;
        if let Some(decision_log) = &mut port.decision_log {
            decision_log.update_settings(&settings, &names.classes, &names.plans);
        }
        port.report_fields = settings.report_fields.clone().into();
        self.names = names;
        self.exchange.reconfigure(now, settings);
    }

    fn accept_request(&mut self, now: Micros, request: ClientRequest) {
        if let Some(decision_log) = &mut self.exchange.port.decision_log {
            decision_log.on_request_started(&request);
        }
        let ClientRequest { forward, reply, .. } = request;
        let is_write = forward.as_ref().is_some_and(|forward| forward.method != hyper::Method::GET);
        let accepted = AcceptedRequest {
            request: Request {
                id: request.id,
                class: request.class,
                plan: request.plan,
                customer: request.customer,
                units: request.units,
                gateway_count: request.gateway_count,
                first_gateway: request.first_gateway,
                timeout: request.timeout,
                is_retry: request.is_retry,
                is_write,
            },
            arrived_at: request.arrived_at,
            is_admission_check: forward.is_none(),
            claim: request.claim,
        };
        self.exchange.accept_request(now, accepted, PendingClient { reply, forward });
    }

    // ---- Lists of backends ----

    fn update_targets(&mut self, list: TargetList) {
        let port = &mut self.exchange.port;
        if list.complete {
            for backend in port.backends.values() {
                backend.accepting.set(false);
                backend.removed.set(true);
            }
            port.listed_targets.clear();
        }
        let entries: Vec<_> = list.members.iter().map(|target| self.backend_entry(target)).collect();
        let port = &mut self.exchange.port;
        port.listed_targets.extend(list.members.into_iter().map(|target| (target.id.clone(), target)));
        for backend in port.backends.values().filter(|backend| !backend.accepting.get()) {
            backend.close_idle();
        }
        self.pool.has_backend_list.set(self.pool.has_backend_list.get() || !port.backends.is_empty());
        let kind = match (list.cached, list.complete) {
            (true, _) => ListKind::Cached,
            (false, true) => ListKind::Full,
            (false, false) => ListKind::Delta,
        };
        self.exchange.enqueue(Event::Backends { kind, version: list.revision, entries });
    }

    // ---- Manual ejections ----

    /// Ejects or restores a backend. Returns false if there is no such backend.
    fn set_manual_ejection(&mut self, node: &str, ejected: bool) -> bool {
        let now = self.clock.now();
        if self.exchange.port.backend_ids.get(node).is_none() && !self.ejections.is_ejected(node) {
            return false;
        }
        let changed =
            if ejected { self.ejections.eject(node, now) } else { self.ejections.restore(node, now) };
        if changed {
            eprintln!("by hand: {node} is {}", if ejected { "out" } else { "back" });
            self.report_target(node);
        }
        true
    }

    /// Reports a backend's current state to the decision module, as last listed and with its manual ejection.
    fn report_target(&mut self, node: &str) {
        let Some(target) = self.exchange.port.listed_targets.get(node).cloned() else { return };
        let entries = vec![self.backend_entry(&target)];
        for backend in self.exchange.port.backends.values().filter(|backend| !backend.accepting.get()) {
            backend.close_idle();
        }
        self.exchange.enqueue(Event::Backends { kind: ListKind::Delta, version: 0, entries });
    }

    fn backend_entry(&mut self, target: &Target) -> BackendEntry {
        let ejected = self.ejections.is_ejected(&target.id);
        let port = &mut self.exchange.port;
        let id = port.backend_ids.get_or_assign(&target.id);
        let budget = &self.budget;
        let create = || Backend::new(target.host_port, budget.clone());
        let backend = port.backends.entry(id).or_insert_with(create);
        if backend.address.replace(target.host_port) != target.host_port {
            backend.close_idle();
        }
        backend.removed.set(target.phase == Phase::Terminated);
        backend.accepting.set(target.phase == Phase::InService && !ejected);
        let index_of = |names: &[String], name: &str| names.iter().position(|existing| existing == name);
        BackendEntry {
            id,
            zone: index_of(&self.names.zones, &target.locality).map_or(u16::MAX, |zone| zone as u16),
            kind: index_of(&self.names.kinds, &target.flavor).map_or(u8::MAX, |kind| kind as u8),
            cell: target.cell,
            condition: match target.phase {
                Phase::InService if !ejected => Condition::Ready,
                Phase::InService => Condition::Draining,
                Phase::Terminating => Condition::Draining,
                Phase::Terminated => Condition::Gone,
            },
            weight: target.size,
            // In Unix time like the driver's clock; 0, which stands for long ago, stays 0.
            started_at: self.ejections.assumed_start(&target.id, target.up_since_ms.saturating_mul(1000)),
        }
    }
}
