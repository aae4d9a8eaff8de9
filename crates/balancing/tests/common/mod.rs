//! Fixtures: directories of backends, and helpers that send attempts.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of the fixtures")]

use std::collections::{BTreeSet, HashMap};
use violetyoke_balancing::{
    BackendDirectory, ListedBackend, Locality, Selection, SelectionCriteria, ServiceLimits,
};

/// A backend of the service `finder` that is not warming up. Its region is the first letter of its zone.
pub fn listed(id: &str, zone: &str, slots: u32) -> ListedBackend {
    ListedBackend {
        id: id.into(),
        service: "finder".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: zone.into(),
        region: zone[..1].into(),
        slots,
        is_draining: false,
        slow_start_left_ms: 0,
    }
}

pub fn members(count: u32) -> Vec<u32> {
    (0..count).collect()
}

/// Requests per second that a backend accepts from all proxies together while it warms up.
pub const SLOW_START_RATE_PER_S: f64 = 21.0;

pub fn limits() -> HashMap<String, ServiceLimits> {
    let limits = ServiceLimits {
        slow_start_ms: 3_000,
        slow_start_rate_per_s: SLOW_START_RATE_PER_S,
        max_connections: 100,
    };
    HashMap::from([("finder".into(), limits)])
}

/// The directory of proxy 0 in zone `a1`, one of nine proxies.
pub fn directory(backends: Vec<ListedBackend>) -> BackendDirectory {
    let mut directory = empty_directory(0);
    directory.update_members(members(9));
    directory.configure(0, limits(), BTreeSet::new(), 1_500);
    assert!(directory.replace_all(10, 10, backends));
    directory
}

/// A directory without backends, limits or members.
pub fn empty_directory(proxy_id: u32) -> BackendDirectory {
    BackendDirectory::new(proxy_id, Locality { zone: "a1".into(), region: "a".into() })
}

/// Criteria that any backend of `finder` meets.
pub const ANY: SelectionCriteria<'static> =
    SelectionCriteria { service: "finder", attempted: &[], home_regions: [&[], &[]] };

pub fn selected(directory: &BackendDirectory, now: u64, criteria: SelectionCriteria<'_>) -> Option<String> {
    match directory.select(now, criteria) {
        Selection::Backend(id) => Some(id),
        Selection::AtCapacity | Selection::NoBackend => None,
    }
}

/// Starts as many attempts as are allowed, at most `limit`. Returns the number of attempts by backend.
pub fn fill(directory: &mut BackendDirectory, now: u64, limit: usize) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for _ in 0..limit {
        let Some(id) = selected(directory, now, ANY) else { break };
        directory.record_attempt_started(now, &id);
        *counts.entry(id).or_insert(0) += 1;
    }
    counts
}
