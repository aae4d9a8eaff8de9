//! The payloads of messages from registries to proxies: a configuration, and a change of a configuration.

use crate::variants;
use violetyoke_api::change::{ConfigurationChange, TableChange};
use violetyoke_api::configuration::{Limits, Route, RouteKind, Service, Tenant, WeightedService};
use violetyoke_api::quantity::{ByteCount, Milliseconds, Seconds};
use violetyoke_api::Configuration;

variants!(RouteKind {
    RouteKind::Idempotent => "idempotent",
    RouteKind::Nonidempotent => "nonidempotent",
    RouteKind::Keyed => "keyed",
});

fn full_route() -> Route {
    Route {
        name: "route-1".to_owned(),
        host: "rooms.example".to_owned(),
        path_prefix: "/search/".to_owned(),
        route_kind: RouteKind::Idempotent,
        timeout_ms: Milliseconds::new(1000.5),
        target_ms: Some(Milliseconds::new(200.0)),
        priority: -3,
        split: Some(vec![
            WeightedService { service: "search".to_owned(), weight: 0.9 },
            WeightedService { service: "search-next".to_owned(), weight: 0.1 },
        ]),
        attempts: 3,
        public: true,
        home_regions: vec!["region-1".to_owned(), "region-2".to_owned()],
        service: Some("search".to_owned()),
    }
}

fn minimal_route() -> Route {
    Route {
        name: "route-2".to_owned(),
        host: String::new(),
        path_prefix: "/".to_owned(),
        route_kind: RouteKind::Nonidempotent,
        timeout_ms: Milliseconds::new(0.0),
        target_ms: None,
        priority: 0,
        split: None,
        attempts: 1,
        public: false,
        home_regions: Vec::new(),
        service: None,
    }
}

fn full_service() -> Service {
    Service {
        name: "search".to_owned(),
        health_path: Some("/health".to_owned()),
        max_conns: Some(64.0),
        cold_s: Seconds::new(12.5),
        cold_rate_s: 2.0,
        self_dedup: false,
    }
}

fn minimal_service() -> Service {
    Service {
        name: "search-next".to_owned(),
        health_path: None,
        max_conns: None,
        cold_s: Seconds::new(0.0),
        cold_rate_s: 0.0,
        self_dedup: false,
    }
}

fn full_tenant() -> Tenant {
    Tenant {
        name: "tenant-1".to_owned(),
        api_keys: vec!["key-1".to_owned(), "key-2".to_owned()],
        priority: Some(2),
        rate_per_s: 100.0,
        burst: 50.0,
        home_regions: vec!["region-1".to_owned()],
    }
}

fn minimal_tenant() -> Tenant {
    Tenant {
        name: "tenant-2".to_owned(),
        api_keys: Vec::new(),
        priority: None,
        rate_per_s: 0.0,
        burst: 0.0,
        home_regions: Vec::new(),
    }
}

fn limits() -> Limits {
    Limits {
        max_header_bytes: ByteCount::new(1.0),
        max_body_bytes: ByteCount::new(2.0),
        header_timeout_ms: Milliseconds::new(3.0),
        idle_timeout_ms: Milliseconds::new(4.0),
    }
}

/// A configuration in which each optional field is once present and once absent.
pub(crate) fn configuration() -> Configuration {
    Configuration {
        version: 70_000,
        routes: vec![full_route(), minimal_route()],
        services: vec![full_service(), minimal_service()],
        tenants: vec![full_tenant(), minimal_tenant()],
        limits: limits(),
    }
}

/// A configuration with features of later builds: a keyed route, and a service that keeps its own record of keys.
pub(crate) fn keyed_configuration() -> Configuration {
    Configuration {
        routes: vec![Route { route_kind: RouteKind::Keyed, ..full_route() }, minimal_route()],
        services: vec![Service { self_dedup: true, ..full_service() }, minimal_service()],
        ..configuration()
    }
}

/// A change with upserted rows and removed names in each table.
pub(crate) fn change() -> ConfigurationChange {
    let removed = |name: &str| vec![name.to_owned()];
    ConfigurationChange {
        version: 70_001,
        routes: TableChange { upserted: vec![full_route(), minimal_route()], removed: removed("route-3") },
        services: TableChange {
            upserted: vec![full_service(), minimal_service()],
            removed: removed("service-3"),
        },
        tenants: TableChange {
            upserted: vec![full_tenant(), minimal_tenant()],
            removed: removed("tenant-3"),
        },
        limits: limits(),
        digest: u64::MAX,
    }
}

/// The digest of [`keyed_configuration`].
pub(crate) const KEYED_CONFIGURATION_DIGEST: u64 = 9_459_950_191_974_596_947;

/// The digest of [`configuration`]. It covers the encoding of each row. A change contains such a digest, which may be compared
/// with one that another build has computed.
pub(crate) const CONFIGURATION_DIGEST: u64 = 10_780_380_243_959_800_687;
