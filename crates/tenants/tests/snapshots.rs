//! Snapshots that are not to be taken, and what is held when they come; numbers of accounts.

use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_tenants::account_number;
use violetyoke_tenants::model::{Account, Limits, Plan, Route};
use violetyoke_tenants::snapshot::{Bad, Held, Snapshot, TenantView};

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
            open: 0,
            worth: 1.0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
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

fn whole(revision: u64, names: &[&str]) -> Snapshot {
    Snapshot::new(None, revision, names.iter().map(|name| tenant(name, 1.0)).collect(), vec![])
}

#[test]
fn parts_change_what_is_held_and_wholes_replace_it() {
    let held = Held::default().take(whole(3, &["a", "b"])).unwrap();
    let part = Snapshot::new(Some(3), 5, vec![tenant("b", 7.0), tenant("c", 1.0)], vec!["a".into()]);
    let held = held.take(part).unwrap();
    assert_eq!(held.revision, 5);
    let rates: BTreeMap<&str, f64> =
        held.tenants.iter().map(|(name, tenant)| (name.as_str(), tenant.plans[0].rate)).collect();
    assert_eq!(rates, BTreeMap::from([("b", 7.0), ("c", 1.0)]));
    assert_eq!(held.take(whole(6, &["z"])).unwrap().tenants.len(), 1);
}

#[test]
fn what_is_torn_old_or_of_another_format_is_refused() {
    let held = Held::default().take(whole(9, &["a"])).unwrap();
    let bytes = serde_json::to_vec(&whole(10, &["a", "b"])).unwrap();
    for length in 0..bytes.len() {
        assert!(matches!(Snapshot::read(&bytes[..length]), Err(Bad::Unreadable(_))), "{length} bytes");
    }
    let good = Snapshot::read(&bytes).unwrap();
    let mut changed = good.clone();
    changed.tenants[1].plans[0].rate = 2.0;
    assert_eq!(held.take(changed), Err(Bad::Sum));
    assert_eq!(held.take(whole(8, &["a"])), Err(Bad::Old { held: 9, offered: 8 }));
    let part = Snapshot::new(Some(8), 10, vec![], vec![]);
    assert_eq!(held.take(part), Err(Bad::Base { held: 9, base: 8 }));
    assert_eq!(Snapshot::read(br#"{"format": 2, "pages": []}"#), Err(Bad::Format(2)));
    assert_eq!(held.take(good).unwrap().tenants.len(), 2);
}

#[test]
fn what_does_not_fit_together_is_refused_with_its_tenant() {
    let refused = |change: &dyn Fn(&mut TenantView), word: &str| {
        let mut bad = tenant("b", 1.0);
        change(&mut bad);
        let snapshot = Snapshot::new(None, 1, vec![tenant("a", 1.0), bad], vec![]);
        let error = Held::default().take(snapshot).unwrap_err().to_string();
        assert!(error.contains("\"b\"") && error.contains(word), "{error}");
    };
    refused(&|tenant| tenant.hosts = vec!["a.example.org".into()], "host");
    refused(&|tenant| tenant.hosts.push("a.example.org".into()), "is tenant \"a\"'s too");
    refused(&|tenant| tenant.accounts[0].plan = "gold".into(), "which is not there");
    refused(&|tenant| tenant.plans[0].burst = 0.0, "burst");
    refused(&|tenant| tenant.plans.push(tenant.plans[0].clone()), "two plans");
    refused(&|tenant| tenant.routes[0].pool = "other".into(), "pool");
    refused(&|tenant| tenant.routes.push(tenant.routes[0].clone()), "matches the same requests");
    refused(&|tenant| tenant.weight = 0, "weight");
    refused(&|tenant| tenant.accounts.push(tenant.accounts[0].clone()), "twice");
}

#[test]
fn accounts_are_found_by_name_in_whatever_order_they_came() {
    let mut view = tenant("a", 1.0);
    view.plans.push(Plan { name: "gold".into(), ..view.plans[0].clone() });
    view.accounts = ["z", "b", "ü", "a"]
        .into_iter()
        .map(|name| Account { name: name.into(), plan: if name == "b" { "gold" } else { "basic" }.into() })
        .collect();
    let held = Held::default().take(Snapshot::new(None, 1, vec![view], vec![])).unwrap();
    let found: Vec<_> = ["a", "b", "ü", "z", "c", ""].map(|name| held.tenants["a"].plan_of(name)).into();
    assert_eq!(found, [Some(0), Some(1), Some(0), Some(0), None, None]);
    // What is kept on a disk is what is read back.
    assert_eq!(Held::default().take(held.whole()).unwrap(), held);
}

#[test]
fn ten_thousand_tenants_are_taken() {
    let tenants: Vec<TenantView> = (0..10_000).map(|number| tenant(&format!("t{number}"), 1.0)).collect();
    let bytes = serde_json::to_vec(&Snapshot::new(None, 1, tenants, vec![])).unwrap();
    let held = Held::default().take(Snapshot::read(&bytes).unwrap()).unwrap();
    assert_eq!(held.tenants.len(), 10_000);
}

#[test]
fn accounts_of_tenants_never_meet() {
    let mut seen = BTreeSet::new();
    for tenant in 0..200 {
        for account in 0..100 {
            assert!(seen.insert(account_number(&format!("t{tenant}"), 7, &format!("a{account}"))));
        }
    }
    // A tenant that is made anew under the name inherits nothing, and no name runs into the next.
    assert_ne!(account_number("t", 1, "a"), account_number("t", 2, "a"));
    assert_ne!(account_number("ta", 1, "b"), account_number("t", 1, "ab"));
}

proptest! {
    #[test]
    fn any_two_accounts_have_numbers_of_their_own(
        first in (".{0,6}", 0..3u64, ".{0,6}"),
        second in (".{0,6}", 0..3u64, ".{0,6}"),
    ) {
        let number = |(tenant, epoch, account): &(String, u64, String)| account_number(tenant, *epoch, account);
        prop_assert_eq!(number(&first) == number(&second), first == second);
    }

    /// A byte that is changed anywhere is found.
    #[test]
    fn a_changed_byte_is_found(place in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let good = whole(4, &["a", "b"]);
        let mut bytes = serde_json::to_vec(&good).unwrap();
        let place = place.index(bytes.len());
        let before = std::mem::replace(&mut bytes[place], byte);
        let taken = Snapshot::read(&bytes).and_then(|snapshot| Held::default().take(snapshot));
        if before != byte {
            // It may say the same in other words (a space for a space), but never anything else.
            prop_assert!(taken.is_err() || taken == Held::default().take(good), "{place}: {byte}");
        }
    }
}
