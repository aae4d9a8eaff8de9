//! An experiment's file: fleet, load, faults, and what is varied. Read and checked whole; every error has its line
//! and key. `docs/operators/laboratory.md` lists the keys.

use crate::fault::{self, Fault};
use std::ops::RangeInclusive;
use violetyoke_config::{only_once, Class as Known, Errors, Section};
use violetyoke_decision::interface::{self as words, *};

const MS: f64 = 1_000.0;
const SECOND: f64 = 1e6;
/// Longest run: an emulated day.
const LONGEST_S: f64 = 86_400.0;

#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    /// How long it runs, and what of that is not counted at its start.
    pub length: Micros,
    pub warm: Micros,
    pub seeds: Vec<u64>,
    pub ingresses: usize,
    pub zones: u16,
    /// How long an ingress is away that is killed, unless its fault says.
    pub ingress_restart: Micros,
    pub nodes: Nodes,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    pub counter: Counter,
    /// Least and longest time by which a change of the list comes to an ingress.
    pub discovery: RangeInclusive<Micros>,
    pub links: Links,
    pub clients: Clients,
    pub load: Load,
    pub faults: Vec<Fault>,
    pub vary: Vec<Vary>,
    /// What every ingress is told, but for its number and zone.
    pub settings: Settings,
}

#[derive(Clone, Debug)]
pub struct Nodes {
    pub count: usize,
    pub workers: usize,
    /// Requests that wait at a node at most.
    pub queue: usize,
    pub connections: u32,
    /// Work of a new connection, done by a worker.
    pub handshake: Micros,
    /// Spread of the nodes' speeds (standard deviation of the logarithm).
    pub speed_spread: f64,
    pub restart: Micros,
    pub reports: bool,
}

#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    pub class: words::Class,
    /// Its part of all tries.
    pub share: f64,
    /// Mean time of a worker for a unit-sized request (us), and the spread of the logarithm.
    pub work: f64,
    pub work_spread: f64,
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub name: String,
    pub plan: words::Plan,
    /// Its part of all accounts.
    pub share: f64,
}

#[derive(Clone, Debug)]
pub struct Counter {
    pub parts: usize,
    pub calls_per_second: f64,
    /// Calls in line at a part at most.
    pub line: usize,
    pub delay: Micros,
}

#[derive(Clone, Debug)]
pub struct Links {
    pub delay: Micros,
    /// What another zone adds.
    pub cross_zone: Micros,
    /// Delay of a message between ingresses, and the part of them that is lost.
    pub message: Micros,
    pub loss: f64,
}

#[derive(Clone, Debug)]
pub struct Clients {
    pub accounts: usize,
    /// Exponent of the accounts' demand (Zipf): 0 is even.
    pub skew: f64,
    /// Ingresses in an account's set, at most.
    pub spread: u16,
    /// How uneven the parts of its set are: 0 even, 1 as exponential draws are, more for more.
    pub uneven: f64,
    pub delay: Micros,
    /// Time after which tries go to no dead ingress any more.
    pub notices: Micros,
    /// Part of the unserved tries that come again, how often at most, and after which mean pause.
    pub again: f64,
    pub most_tries: u8,
    pub pause: Micros,
    /// Part of the clients that heed Retry-After.
    pub heed: f64,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub arrivals: Arrivals,
    /// Exponent of a try's units (Zipf), which are `largest_request` at most.
    pub unit_skew: f64,
}

#[derive(Clone, Debug)]
pub enum Arrivals {
    /// As many a second, whatever becomes of them.
    Open { tries_per_second: f64 },
    /// So many clients, each with a pause between an answer and its next try.
    Closed { clients: usize, think: Micros },
}

/// A key whose values are tried one after another.
#[derive(Clone, Debug)]
pub struct Vary {
    pub key: String,
    pub values: Vec<f64>,
}

/// Reads an experiment's file; all errors in one go.
pub fn parse(text: &str) -> Result<Experiment, Errors> {
    let experiment = violetyoke_config::read(text, read)?;
    // What a varied value makes of the file is checked before anything runs.
    let wrong = variants(text, &experiment).err();
    wrong.map_or(Ok(experiment), Err)
}

/// One experiment for each combination of varied values, with what tells it from the others.
pub fn variants(text: &str, experiment: &Experiment) -> Result<Vec<(String, Experiment)>, Errors> {
    let mut all = vec![(Vec::new(), String::new())];
    for vary in &experiment.vary {
        let more = |(set, name): &(Vec<(String, f64)>, String)| {
            let (set, name) = (set.clone(), name.clone());
            vary.values
                .iter()
                .map(move |value| {
                    let set = set.iter().cloned().chain([(vary.key.clone(), *value)]).collect();
                    (set, format!("{name}{}{}={value}", if name.is_empty() { "" } else { " " }, vary.key))
                })
                .collect::<Vec<_>>()
        };
        all = all.iter().flat_map(more).collect();
    }
    let one = |(set, name): (Vec<(String, f64)>, String)| {
        if set.is_empty() {
            return Ok((name, experiment.clone()));
        }
        let mut table: toml::Table = toml::from_str(text).unwrap_or_default();
        table.remove("vary");
        for (key, value) in &set {
            place(&mut table, key, *value);
        }
        let varied = toml::to_string(&table).unwrap_or_default();
        violetyoke_config::read(&varied, read).map(|varied| (name.clone(), varied)).map_err(|errors| {
            // The lines of the varied file are not the user's.
            violetyoke_config::read(text, |root| {
                read(root);
                for (_, key, reason) in errors.iter() {
                    root.error("vary", format!("{name}: {key}: {reason}"));
                }
            })
            .err()
            .unwrap_or_default()
        })
    };
    all.into_iter().map(one).collect()
}

/// Puts a value at a dotted key, a whole number where it is one.
fn place(table: &mut toml::Table, key: &str, value: f64) {
    let (mut here, mut rest) = (table, key);
    while let Some((first, further)) = rest.split_once('.') {
        let entry = here.entry(first).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        let toml::Value::Table(next) = entry else { return };
        (here, rest) = (next, further);
    }
    let whole = value.fract() == 0.0 && value.abs() < 1e15;
    let value = if whole { toml::Value::Integer(value as i64) } else { toml::Value::Float(value) };
    here.insert(rest.to_string(), value);
}

fn read(root: &Section<'_>) -> Experiment {
    let run = root.section("run");
    let seconds = |section: &Section<'_>, key: &'static str, usual: f64, range: RangeInclusive<f64>| {
        (section.number(key, usual, range) * SECOND) as Micros
    };
    let ms = |section: &Section<'_>, key: &'static str, usual: f64, range: RangeInclusive<f64>| {
        (section.number(key, usual, range) * MS) as Micros
    };
    let length = seconds(&run, "seconds", 30.0, 0.1..=LONGEST_S);
    let warm = seconds(&run, "warm_seconds", 5.0, 0.0..=LONGEST_S);
    if warm >= length {
        run.error("warm_seconds", "must be less than seconds");
    }
    let seeds = run.whole("seeds", 3, 1..=10_000);
    let first_seed = run.whole("first_seed", 1, 0..=1 << 40);
    // Sizes together, so that a larger fleet is the same fleet, larger.
    let scale = run.number("scale", 1.0, 0.01..=1_000.0);
    let scaled = |count: u64| ((count as f64 * scale).round() as usize).max(1);
    run.finish();

    let fleet = root.section("fleet");
    let ingresses = scaled(fleet.whole("ingresses", 60, 1..=5_000));
    let zones = fleet.whole("zones", 3, 1..=64) as u16;
    let ingress_restart = ms(&fleet, "restart_ms", 1_000.0, 1.0..=600_000.0);

    let section = root.section("nodes");
    let nodes = Nodes {
        count: scaled(section.whole("count", 40, 1..=10_000)),
        workers: section.whole("workers", 8, 1..=10_000) as usize,
        queue: section.whole("queue", 32, 0..=1_000_000) as usize,
        connections: section.whole("connections", 200, 1..=1_000_000) as u32,
        handshake: ms(&section, "handshake_ms", 2.0, 0.0..=10_000.0),
        speed_spread: section.number("speed_spread", 0.15, 0.0..=2.0),
        restart: ms(&section, "restart_ms", 2_000.0, 1.0..=600_000.0),
        reports: section.flag("reports", true),
    };
    let safety = Safety {
        answer_slack: 50_000,
        drain_grace: 250_000,
        cold_share: section.number("cold_share", 0.2, 0.01..=1.0),
        cold_time: seconds(&section, "cold_seconds", 10.0, 0.0..=3_600.0),
        fall_multiple: section.number("fall_multiple", 3.0, 1.0..=100.0),
        fall_time: ms(&section, "fall_ms", 1_000.0, 1.0..=60_000.0),
        ask_within: 10_000_000,
    };
    section.finish();

    let sections = root.sections("class");
    let classes: Vec<Class> = sections.into_iter().map(class).collect();
    let sections = root.sections("plan");
    let plans: Vec<Plan> = sections.into_iter().map(plan).collect();
    for (key, none) in [("class", classes.is_empty()), ("plan", plans.is_empty())] {
        if none {
            root.error(key, "at least one is needed");
        }
    }
    only_once(root, "class", classes.iter().map(|class| class.name.as_str()));
    only_once(root, "plan", plans.iter().map(|plan| plan.name.as_str()));
    let nothing = |shares: f64| shares <= 0.0;
    if !classes.is_empty() && nothing(classes.iter().map(|class| class.share).sum()) {
        root.error("class", "the shares of all classes are 0");
    }
    if !plans.is_empty() && nothing(plans.iter().map(|plan| plan.share).sum()) {
        root.error("plan", "the shares of all plans are 0");
    }

    let section = root.section("counter");
    let counter = Counter {
        parts: scaled(section.whole("parts", 4, 1..=1_024)),
        calls_per_second: section.number("calls_per_second", 2_000.0, 0.1..=1e9) * scale,
        line: section.whole("line", 64, 1..=1_000_000) as usize,
        delay: ms(&section, "delay_ms", 0.5, 0.001..=10_000.0),
    };
    let timeout = ms(&section, "timeout_ms", 50.0, 1.0..=10_000.0);
    let with_counter = section.flag("there", true);
    section.finish();

    let section = root.section("discovery");
    let least = ms(&section, "least_ms", 20.0, 0.0..=600_000.0);
    let most = ms(&section, "most_ms", 400.0, 0.0..=600_000.0);
    if most < least {
        section.error("most_ms", "is below least_ms");
    }
    section.finish();

    let section = root.section("links");
    let links = Links {
        delay: ms(&section, "delay_ms", 0.3, 0.001..=10_000.0),
        cross_zone: ms(&section, "cross_zone_ms", 0.7, 0.0..=10_000.0),
        message: ms(&section, "message_ms", 2.0, 0.001..=10_000.0),
        loss: section.number("loss", 0.0, 0.0..=1.0),
    };
    let intake = section.number("intake_per_second", 100.0, 0.0..=1e6);
    section.finish();

    let section = root.section("clients");
    let clients = Clients {
        accounts: scaled(section.whole("accounts", 400, 1..=10_000_000)),
        skew: section.number("skew", 0.8, 0.0..=5.0),
        spread: section.whole("spread", 12, 1..=5_000) as u16,
        uneven: section.number("uneven", 1.0, 0.0..=5.0),
        delay: ms(&section, "delay_ms", 0.5, 0.001..=10_000.0),
        notices: ms(&section, "notices_ms", 2_000.0, 0.0..=600_000.0),
        again: section.number("again", 0.5, 0.0..=1.0),
        most_tries: section.whole("most_tries", 3, 1..=100) as u8,
        pause: ms(&section, "pause_ms", 400.0, 0.0..=600_000.0),
        heed: section.number("heed", 0.7, 0.0..=1.0),
    };
    section.finish();

    let section = root.section("load");
    let largest = section.number("largest_request", 8.0, 1.0..=1e6);
    let arrivals = match (section.has("clients"), section.has("tries_per_second")) {
        (true, true) => {
            section.error("clients", "stands beside tries_per_second: one kind of arrivals is allowed");
            Arrivals::Open { tries_per_second: 1.0 }
        }
        (true, false) => Arrivals::Closed {
            clients: scaled(section.whole("clients", 1, 1..=1_000_000)),
            think: ms(&section, "think_ms", 1_000.0, 1.0..=3_600_000.0),
        },
        _ => {
            let rate = section.number("tries_per_second", 1_200.0, 0.0..=1e6);
            if rate <= 0.0 {
                section.error("tries_per_second", "a load of nothing shows nothing");
            }
            Arrivals::Open { tries_per_second: rate * scale }
        }
    };
    let load = Load { arrivals, unit_skew: section.number("unit_skew", 2.0, 0.1..=10.0) };
    section.finish();

    let section = root.section("prices");
    let price = |key: &'static str, usual: f64| section.number(key, usual, 0.0..=1e3);
    let prices = Prices {
        cross_zone: 0.0,
        waste: price("waste", 0.02),
        probe: 0.0,
        peer: price("message", 0.0002),
        late_fail: price("late_fail", 0.1),
        connection: 0.0,
        handshake: price("handshake", 0.02),
        discovery: 0.0,
    };
    let fee = price("call", 0.005);
    section.finish();

    let settings = Settings {
        gateways: ingresses as u16,
        tick: ms(&fleet, "tick_ms", 1.0, 0.1..=1_000.0),
        classes: classes.iter().map(|class| class.class.clone()).collect(),
        plans: plans.iter().map(|plan| plan.plan.clone()).collect(),
        counter: with_counter.then_some(words::Counter { timeout, fee }),
        largest_request: largest,
        limits: Limits {
            attempts: fleet.whole("attempts", 3, 1..=16) as u32,
            cancelling: true,
            peer_messages: intake > 0.0,
            peer_intake: intake,
            retry_hints: fleet.flag("retry_hints", true),
            longest_retry_hint: 60_000_000,
            open_requests: 1_000,
            connect_timeout: ms(&fleet, "connect_timeout_ms", 250.0, 1.0..=60_000.0),
            idle_close: seconds(&fleet, "idle_close_seconds", 30.0, 0.1..=3_600.0),
            streams_per_connection: 1,
            ..Limits::default()
        },
        safety,
        report_fields: vec![ReportField::Outstanding, ReportField::Backlog],
        report_via: if nodes.reports { ReportVia::Answers } else { ReportVia::Never },
        prices,
        ..Settings::default()
    };
    fleet.finish();
    let sections = root.sections("fault");
    let faults =
        sections.into_iter().map(|section| fault::read(section, &nodes, zones, ingresses, counter.parts));
    let faults = faults.collect();
    let vary = root.sections("vary").into_iter().map(vary).collect();
    Experiment {
        name: root.text("name").unwrap_or_else(|| "unnamed".into()),
        length,
        warm,
        seeds: (first_seed..first_seed + seeds).collect(),
        ingresses,
        zones,
        ingress_restart,
        nodes,
        classes,
        plans,
        counter,
        discovery: least..=most.max(least),
        links,
        clients,
        load,
        faults,
        vary,
        settings,
    }
}

fn class(section: Section<'_>) -> Class {
    let Known { name, class } = Known::read(&section);
    let read = Class {
        name,
        class,
        share: section.number("share", 1.0, 0.0..=1e6),
        work: section.number("work_ms", 20.0, 0.01..=600_000.0) * MS,
        work_spread: section.number("work_spread", 0.4, 0.0..=3.0),
    };
    section.finish();
    read
}

fn plan(section: Section<'_>) -> Plan {
    let (name, mut plan) = violetyoke_config::plan(&section);
    plan.beyond_worth = section.number("beyond_worth", 0.0, 0.0..=1.0);
    plan.beyond_cost = section.number("beyond_cost", 1.0, 0.0..=100.0);
    plan.ceiling_slack = section.number("ceiling_slack", 1.0, 0.0..=1e6);
    let read = Plan { name, plan, share: section.number("share", 1.0, 0.0..=1e6) };
    section.finish();
    read
}

fn vary(section: Section<'_>) -> Vary {
    let key = section.needed("key");
    if key.is_empty() || key.split('.').any(str::is_empty) || key.contains('[') {
        section.error("key", "must be a key of a table, as counter.calls_per_second");
    }
    let values = section.numbers("values");
    if values.is_empty() {
        section.error("values", "must be a list of numbers");
    }
    section.finish();
    Vary { key, values }
}
