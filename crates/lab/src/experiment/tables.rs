//! Reads the tables of what surrounds the ingresses: nodes, counter, discovery, links, clients, load and prices.

use super::model::{Arrivals, Clients, Counter, Links, Load, Nodes};
use std::ops::RangeInclusive;
use violetyoke_config::Section;
use violetyoke_decision::interface::{self as decision, Micros, Prices, Safety};

/// Microseconds in a millisecond.
pub(super) const MS: f64 = 1_000.0;
/// Microseconds in a second.
pub(super) const SECOND: f64 = 1e6;

/// The factor of all sizes together, so that a larger fleet is the same fleet, larger.
#[derive(Clone, Copy)]
pub(super) struct Scale(pub(super) f64);

impl Scale {
    /// A scaled number of things; one at least.
    pub(super) fn count(self, count: u64) -> usize {
        ((count as f64 * self.0).round() as usize).max(1)
    }
}

/// A duration whose key is in units of this many microseconds.
pub(super) fn micros(
    table: &Section<'_>,
    key: &'static str,
    unit: f64,
    default: f64,
    range: RangeInclusive<f64>,
) -> Micros {
    (table.number(key, default, range) * unit) as Micros
}

pub(super) struct NodesTable {
    pub(super) nodes: Nodes,
    pub(super) safety: Safety,
}

pub(super) fn read_nodes(root: &Section<'_>, scale: Scale) -> NodesTable {
    let table = root.section("nodes");
    let nodes = Nodes {
        count: scale.count(table.integer("count", 40, 1..=10_000)),
        workers: table.integer("workers", 8, 1..=10_000) as usize,
        queue: table.integer("queue", 32, 0..=1_000_000) as usize,
        connections: table.integer("connections", 200, 1..=1_000_000) as u32,
        handshake: micros(&table, "handshake_ms", MS, 2.0, 0.0..=10_000.0),
        speed_spread: table.number("speed_spread", 0.15, 0.0..=2.0),
        restart: micros(&table, "restart_ms", MS, 2_000.0, 1.0..=600_000.0),
        reports: table.flag("reports", true),
    };
    let safety = Safety {
        deadline_slack: 50_000,
        drain_grace: 250_000,
        slow_start_share: table.number("cold_share", 0.2, 0.01..=1.0),
        slow_start_time: micros(&table, "cold_seconds", SECOND, 10.0, 0.0..=3_600.0),
        overload_multiple: table.number("fall_multiple", 3.0, 1.0..=100.0),
        overload_time: micros(&table, "fall_ms", MS, 1_000.0, 1.0..=60_000.0),
        max_poll_interval: 10_000_000,
    };
    table.finish();
    NodesTable { nodes, safety }
}

pub(super) struct CounterTable {
    pub(super) counter: Counter,
    timeout: Micros,
    is_there: bool,
}

impl CounterTable {
    /// What the ingresses know of the counter; none: they have none.
    pub(super) fn settings(&self, fee: f64) -> Option<decision::Counter> {
        self.is_there.then_some(decision::Counter { timeout: self.timeout, fee })
    }
}

pub(super) fn read_counter(root: &Section<'_>, scale: Scale) -> CounterTable {
    let table = root.section("counter");
    let counter = Counter {
        parts: scale.count(table.integer("parts", 4, 1..=1_024)),
        calls_per_second: table.number("calls_per_second", 2_000.0, 0.1..=1e9) * scale.0,
        queue: table.integer("line", 64, 1..=1_000_000) as usize,
        delay: micros(&table, "delay_ms", MS, 0.5, 0.001..=10_000.0),
    };
    let timeout = micros(&table, "timeout_ms", MS, 50.0, 1.0..=10_000.0);
    let is_there = table.flag("there", true);
    table.finish();
    CounterTable { counter, timeout, is_there }
}

pub(super) fn read_discovery(root: &Section<'_>) -> RangeInclusive<Micros> {
    let table = root.section("discovery");
    let shortest = micros(&table, "least_ms", MS, 20.0, 0.0..=600_000.0);
    let longest = micros(&table, "most_ms", MS, 400.0, 0.0..=600_000.0);
    if longest < shortest {
        table.error("most_ms", "is below least_ms");
    }
    table.finish();
    shortest..=longest.max(shortest)
}

pub(super) struct LinksTable {
    pub(super) links: Links,
    /// Messages that an ingress accepts in a second.
    pub(super) peer_intake: f64,
}

pub(super) fn read_links(root: &Section<'_>) -> LinksTable {
    let table = root.section("links");
    let links = Links {
        delay: micros(&table, "delay_ms", MS, 0.3, 0.001..=10_000.0),
        cross_zone_delay: micros(&table, "cross_zone_ms", MS, 0.7, 0.0..=10_000.0),
        message_delay: micros(&table, "message_ms", MS, 2.0, 0.001..=10_000.0),
        message_loss: table.number("loss", 0.0, 0.0..=1.0),
    };
    let peer_intake = table.number("intake_per_second", 100.0, 0.0..=1e6);
    table.finish();
    LinksTable { links, peer_intake }
}

pub(super) fn read_clients(root: &Section<'_>, scale: Scale) -> Clients {
    let table = root.section("clients");
    let clients = Clients {
        accounts: scale.count(table.integer("accounts", 400, 1..=10_000_000)),
        skew: table.number("skew", 0.8, 0.0..=5.0),
        spread: table.integer("spread", 12, 1..=5_000) as u16,
        part_skew: table.number("uneven", 1.0, 0.0..=5.0),
        delay: micros(&table, "delay_ms", MS, 0.5, 0.001..=10_000.0),
        detection_delay: micros(&table, "notices_ms", MS, 2_000.0, 0.0..=600_000.0),
        retry_share: table.number("again", 0.5, 0.0..=1.0),
        max_tries: table.integer("most_tries", 3, 1..=100) as u8,
        retry_pause: micros(&table, "pause_ms", MS, 400.0, 0.0..=600_000.0),
        retry_after_share: table.number("heed", 0.7, 0.0..=1.0),
    };
    table.finish();
    clients
}

pub(super) struct LoadTable {
    pub(super) load: Load,
    /// The most units of a try.
    pub(super) largest_request: f64,
}

pub(super) fn read_load(root: &Section<'_>, scale: Scale) -> LoadTable {
    let table = root.section("load");
    let largest_request = table.number("largest_request", 8.0, 1.0..=1e6);
    let load = Load {
        arrivals: read_arrivals(&table, scale),
        unit_skew: table.number("unit_skew", 2.0, 0.1..=10.0),
    };
    table.finish();
    LoadTable { load, largest_request }
}

fn read_arrivals(table: &Section<'_>, scale: Scale) -> Arrivals {
    match (table.has("clients"), table.has("tries_per_second")) {
        (true, true) => {
            table.error("clients", "stands beside tries_per_second: one kind of arrivals is allowed");
            Arrivals::Open { tries_per_second: 1.0 }
        }
        (true, false) => Arrivals::Closed {
            clients: scale.count(table.integer("clients", 1, 1..=1_000_000)),
            think: micros(table, "think_ms", MS, 1_000.0, 1.0..=3_600_000.0),
        },
        _ => {
            let rate = table.number("tries_per_second", 1_200.0, 0.0..=1e6);
            if rate <= 0.0 {
                table.error("tries_per_second", "a load of nothing shows nothing");
            }
            Arrivals::Open { tries_per_second: rate * scale.0 }
        }
    }
}

pub(super) struct PricesTable {
    pub(super) prices: Prices,
    /// Of a call to the counter.
    pub(super) call: f64,
}

pub(super) fn read_prices(root: &Section<'_>) -> PricesTable {
    let table = root.section("prices");
    let price = |key: &'static str, default: f64| table.number(key, default, 0.0..=1e3);
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
    let call = price("call", 0.005);
    table.finish();
    PricesTable { prices, call }
}
