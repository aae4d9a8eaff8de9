//! Which snapshots are applied and which are rejected, and account numbers.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_tenants::account_number;
use violetyoke_tenants::model::{Account, Limits, Plan, Route};
use violetyoke_tenants::snapshot::{Snapshot, SnapshotError, TenantDirectory, TenantView};

fn tenant(name: &str, rate: f64) -> TenantView {
    TenantView {
        name: name.into(),
        epoch: 1,
        weight: 1,
        limits: Limits::default(),
        draining: false,
        hosts: vec![format!("{name}.example.org")],
        pools: vec!["reservations".into()],
        plans: vec![Plan {
            name: "basic".into(),
            rate,
            burst: 10.0,
            max_in_flight: 0,
            value: 1.0,
            hard_limit_rate: 0.0,
            hard_limit_burst: 0.0,
        }],
        accounts: vec![Account { name: "h".into(), plan: "basic".into() }],
        routes: vec![Route {
            name: "all".into(),
            host: format!("{name}.example.org"),
            path: "/*".into(),
            method: None,
            pool: "reservations".into(),
            default_class: None,
        }],
    }
}

fn full(revision: u64, names: &[&str]) -> Snapshot {
    Snapshot::new(None, revision, names.iter().map(|name| tenant(name, 1.0)).collect(), vec![])
}

#[test]
fn incremental_snapshot_changes_the_directory_and_full_one_replaces_it() {
    let directory = TenantDirectory::default().apply(full(3, &["a", "b"])).unwrap();
    let part = Snapshot::new(Some(3), 5, vec![tenant("b", 7.0), tenant("c", 1.0)], vec!["a".into()]);
    let directory = directory.apply(part).unwrap();
    assert_eq!(directory.revision, 5);
    let rates: BTreeMap<&str, f64> =
        directory.tenants.iter().map(|(name, tenant)| (name.as_str(), tenant.plans[0].rate)).collect();
    assert_eq!(rates, BTreeMap::from([("b", 7.0), ("c", 1.0)]));
    assert_eq!(directory.apply(full(6, &["z"])).unwrap().tenants.len(), 1);
}

#[test]
fn truncated_damaged_old_or_unknown_snapshots_are_rejected() {
    let directory = TenantDirectory::default().apply(full(9, &["a"])).unwrap();
    let bytes = serde_json::to_vec(&full(10, &["a", "b"])).unwrap();
    for length in 0..bytes.len() {
        assert!(
            matches!(Snapshot::parse(&bytes[..length]), Err(SnapshotError::Unreadable(_))),
            "{length} bytes"
        );
    }
    let good = Snapshot::parse(&bytes).unwrap();
    let mut changed = good.clone();
    changed.tenants[1].plans[0].rate = 2.0;
    assert!(matches!(directory.apply(changed), Err(SnapshotError::ChecksumMismatch)));
    let older = directory.apply(full(8, &["a"]));
    assert!(matches!(older, Err(SnapshotError::OlderRevision { current: 9, offered: 8 })));
    let part = Snapshot::new(Some(8), 10, vec![], vec![]);
    assert!(matches!(directory.apply(part), Err(SnapshotError::BaseMismatch { current: 9, base: 8 })));
    let unsupported = Snapshot::parse(br#"{"format": 2, "pages": []}"#);
    assert!(matches!(unsupported, Err(SnapshotError::UnsupportedFormat { found: 2, supported: 1 })));
    assert_eq!(directory.apply(good).unwrap().tenants.len(), 2);
}

#[test]
fn snapshot_with_an_invalid_tenant_is_rejected_with_the_name_of_the_tenant() {
    let assert_rejected = |change: &dyn Fn(&mut TenantView), expected: &str| {
        let mut invalid = tenant("b", 1.0);
        change(&mut invalid);
        let snapshot = Snapshot::new(None, 1, vec![tenant("a", 1.0), invalid], vec![]);
        let error = TenantDirectory::default().apply(snapshot).unwrap_err().to_string();
        assert!(error.contains("\"b\"") && error.contains(expected), "{error}");
    };
    assert_rejected(&|tenant| tenant.hosts = vec!["a.example.org".into()], "host");
    assert_rejected(&|tenant| tenant.hosts.push("a.example.org".into()), "is tenant \"a\"'s too");
    assert_rejected(&|tenant| tenant.accounts[0].plan = "gold".into(), "which is not there");
    assert_rejected(&|tenant| tenant.plans[0].burst = 0.0, "burst");
    assert_rejected(&|tenant| tenant.plans.push(tenant.plans[0].clone()), "two plans");
    assert_rejected(&|tenant| tenant.routes[0].pool = "other".into(), "pool");
    assert_rejected(&|tenant| tenant.routes.push(tenant.routes[0].clone()), "matches the same requests");
    assert_rejected(&|tenant| tenant.weight = 0, "weight");
    assert_rejected(&|tenant| tenant.accounts.push(tenant.accounts[0].clone()), "twice");
}

#[test]
fn accounts_are_found_by_name_in_any_order_of_the_snapshot() {
    let mut view = tenant("a", 1.0);
    view.plans.push(Plan { name: "gold".into(), ..view.plans[0].clone() });
    view.accounts = ["z", "b", "ü", "a"]
        .into_iter()
        .map(|name| Account { name: name.into(), plan: if name == "b" { "gold" } else { "basic" }.into() })
        .collect();
    let directory = TenantDirectory::default().apply(Snapshot::new(None, 1, vec![view], vec![])).unwrap();
    let found: Vec<_> =
        ["a", "b", "ü", "z", "c", ""].map(|name| directory.tenants["a"].plan_index(name)).into();
    assert_eq!(found, [Some(0), Some(1), Some(0), Some(0), None, None]);
    // A snapshot of the directory gives the same directory.
    assert_eq!(TenantDirectory::default().apply(directory.to_snapshot()).unwrap(), directory);
}

#[test]
fn ten_thousand_tenants_are_applied() {
    let tenants: Vec<TenantView> = (0..10_000).map(|number| tenant(&format!("t{number}"), 1.0)).collect();
    let bytes = serde_json::to_vec(&Snapshot::new(None, 1, tenants, vec![])).unwrap();
    let directory = TenantDirectory::default().apply(Snapshot::parse(&bytes).unwrap()).unwrap();
    assert_eq!(directory.tenants.len(), 10_000);
}

#[test]
fn accounts_of_different_tenants_have_different_numbers() {
    let mut numbers = BTreeSet::new();
    for tenant in 0..200 {
        for account in 0..100 {
            assert!(numbers.insert(account_number(&format!("t{tenant}"), 7, &format!("a{account}"))));
        }
    }
    // A tenant that is created again under the same name has other numbers, and so have names with the same concatenation.
    assert_ne!(account_number("t", 1, "a"), account_number("t", 2, "a"));
    assert_ne!(account_number("ta", 1, "b"), account_number("t", 1, "ab"));
}

proptest! {
    #[test]
    fn any_two_accounts_have_different_numbers(
        first in (".{0,6}", 0..3u64, ".{0,6}"),
        second in (".{0,6}", 0..3u64, ".{0,6}"),
    ) {
        let number = |(tenant, epoch, account): &(String, u64, String)| account_number(tenant, *epoch, account);
        prop_assert_eq!(number(&first) == number(&second), first == second);
    }

    #[test]
    fn changed_byte_is_detected(offset in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let good = full(4, &["a", "b"]);
        let mut bytes = serde_json::to_vec(&good).unwrap();
        let offset = offset.index(bytes.len());
        let before = std::mem::replace(&mut bytes[offset], byte);
        let result = Snapshot::parse(&bytes).and_then(|snapshot| TenantDirectory::default().apply(snapshot));
        if before != byte {
            // The changed JSON may still encode the same snapshot (other whitespace), but must not encode another one.
            prop_assert!(result.is_err() || result.ok() == TenantDirectory::default().apply(good).ok(), "{offset}: {byte}");
        }
    }
}
