//! What distinguishes two lists of backends.

use crate::Millis;
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use violetyoke_transport::messages::{Backend, BackendList, BackendListChange, ListDigest};

/// Slow starts that end less than this (ms) after the registry's clock began are taken for ended.
const SLOW_START_GRANULARITY: Millis = 400;

/// The digest of a list that was asked for at `polled_at`: of all its content, except how far slow starts have run down.
pub fn digest_of(backends: &[Backend], polled_at: Millis) -> ListDigest {
    let mut hasher = DefaultHasher::new();
    for backend in backends {
        (&backend.id, &backend.service, backend.address, &backend.zone).hash(&mut hasher);
        (backend.slots, backend.draining).hash(&mut hasher);
        let slow_start_ends_at = polled_at + backend.slow_start_left_ms;
        let is_starting = is_in_slow_start(backend) && slow_start_ends_at >= SLOW_START_GRANULARITY;
        is_starting.hash(&mut hasher);
    }
    ListDigest(hasher.finish())
}

/// What a proxy that has the list `old` needs to have the list `new`.
pub fn change_between(old: &BackendList, new: &BackendList) -> BackendListChange {
    let old_by_id: HashMap<&str, &Backend> =
        old.backends.iter().map(|backend| (backend.id.as_str(), backend)).collect();
    let new_ids: HashSet<&str> = new.backends.iter().map(|backend| backend.id.as_str()).collect();
    let is_unchanged = |backend: &Backend| {
        old_by_id.get(backend.id.as_str()).is_some_and(|before| is_equivalent(before, backend))
    };
    let upserted = new.backends.iter().filter(|backend| !is_unchanged(backend)).cloned().collect();
    let removed = old.backends.iter().filter(|backend| !new_ids.contains(backend.id.as_str()));
    BackendListChange {
        from: old.digest,
        digest: new.digest,
        age_ms: new.age_ms,
        upserted,
        removed: removed.map(|backend| backend.id.clone()).collect(),
    }
}

/// Slow starts run down by themselves: a backend differs if its slow start has ended or begun, and not if less is left.
fn is_equivalent(a: &Backend, b: &Backend) -> bool {
    let a_with_time_left_of_b = Backend { slow_start_left_ms: b.slow_start_left_ms, ..a.clone() };
    a_with_time_left_of_b == *b && is_in_slow_start(a) == is_in_slow_start(b)
}

fn is_in_slow_start(backend: &Backend) -> bool {
    backend.slow_start_left_ms > 0
}
