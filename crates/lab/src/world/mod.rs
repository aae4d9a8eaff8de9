//! The emulated world: one event after another, in a total order, until the run is over.

mod clients;
mod counting;
mod hearing;
mod ingresses;
mod nodes;
mod seen;
mod trouble;

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

/// A rule that is taken out of what the ingresses are told or do, to see that the rule checker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// Ingresses take clients to wait far longer than they do.
    Patience,
    /// Each answer is given a second time.
    AnswersTwice,
    /// Each attempt is sent a second time, beside the first.
    SendsTwice,
    /// Unsafe classes pass for safe ones.
    AllSafe,
    /// No list says that a node drains.
    BlindToDrains,
    /// Nodes pass for warm from their start on.
    BlindToCold,
    /// Plans have neither quota nor ceiling.
    NoCeilings,
}

impl Sabotage {
    pub const ALL: [Sabotage; 7] = [
        Sabotage::Patience,
        Sabotage::AnswersTwice,
        Sabotage::SendsTwice,
        Sabotage::AllSafe,
        Sabotage::BlindToDrains,
        Sabotage::BlindToCold,
        Sabotage::NoCeilings,
    ];

    /// What ingresses are told in place of the truth.
    fn twist(self, settings: &mut Settings) {
        match self {
            Sabotage::AllSafe => {
                settings.classes.iter_mut().for_each(|class| class.idempotency = Idempotency::Idempotent);
            }
            Sabotage::Patience => settings.classes.iter_mut().for_each(|class| {
                (class.latency_target, class.deadline) =
                    (class.latency_target * PATIENCE, class.deadline * PATIENCE);
            }),
            Sabotage::BlindToCold => {
                (settings.safety.slow_start_share, settings.safety.slow_start_time) = (1.0, 0);
            }
            Sabotage::NoCeilings => settings.plans.iter_mut().for_each(|plan| {
                (plan.rate, plan.hard_limit_rate) = (0.0, 0.0);
            }),
            _ => {}
        }
    }
}

/// By how much clients seem to wait longer than they do.
const PATIENCE: Micros = 20;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The shipped decisions, an own gateway at each ingress.
    Module,
    /// Sees all state at once, and decides greedily by it.
    Oracle,
    /// Lets in this part by chance, to any listed node, once.
    Random(f64),
}

#[derive(Debug)]
enum Happens {
    /// A new wish, of a closed client or of none.
    Arrives(Option<usize>),
    /// A try comes again, or for the first time.
    Comes(Box<Coming>),
    Delivered(RequestId),
    /// Its client waits no longer.
    Leaves(RequestId),
    Wake {
        ingress: usize,
        epoch: u32,
    },
    Connects(u64),
    Connected(u64),
    Offered(u64),
    Done {
        node: usize,
        epoch: u32,
        job: Job,
        took: Micros,
    },
    Ended {
        serial: u64,
        outcome: Outcome_,
    },
    CallComes(Call),
    CallDone(usize),
    Counted {
        call: Call,
        outcome: Outcome_,
        total: f64,
    },
    Message {
        to: usize,
        from: usize,
        data: Vec<u8>,
    },
    Listed {
        ingress: usize,
        epoch: u32,
        node: usize,
    },
    Second,
    Trouble(usize),
    Hit {
        fault: usize,
        victim: usize,
    },
    Healed {
        fault: usize,
        victim: usize,
    },
    Replaced {
        node: usize,
    },
    NodeStarts {
        node: usize,
        epoch: u32,
    },
    IngressStarts(usize),
}

use violetyoke_decision::interface::Outcome as Outcome_;

/// A try that is to come.
#[derive(Clone, Debug)]
struct Coming {
    demanded: demand::Demanded,
    nth: u8,
    client: Option<usize>,
}

/// A try that has been sent to an ingress.
#[derive(Clone, Debug)]
struct Try {
    coming: Coming,
    ingress: usize,
    arrived: Micros,
    deadline: Micros,
    /// Its client has an answer, or has left.
    over: bool,
    /// Units of it that were beyond the quota.
    beyond: f64,
}

/// An attempt under way.
#[derive(Debug)]
struct Flight {
    id: AttemptId,
    ingress: usize,
    node: usize,
    node_epoch: u32,
    sent: Rc<Cell<bool>>,
    unused: Option<Micros>,
    work: f64,
    withdrawn: bool,
    /// Counted among the node's connections.
    connected: bool,
    /// In hand or in line at the node.
    at_node: bool,
    errs: bool,
}

/// What is wrong with the network for a while.
#[derive(Debug, Default)]
struct Cuts {
    zones: Vec<Micros>,
    peers: Vec<Micros>,
    counter: Vec<Micros>,
    discovery: Vec<Micros>,
    lists_stopped: Micros,
    loss: (f64, Micros),
    surge: (f64, Micros),
}

pub struct World<'e> {
    experiment: &'e Experiment,
    policy: Policy,
    sabotage: Option<Sabotage>,
    settings: Settings,
    node_settings: NodeSettings,
    now: Micros,
    end: Micros,
    events: EventQueue<Happens>,
    ingresses: Vec<Ingress>,
    nodes: Vec<Node>,
    counter: Counter,
    accounts: Vec<Account>,
    demand: Demand,
    tries: BTreeMap<RequestId, Try>,
    next_try: RequestId,
    flights: BTreeMap<u64, Flight>,
    cuts: Cuts,
    nodes_rng: Pcg64Mcg,
    links_rng: Pcg64Mcg,
    clients_rng: Pcg64Mcg,
    faults_rng: Pcg64Mcg,
    random_rng: Pcg64Mcg,
    seed: u64,
    /// A total of the counter is being heard.
    by_total: bool,
    checker: RuleChecker,
    outcome: Outcome,
    gauges: Gauges,
    /// Mean work of a try (us), and its mean worth: prices are in parts of that.
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
            sabotage: None,
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
            cuts: Cuts {
                zones: vec![0; usize::from(experiment.zones)],
                peers: vec![0; ingresses],
                counter: vec![0; ingresses],
                discovery: vec![0; ingresses],
                ..Cuts::default()
            },
            nodes_rng: stream(seed, Stream::Nodes),
            links_rng: stream(seed, Stream::Links),
            clients_rng: stream(seed, Stream::Clients),
            faults_rng: stream(seed, Stream::Faults),
            random_rng: stream(seed, Stream::Random),
            seed,
            by_total: false,
            checker: RuleChecker::new(safety.drain_grace + 50_000),
            outcome: Outcome::default(),
            gauges: Gauges::new(ingresses),
            mean_work: mean(&|class| class.mean_work),
            unit_price: mean(&|class| class.class.value) * plan_worth,
        }
    }

    /// With a rule taken out.
    pub fn sabotaged(mut self, sabotage: Sabotage) -> World<'e> {
        sabotage.twist(&mut self.settings);
        self.sabotage = Some(sabotage);
        self
    }

    /// Plays the whole run.
    pub fn play(mut self) -> Outcome {
        self.begin();
        while let Some((at, event)) = self.events.pop_before(self.end) {
            self.now = at;
            self.happens(event);
        }
        self.finish()
    }

    fn begin(&mut self) {
        for ingress in 0..self.ingresses.len() {
            self.ingress_starts(ingress);
        }
        match self.demand.arrivals {
            Arrivals::Open { .. } => {
                let at = self.now + self.demand.next_arrival(1.0);
                self.events.schedule(at, Happens::Arrives(None));
            }
            Arrivals::Closed { clients, .. } => {
                for client in 0..clients {
                    let at = self.now + self.demand.next_arrival(1.0);
                    self.events.schedule(at, Happens::Arrives(Some(client)));
                }
            }
        }
        for (number, fault) in self.experiment.faults.iter().enumerate() {
            self.events.schedule(START + fault.at, Happens::Trouble(number));
        }
        self.events.schedule(self.now + 1_000_000, Happens::Second);
    }

    fn happens(&mut self, event: Happens) {
        match event {
            Happens::Arrives(client) => self.arrives(client),
            Happens::Comes(coming) => self.comes(*coming),
            Happens::Delivered(request) => self.delivered(request),
            Happens::Leaves(request) => self.leaves(request),
            Happens::Wake { ingress, epoch } => self.wake(ingress, epoch),
            Happens::Connects(serial) => self.connects(serial),
            Happens::Connected(serial) => self.connected(serial),
            Happens::Offered(serial) => self.offered(serial),
            Happens::Done { node, epoch, job, took } => self.done(node, epoch, job, took),
            Happens::Ended { serial, outcome } => self.ended(serial, outcome),
            Happens::CallComes(call) => self.call_comes(call),
            Happens::CallDone(part) => self.call_done(part),
            Happens::Counted { call, outcome, total } => self.counted(call, outcome, total),
            Happens::Message { to, from, data } => self.message(to, from, data),
            Happens::Listed { ingress, epoch, node } => self.listed(ingress, epoch, node),
            Happens::Second => self.second(),
            Happens::Trouble(fault) => self.trouble(fault),
            Happens::Hit { fault, victim } => self.hit(fault, victim),
            Happens::Healed { fault, victim } => self.healed(fault, victim),
            Happens::Replaced { node } => self.replaced(node),
            Happens::NodeStarts { node, epoch } => self.node_starts(node, epoch),
            Happens::IngressStarts(ingress) => self.ingress_starts(ingress),
        }
    }

    /// What happens in the time that is not counted leaves no trace in the outcome, but for broken rules.
    fn counts(&self) -> bool {
        self.now >= START + self.experiment.warm_up
    }

    fn second(&mut self) {
        self.checker.forget_expired(self.now);
        if self.counts() {
            let idle: usize = self.ingresses.iter().map(Ingress::idle).sum();
            let busy = self.flights.values().filter(|flight| flight.connected && !flight.withdrawn).count();
            self.gauges.record_connections((idle + busy) as f64 / self.ingresses.len() as f64);
        }
        // Nothing can come of a try whose client is long gone.
        let old = self.now.saturating_sub(60_000_000);
        self.tries.retain(|_, held| !held.over || held.deadline > old);
        self.events.schedule(self.now + 1_000_000, Happens::Second);
    }

    /// Time of a way between two zones.
    fn way(&mut self, one: u16, other: u16) -> Micros {
        let links = &self.experiment.links;
        let mean = links.delay + if one == other { 0 } else { links.cross_zone_delay };
        // Networks are uneven: up to half as much again.
        (mean as f64 * self.links_rng.random_range(1.0..1.5)) as Micros
    }

    /// Whether a zone is cut off from another one now.
    fn apart(&self, one: u16, other: u16) -> bool {
        let cut = |zone: u16| self.now < self.cuts.zones[usize::from(zone)];
        one != other && (cut(one) || cut(other))
    }

    fn second_of_run(&self) -> usize {
        ((self.now - START) / 1_000_000) as usize
    }

    /// The part of its workers' time that a node that is there has worked: a tenth of them, half of them, nine tenths
    /// are below.
    fn node_load(&self) -> [f64; 3] {
        let there = self.nodes.iter().filter(|node| !node.is_removed);
        let load = |node: &Node| {
            let time = self.now.saturating_sub(node.added_at).max(1) as f64;
            node.busy / (self.node_settings.workers as f64 * time)
        };
        crate::outcome::percentiles(there.map(load).collect())
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
        for (what, price, many) in [
            ("handshakes", prices.handshake, outcome.handshakes as f64),
            ("calls", fee, calls as f64),
            ("messages", prices.peer, outcome.messages as f64),
            ("waste", prices.waste, useless),
            ("late_fails", prices.late_fail, outcome.late_fails as f64),
        ] {
            *outcome.prices.entry(what.into()).or_default() += price * many * self.unit_price;
        }
        outcome.settle();
        let warm = self.experiment.warm_up / 1_000_000;
        let first = self.experiment.faults.iter().map(|fault| fault.at).min();
        let last = self.experiment.faults.iter().map(|fault| fault.at + fault.stagger + fault.duration).max();
        if let (Some(first), Some(last)) = (first, last) {
            let second = |at: Micros| (at / 1_000_000).saturating_sub(warm) as usize;
            outcome.find_recovery(second(first), second(last));
        }
        outcome
    }
}
