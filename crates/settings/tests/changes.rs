//! Settings that are replaced.

#![allow(
    clippy::redundant_closure_for_method_calls,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

use serde_json::json;
use violetyoke_decision::interface::{Class, Effect, Group, Plan, Settings};
use violetyoke_settings::changes::{missing, Numbers};

fn class(effect: Effect) -> Class {
    Class {
        aim: 500_000,
        aim_stretch: 0.0,
        deadline: 2_000_000,
        effect,
        group: Group::All,
        repeat_window: 0,
        late_value: 0.0,
        value: 1.0,
        streamed: false,
        asks_only: false,
    }
}

fn settings(classes: &[Class]) -> Settings {
    let plan = Plan { rate: 5.0, burst: 10.0, worth: 1.0, ..Plan::default() };
    Settings { gateways: 1, classes: classes.to_vec(), plans: vec![plan], ..Settings::default() }
}

fn words(text: &[&str]) -> Vec<String> {
    text.iter().map(|word| word.to_string()).collect()
}

#[test]
fn a_class_that_changes_has_a_new_number_and_keeps_the_old_one_for_what_is_open() {
    let mut numbers = Numbers::default();
    let (read, book) = (class(Effect::Safe), class(Effect::Unsafe));
    let first =
        numbers.take(settings(&[read.clone(), book.clone()]), &words(&["read", "book"]), &words(&["p"]));
    assert_eq!(first.classes, ["read", "book"]);
    // `book` becomes safe, `read` goes, `look` comes.
    let names = words(&["book", "look"]);
    let second = numbers.take(settings(&[class(Effect::Safe), read.clone()]), &names, &words(&["p"]));
    assert_eq!(second.classes, ["", "", "book", "look"]);
    assert_eq!(second.settings.classes[1], book);
    assert_eq!(second.settings.classes[2].effect, Effect::Safe);
    // What comes back as it was has the number that it had.
    let third = numbers.take(settings(&[read, book]), &words(&["read", "book"]), &words(&["p"]));
    assert_eq!(third.classes, ["read", "book", "", ""]);
    assert_eq!(third.settings.classes.len(), 4);
    assert_eq!((third.plans, third.settings.plans.len()), (words(&["p"]), 1));
}

#[test]
fn a_key_that_was_there_and_is_not_is_named() {
    let old =
        json!({"bounds": {"attempts-cap": 4}, "categories": [{"name": "a", "aim-us": 5}], "zone": null});
    assert_eq!(missing(&old, &old), None);
    let more = json!({"bounds": {"attempts-cap": 1, "x": 2}, "zone": 3,
                      "categories": [{"name": "b", "aim-us": 1}, {"name": "c", "aim-us": 2, "y": 0}]});
    assert_eq!(missing(&old, &more), None);
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
        assert_eq!(missing(&old, &new).as_deref(), Some(path), "{new}");
    }
}
