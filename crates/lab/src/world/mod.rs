//! The emulated world: processes events one after another, in a total order, until the end of the run.

mod clients;
mod counter_calls;
mod deliveries;
mod faults;
mod ingresses;
mod nodes;
mod oracle_view;

use crate::account::Account;
use crate::counter::{Call, Counter};
use crate::demand::{self, stream, Demand, Stream};
use crate::event_queue::EventQueue;
use crate::experiment::{Arrivals, Experiment};
use crate::node::{Job, Node, NodeSettings};
use crate::outcome::{Gauges, Outcome};
use crate::rule_checker::RuleChecker;
use crate::START;
use ingresses::Ingress;
use rand::RngExt;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use violetyoke_decision::interface::*;
use violetyoke_exchange::AttemptId;

/// A defect that is injected into the ingresses or their settings, to test that the rule checker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedDefect {
    /// Ingresses assume far longer deadlines than clients have.
    ExtendedDeadlines,
    /// Each answer is sent a second time.
    DuplicateAnswers,
    /// Each attempt is sent a second time while the first one is in flight.
    DuplicateAttempts,
    /// All classes are treated as idempotent.
    AllIdempotent,
    /// Lists of nodes never report that a node drains.
    HiddenDrains,
    /// Nodes get full load from their start, without slow start.
    NoSlowStart,
    /// Plans have neither a quota nor a hard limit.
    NoHardLimits,
}

impl InjectedDefect {
    pub const ALL: [InjectedDefect; 7] = [
        InjectedDefect::ExtendedDeadlines,
        InjectedDefect::DuplicateAnswers,
        InjectedDefect::DuplicateAttempts,
        InjectedDefect::AllIdempotent,
        InjectedDefect::HiddenDrains,
        InjectedDefect::NoSlowStart,
        InjectedDefect::NoHardLimits,
    ];

    /// Changes the settings that ingresses receive.
    fn apply(self, settings: &mut Settings) {
        match self {
            InjectedDefect::AllIdempotent => {
                settings.classes.iter_mut().for_each(|class| class.idempotency = Idempotency::Idempotent);
            }
            InjectedDefect::ExtendedDeadlines => settings.classes.iter_mut().for_each(|class| {
                (class.latency_target, class.deadline) =
                    (class.latency_target * DEADLINE_FACTOR, class.deadline * DEADLINE_FACTOR);
            }),
            InjectedDefect::NoSlowStart => {
                (settings.safety.slow_start_share, settings.safety.slow_start_time) = (1.0, 0);
            }
            InjectedDefect::NoHardLimits => settings.plans.iter_mut().for_each(|plan| {
                (plan.rate, plan.hard_limit_rate) = (0.0, 0.0);
            }),
            _ => {}
        }
    }
}

/// Factor on the deadlines that ingresses assume under `ExtendedDeadlines`.
const DEADLINE_FACTOR: Micros = 20;

/// How ingresses decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The production decision module, with a gateway at each ingress.
    Module,
    /// Sees the whole state of the world and decides greedily.
    Oracle,
    /// Admits a random share of this size and sends each try once, to a random listed node.
    Random(f64),
}

#[derive(Debug)]
enum WorldEvent {
    /// A new request, from the closed-loop client with this number or from the open load.
    Arrival(Option<usize>),
    /// A client sends a try: the first one of a request or a retry.
    TryStarts(Box<PlannedTry>),
    TryDelivered(RequestId),
    /// The client of a try gives up.
    ClientTimeout(RequestId),
    WakeUp {
        ingress: usize,
        epoch: u32,
    },
    ConnectionRequest(u64),
    Connected(u64),
    RequestArrives(u64),
    JobDone {
        node: usize,
        epoch: u32,
        job: Job,
        took: Micros,
    },
    AttemptEnded {
        serial: u64,
        outcome: AttemptOutcome,
    },
    CallArrives(Call),
    CallDone(usize),
    CallAnswered {
        call: Call,
        outcome: AttemptOutcome,
        total: f64,
    },
    MessageArrives {
        to: usize,
        from: usize,
        data: Vec<u8>,
    },
    ListUpdate {
        ingress: usize,
        epoch: u32,
        node: usize,
    },
    EverySecond,
    FaultStarts(usize),
    FaultHits {
        fault: usize,
        victim: usize,
    },
    FaultEnds {
        fault: usize,
        victim: usize,
    },
    NodeReplaced {
        node: usize,
    },
    NodeStarts {
        node: usize,
        epoch: u32,
    },
    IngressStarts(usize),
}

use violetyoke_decision::interface::Outcome as AttemptOutcome;

/// A try that a client will send.
#[derive(Clone, Debug)]
struct PlannedTry {
    demanded: demand::Demanded,
    number_of_try: u8,
    client: Option<usize>,
}

/// A try that has been sent to an ingress.
#[derive(Clone, Debug)]
struct Try {
    planned: PlannedTry,
    ingress: usize,
    arrived: Micros,
    deadline: Micros,
    /// Whether the client has an answer or has given up.
    is_finished: bool,
    /// Units of the try that exceeded the quota.
    over_quota_units: f64,
}

/// An attempt in flight.
#[derive(Debug)]
struct AttemptInFlight {
    id: AttemptId,
    ingress: usize,
    node: usize,
    node_epoch: u32,
    sent: Rc<Cell<bool>>,
    idle_time: Option<Micros>,
    work: f64,
    is_cancelled: bool,
    /// Whether its connection is counted among the node's connections.
    connected: bool,
    /// Whether a worker or the queue of the node has it.
    at_node: bool,
    fails: bool,
}

/// Temporary faults of networks, discovery and load. Times are the ends of the faults, by zone or ingress.
#[derive(Debug, Default)]
struct NetworkFaults {
    zones: Vec<Micros>,
    peers: Vec<Micros>,
    counter: Vec<Micros>,
    discovery: Vec<Micros>,
    lists_stopped: Micros,
    /// Share of lost messages, and until when.
    loss: (f64, Micros),
    /// Factor on the load, and until when.
    surge: (f64, Micros),
}

pub struct World<'e> {
    experiment: &'e Experiment,
    policy: Policy,
    injected_defect: Option<InjectedDefect>,
    settings: Settings,
    node_settings: NodeSettings,
    now: Micros,
    end: Micros,
    events: EventQueue<WorldEvent>,
    ingresses: Vec<Ingress>,
    nodes: Vec<Node>,
    counter: Counter,
    accounts: Vec<Account>,
    demand: Demand,
    tries: BTreeMap<RequestId, Try>,
    next_try: RequestId,
    flights: BTreeMap<u64, AttemptInFlight>,
    network_faults: NetworkFaults,
    nodes_rng: Pcg64Mcg,
    links_rng: Pcg64Mcg,
    clients_rng: Pcg64Mcg,
    faults_rng: Pcg64Mcg,
    random_rng: Pcg64Mcg,
    seed: u64,
    /// Whether an ingress is processing a total of the counter now.
    is_total_being_processed: bool,
    checker: RuleChecker,
    outcome: Outcome,
    gauges: Gauges,
    /// Mean work of a try in microseconds, and its mean value, which is the unit of prices.
    mean_work: f64,
    unit_price: f64,
}

impl<'e> World<'e> {
    pub fn new(experiment: &'e Experiment, seed: u64, policy: Policy) -> World<'e> {
        let safety = &experiment.settings.safety;
        let node_settings = NodeSettings {
            workers: experiment.nodes.workers,
            queue: experiment.nodes.queue,
            connections: experiment.nodes.connections,
            handshake: experiment.nodes.handshake,
            initial_speed: safety.slow_start_share,
            slow_start: safety.slow_start_time,
            overload_factor: safety.overload_multiple,
            overload_window: safety.overload_time,
        };
        let mut nodes_rng = stream(seed, Stream::Nodes);
        let speeds = LogNormal::new(0.0, experiment.nodes.speed_spread).expect("a checked spread");
        let node = |number: usize| {
            let zone = (number % usize::from(experiment.zones)) as u16;
            Node::new(format!("n{number}"), zone, speeds.sample(&mut nodes_rng), 0)
        };
        let nodes = (0..experiment.nodes.count).map(node).collect();
        let shares: f64 = experiment.classes.iter().map(|class| class.share).sum();
        let mean = |figure: &dyn Fn(&crate::experiment::Class) -> f64| {
            experiment.classes.iter().map(|class| class.share * figure(class)).sum::<f64>() / shares
        };
        let plans: f64 = experiment.plans.iter().map(|plan| plan.share).sum();
        let plan_worth =
            experiment.plans.iter().map(|plan| plan.share * plan.plan.value).sum::<f64>() / plans;
        let ingresses = experiment.ingresses;
        World {
            experiment,
            policy,
            injected_defect: None,
            settings: experiment.settings.clone(),
            node_settings,
            now: START,
            end: START + experiment.duration,
            events: EventQueue::default(),
            ingresses: (0..ingresses).map(|number| Ingress::new(number, experiment)).collect(),
            nodes,
            counter: Counter::new(
                experiment.counter.parts,
                experiment.counter.calls_per_second,
                experiment.counter.queue,
            ),
            accounts: demand::accounts(experiment, seed),
            demand: Demand::new(experiment, seed),
            tries: BTreeMap::new(),
            next_try: 1,
            flights: BTreeMap::new(),
            network_faults: NetworkFaults {
                zones: vec![0; usize::from(experiment.zones)],
                peers: vec![0; ingresses],
                counter: vec![0; ingresses],
                discovery: vec![0; ingresses],
                ..NetworkFaults::default()
            },
            nodes_rng: stream(seed, Stream::Nodes),
            links_rng: stream(seed, Stream::Links),
            clients_rng: stream(seed, Stream::Clients),
            faults_rng: stream(seed, Stream::Faults),
            random_rng: stream(seed, Stream::Random),
            seed,
            is_total_being_processed: false,
            checker: RuleChecker::new(safety.drain_grace + 50_000),
            outcome: Outcome::default(),
            gauges: Gauges::new(ingresses),
            mean_work: mean(&|class| class.mean_work),
            unit_price: mean(&|class| class.class.value) * plan_worth,
        }
    }

    /// Injects a defect.
    pub fn with_defect(mut self, injected_defect: InjectedDefect) -> World<'e> {
        injected_defect.apply(&mut self.settings);
        self.injected_defect = Some(injected_defect);
        self
    }

    /// Runs the experiment to its end.
    pub fn run(mut self) -> Outcome {
        self.schedule_first_events();
        while let Some((at, event)) = self.events.pop_before(self.end) {
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn schedule_first_events(&mut self) {
        for ingress in 0..self.ingresses.len() {
            self.start_ingress(ingress);
        }
        match self.demand.arrivals {
            Arrivals::Open { .. } => {
                let at = self.now + self.demand.next_arrival(1.0);
                self.events.schedule(at, WorldEvent::Arrival(None));
            }
            Arrivals::Closed { clients, .. } => {
                for client in 0..clients {
                    let at = self.now + self.demand.next_arrival(1.0);
                    self.events.schedule(at, WorldEvent::Arrival(Some(client)));
                }
            }
        }
        for (number, fault) in self.experiment.faults.iter().enumerate() {
            self.events.schedule(START + fault.at, WorldEvent::FaultStarts(number));
        }
        self.events.schedule(self.now + 1_000_000, WorldEvent::EverySecond);
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Arrival(client) => self.on_arrival(client),
            WorldEvent::TryStarts(planned) => self.start_try(*planned),
            WorldEvent::TryDelivered(request) => self.on_delivery(request),
            WorldEvent::ClientTimeout(request) => self.on_client_timeout(request),
            WorldEvent::WakeUp { ingress, epoch } => self.on_wake_up(ingress, epoch),
            WorldEvent::ConnectionRequest(serial) => self.on_connection_request(serial),
            WorldEvent::Connected(serial) => self.on_connected(serial),
            WorldEvent::RequestArrives(serial) => self.on_request(serial),
            WorldEvent::JobDone { node, epoch, job, took } => self.on_job_done(node, epoch, job, took),
            WorldEvent::AttemptEnded { serial, outcome } => self.on_attempt_ended(serial, outcome),
            WorldEvent::CallArrives(call) => self.on_call_arrival(call),
            WorldEvent::CallDone(part) => self.on_call_done(part),
            WorldEvent::CallAnswered { call, outcome, total } => self.on_call_answered(call, outcome, total),
            WorldEvent::MessageArrives { to, from, data } => self.on_peer_message(to, from, data),
            WorldEvent::ListUpdate { ingress, epoch, node } => self.on_list_update(ingress, epoch, node),
            WorldEvent::EverySecond => self.on_second(),
            WorldEvent::FaultStarts(fault) => self.start_fault(fault),
            WorldEvent::FaultHits { fault, victim } => self.inject(fault, victim),
            WorldEvent::FaultEnds { fault, victim } => self.end_fault(fault, victim),
            WorldEvent::NodeReplaced { node } => self.on_node_replaced(node),
            WorldEvent::NodeStarts { node, epoch } => self.start_node(node, epoch),
            WorldEvent::IngressStarts(ingress) => self.start_ingress(ingress),
        }
    }

    /// Whether the warm-up is over. Events during the warm-up don't count in the outcome, except for violated rules.
    fn is_measuring(&self) -> bool {
        self.now >= START + self.experiment.warm_up
    }

    fn on_second(&mut self) {
        self.checker.forget_expired(self.now);
        if self.is_measuring() {
            let idle: usize = self.ingresses.iter().map(Ingress::idle).sum();
            let busy =
                self.flights.values().filter(|flight| flight.connected && !flight.is_cancelled).count();
            self.gauges.record_connections((idle + busy) as f64 / self.ingresses.len() as f64);
        }
        // A try whose client gave up long ago has no further effect.
        let oldest_deadline = self.now.saturating_sub(60_000_000);
        self.tries.retain(|_, pending| !pending.is_finished || pending.deadline > oldest_deadline);
        self.events.schedule(self.now + 1_000_000, WorldEvent::EverySecond);
    }

    /// A random one-way delay between two zones.
    fn link_delay(&mut self, one: u16, other: u16) -> Micros {
        let links = &self.experiment.links;
        let mean = links.delay + if one == other { 0 } else { links.cross_zone_delay };
        // Delays vary by up to 50 %.
        (mean as f64 * self.links_rng.random_range(1.0..1.5)) as Micros
    }

    /// Whether two zones are partitioned from each other now.
    fn is_partitioned(&self, one: u16, other: u16) -> bool {
        let is_cut_off = |zone: u16| self.now < self.network_faults.zones[usize::from(zone)];
        one != other && (is_cut_off(one) || is_cut_off(other))
    }

    fn second_of_run(&self) -> usize {
        ((self.now - START) / 1_000_000) as usize
    }

    /// The utilization of the workers of each present node: 10th, 50th and 90th percentile over the nodes.
    fn node_load(&self) -> [f64; 3] {
        let present = self.nodes.iter().filter(|node| !node.is_removed);
        let load = |node: &Node| {
            let time = self.now.saturating_sub(node.added_at).max(1) as f64;
            node.busy / (self.node_settings.workers as f64 * time)
        };
        crate::outcome::percentiles(present.map(load).collect())
    }

    fn finish(mut self) -> Outcome {
        self.checker.finish(self.now);
        let mut outcome = std::mem::take(&mut self.outcome);
        self.gauges.summarize(&mut outcome);
        outcome.violations = self.checker.violations.clone();
        outcome.events = self.events.scheduled();
        outcome.node_load = self.node_load();
        let prices = &self.experiment.settings.prices;
        let fee = self.experiment.settings.counter.map_or(0.0, |counter| counter.fee);
        let calls = outcome.calls.decide + outcome.calls.give_back + outcome.calls.read;
        let useless = outcome.useless_work / self.mean_work;
        for (what, price, quantity) in [
            ("handshakes", prices.handshake, outcome.handshakes as f64),
            ("calls", fee, calls as f64),
            ("messages", prices.peer, outcome.messages as f64),
            ("waste", prices.waste, useless),
            ("late_fails", prices.late_fail, outcome.late_fails as f64),
        ] {
            *outcome.prices.entry(what.into()).or_default() += price * quantity * self.unit_price;
        }
        outcome.settle();
        let warm_up = self.experiment.warm_up / 1_000_000;
        let first = self.experiment.faults.iter().map(|fault| fault.at).min();
        let last = self.experiment.faults.iter().map(|fault| fault.at + fault.stagger + fault.duration).max();
        if let (Some(first), Some(last)) = (first, last) {
            let second = |at: Micros| (at / 1_000_000).saturating_sub(warm_up) as usize;
            outcome.find_recovery(second(first), second(last));
        }
        outcome
    }
}
