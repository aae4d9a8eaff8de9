//! Directories of backends, and what a proxy sends to them.

#![allow(dead_code, unreachable_pub, reason = "each file of tests uses its own part")]

use std::collections::{BTreeSet, HashMap};
use violetyoke_balancing::{
    BackendDirectory, ListedBackend, Locality, Selection, SelectionCriteria, ServiceLimits,
};

/// A warm backend of the service `finder`; its region is the first letter of its zone.
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

/// Requests a second that a backend which warms up takes from all proxies.
pub const SLOW_START_RATE_PER_S: f64 = 21.0;

pub fn limits() -> HashMap<String, ServiceLimits> {
    let limits = ServiceLimits {
        slow_start_ms: 3_000,
        slow_start_rate_per_s: SLOW_START_RATE_PER_S,
        max_connections: 100,
    };
    HashMap::from([("finder".into(), limits)])
}

/// The directory of proxy 0 of nine, in zone `a1`.
pub fn directory(backends: Vec<ListedBackend>) -> BackendDirectory {
    let mut directory = empty_directory(0);
    directory.update_members(members(9));
    directory.configure(0, limits(), BTreeSet::new(), 1_500);
    assert!(directory.replace_all(10, 10, backends));
    directory
}

/// A directory without backends, limits and members.
pub fn empty_directory(proxy_id: u32) -> BackendDirectory {
    BackendDirectory::new(proxy_id, Locality { zone: "a1".into(), region: "a".into() })
}

/// Any backend of `finder`.
pub const ANY: SelectionCriteria<'static> =
    SelectionCriteria { service: "finder", attempted: &[], home_regions: [&[], &[]] };

pub fn selected(directory: &BackendDirectory, now: u64, criteria: SelectionCriteria<'_>) -> Option<String> {
    match directory.select(now, criteria) {
        Selection::Backend(id) => Some(id),
        Selection::AtCapacity | Selection::NoBackend => None,
    }
}

/// Starts as many attempts as are allowed, `limit` at most; how many each backend got.
pub fn fill(directory: &mut BackendDirectory, now: u64, limit: usize) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for _ in 0..limit {
        let Some(id) = selected(directory, now, ANY) else { break };
        directory.record_attempt_started(now, &id);
        *counts.entry(id).or_insert(0) += 1;
    }
    counts
}
