//! A small deployment of a room booking system.

use super::{RequestKind, Service, Site, Zone};
use crate::net::Delays;
use violetyoke_api::configuration::RouteKind;
use violetyoke_api::quantity::Milliseconds;
use violetyoke_api::settings::Bounds;

/// Allows for repeats, so that they reach the core machines instead of being rejected by rate limits.
const KEYED_LIMIT_FACTOR: f64 = 5.0;

fn service(name: &'static str, backends: [usize; 4], speeds: &[f64]) -> Service {
    Service {
        name,
        backends: backends.to_vec(),
        slots: 6,
        slow_start_s: 3.0,
        slow_start_rate_per_s: 21.0,
        speeds: speeds.to_vec(),
        self_dedup: false,
    }
}

fn search() -> RequestKind {
    RequestKind {
        name: "search",
        service: 0,
        path: "/search/",
        route_kind: RouteKind::Idempotent,
        weight: 4.7,
        work_ms: 60.0,
        target_ms: 400,
        deadline_ms: 1_000,
        home_regions: Vec::new(),
    }
}

fn book() -> RequestKind {
    RequestKind {
        name: "book",
        service: 1,
        path: "/book/",
        route_kind: RouteKind::Nonidempotent,
        weight: 2.0,
        work_ms: 78.0,
        home_regions: vec!["west"],
        ..search()
    }
}

fn rate() -> RequestKind {
    RequestKind {
        name: "rate",
        service: 2,
        path: "/rate/",
        weight: 2.1,
        work_ms: 150.0,
        target_ms: 600,
        deadline_ms: 1_500,
        ..search()
    }
}

impl Site {
    /// A small deployment of a room booking system: four zones in two regions, three core machines in two zones.
    /// `requests_per_s` is the request rate of each zone's clients.
    #[must_use]
    pub fn rooms(edges_per_zone: usize, requests_per_s: f64) -> Site {
        let zone = |name, region| Zone { name, region };
        Site {
            zones: vec![zone("west-a", 0), zone("east-a", 1), zone("west-b", 0), zone("east-b", 1)],
            regions: vec!["west", "east"],
            edges: vec![edges_per_zone; 4],
            cores: vec![2, 0, 1, 0],
            tolerance: 1,
            delays: Delays { within_zone_ms: 0.1, between_zones_ms: 1.4, between_regions_ms: 35.0 },
            sync_ms: 0.5,
            has_lying_disks: false,
            has_lying_logs: false,
            services: vec![
                service("finder", [3, 3, 2, 2], &[0.8, 1.0, 1.25]),
                service("ledger", [3, 3, 1, 1], &[0.7, 1.0, 1.0, 1.5]),
                service("board", [3, 3, 3, 2], &[0.8, 1.0, 1.25]),
            ],
            request_kinds: vec![search(), book(), rate()],
            tenants: 8,
            requests_per_s,
            limit_factor: 1.6,
            lag_ms: 800,
            bounds: Bounds {
                config_apply_ms: Milliseconds::new(3_000.0),
                drain_ms: Milliseconds::new(3_000.0),
                retry_ratio: 0.2,
                retry_slack: 58.0,
                quota_slack: 20.0,
                cold_overshoot: 1.5,
                cold_slack: 5.0,
                ..Bounds::default()
            },
        }
    }

    /// Bookings carry operation keys, and clients repeat them.
    #[must_use]
    pub fn with_keyed_bookings(mut self) -> Site {
        for kind in &mut self.request_kinds {
            if kind.route_kind == RouteKind::Nonidempotent {
                kind.route_kind = RouteKind::Keyed;
            }
        }
        self.limit_factor = KEYED_LIMIT_FACTOR;
        self
    }

    /// Five core machines, of which two may be lost at the same time.
    #[must_use]
    pub fn with_five_cores(mut self) -> Site {
        self.cores = vec![2, 1, 2, 0];
        self.tolerance = 2;
        self
    }
}
