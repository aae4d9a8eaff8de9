//! Which increments a registry counts, and against which limit.

#![cfg(test)]

use std::net::Ipv4Addr;
use violetyoke_api::Configuration;
use violetyoke_quota::{Admission, WindowCounts};
use violetyoke_registry::quota_shards::{CountingTerms, NotOwner, QuotaShards};
use violetyoke_transport::messages::{Epoch, Revision, ShardOwners};

const LOCAL: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const TERMS: CountingTerms = CountingTerms { in_contact: true, allowed_overshoot: 0.0 };
const NOW: u64 = 10_000;

fn fencing_token(epoch: u64) -> Revision {
    Revision { epoch: Epoch(epoch), sequence: 0 }
}

/// A registry to which all shards are assigned, with a tenant of 10 requests a second, and one without a limit.
fn owner_of_all() -> QuotaShards {
    let text = r#"{"version":1,
        "routes":{"columns":["name","host","path-prefix","route-kind","timeout-ms","service"],"rows":[]},
        "services":{"columns":["name"],"rows":[]},
        "tenants":{"columns":["name","rate-per-s","burst"],"rows":[["limited",10,10],["unlimited",0,0]]}}"#;
    let configuration = Configuration::parse(text.as_bytes()).expect("a valid configuration");
    let mut quota = QuotaShards::new(LOCAL);
    quota.set_limits(&configuration);
    assign(&mut quota, 1, &[LOCAL]);
    quota
}

fn assign(quota: &mut QuotaShards, epoch: u64, registries: &[Ipv4Addr]) {
    quota.advance_fence(fencing_token(epoch));
    quota.assign(&ShardOwners { fencing_token: fencing_token(epoch), registries: registries.to_vec() });
}

/// How many of 30 increments at once are admitted.
fn admitted(quota: &mut QuotaShards, now: u64, terms: CountingTerms) -> usize {
    let mut increment = |_: &i32| quota.increment(now, "limited", fencing_token(1), terms);
    (0..30).filter(|n| increment(n) == Ok(Admission::Admitted)).count()
}

#[test]
fn owner_admits_up_to_the_limit_and_reports_when_to_retry() {
    let mut quota = owner_of_all();
    assert_eq!(admitted(&mut quota, NOW, TERMS), 10);
    let outcome = quota.increment(NOW, "limited", fencing_token(1), TERMS);
    assert!(matches!(outcome, Ok(Admission::Denied { retry_after_ms: 1..=60_000 })), "{outcome:?}");
}

#[test]
fn registry_counts_only_its_own_shards_and_only_in_contact_with_the_core() {
    let mut quota = owner_of_all();
    let partitioned = CountingTerms { in_contact: false, ..TERMS };
    assert_eq!(quota.increment(NOW, "limited", fencing_token(1), partitioned), Err(NotOwner));
    assert_eq!(quota.increment(NOW, "unknown", fencing_token(1), TERMS), Err(NotOwner));
    assign(&mut quota, 2, &[OTHER]);
    assert_eq!(quota.increment(NOW, "limited", fencing_token(2), TERMS), Err(NotOwner));
    assert_eq!(quota.increment(NOW, "unlimited", fencing_token(2), TERMS), Ok(Admission::Admitted));
}

#[test]
fn increment_under_an_older_assignment_is_refused() {
    let mut quota = owner_of_all();
    assign(&mut quota, 2, &[LOCAL]);
    assert_eq!(quota.increment(NOW, "limited", fencing_token(1), TERMS), Err(NotOwner));
    assert_eq!(quota.increment(NOW, "limited", fencing_token(2), TERMS), Ok(Admission::Admitted));
}

#[test]
fn transferred_counts_use_up_the_limit() {
    let mut quota = owner_of_all();
    let usage = WindowCounts { current: 7.0, previous: 0.0 };
    quota.import(NOW, "limited", fencing_token(1), usage).expect("under the assignment in force");
    assert_eq!(admitted(&mut quota, NOW, TERMS), 3);
}

#[test]
fn part_of_the_limit_is_reserved_for_partitioned_proxies() {
    let mut quota = owner_of_all();
    quota.update_members(NOW, &[1, 2, 3], &[]);
    quota.update_members(NOW + 1, &[1, 2], &[]);
    assert_eq!(quota.partitioned(), [3]);
    assert!(admitted(&mut quota, NOW + 1, TERMS) < 10);
    let mut covered = owner_of_all();
    covered.merge_partitioned(NOW, &[3]);
    covered.update_members(NOW, &[1, 2], &[]);
    let with_overshoot = CountingTerms { allowed_overshoot: 1.0, ..TERMS };
    assert_eq!(admitted(&mut covered, NOW, with_overshoot), 10, "the allowed overshoot covers them");
}
