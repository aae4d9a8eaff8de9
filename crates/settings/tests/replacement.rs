//! Settings that are replaced while requests are open.

use serde_json::json;
use violetyoke_decision::interface::{Class, DedupScope, Idempotency, Plan, Settings};
use violetyoke_settings::{missing_key, StableIndices};

fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_target: 500_000,
        latency_target_stretch: 0.0,
        deadline: 2_000_000,
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        late_value: 0.0,
        value: 1.0,
        streamed: false,
        admission_only: false,
    }
}

fn settings(classes: &[Class]) -> Settings {
    let plan = Plan { rate: 5.0, burst: 10.0, value: 1.0, ..Plan::default() };
    Settings { gateways: 1, classes: classes.to_vec(), plans: vec![plan], ..Settings::default() }
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().copied().map(String::from).collect()
}

#[test]
fn changed_class_gets_a_new_index_and_the_old_index_keeps_the_old_class() {
    let mut indices = StableIndices::default();
    let (read, book) = (class(Idempotency::Idempotent), class(Idempotency::AtMostOnce));
    let first =
        indices.assign(settings(&[read.clone(), book.clone()]), &names(&["read", "book"]), &names(&["p"]));
    assert_eq!(first.class_names, ["read", "book"]);
    // `book` becomes idempotent, `read` is removed, and `look` is added.
    let new_names = names(&["book", "look"]);
    let second =
        indices.assign(settings(&[class(Idempotency::Idempotent), read.clone()]), &new_names, &names(&["p"]));
    assert_eq!(second.class_names, ["", "", "book", "look"]);
    assert_eq!(second.settings.classes[1], book);
    assert_eq!(second.settings.classes[2].idempotency, Idempotency::Idempotent);
    // A class that is added again unchanged gets its old index.
    let third = indices.assign(settings(&[read, book]), &names(&["read", "book"]), &names(&["p"]));
    assert_eq!(third.class_names, ["read", "book", "", ""]);
    assert_eq!(third.settings.classes.len(), 4);
    assert_eq!((third.plan_names, third.settings.plans.len()), (names(&["p"]), 1));
}

#[test]
fn missing_key_names_the_path_of_a_key_that_was_dropped() {
    let old =
        json!({"bounds": {"attempts-cap": 4}, "categories": [{"name": "a", "aim-us": 5}], "zone": null});
    assert_eq!(missing_key(&old, &old), None);
    let extended = json!({"bounds": {"attempts-cap": 1, "x": 2}, "zone": 3,
                      "categories": [{"name": "b", "aim-us": 1}, {"name": "c", "aim-us": 2, "y": 0}]});
    assert_eq!(missing_key(&old, &extended), None);
    for (new, path) in [
        (json!({"bounds": {"attempts-cap": 4}, "zone": null}), "categories"),
        (json!({"bounds": {}, "categories": [], "zone": 1}), "bounds.attempts-cap"),
        (json!({"bounds": {"attempts-cap": null}, "categories": [], "zone": 1}), "bounds.attempts-cap"),
        (json!({"bounds": 7, "categories": [], "zone": 1}), "bounds.(an object)"),
        (
            json!({"bounds": {"attempts-cap": 4}, "zone": 0, "categories": [{"name": "a", "aim-us": 1}, {"name": "b"}]}),
            "categories.[1].aim-us",
        ),
    ] {
        assert_eq!(missing_key(&old, &new).as_deref(), Some(path), "{new}");
    }
}
