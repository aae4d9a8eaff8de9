//! Guaranteed amounts are always available, and the total is never exceeded.

use proptest::prelude::*;
use violetyoke_shares::CapacityPool;

fn pool() -> CapacityPool {
    let mut pool = CapacityPool::new(100);
    pool.set_limits(1, 20, 100);
    pool.set_limits(2, 30, 100);
    pool
}

#[test]
fn a_member_may_acquire_all_but_what_is_guaranteed_to_others() {
    let mut pool = pool();
    assert!(pool.try_acquire(1, 70));
    assert!(!pool.try_acquire(1, 1));
    assert!(pool.try_acquire(2, 30));
    assert!(!pool.try_acquire(2, 1));
    pool.release(1, 5);
    assert!(pool.try_acquire(2, 5));
    assert_eq!((pool.used(1), pool.used(2), pool.available(1)), (65, 35, 0));
}

#[test]
fn a_member_acquires_no_more_than_its_own_maximum() {
    let mut pool = CapacityPool::new(100);
    pool.set_limits(1, 0, 10);
    assert!(!pool.try_acquire(1, 11) && pool.try_acquire(1, 10) && !pool.try_acquire(1, 1));
    assert_eq!(pool.available(7), 0);
    assert!(!pool.try_acquire(7, 1));
}

#[test]
fn a_retired_member_uses_capacity_until_it_releases_it() {
    let mut pool = pool();
    assert!(pool.try_acquire(2, 50));
    pool.retire(2);
    assert!(!pool.try_acquire(2, 1));
    assert_eq!(pool.available(1), 50);
    pool.release(2, 50);
    assert_eq!((pool.available(1), pool.used(2)), (100, 0));
}

#[test]
fn unchecked_acquisitions_count_even_if_they_exceed_the_limits() {
    let mut pool = pool();
    pool.acquire_unchecked(1, 90);
    assert_eq!(pool.available(1), 0);
    // The unchecked excess reduces what the other member can acquire of its guaranteed amount.
    assert_eq!(pool.available(2), 10);
    pool.release(1, 90);
    assert_eq!(pool.available(2), 80);
}

proptest! {
    #[test]
    fn guaranteed_capacity_can_always_be_acquired(
        guaranteed in prop::collection::vec(0u64..25, 4),
        steps in prop::collection::vec((0usize..4, 1u64..40, any::<bool>()), 0..200),
    ) {
        let mut pool = CapacityPool::new(100);
        for (member, amount) in guaranteed.iter().enumerate() {
            pool.set_limits(member, *amount, 100);
        }
        for (member, amount, acquires) in steps {
            if acquires {
                let fits = amount <= pool.available(member);
                prop_assert_eq!(pool.try_acquire(member, amount), fits);
            } else {
                pool.release(member, amount.min(pool.used(member)));
            }
            let total_used: u64 = (0..4).map(|member| pool.used(member)).sum();
            prop_assert!(total_used <= 100);
            for (member, amount) in guaranteed.iter().enumerate() {
                prop_assert!(pool.used(member) + pool.available(member) >= *amount, "{} of {:?}", member, pool);
            }
        }
    }
}
