//! Counters at their owner, and the transfer of usage when the owner changes.

#![cfg(test)]

use violetyoke_quota::{Admission, Limit, LocalUsage, OwnerCounters, StaleFence, WindowCounts};

const TENANT: &str = "tenant";

fn ten_per_second() -> Limit {
    Limit::new(10.0, 10.0).expect("a limit")
}

fn usage(current: f64) -> WindowCounts {
    WindowCounts { current, previous: 0.0 }
}

/// How many of ten requests the owner admits.
fn admitted_of_ten(owner: &mut OwnerCounters<u32>, now: u64, token: u32) -> usize {
    (0..10)
        .filter(|_| owner.increment(now, TENANT, token, ten_per_second()) == Ok(Admission::Admitted))
        .count()
}

#[test]
fn new_owner_rebuilds_counter_from_usage_transferred_by_proxies() {
    let limit = ten_per_second();
    let mut proxies = [LocalUsage::default(), LocalUsage::default()];
    let mut old_owner: OwnerCounters<u32> = OwnerCounters::default();
    for n in 0..10 {
        assert_eq!(old_owner.increment(5_000, TENANT, 1, limit), Ok(Admission::Admitted));
        proxies[n % 2].record(5_000, TENANT, limit);
    }

    let mut new_owner: OwnerCounters<u32> = OwnerCounters::default();
    for proxy in &mut proxies {
        let usage = proxy.usage(5_100, TENANT, limit);
        new_owner.import(5_100, TENANT, 2, limit, usage).expect("transferred under the newest assignment");
    }

    let admission = new_owner.increment(5_200, TENANT, 2, limit);
    assert!(matches!(admission, Ok(Admission::Denied { .. })), "the limit was used up at the old owner");
    // Negative control: without the transfer, a new owner admits another full window.
    let mut without_transfer: OwnerCounters<u32> = OwnerCounters::default();
    assert_eq!(without_transfer.increment(5_200, TENANT, 2, limit), Ok(Admission::Admitted));
}

#[test]
fn owner_rejects_requests_under_an_older_assignment() {
    let limit = ten_per_second();
    let mut owner: OwnerCounters<u32> = OwnerCounters::default();
    owner.advance_fence(3);

    let stale = StaleFence { received: 2, newest: 3 };
    assert_eq!(owner.increment(1, TENANT, 2, limit), Err(stale));
    assert_eq!(owner.import(1, TENANT, 2, limit, usage(1.0)), Err(stale));
    assert_eq!(owner.increment(1, TENANT, 3, limit), Ok(Admission::Admitted));
}

#[test]
fn usage_is_not_counted_twice_when_a_tenant_returns_to_a_former_owner() {
    let limit = ten_per_second();
    let mut owner: OwnerCounters<u32> = OwnerCounters::default();
    for _ in 0..6 {
        assert_eq!(owner.increment(2_000, TENANT, 1, limit), Ok(Admission::Admitted));
    }

    // Another registry owned the tenant under token 2. Under token 3 this one owns it again, and proxies
    // transfer their complete usage.
    owner.import(2_100, TENANT, 3, limit, usage(6.0)).expect("the newest assignment");

    assert_eq!(admitted_of_ten(&mut owner, 2_200, 3), 4);
}

#[test]
fn usage_transferred_by_one_proxy_does_not_reduce_the_counter_of_an_unchanged_owner() {
    let limit = ten_per_second();
    let mut owner: OwnerCounters<u32> = OwnerCounters::default();
    for _ in 0..9 {
        assert_eq!(owner.increment(2_000, TENANT, 1, limit), Ok(Admission::Admitted));
    }

    // Another registry has joined, and the tenant's owner is unchanged. One proxy was partitioned and
    // reconnects under the new assignment.
    owner.advance_fence(2);
    owner.import(2_100, TENANT, 2, limit, usage(2.0)).expect("the newest assignment");

    assert_eq!(admitted_of_ten(&mut owner, 2_200, 2), 1, "this owner has counted nine of ten");
}
