//! Reads an experiment from the tables of its file, one function for each.

use super::model::{Class, Experiment, Plan, Vary};
use super::tables::{
    micros, read_clients, read_counter, read_discovery, read_links, read_load, read_nodes, read_prices,
    Scale, MS, SECOND,
};
use crate::fault::{self, Population};
use violetyoke_config::{reject_duplicates, Section};
use violetyoke_decision::interface::{Limits, Micros, ReportField, ReportVia, Settings};

/// Longest run: an emulated day.
const MAX_SECONDS: f64 = 86_400.0;

/// The table `run`.
struct Run {
    duration: Micros,
    warm_up: Micros,
    seeds: Vec<u64>,
    scale: Scale,
}

/// The table `fleet`.
struct Fleet {
    ingresses: usize,
    zones: u16,
    restart: Micros,
    tick: Micros,
    limits: Limits,
}

/// Reads the root table; what is wrong becomes an error of its section.
pub(super) fn read_experiment(root: &Section<'_>) -> Experiment {
    let Run { duration, warm_up, seeds, scale } = read_run(root);
    let fleet = read_fleet(root, scale);
    let nodes = read_nodes(root, scale);
    let classes = read_classes(root);
    let plans = read_plans(root);
    let counter = read_counter(root, scale);
    let discovery = read_discovery(root);
    let links = read_links(root);
    let clients = read_clients(root, scale);
    let load = read_load(root, scale);
    let prices = read_prices(root);
    let population = Population {
        nodes: nodes.nodes.count,
        ingresses: fleet.ingresses,
        counter_parts: counter.counter.parts,
        zones: fleet.zones,
    };
    let settings = Settings {
        gateways: fleet.ingresses as u16,
        tick: fleet.tick,
        classes: classes.iter().map(|class| class.class.clone()).collect(),
        plans: plans.iter().map(|plan| plan.plan.clone()).collect(),
        counter: counter.settings(prices.call),
        max_request_units: load.largest_request,
        limits: Limits {
            peer_messages: links.peer_intake > 0.0,
            peer_message_rate: links.peer_intake,
            ..fleet.limits
        },
        safety: nodes.safety,
        report_fields: vec![ReportField::Outstanding, ReportField::Backlog],
        report_via: if nodes.nodes.reports { ReportVia::Responses } else { ReportVia::Never },
        prices: prices.prices,
        ..Settings::default()
    };
    Experiment {
        name: root.text("name").unwrap_or_else(|| "unnamed".into()),
        duration,
        warm_up,
        seeds,
        ingresses: fleet.ingresses,
        zones: fleet.zones,
        ingress_restart: fleet.restart,
        nodes: nodes.nodes,
        classes,
        plans,
        counter: counter.counter,
        discovery,
        links: links.links,
        clients,
        load: load.load,
        faults: root.sections("fault").into_iter().map(|table| fault::read(table, &population)).collect(),
        vary: root.sections("vary").into_iter().map(read_vary).collect(),
        settings,
    }
}

fn read_run(root: &Section<'_>) -> Run {
    let table = root.section("run");
    let duration = micros(&table, "seconds", SECOND, 30.0, 0.1..=MAX_SECONDS);
    let warm_up = micros(&table, "warm_seconds", SECOND, 5.0, 0.0..=MAX_SECONDS);
    if warm_up >= duration {
        table.error("warm_seconds", "must be less than seconds");
    }
    let count = table.integer("seeds", 3, 1..=10_000);
    let first = table.integer("first_seed", 1, 0..=1 << 40);
    let scale = Scale(table.number("scale", 1.0, 0.01..=1_000.0));
    table.finish();
    Run { duration, warm_up, seeds: (first..first + count).collect(), scale }
}

fn read_fleet(root: &Section<'_>, scale: Scale) -> Fleet {
    let table = root.section("fleet");
    let fleet = Fleet {
        ingresses: scale.count(table.integer("ingresses", 60, 1..=5_000)),
        zones: table.integer("zones", 3, 1..=64) as u16,
        restart: micros(&table, "restart_ms", MS, 1_000.0, 1.0..=600_000.0),
        tick: micros(&table, "tick_ms", MS, 1.0, 0.1..=1_000.0),
        limits: Limits {
            max_attempts: table.integer("attempts", 3, 1..=16) as u32,
            cancellation: true,
            retry_hints: table.flag("retry_hints", true),
            max_retry_after: 60_000_000,
            max_open_requests: 1_000,
            connect_timeout: micros(&table, "connect_timeout_ms", MS, 250.0, 1.0..=60_000.0),
            idle_timeout: micros(&table, "idle_close_seconds", SECOND, 30.0, 0.1..=3_600.0),
            streams_per_connection: 1,
            ..Limits::default()
        },
    };
    table.finish();
    fleet
}

fn read_classes(root: &Section<'_>) -> Vec<Class> {
    let classes: Vec<Class> = root.sections("class").into_iter().map(read_class).collect();
    reject_duplicates(root, "class", classes.iter().map(|class| class.name.as_str()));
    check_shares(root, "class", "classes", classes.iter().map(|class| class.share));
    classes
}

fn read_plans(root: &Section<'_>) -> Vec<Plan> {
    let plans: Vec<Plan> = root.sections("plan").into_iter().map(read_plan).collect();
    reject_duplicates(root, "plan", plans.iter().map(|plan| plan.name.as_str()));
    check_shares(root, "plan", "plans", plans.iter().map(|plan| plan.share));
    plans
}

/// There must be one table at least, and one share above 0.
fn check_shares(root: &Section<'_>, key: &str, plural: &str, shares: impl ExactSizeIterator<Item = f64>) {
    if shares.len() == 0 {
        root.error(key, "at least one is needed");
    } else if shares.sum::<f64>() <= 0.0 {
        root.error(key, format!("the shares of all {plural} are 0"));
    }
}

fn read_class(table: Section<'_>) -> Class {
    let known = violetyoke_config::Class::read(&table);
    let class = Class {
        name: known.name,
        class: known.class,
        share: table.number("share", 1.0, 0.0..=1e6),
        mean_work: table.number("work_ms", 20.0, 0.01..=600_000.0) * MS,
        work_spread: table.number("work_spread", 0.4, 0.0..=3.0),
    };
    table.finish();
    class
}

fn read_plan(table: Section<'_>) -> Plan {
    let (name, mut plan) = violetyoke_config::read_plan(&table);
    plan.over_quota_value = table.number("beyond_worth", 0.0, 0.0..=1.0);
    plan.over_quota_cost = table.number("beyond_cost", 1.0, 0.0..=100.0);
    plan.hard_limit_slack = table.number("ceiling_slack", 1.0, 0.0..=1e6);
    let plan = Plan { name, plan, share: table.number("share", 1.0, 0.0..=1e6) };
    table.finish();
    plan
}

fn read_vary(table: Section<'_>) -> Vary {
    let key = table.required_text("key");
    if key.is_empty() || key.split('.').any(str::is_empty) || key.contains('[') {
        table.error("key", "must be a key of a table, as counter.calls_per_second");
    }
    let values = table.number_list("values");
    if values.is_empty() {
        table.error("values", "must be a list of numbers");
    }
    table.finish();
    Vary { key, values }
}
