//! A deployment: machines, services, tenants, what is asked, and the bounds that hold.

use crate::net::Delays;
use serde_json::{json, Value};
use violetyoke_api::settings::Bounds;

#[derive(Clone, Debug)]
pub struct Service {
    pub name: &'static str,
    /// Backends in each zone.
    pub backends: Vec<usize>,
    pub slots: u32,
    pub cold_s: f64,
    pub cold_per_s: f64,
    pub speeds: Vec<f64>,
}

/// A kind of request.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub service: usize,
    pub path: &'static str,
    pub repeatable: bool,
    /// Of all requests, relative to the others.
    pub share: f64,
    pub work_ms: f64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub homes: Vec<&'static str>,
}

#[derive(Clone, Debug)]
pub struct Site {
    pub zones: Vec<(&'static str, usize)>,
    pub regions: Vec<&'static str>,
    pub edges: Vec<usize>,
    pub cores: Vec<usize>,
    pub tolerance: u32,
    pub delays: Delays,
    pub sync_ms: f64,
    /// Disks say that they have synced what they have not: the negative control.
    pub disks_lie: bool,
    pub services: Vec<Service>,
    pub kinds: Vec<Kind>,
    pub tenants: usize,
    /// Requests a second from each zone's clients.
    pub per_s: f64,
    pub lag_ms: u64,
    pub bounds: Bounds,
}

pub const HOST: &str = "rooms.example";

impl Site {
    /// A small deployment in the manner of guest bookings: four zones in two regions, three core machines in two zones.
    /// `per_s`: requests a second of each zone's clients.
    pub fn rooms(edges_a_zone: usize, per_s: f64) -> Site {
        let service = |name, backends: [usize; 4], speeds: &[f64]| Service {
            name,
            backends: backends.to_vec(),
            slots: 6,
            cold_s: 3.0,
            cold_per_s: 21.0,
            speeds: speeds.to_vec(),
        };
        let kind = |name, service, path, repeatable, share, work_ms, aim_ms, homes: &[&'static str]| Kind {
            name,
            service,
            path,
            repeatable,
            share,
            work_ms,
            aim_ms,
            deadline_ms: aim_ms * 5 / 2,
            homes: homes.to_vec(),
        };
        Site {
            zones: vec![("west-a", 0), ("east-a", 1), ("west-b", 0), ("east-b", 1)],
            regions: vec!["west", "east"],
            edges: vec![edges_a_zone; 4],
            cores: vec![2, 0, 1, 0],
            tolerance: 1,
            delays: Delays { zone: 0.1, zones: 1.4, regions: 35.0 },
            sync_ms: 0.5,
            disks_lie: false,
            services: vec![
                service("finder", [3, 3, 2, 2], &[0.8, 1.0, 1.25]),
                service("ledger", [3, 3, 1, 1], &[0.7, 1.0, 1.0, 1.5]),
                service("board", [3, 3, 3, 2], &[0.8, 1.0, 1.25]),
            ],
            kinds: vec![
                kind("search", 0, "/search/", true, 4.7, 60.0, 400, &[]),
                kind("book", 1, "/book/", false, 2.0, 78.0, 400, &["west"]),
                kind("rate", 2, "/rate/", true, 2.1, 150.0, 600, &[]),
            ],
            tenants: 8,
            per_s,
            lag_ms: 800,
            bounds: Bounds {
                config_apply_ms: 3_000.0,
                drain_ms: 3_000.0,
                retry_ratio: 0.2,
                retry_slack: 58.0,
                quota_slack: 20.0,
                cold_overshoot: 1.5,
                cold_slack: 5.0,
                ..Bounds::default()
            },
        }
    }

    /// With five core machines, of which two may be lost.
    pub fn with_five_cores(mut self) -> Site {
        self.cores = vec![2, 1, 2, 0];
        self.tolerance = 2;
        self
    }

    pub fn region(&self, zone: usize) -> usize {
        self.zones.get(zone).map_or(0, |(_, region)| *region)
    }

    /// A tenant's part of all requests: a few are large.
    pub fn part(&self, tenant: usize) -> f64 {
        let weight = |n: usize| 1.0 / (n + 1) as f64;
        weight(tenant) / (0..self.tenants).map(weight).sum::<f64>()
    }

    /// What a tenant may ask a second, and at once: more than it usually does.
    pub fn limit(&self, tenant: usize) -> f64 {
        let all = self.per_s * self.zones.len() as f64;
        (all * self.part(tenant) * 1.6).max(5.0).ceil()
    }

    /// The configuration of that version, with the tenants, and the routes more, that there are by
    /// then.
    pub fn configuration(&self, version: u64, more: &[String], gone: &[usize], routes: usize) -> Value {
        let routes: Vec<Value> = self
            .kinds
            .iter()
            .map(|kind| {
                json!([
                    kind.name,
                    HOST,
                    kind.path,
                    if kind.repeatable { "idempotent" } else { "nonidempotent" },
                    kind.deadline_ms,
                    kind.aim_ms,
                    2,
                    kind.homes,
                    self.services[kind.service].name
                ])
            })
            .chain((0..routes).map(|n| {
                json!([
                    format!("more-{n}"),
                    HOST,
                    format!("/more/{n}/"),
                    "idempotent",
                    1000,
                    400,
                    2,
                    [],
                    "finder"
                ])
            }))
            .collect();
        let services: Vec<Value> =
            self.services.iter().map(|it| json!([it.name, it.cold_s, it.cold_per_s, 100])).collect();
        let standing = (0..self.tenants).map(|n| {
            let keys: Vec<String> = if gone.contains(&n) { Vec::new() } else { vec![key(n)] };
            json!([tenant(n), keys, self.limit(n), self.limit(n)])
        });
        let joined = more.iter().map(|name| json!([name, [format!("key-{name}")], 20, 20]));
        json!({
            "version": version,
            "routes": {"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts",
                                   "home-regions", "service"], "rows": routes},
            "services": {"columns": ["name", "cold-s", "cold-rate-s", "max-conns"], "rows": services},
            "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                        "rows": standing.chain(joined).collect::<Vec<_>>()},
        })
    }
}

pub fn tenant(number: usize) -> String {
    format!("tenant-{number}")
}

pub fn key(number: usize) -> String {
    format!("key-{number}")
}
