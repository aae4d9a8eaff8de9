//! Mapping and checks: what a question is about, and what is no question at all.

#![cfg(test)]

use proptest::prelude::*;
use std::collections::BTreeMap;
use violetyoke_ratelimit::{questions, timeout, verdict, Asked, Bounds, Domain, Mapping, Rule, Unknown};

fn rule(pool: usize, when: &[(&str, &str)]) -> Rule {
    Rule {
        pool,
        when: when.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect(),
        account: "account".into(),
        plan_key: Some("tier".into()),
        plan: Some("basic".into()),
        try_key: Some("try".into()),
    }
}

fn mapping() -> Mapping {
    let rules = vec![
        rule(0, &[]),
        rule(1, &[("service", "booking")]),
        rule(2, &[("service", "booking"), ("zone", "a")]),
    ];
    let domain = Domain { rules, unknown_descriptor: Unknown::OverLimit };
    Mapping::new(BTreeMap::from([("rooms".to_string(), domain)]), Unknown::Ok).unwrap()
}

fn asked<'a>(entries: &[(&'a str, &'a str)]) -> Asked<'a> {
    Asked { entries: entries.to_vec(), ..Asked::default() }
}

fn one(asked: Asked<'_>, hits: u32) -> Result<Result<violetyoke_ratelimit::Question, Unknown>, String> {
    let list = questions(&mapping(), &Bounds::default(), "rooms", &[asked], hits);
    list.map(|mut list| list.remove(0)).map_err(|fault| fault.to_string())
}

#[test]
fn the_rule_that_needs_most_wins_and_keys_come_in_any_order() {
    let pool = |entries: &[(&str, &str)]| one(asked(entries), 0).unwrap().map(|question| question.pool);
    assert_eq!(pool(&[("account", "h")]), Ok(0));
    assert_eq!(pool(&[("service", "booking"), ("account", "h")]), Ok(1));
    assert_eq!(pool(&[("zone", "a"), ("account", "h"), ("service", "booking")]), Ok(2));
    assert_eq!(pool(&[("zone", "b"), ("account", "h"), ("service", "booking")]), Ok(1));
    assert_eq!(pool(&[("service", "booking")]), Err(Unknown::OverLimit));
    let other = questions(&mapping(), &Bounds::default(), "other", &[asked(&[("account", "h")])], 1).unwrap();
    assert_eq!(other, [Err(Unknown::Ok)]);
}

#[test]
fn a_question_takes_its_words_from_the_descriptor() {
    let full = one(asked(&[("account", "h"), ("tier", "gold"), ("try", "t1")]), 3).unwrap().unwrap();
    assert_eq!(
        (full.account.as_str(), full.plan.as_deref(), full.named.as_deref()),
        ("h", Some("gold"), Some("t1"))
    );
    assert_eq!(full.units, 3.0);
    let bare = one(asked(&[("account", "h")]), 0).unwrap().unwrap();
    assert_eq!((bare.plan.as_deref(), bare.named, bare.units), (Some("basic"), None, 1.0));
    let own = one(Asked { hits: Some(0), ..asked(&[("account", "h")]) }, 5).unwrap().unwrap();
    assert_eq!(own.units, 0.0);
}

#[test]
fn what_is_no_question_is_told_with_its_field() {
    let long = "x".repeat(257);
    let many: Vec<(&str, &str)> = vec![("a", "b"); 33];
    let cases = [
        (asked(&[]), "descriptors[0].entries: there are none"),
        (asked(&many), "descriptors[0].entries: there are too many"),
        (asked(&[("", "x")]), "descriptors[0].entries[0].key: is empty or too long"),
        (asked(&[("account", &long)]), "descriptors[0].entries[0].value: is too long"),
        (asked(&[("account", "a"), ("account", "b")]), "descriptors[0].entries[1].key: stands there twice"),
        (
            Asked { negative: true, ..asked(&[("account", "h")]) },
            "descriptors[0].is_negative_hits: units cannot be taken back",
        ),
        (
            Asked { overrides: true, ..asked(&[("account", "h")]) },
            "descriptors[0].limit: limits are the plans', and cannot be brought along",
        ),
        (
            Asked { hits: Some(u64::MAX), ..asked(&[("account", "h")]) },
            "descriptors[0].hits_addend: is too large",
        ),
    ];
    for (asked, why) in cases {
        assert_eq!(one(asked, 1).unwrap_err(), why);
    }
    let ask = |domain: &str, number: usize| {
        let list = vec![asked(&[("account", "h")]); number];
        questions(&mapping(), &Bounds::default(), domain, &list, 1).map_err(|fault| fault.field)
    };
    assert_eq!(ask("", 1).unwrap_err(), "domain");
    assert_eq!(ask(&long, 1).unwrap_err(), "domain");
    assert_eq!(ask("rooms", 0).unwrap_err(), "descriptors");
    assert_eq!(ask("rooms", 10_000).unwrap_err(), "descriptors");
    assert_eq!(ask("rooms", 64).unwrap().len(), 64);
}

#[test]
fn rules_that_need_the_same_are_refused() {
    let domain = Domain {
        rules: vec![rule(0, &[("a", "b")]), rule(1, &[("a", "b")])],
        unknown_descriptor: Unknown::Ok,
    };
    let duplicates = Mapping::new(BTreeMap::from([("d".to_string(), domain)]), Unknown::Ok).unwrap_err();
    assert_eq!((duplicates[0].first, duplicates[0].second), (0, 1));
}

#[test]
fn timeouts_are_read_as_grpc_has_them() {
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
        assert_eq!(timeout::parse(text), time, "{text}");
    }
}

proptest! {
    #[test]
    fn all_or_nothing(let_in in prop::collection::vec(any::<bool>(), 1..20)) {
        let verdict = verdict(&let_in);
        prop_assert_eq!(verdict.ok, !let_in.contains(&false));
        // What stays counted is all of it, or nothing.
        let counted = let_in.iter().filter(|within| **within).count() - verdict.given_back.len();
        prop_assert_eq!(counted, if verdict.ok { let_in.len() } else { 0 });
        prop_assert!(verdict.given_back.iter().all(|number| let_in[*number]));
    }
}
