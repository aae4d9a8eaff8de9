//! Descriptors of a request: their mapping to quota queries, their validation, and the combination of their results.

#![cfg(test)]

use proptest::prelude::*;
use std::collections::BTreeMap;
use violetyoke_ratelimit::{
    combine, grpc_timeout, quota_queries, Descriptor, DescriptorRule, Domain, Mapping, QuotaQuery,
    RequestLimits, UnknownPolicy,
};

fn rule(pool: usize, when: &[(&str, &str)]) -> DescriptorRule {
    DescriptorRule {
        pool,
        when: when.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect(),
        account_key: "account".into(),
        plan_key: Some("tier".into()),
        default_plan: Some("basic".into()),
        attempt_key: Some("try".into()),
    }
}

fn mapping() -> Mapping {
    let rules = vec![
        rule(0, &[]),
        rule(1, &[("service", "booking")]),
        rule(2, &[("service", "booking"), ("zone", "a")]),
    ];
    let domain = Domain { rules, unknown_descriptor: UnknownPolicy::OverLimit };
    Mapping::new(BTreeMap::from([("rooms".to_string(), domain)]), UnknownPolicy::Ok).unwrap()
}

fn descriptor<'a>(entries: &[(&'a str, &'a str)]) -> Descriptor<'a> {
    Descriptor { entries: entries.to_vec(), ..Descriptor::default() }
}

fn single_query(descriptor: Descriptor<'_>, hits: u32) -> Result<Result<QuotaQuery, UnknownPolicy>, String> {
    let list = quota_queries(&mapping(), &RequestLimits::default(), "rooms", &[descriptor], hits);
    list.map(|mut list| list.remove(0)).map_err(|error| error.to_string())
}

#[test]
fn most_specific_rule_applies_and_order_of_keys_does_not_matter() {
    let pool =
        |entries: &[(&str, &str)]| single_query(descriptor(entries), 0).unwrap().map(|query| query.pool);
    assert_eq!(pool(&[("account", "h")]), Ok(0));
    assert_eq!(pool(&[("service", "booking"), ("account", "h")]), Ok(1));
    assert_eq!(pool(&[("zone", "a"), ("account", "h"), ("service", "booking")]), Ok(2));
    assert_eq!(pool(&[("zone", "b"), ("account", "h"), ("service", "booking")]), Ok(1));
    assert_eq!(pool(&[("service", "booking")]), Err(UnknownPolicy::OverLimit));
    let other =
        quota_queries(&mapping(), &RequestLimits::default(), "other", &[descriptor(&[("account", "h")])], 1)
            .unwrap();
    assert_eq!(other, [Err(UnknownPolicy::Ok)]);
}

#[test]
fn query_has_the_values_of_the_descriptor_or_the_defaults() {
    let full =
        single_query(descriptor(&[("account", "h"), ("tier", "gold"), ("try", "t1")]), 3).unwrap().unwrap();
    assert_eq!(
        (full.account.as_str(), full.plan.as_deref(), full.attempt_name.as_deref()),
        ("h", Some("gold"), Some("t1"))
    );
    assert_eq!(full.units, 3.0);
    let minimal = single_query(descriptor(&[("account", "h")]), 0).unwrap().unwrap();
    assert_eq!((minimal.plan.as_deref(), minimal.attempt_name, minimal.units), (Some("basic"), None, 1.0));
    let without_units =
        single_query(Descriptor { hits: Some(0), ..descriptor(&[("account", "h")]) }, 5).unwrap().unwrap();
    assert_eq!(without_units.units, 0.0);
}

#[test]
fn invalid_request_is_rejected_with_the_name_of_the_field() {
    let too_long = "x".repeat(257);
    let too_many: Vec<(&str, &str)> = vec![("a", "b"); 33];
    let cases = [
        (descriptor(&[]), "descriptors[0].entries: there are none"),
        (descriptor(&too_many), "descriptors[0].entries: there are too many"),
        (descriptor(&[("", "x")]), "descriptors[0].entries[0].key: is empty or too long"),
        (descriptor(&[("account", &too_long)]), "descriptors[0].entries[0].value: is too long"),
        (
            descriptor(&[("account", "a"), ("account", "b")]),
            "descriptors[0].entries[1].key: stands there twice",
        ),
        (
            Descriptor { is_negative: true, ..descriptor(&[("account", "h")]) },
            "descriptors[0].is_negative_hits: units cannot be taken back",
        ),
        (
            Descriptor { has_limit: true, ..descriptor(&[("account", "h")]) },
            "descriptors[0].limit: limits are the plans', and cannot be brought along",
        ),
        (
            Descriptor { hits: Some(u64::MAX), ..descriptor(&[("account", "h")]) },
            "descriptors[0].hits_addend: is too large",
        ),
    ];
    for (descriptor, expected) in cases {
        assert_eq!(single_query(descriptor, 1).unwrap_err(), expected);
    }
    let queries = |domain: &str, number: usize| {
        let list = vec![descriptor(&[("account", "h")]); number];
        quota_queries(&mapping(), &RequestLimits::default(), domain, &list, 1).map_err(|error| error.field)
    };
    assert_eq!(queries("", 1).unwrap_err(), "domain");
    assert_eq!(queries(&too_long, 1).unwrap_err(), "domain");
    assert_eq!(queries("rooms", 0).unwrap_err(), "descriptors");
    assert_eq!(queries("rooms", 10_000).unwrap_err(), "descriptors");
    assert_eq!(queries("rooms", 64).unwrap().len(), 64);
}

#[test]
fn rules_with_the_same_keys_and_values_are_rejected() {
    let domain = Domain {
        rules: vec![rule(0, &[("a", "b")]), rule(1, &[("a", "b")])],
        unknown_descriptor: UnknownPolicy::Ok,
    };
    let duplicates =
        Mapping::new(BTreeMap::from([("d".to_string(), domain)]), UnknownPolicy::Ok).unwrap_err();
    assert_eq!((duplicates[0].first, duplicates[0].second), (0, 1));
}

#[test]
fn grpc_timeouts_are_parsed() {
    let cases = [
        ("1H", Some(3_600_000_000)),
        ("2M", Some(120_000_000)),
        ("3S", Some(3_000_000)),
        ("40m", Some(40_000)),
        ("5u", Some(5)),
        ("999n", Some(1)),
        ("99999999H", Some(99_999_999 * 3_600_000_000)),
        ("", None),
        ("m", None),
        ("1", None),
        ("-1m", None),
        ("123456789m", None),
        ("1x", None),
        ("1é", None),
    ];
    for (text, time) in cases {
        assert_eq!(grpc_timeout::parse(text), time, "{text}");
    }
}

proptest! {
    #[test]
    fn all_descriptors_stay_counted_or_none(within_limits in prop::collection::vec(any::<bool>(), 1..20)) {
        let combined = combine(&within_limits);
        prop_assert_eq!(combined.is_ok, !within_limits.contains(&false));
        let counted = within_limits.iter().filter(|within| **within).count() - combined.refunds.len();
        prop_assert_eq!(counted, if combined.is_ok { within_limits.len() } else { 0 });
        prop_assert!(combined.refunds.iter().all(|index| within_limits[*index]));
    }
}
