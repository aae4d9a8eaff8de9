//! The digest of a list of backends, and the change between two lists.

use crate::Millis;
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use violetyoke_transport::messages::{Backend, BackendList, BackendListChange, ListDigest};

/// Slow starts that end less than this time (ms) after the start of the registry's clock count as finished.
const SLOW_START_GRANULARITY: Millis = 400;

/// The digest of a list that was polled at `polled_at`. It covers all content except the remaining time of slow
/// starts.
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

/// The change from the list `old` to the list `new`.
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

/// Whether a backend is unchanged for proxies. The remaining time of a slow start decreases by itself, so a slow
/// start is a change only when it begins or ends.
fn is_equivalent(old: &Backend, new: &Backend) -> bool {
    let old_with_new_time_left = Backend { slow_start_left_ms: new.slow_start_left_ms, ..old.clone() };
    old_with_new_time_left == *new && is_in_slow_start(old) == is_in_slow_start(new)
}

fn is_in_slow_start(backend: &Backend) -> bool {
    backend.slow_start_left_ms > 0
}
