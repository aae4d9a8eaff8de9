//! The checked experiment, as it is read from its file.

use crate::fault::Fault;
use std::ops::RangeInclusive;
use violetyoke_decision::interface::{self as decision, Micros, Settings};

/// A checked experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name in reports.
    pub name: String,
    /// How long a run lasts.
    pub duration: Micros,
    /// How much of that at the start is not counted.
    pub warm_up: Micros,
    /// One run for each.
    pub seeds: Vec<u64>,
    /// How many ingresses there are.
    pub ingresses: usize,
    /// How many zones nodes and ingresses are spread over.
    pub zones: u16,
    /// How long an ingress that was killed is away, unless its fault says.
    pub ingress_restart: Micros,
    /// The nodes.
    pub nodes: Nodes,
    /// Classes of requests; one at least.
    pub classes: Vec<Class>,
    /// Plans of accounts; one at least.
    pub plans: Vec<Plan>,
    /// The counter.
    pub counter: Counter,
    /// Shortest and longest time after which an ingress receives a change of the list of nodes.
    pub discovery: RangeInclusive<Micros>,
    /// The links.
    pub links: Links,
    /// The clients.
    pub clients: Clients,
    /// The load.
    pub load: Load,
    /// What is injected.
    pub faults: Vec<Fault>,
    /// What is varied.
    pub vary: Vec<Vary>,
    /// The settings of every ingress, but for its number and zone.
    pub settings: Settings,
}

/// The nodes of a fleet.
#[derive(Clone, Debug)]
pub struct Nodes {
    /// How many there are.
    pub count: usize,
    /// Requests that a node works on at once.
    pub workers: usize,
    /// The most requests that wait at a node.
    pub queue: usize,
    /// The most connections of a node.
    pub connections: u32,
    /// Time of a worker for the handshake of a new connection.
    pub handshake: Micros,
    /// Spread of the nodes' speeds: standard deviation of the logarithm.
    pub speed_spread: f64,
    /// How long a node that was killed is away.
    pub restart: Micros,
    /// Whether answers carry load reports.
    pub reports: bool,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What the decision module knows of it.
    pub class: decision::Class,
    /// Its weight among all tries.
    pub share: f64,
    /// Mean time of a worker for a request of one unit, in microseconds.
    pub mean_work: f64,
    /// Spread of that: standard deviation of the logarithm.
    pub work_spread: f64,
}

/// A plan of accounts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// What the decision module knows of it.
    pub plan: decision::Plan,
    /// Its weight among all accounts.
    pub share: f64,
}

/// The counter.
#[derive(Clone, Debug)]
pub struct Counter {
    /// How many parts it has.
    pub parts: usize,
    /// Calls that a part can answer in a second.
    pub calls_per_second: f64,
    /// The most calls that wait at a part.
    pub queue: usize,
    /// Delay of a call, one way.
    pub delay: Micros,
}

/// Links between ingresses and nodes, and among ingresses.
#[derive(Clone, Debug)]
pub struct Links {
    /// Mean delay within a zone, one way.
    pub delay: Micros,
    /// What another zone adds.
    pub cross_zone_delay: Micros,
    /// What a message between ingresses takes besides.
    pub message_delay: Micros,
    /// Share of the messages between ingresses that is lost.
    pub message_loss: f64,
}

/// Clients and their accounts.
#[derive(Clone, Debug)]
pub struct Clients {
    /// How many accounts there are.
    pub accounts: usize,
    /// Exponent of the accounts' demand (Zipf): 0 is even.
    pub skew: f64,
    /// The most ingresses in an account's set.
    pub spread: u16,
    /// How uneven the parts of a set are: 0 even, 1 as exponential draws are, more for more.
    pub part_skew: f64,
    /// Delay to an ingress, one way.
    pub delay: Micros,
    /// How long tries still go to an ingress that is dead.
    pub detection_delay: Micros,
    /// Share of the unserved tries that is retried.
    pub retry_share: f64,
    /// The most tries of a request.
    pub max_tries: u8,
    /// Mean pause before a retry.
    pub retry_pause: Micros,
    /// Share of the clients that heed Retry-After.
    pub retry_after_share: f64,
}

/// The load.
#[derive(Clone, Debug)]
pub struct Load {
    /// When tries arrive.
    pub arrivals: Arrivals,
    /// Exponent of a try's units (Zipf), which are the settings' largest request at most.
    pub unit_skew: f64,
}

/// When tries arrive.
#[derive(Clone, Debug)]
pub enum Arrivals {
    /// At a rate, whatever becomes of them.
    Open {
        /// Mean rate.
        tries_per_second: f64,
    },
    /// From this many clients, each with a pause between an answer and its next try.
    Closed {
        /// How many clients there are.
        clients: usize,
        /// Mean pause.
        think: Micros,
    },
}

/// A key whose values are tried one after another.
#[derive(Clone, Debug)]
pub struct Vary {
    /// The key with its tables, separated by dots.
    pub key: String,
    /// Its values.
    pub values: Vec<f64>,
}
