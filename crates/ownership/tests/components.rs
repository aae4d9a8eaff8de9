//! Epochs, fencing, assignment and declarations, each on its own.

#![cfg(test)]

use proptest::prelude::*;
use violetyoke_ownership::{
    Assignment, Epoch, EpochAllocator, FencingGuard, RoleKind, ShardId, SingletonRole, MAX_EPOCH_LEAD,
    RESERVATION_BLOCK,
};

fn probe_role(shard_count: u32) -> SingletonRole {
    let nodes = vec!["127.0.0.1:80".parse().unwrap()];
    SingletonRole { shard_count, nodes, ..SingletonRole::new("probe", RoleKind::Probe) }
}

fn assign(shard_count: u32, max_per_candidate: u32, candidates: &[&str]) -> Assignment {
    Assignment::new("probe", shard_count, max_per_candidate, candidates)
}

fn owners(assignment: &Assignment, shard_count: u32) -> Vec<Option<String>> {
    (0..shard_count).map(|shard| assignment.owner(shard, &[]).map(String::from)).collect()
}

proptest! {
    /// Starts with every combination of sources lost: an epoch that was used is never allocated again.
    #[test]
    fn epochs_are_never_allocated_twice(
        steps in proptest::collection::vec((0..3u8, 1..40u64, 0..5_000_000u64), 1..30)
    ) {
        let (mut stored, mut file, mut highest) = (Epoch(0), Epoch(0), Epoch(0));
        for (lost, count, wall_ms) in steps {
            // The store may be restored from a backup, and the clock may have any value; the file is kept.
            let backup = if lost == 0 { Epoch(stored.0 / 2) } else { stored };
            let mut allocator = EpochAllocator::resume(backup, file, wall_ms);
            for _ in 0..count {
                let epoch = allocator.allocate();
                if let Some(reserved) = allocator.required_reservation() {
                    file = reserved;
                    allocator.confirm_reservation(reserved);
                }
                prop_assert!(epoch > highest, "{epoch} after {highest}");
                (highest, stored) = (epoch, epoch);
            }
        }
    }

    /// One of many candidates leaves: only its own shards move, each to a remaining candidate.
    #[test]
    fn only_the_shards_of_a_leaving_candidate_move(candidates in 2..40usize, leaving in 0..40usize) {
        let names: Vec<String> = (0..candidates).map(|number| format!("i{number}")).collect();
        let all: Vec<&str> = names.iter().map(String::as_str).collect();
        let leaving = all[leaving % all.len()];
        let rest: Vec<&str> = all.iter().copied().filter(|name| *name != leaving).collect();
        let before = owners(&assign(200, 0, &all), 200);
        let after = owners(&assign(200, 0, &rest), 200);
        for (before, after) in before.iter().zip(&after) {
            prop_assert!(after.is_some());
            prop_assert!(before == after || before.as_deref() == Some(leaving));
        }
    }
}

#[test]
fn allocator_observes_a_reported_newer_epoch_and_ignores_an_implausible_one() {
    let mut allocator = EpochAllocator::resume(Epoch(10), Epoch(0), 0);
    allocator.observe(Epoch(500));
    assert_eq!(allocator.allocate(), Epoch(501));
    assert!(!allocator.is_plausible(Epoch(501 + MAX_EPOCH_LEAD + 1)));
    allocator.observe(Epoch(u64::MAX));
    assert_eq!(allocator.allocate(), Epoch(502));
    assert_eq!(allocator.required_reservation(), Some(Epoch(502 + RESERVATION_BLOCK)));
    allocator.confirm_reservation(Epoch(502 + RESERVATION_BLOCK));
    assert_eq!(allocator.required_reservation(), None);
}

#[test]
fn fencing_guard_admits_equal_and_newer_epochs_of_each_shard_separately() {
    let mut guard = FencingGuard::default();
    let (first, second) = (ShardId::new("report", 0), ShardId::new("report", 1));
    for epoch in [5, 5, 7] {
        assert!(guard.admit(&first, Epoch(epoch)).is_ok());
    }
    assert_eq!(guard.admit(&first, Epoch(6)).map_err(|stale| stale.newest), Err(Epoch(7)));
    assert!(guard.admit(&second, Epoch(1)).is_ok());
    assert_eq!(guard.newest(&first), Some(Epoch(7)));
}

#[test]
fn shards_beyond_the_candidates_limit_have_no_owner() {
    let owners = owners(&assign(10, 3, &["a", "b"]), 10);
    for name in ["a", "b"] {
        assert_eq!(owners.iter().flatten().filter(|owner| *owner == name).count(), 3);
    }
    assert_eq!(owners.iter().filter(|owner| owner.is_none()).count(), 4);
}

#[test]
fn failed_candidates_own_a_shard_only_when_all_have_failed() {
    let assignment = assign(1, 0, &["a", "b"]);
    let first = assignment.owner(0, &[]).unwrap().to_string();
    let other = assignment.owner(0, std::slice::from_ref(&first)).unwrap();
    assert_ne!(first, other);
    // If all have failed they take turns, so that one that keeps failing does not block the other.
    assert_eq!(assignment.owner(0, &["a".into(), "b".into()]), Some("a"));
    assert_eq!(assignment.owner(0, &["b".into(), "a".into()]), Some("b"));
}

#[test]
fn invalid_role_settings_are_reported_by_their_keys() {
    let invalid = |change: fn(&mut SingletonRole)| {
        let mut role = probe_role(4);
        change(&mut role);
        role.validate().into_iter().map(|error| error.field).collect::<Vec<_>>()
    };
    assert_eq!(invalid(|_| {}), Vec::<&str>::new());
    assert_eq!(invalid(|role| role.ttl_ms = 0), ["length_ms"]);
    assert_eq!(invalid(|role| role.ttl_ms = 365 * 86_400_000), ["length_ms"]);
    assert_eq!(invalid(|role| role.shard_count = 0), ["shards"]);
    assert_eq!(invalid(|role| role.name = "Big Name".into()), ["name"]);
    assert_eq!(invalid(|role| role.nodes.clear()), ["nodes"]);
    assert_eq!(invalid(|role| role.kind = RoleKind::Upkeep), ["shards"]);
}
