//! Days in the bench's own form (TOML): a `[[day]]` with `plan`, `faults`, `closing` and `traffic`. What has no counterpart here is
//! told, not passed over in silence.

use crate::day::{Day, Event, What, LENGTH};
use crate::records::Millis;
use crate::site::Site;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct File {
    day: Vec<Written>,
}

#[derive(Debug, Deserialize)]
struct Written {
    #[serde(default)]
    name: String,
    #[serde(default = "one")]
    seed: u64,
    #[serde(default)]
    plan: Vec<Trouble>,
    #[serde(default)]
    faults: Vec<Trouble>,
    closing: Option<Closing>,
    #[serde(default)]
    traffic: Vec<Traffic>,
}

fn one() -> u64 {
    1
}

#[derive(Debug, Deserialize)]
struct Traffic {
    per_s: f64,
}

#[derive(Debug, Deserialize)]
struct Closing {
    kind: String,
    #[serde(default)]
    down_s: f64,
}

#[derive(Debug, Deserialize)]
struct Trouble {
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

/// A day as it was read, its traffic (requests a second of each zone's clients), and the troubles that are unknown here.
#[derive(Debug)]
pub struct Read {
    pub name: String,
    pub day: Day,
    pub per_s: Option<f64>,
    pub unknown: Vec<String>,
}

/// Reads the first day of a file; `length`: how long its traffic lasts.
pub fn read(text: &str, site: &Site, length: Millis) -> Result<Read, toml::de::Error> {
    let File { day } = toml::from_str(text)?;
    let Some(written) = day.into_iter().next() else {
        return Err(serde::de::Error::custom("day: there is none"));
    };
    let mut rng = Pcg64Mcg::seed_from_u64(written.seed);
    let (mut events, mut unknown) = (Vec::new(), Vec::new());
    for trouble in written.plan.iter().chain(&written.faults) {
        let found = happens(trouble, site, &mut rng);
        if found.is_empty() {
            unknown.push(trouble.kind.clone());
        }
        let gap = if trouble.gap_s > 0.0 { trouble.gap_s } else { 1.0 };
        let at = |n: usize| ((trouble.at + n as f64 * gap) * 1000.0) as Millis;
        events.extend(found.into_iter().enumerate().map(|(n, what)| Event { at: at(n), what }));
    }
    let all = || (0..site.cores.iter().sum::<usize>() + site.edges.iter().sum::<usize>()).collect();
    if let Some(Closing { kind, down_s }) = &written.closing {
        let down = (down_s * 1000.0) as Millis;
        let what = match kind.as_str() {
            "power_off_all" => Some(What::Kill { machines: all(), power: true, down }),
            "kill_all" => Some(What::Kill { machines: all(), power: false, down }),
            "wipe_after_ack" => Some(What::AfterAck { wipe: true, down }),
            _ => None,
        };
        match what {
            Some(what) => events.push(Event { at: length.saturating_sub(6_000), what }),
            None => unknown.push(kind.clone()),
        }
    }
    events.sort_by_key(|event| event.at);
    let per_s = written.traffic.iter().map(|it| it.per_s).sum::<f64>() / written.traffic.len().max(1) as f64;
    let day = Day { seed: written.seed, events, length: length.max(LENGTH) };
    Ok(Read { name: written.name, day, per_s: (per_s > 0.0).then_some(per_s), unknown })
}

fn happens(trouble: &Trouble, site: &Site, rng: &mut Pcg64Mcg) -> Vec<What> {
    let (cores, edges) = (site.cores.iter().sum::<usize>(), site.edges.iter().sum::<usize>());
    let span = (trouble.for_s * 1000.0) as Millis;
    let some = |rng: &mut Pcg64Mcg| -> Vec<usize> {
        let mut all: Vec<usize> = (cores..cores + edges).collect();
        let most = ((edges as f64 * trouble.share).round() as usize).max(1);
        (0..most.min(edges)).map(|_| all.swap_remove(rng.random_range(0..all.len()))).collect()
    };
    let named =
        trouble.zone.as_deref().and_then(|name| site.zones.iter().position(|(zone, _)| *zone == name));
    let zone = named.unwrap_or_else(|| rng.random_range(0..site.zones.len()));
    let service = rng.random_range(0..site.services.len());
    let servers = site.services[service].backends.iter().sum::<usize>() as f64;
    let times = trouble.count.max(1);
    let power = trouble.how.contains("power");
    let machine = rng.random_range(0..cores);
    match trouble.kind.as_str() {
        "config_change" if trouble.how == "tenant" => vec![What::Join { name: "newcomer".into() }],
        "config_change" => vec![What::Change { moved: false }],
        "big_config" => vec![What::Routes { count: times }],
        "bad_config" => vec![What::Invalid; times],
        "config_race" => vec![What::Race; times],
        "revoke" => (0..times).map(|_| What::Revoke { tenant: rng.random_range(0..site.tenants) }).collect(),
        "evacuate" => vec![What::Evacuate { zone, span }],
        "hot_tenant" => vec![What::Hot { tenant: rng.random_range(0..site.tenants), x: trouble.x, span }],
        "srv_crash" => (0..site.services.len())
            .map(|service| What::Crash { service, count: ((servers * trouble.share) as usize).max(1) })
            .collect(),
        "release" => vec![What::Release { service, count: ((servers * trouble.share) as usize).max(1) }],
        "answer_lost" => vec![What::Lose { part: trouble.share * trouble.x, span }],
        "node_kill" if trouble.on == "core" => {
            vec![What::Kill { machines: vec![machine], power, down: span.max(600) }]
        }
        "node_kill" | "herd_kill" => vec![What::Kill { machines: some(rng), power, down: span.max(600) }],
        "node_cut" => vec![What::Cut { machines: some(rng), one_way: false, span }],
        "core_cut" => vec![What::Cut { machines: vec![machine], one_way: false, span }],
        "zone_loss" => vec![What::Zone { zone, span }],
        "disk_stall" => vec![What::Stall { machine, span }],
        "after_ack_kill" => vec![What::AfterAck { wipe: false, down: span }],
        "after_ack_wipe" => vec![What::AfterAck { wipe: true, down: span }],
        _ => Vec::new(),
    }
}
