//! Days in the bench's format (TOML): a `[[day]]` with `plan`, `faults`, `closing` and `traffic`. Events without a
//! counterpart in the emulator are skipped and reported.

use crate::day::{Day, DAY_LENGTH};
use crate::event::{Event, EventKind};
use crate::records::Millis;
use crate::site::Site;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct File {
    day: Vec<DayTable>,
}

#[derive(Debug, Deserialize)]
struct DayTable {
    #[serde(default)]
    name: String,
    #[serde(default = "one")]
    seed: u64,
    #[serde(default)]
    plan: Vec<EventTable>,
    #[serde(default)]
    faults: Vec<EventTable>,
    closing: Option<ClosingTable>,
    #[serde(default)]
    traffic: Vec<TrafficTable>,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Deserialize)]
struct TrafficTable {
    per_s: f64,
}

#[derive(Debug, Deserialize)]
struct ClosingTable {
    kind: String,
    #[serde(default)]
    down_s: f64,
}

#[derive(Debug, Deserialize)]
struct EventTable {
    kind: String,
    at: f64,
    #[serde(default)]
    for_s: f64,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    count: usize,
    #[serde(default)]
    x: f64,
    #[serde(default)]
    gap_s: f64,
    #[serde(default)]
    how: String,
    #[serde(default)]
    on: String,
    zone: Option<String>,
}

/// A day read from a file.
#[derive(Debug)]
pub struct ParsedDay {
    /// The name of the day in the file.
    pub name: String,
    /// The day.
    pub day: Day,
    /// Requests per second of each zone's clients, if the file sets it.
    pub requests_per_s: Option<f64>,
    /// Unsupported kinds of events, which were skipped.
    pub unknown_kinds: Vec<String>,
}

/// Parses the first day of a file. Its traffic lasts for `length` or longer.
///
/// # Errors
/// If the text is not valid TOML, or not in the format of days.
pub fn parse(text: &str, site: &Site, length: Millis) -> Result<ParsedDay, toml::de::Error> {
    let File { day } = toml::from_str(text)?;
    let Some(table) = day.into_iter().next() else {
        return Err(serde::de::Error::custom("day: there is none"));
    };
    let mut rng = Pcg64Mcg::seed_from_u64(table.seed);
    let (mut events, mut unknown_kinds) = (Vec::new(), Vec::new());
    for event in table.plan.iter().chain(&table.faults) {
        let kinds = event_kinds(event, site, &mut rng);
        if kinds.is_empty() {
            unknown_kinds.push(event.kind.clone());
        }
        let gap_s = if event.gap_s > 0.0 { event.gap_s } else { 1.0 };
        let at = |n: usize| millis(event.at + n as f64 * gap_s);
        events.extend(kinds.into_iter().enumerate().map(|(n, kind)| Event { at: at(n), kind }));
    }
    if let Some(closing) = &table.closing {
        match closing_kind(closing, site) {
            Some(kind) => events.push(Event { at: length.saturating_sub(6_000), kind }),
            None => unknown_kinds.push(closing.kind.clone()),
        }
    }
    events.sort_by_key(|event| event.at);
    let traffic = &table.traffic;
    let per_s = traffic.iter().map(|it| it.per_s).sum::<f64>() / traffic.len().max(1) as f64;
    let day = Day { seed: table.seed, events, length: length.max(DAY_LENGTH) };
    let requests_per_s = (per_s > 0.0).then_some(per_s);
    Ok(ParsedDay { name: table.name, day, requests_per_s, unknown_kinds })
}

fn millis(seconds: f64) -> Millis {
    (seconds * 1000.0) as Millis
}

fn closing_kind(closing: &ClosingTable, site: &Site) -> Option<EventKind> {
    let machines = (0..site.core_count() + site.edge_count()).collect();
    let down = millis(closing.down_s);
    match closing.kind.as_str() {
        "power_off_all" => Some(EventKind::Kill { machines, is_power_lost: true, down }),
        "kill_all" => Some(EventKind::Kill { machines, is_power_lost: false, down }),
        "wipe_after_ack" => Some(EventKind::KillAcknowledger { is_wiped: true, down }),
        _ => None,
    }
}

/// Random targets of an event. All are sampled for every event, used or not, so that the random numbers of later events
/// don't depend on the kinds of earlier ones.
struct RandomTargets {
    zone: usize,
    service: usize,
    core: usize,
}

fn event_kinds(event: &EventTable, site: &Site, rng: &mut Pcg64Mcg) -> Vec<EventKind> {
    let named = event.zone.as_deref().and_then(|name| site.zones.iter().position(|zone| zone.name == name));
    let targets = RandomTargets {
        zone: named.unwrap_or_else(|| rng.random_range(0..site.zones.len())),
        service: rng.random_range(0..site.services.len()),
        core: rng.random_range(0..site.core_count()),
    };
    let kinds = planned_work(event, site, &targets, rng);
    if kinds.is_empty() {
        faults(event, site, &targets, rng)
    } else {
        kinds
    }
}

/// The events for configuration changes, load and backends.
fn planned_work(
    event: &EventTable,
    site: &Site,
    targets: &RandomTargets,
    rng: &mut Pcg64Mcg,
) -> Vec<EventKind> {
    let (span, times) = (millis(event.for_s), event.count.max(1));
    let backends = site.services[targets.service].backends.iter().sum::<usize>() as f64;
    let count = ((backends * event.share) as usize).max(1);
    let service = targets.service;
    match event.kind.as_str() {
        "config_change" if event.how == "tenant" => vec![EventKind::AddTenant { name: "newcomer".into() }],
        "config_change" => vec![EventKind::Change { moves_searches: false }],
        "big_config" => vec![EventKind::AddRoutes { count: times }],
        "bad_config" => vec![EventKind::InvalidChange; times],
        "config_race" => vec![EventKind::ConcurrentChanges; times],
        "revoke" => {
            let revoke = |_| EventKind::RevokeKey { tenant: rng.random_range(0..site.tenants) };
            (0..times).map(revoke).collect()
        }
        "evacuate" => vec![EventKind::Evacuate { zone: targets.zone, span }],
        "hot_tenant" => {
            let tenant = rng.random_range(0..site.tenants);
            vec![EventKind::TenantBurst { tenant, factor: event.x, span }]
        }
        "srv_crash" => {
            let crash = |service| EventKind::CrashBackends { service, count };
            (0..site.services.len()).map(crash).collect()
        }
        "release" => vec![EventKind::ReplaceBackends { service, count }],
        "garble" => vec![EventKind::SpoilNumbers { part: event.share * event.x, span }],
        "answer_lost" => vec![EventKind::LoseResponses { part: event.share * event.x, span }],
        _ => Vec::new(),
    }
}

/// The events for faults of machines, disks and links.
fn faults(event: &EventTable, site: &Site, targets: &RandomTargets, rng: &mut Pcg64Mcg) -> Vec<EventKind> {
    let (span, machine) = (millis(event.for_s), targets.core);
    let (down, is_power_lost) = (span.max(600), event.how.contains("power"));
    match event.kind.as_str() {
        "node_kill" if event.on == "core" => {
            vec![EventKind::Kill { machines: vec![machine], is_power_lost, down }]
        }
        "node_kill" | "herd_kill" => {
            vec![EventKind::Kill { machines: random_edges(event, site, rng), is_power_lost, down }]
        }
        "node_cut" => {
            vec![EventKind::Partition { machines: random_edges(event, site, rng), is_one_way: false, span }]
        }
        "core_cut" => vec![EventKind::Partition { machines: vec![machine], is_one_way: false, span }],
        "zone_loss" => vec![EventKind::LoseZone { zone: targets.zone, span }],
        "disk_stall" => vec![EventKind::StallDisk { machine, span }],
        "after_ack_kill" => vec![EventKind::KillAcknowledger { is_wiped: false, down: span }],
        "after_ack_wipe" => vec![EventKind::KillAcknowledger { is_wiped: true, down: span }],
        _ => Vec::new(),
    }
}

/// Random edge machines: the event's share of all, and at least one.
fn random_edges(event: &EventTable, site: &Site, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let (cores, edges) = (site.core_count(), site.edge_count());
    let mut all: Vec<usize> = (cores..cores + edges).collect();
    let count = ((edges as f64 * event.share).round() as usize).max(1);
    (0..count.min(edges)).map(|_| all.swap_remove(rng.random_range(0..all.len()))).collect()
}
