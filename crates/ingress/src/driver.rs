//! The one owner of a pool's exchange: hands it what the sockets report, in order, and the lists of nodes.

use super::account::Account;
use super::backend::{Backend, ConnectionBudget};
use super::config::Names;
use super::discovery::{Phase, Target, TargetList};
use super::embedded::Link;
use super::exchange_port::{PendingClient, SocketPort};
use super::peers::Peers;
use super::pool::Pool;
use super::sets;
use super::succession::Inheritance;
use super::{ClientAnswer, ClientRequest, Clock, Message, Messages};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{sleep_until, Instant};
use violetyoke_decision::interface::*;
use violetyoke_exchange::{AcceptedRequest, AttemptId, BackendIds, Exchange};
use violetyoke_operations::ManualEjections;

/// Messages taken up in one go.
const BATCH: usize = 256;

/// What a driver begins with.
pub struct DriverSetup {
    pub settings: Settings,
    pub names: Names,
    pub seed: u64,
    pub budget: Rc<ConnectionBudget>,
    /// The list of backends as it was last held.
    pub initial_targets: TargetList,
    pub counter: Option<Link>,
    pub peers: Option<Peers>,
    /// Nodes that are out by hand.
    pub ejections: ManualEjections,
    /// Whether this one takes the place of a process that still lives, and what that has handed down.
    pub predecessor_alive: bool,
    pub imported_state: Option<Box<Inheritance>>,
}

pub struct Driver {
    clock: Clock,
    exchange: Exchange<SocketPort>,
    names: Names,
    pool: Rc<Pool>,
    /// No new requests come.
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
        let mut sockets = SocketPort {
            clock,
            messages,
            pool: pool.clone(),
            counter: None,
            peers,
            report_fields: settings.report_fields.clone().into(),
            backend_ids: BackendIds::default(),
            backends: HashMap::new(),
            listed: HashMap::new(),
            max_idle: 0,
            account: Account::open(&settings, &names.classes, &names.plans),
        };
        sockets.counter = counter.map(|link| sockets.open(link, timeout));
        let exchange = Exchange::new(clock.now(), settings, seed, sockets);
        let mut driver = Driver { clock, exchange, names, pool, retiring: false, ejections, budget };
        driver.targets(TargetList { cached: true, complete: true, ..initial_targets });
        driver.exchange.process_events(clock.now());
        driver.exchange.gateway_mut().set_overlapping(predecessor_alive);
        if let Some(imported_state) = imported_state {
            driver.inherit(*imported_state);
        }
        driver
    }

    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        let mut batch = Vec::with_capacity(BATCH);
        let mut wake = Box::pin(sleep_until(Instant::now()));
        let mut set_for = None;
        loop {
            let next = self.exchange.next_due();
            if let Some(next) = next.filter(|next| set_for != Some(*next)) {
                wake.as_mut().reset(self.clock.instant(next).into());
                set_for = Some(next);
            }
            tokio::select! {
                biased;
                taken = inbox.recv_many(&mut batch, BATCH) => if taken == 0 { return },
                () = wake.as_mut() => set_for = None,
            }
            for message in batch.drain(..) {
                let charged_member = match &message {
                    Message::Request(request) => {
                        request.charged_member.map(|member| (member, Instant::now()))
                    }
                    _ => None,
                };
                let now = self.clock.now();
                self.take(now, message);
                self.exchange.process_events(now);
                if let Some((member, began)) = charged_member {
                    sets::charge(member, began.elapsed().as_micros() as u64);
                }
            }
            if self.retiring && self.pool.open_requests() == 0 && self.exchange.is_idle() {
                return;
            }
            self.exchange.fire_due(self.clock.now());
        }
    }

    fn take(&mut self, now: Micros, message: Message) {
        let exchange = &mut self.exchange;
        match message {
            Message::Request(request) => self.request(now, request),
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
            Message::Targets(list) => self.targets(list),
            // The old one ends by itself once its calls are answered or its connection is closed.
            Message::CounterReplaced(link) => {
                let counter = exchange.port.open(link, exchange.counter_timeout());
                exchange.port.counter = Some(counter);
                exchange.gateway_mut().counter_replaced();
            }
            Message::Reconfigure(changed) => self.reconfigure(now, changed.0, changed.1),
            Message::SetManualEjection { node, ejected, reply } => {
                let _ = reply.send(self.by_hand(&node, ejected));
            }
            Message::ManualEjections(written) => {
                let moved = self.ejections.update_from(&written, now);
                moved.iter().for_each(|node| self.tell_again(node));
            }
            Message::ExportState(reply) => {
                if let Err(unheard) = reply.send(self.hand_down()) {
                    self.exchange.gateway_mut().reclaim_state(now, &unheard.belief);
                }
            }
            Message::PredecessorEnded => exchange.gateway_mut().set_overlapping(false),
            Message::ReclaimState(lent) => exchange.gateway_mut().reclaim_state(now, &lent.belief),
            Message::Retire => self.retiring = true,
            Message::Withdrawn(request) => exchange.enqueue(Event::Withdrawn { request }),
            Message::AddToClaim { claim, amount, reply } => exchange.add_to_claim(now, claim, amount, reply),
            Message::PeerMessage { from, data } => exchange.enqueue(Event::PeerMessage { from, data }),
        }
    }

    #[cold]
    fn hand_down(&mut self) -> Box<Inheritance> {
        let belief = self.exchange.gateway_mut().export_state(self.clock.now());
        let sockets = &self.exchange.port;
        let (nodes, back) = (sockets.listed.values().cloned().collect(), self.ejections.restored().clone());
        Box::new(Inheritance::new(nodes, sockets.backend_ids.as_map(), &self.names, back, belief))
    }

    /// Begins with what an older process knew. Its list of nodes is newer than the configuration's.
    #[cold]
    fn inherit(&mut self, mut imported_state: Inheritance) {
        self.ejections.import_restored(std::mem::take(&mut imported_state.back));
        if let Some(list) = imported_state.list() {
            self.targets(list);
            self.exchange.process_events(self.clock.now());
        }
        let belief = imported_state.belief(self.exchange.port.backend_ids.as_map(), &self.names);
        let ((nodes, accounts), now) = (belief.entry_counts(), self.clock.now());
        let age = now.saturating_sub(belief.exported_at()) / 1000;
        let believed = self.exchange.gateway_mut().import_state(now, belief);
        let word = if believed { "believed" } else { "too old" };
        eprintln!("handed down: {word}: {nodes} nodes, {accounts} accounts, {age} ms ago");
    }

    fn reconfigure(&mut self, now: Micros, settings: Settings, names: Names) {
        let sockets = &mut self.exchange.port;
        if let Some(account) = &mut sockets.account {
            account.change(&settings, &names.classes, &names.plans);
        }
        sockets.report_fields = settings.report_fields.clone().into();
        self.names = names;
        self.exchange.reconfigure(now, settings);
    }

    fn request(&mut self, now: Micros, request: ClientRequest) {
        if let Some(account) = &mut self.exchange.port.account {
            account.begun(&request);
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
                gateway_count: request.spread,
                first_gateway: request.first_ingress,
                timeout: request.budget,
                is_retry: request.is_retry,
                is_write,
            },
            arrived_at: request.arrived_at,
            is_admission_check: forward.is_none(),
            claim: request.claim,
        };
        self.exchange.accept_request(now, accepted, PendingClient { reply, forward });
    }

    // ---- Lists of nodes ----

    fn targets(&mut self, list: TargetList) {
        let sockets = &mut self.exchange.port;
        if list.complete {
            for backend in sockets.backends.values() {
                backend.accepting.set(false);
                backend.removed.set(true);
            }
            sockets.listed.clear();
        }
        let entries: Vec<_> = list.members.iter().map(|target| self.target(target)).collect();
        let sockets = &mut self.exchange.port;
        sockets.listed.extend(list.members.into_iter().map(|target| (target.id.clone(), target)));
        for backend in sockets.backends.values().filter(|backend| !backend.accepting.get()) {
            backend.close_idle();
        }
        self.pool.has_backend_list.set(self.pool.has_backend_list.get() || !sockets.backends.is_empty());
        let kind = match (list.cached, list.complete) {
            (true, _) => ListKind::Cached,
            (false, true) => ListKind::Full,
            (false, false) => ListKind::Delta,
        };
        self.exchange.enqueue(Event::Backends { kind, version: list.revision, entries });
    }

    // ---- Nodes taken out by hand ----

    /// Whether there is such a node; it is out, or back, from then on.
    fn by_hand(&mut self, node: &str, ejected: bool) -> bool {
        let now = self.clock.now();
        if self.exchange.port.backend_ids.get(node).is_none() && !self.ejections.is_ejected(node) {
            return false;
        }
        let moved = if ejected { self.ejections.eject(node, now) } else { self.ejections.restore(node, now) };
        if moved {
            eprintln!("by hand: {node} is {}", if ejected { "out" } else { "back" });
            self.tell_again(node);
        }
        true
    }

    /// Tells the module of a node as it stands now: by the list's last word, and by hand.
    fn tell_again(&mut self, node: &str) {
        let Some(target) = self.exchange.port.listed.get(node).cloned() else { return };
        let entries = vec![self.target(&target)];
        for backend in self.exchange.port.backends.values().filter(|backend| !backend.accepting.get()) {
            backend.close_idle();
        }
        self.exchange.enqueue(Event::Backends { kind: ListKind::Delta, version: 0, entries });
    }

    fn target(&mut self, target: &Target) -> BackendEntry {
        let ejected = self.ejections.is_ejected(&target.id);
        let sockets = &mut self.exchange.port;
        let id = sockets.backend_ids.get_or_assign(&target.id);
        let budget = &self.budget;
        let new = || Backend::new(target.host_port, budget.clone());
        let backend = sockets.backends.entry(id).or_insert_with(new);
        if backend.address.replace(target.host_port) != target.host_port {
            backend.close_idle();
        }
        backend.removed.set(target.phase == Phase::Terminated);
        backend.accepting.set(target.phase == Phase::InService && !ejected);
        let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
        BackendEntry {
            id,
            zone: place(&self.names.zones, &target.locality).map_or(u16::MAX, |zone| zone as u16),
            kind: place(&self.names.kinds, &target.flavor).map_or(u8::MAX, |kind| kind as u8),
            cell: target.cell,
            condition: match target.phase {
                Phase::InService if !ejected => Condition::Ready,
                Phase::InService => Condition::Draining,
                Phase::Terminating => Condition::Draining,
                Phase::Terminated => Condition::Gone,
            },
            weight: target.size,
            // Unix time, as is the driver's clock; 0, for long ago, stays 0.
            started_at: self.ejections.assumed_start(&target.id, target.up_since_ms.saturating_mul(1000)),
        }
    }
}
