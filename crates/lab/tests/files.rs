//! Errors in an experiment's file are reported with line and key.

#![cfg(test)]

mod common;

use common::BASE;
use violetyoke_lab::experiment::parse;

/// The errors of the small fleet with further text, as `line: key: reason`.
fn errors(text: &str) -> Vec<(usize, String, String)> {
    let errors = parse(text).expect_err("errors");
    errors.iter().map(|error| (error.line, error.key.clone(), error.reason.clone())).collect()
}

/// The number of the first line that contains `part`.
fn line(text: &str, part: &str) -> usize {
    1 + text.lines().position(|line| line.contains(part)).expect("a line with the text")
}

/// Asserts that an error is reported for a key, at the line that contains `line_part`.
fn assert_error(text: &str, line_part: &str, key: &str, expected: &str) {
    let found = errors(text);
    let is_expected = |(error_line, error_key, reason): &(usize, String, String)| {
        *error_line == line(text, line_part) && error_key == key && reason.contains(expected)
    };
    assert!(found.iter().any(is_expected), "{key} {expected:?} is not among {found:?}");
}

#[test]
fn unknown_key_is_reported_with_its_line_and_a_suggestion() {
    let text = BASE.replace("queue = 12", "queues = 12");
    assert_error(&text, "queues = 12", "nodes.queues", "did you mean queue?");
}

#[test]
fn fault_with_a_missing_or_unsuitable_target_is_reported() {
    let fault = |keys: &str| format!("{BASE}\n[[fault]]\n{keys}\nat_seconds = 3\n");
    assert_error(&fault("kind = \"kill_nodes\"\nnode = 8"), "node = 8", "fault[0].node", "go from 0 to 7");
    assert_error(&fault("kind = \"cut_zone\"\nzone = 2"), "zone = 2", "fault[0].zone", "go from 0 to 1");
    assert_error(&fault("kind = \"surge\"\nnode = 1"), "node = 1", "fault[0].node", "is not what surge hits");
    assert_error(
        &fault("kind = \"slow_counter\"\ncounter_part = 3"),
        "counter_part = 3",
        "fault[0].counter_part",
        "0 to 2",
    );
    assert_error(
        &fault("kind = \"kill_nodes\"\nnode = 1\npart = 0.5"),
        "kind = \"kill",
        "fault[0].kind",
        "one of",
    );
    assert_error(&fault("kind = \"burn_nodes\""), "kind = \"burn", "fault[0].kind", "is none of");
}

#[test]
fn zero_nodes_zero_load_and_zero_shares_are_reported() {
    assert_error(&BASE.replace("count = 8", "count = 0"), "count = 0", "nodes.count", "out of range");
    let text = BASE.replace("tries_per_second = 260", "tries_per_second = 0");
    assert_error(&text, "tries_per_second = 0", "load.tries_per_second", "a load of nothing");
    let text = BASE.replace("share = 0.7", "share = 0.0").replace("share = 0.3", "share = 0");
    let found = errors(&text);
    assert!(found.iter().any(|(_, key, reason)| key == "class" && reason.contains("are 0")), "{found:?}");
}

#[test]
fn invalid_varied_value_is_reported_before_any_run() {
    let text = format!("{BASE}\n[[vary]]\nkey = \"nodes.count\"\nvalues = [4, 0]\n");
    assert_error(&text, "[[vary]]", "vary", "nodes.count=0: nodes.count: 0 is out of range");
    let text = format!("{BASE}\n[[vary]]\nkey = \"nodes.cuont\"\nvalues = [4]\n");
    assert_error(&text, "[[vary]]", "vary", "nodes.cuont: is not a key known here");
}

#[test]
fn all_errors_are_reported_at_once() {
    let text =
        BASE.replace("workers = 2", "workers = \"two\"").replace("warm_seconds = 2", "warm_seconds = 20");
    let keys: Vec<String> = errors(&text).into_iter().map(|(_, key, _)| key).collect();
    assert_eq!(keys, ["run.warm_seconds", "nodes.workers"]);
}
