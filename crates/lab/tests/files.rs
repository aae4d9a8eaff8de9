//! What is wrong with an experiment's file is told with its line and key.

#![cfg(test)]

mod common;

use common::BASE;
use violetyoke_lab::experiment::parse;

/// The errors of the small fleet with further text, as `line: key: reason`.
fn errors(text: &str) -> Vec<(usize, String, String)> {
    let errors = parse(text).expect_err("it is wrong");
    errors.iter().map(|error| (error.line, error.key.clone(), error.reason.clone())).collect()
}

/// The line on which some text stands.
fn line(text: &str, of: &str) -> usize {
    1 + text.lines().position(|line| line.contains(of)).expect("it is there")
}

fn one(text: &str, at: &str, key: &str, says: &str) {
    let found = errors(text);
    let fits = |(on, of, reason): &(usize, String, String)| {
        *on == line(text, at) && of == key && reason.contains(says)
    };
    assert!(found.iter().any(fits), "{key} {says:?} is not among {found:?}");
}

#[test]
fn an_unknown_key_is_told_with_its_line_and_what_may_be_meant() {
    let text = BASE.replace("queue = 12", "queues = 12");
    one(&text, "queues = 12", "nodes.queues", "did you mean queue?");
}

#[test]
fn a_fault_on_what_is_not_there_or_is_not_hit_by_it_is_told() {
    let fault = |keys: &str| format!("{BASE}\n[[fault]]\n{keys}\nat_seconds = 3\n");
    one(&fault("kind = \"kill_nodes\"\nnode = 8"), "node = 8", "fault[0].node", "go from 0 to 7");
    one(&fault("kind = \"cut_zone\"\nzone = 2"), "zone = 2", "fault[0].zone", "go from 0 to 1");
    one(&fault("kind = \"surge\"\nnode = 1"), "node = 1", "fault[0].node", "is not what surge hits");
    one(
        &fault("kind = \"slow_counter\"\ncounter_part = 3"),
        "counter_part = 3",
        "fault[0].counter_part",
        "0 to 2",
    );
    one(&fault("kind = \"kill_nodes\"\nnode = 1\npart = 0.5"), "kind = \"kill", "fault[0].kind", "one of");
    one(&fault("kind = \"burn_nodes\""), "kind = \"burn", "fault[0].kind", "is none of");
}

#[test]
fn zero_nodes_and_a_load_of_nothing_are_told() {
    one(&BASE.replace("count = 8", "count = 0"), "count = 0", "nodes.count", "out of range");
    let text = BASE.replace("tries_per_second = 260", "tries_per_second = 0");
    one(&text, "tries_per_second = 0", "load.tries_per_second", "a load of nothing");
    let text = BASE.replace("share = 0.7", "share = 0.0").replace("share = 0.3", "share = 0");
    let found = errors(&text);
    assert!(found.iter().any(|(_, key, reason)| key == "class" && reason.contains("are 0")), "{found:?}");
}

#[test]
fn a_varied_value_that_makes_a_bad_file_is_told_before_anything_runs() {
    let text = format!("{BASE}\n[[vary]]\nkey = \"nodes.count\"\nvalues = [4, 0]\n");
    one(&text, "[[vary]]", "vary", "nodes.count=0: nodes.count: 0 is out of range");
    let text = format!("{BASE}\n[[vary]]\nkey = \"nodes.cuont\"\nvalues = [4]\n");
    one(&text, "[[vary]]", "vary", "nodes.cuont: is not a key known here");
}

#[test]
fn all_errors_come_in_one_go() {
    let text =
        BASE.replace("workers = 2", "workers = \"two\"").replace("warm_seconds = 2", "warm_seconds = 20");
    let keys: Vec<String> = errors(&text).into_iter().map(|(_, key, _)| key).collect();
    assert_eq!(keys, ["run.warm_seconds", "nodes.workers"]);
}
