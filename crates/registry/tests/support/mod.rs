//! Values and fake processes for several tests of the registry.

#![allow(dead_code, reason = "no test uses all of them")]

pub(crate) mod http;
pub(crate) mod log;
pub(crate) mod network;
pub(crate) mod peer;
pub(crate) mod proxy;
pub(crate) mod registry;

use violetyoke_transport::messages::Backend;

/// A backend of the service and the zone that all tests use.
pub(crate) fn backend(id: &str, draining: bool, slow_start_left_ms: u64) -> Backend {
    Backend {
        id: id.into(),
        service: "finder".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a1".into(),
        slots: 6,
        draining,
        slow_start_left_ms,
    }
}
