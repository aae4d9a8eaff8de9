//! The decision log of an ingress: records of responses, attempts and state if it is enabled, and none
//! otherwise.

#![cfg(test)]

mod common;

use common::*;
use std::process::Command;
use violetyoke_account::Record;

/// An ingress with one node, with the decision log enabled or not.
fn start(is_enabled: bool) -> (Backend, Counter, Discovery, Ingress) {
    let backend = Backend::start(|_| ok(b"a"));
    let members = vec![member("s-0", backend.address, "in_service")];
    let (counter, discovery) = (Counter::start(), Discovery::start(members));
    let ingress = Ingress::spawn_as(
        &counter,
        &discovery,
        |_| {},
        |program| {
            let mut command = Command::new(program);
            match is_enabled {
                true => command.env("VIOLETYOKE_ACCOUNT", "1"),
                false => command.env_remove("VIOLETYOKE_ACCOUNT"),
            };
            command
        },
    );
    until("a request is served", || {
        let client = Client::try_open(ingress.address);
        client.and_then(|mut client| client.try_call(read_request())).is_some_and(|http| http.status() == 200)
    });
    (backend, counter, discovery, ingress)
}

#[test]
fn responses_attempts_and_state_are_logged_if_the_log_is_enabled() {
    let (_backend, _counter, _discovery, ingress) = start(true);
    until("the response, its attempt and the state are logged", || {
        let log = ingress.log.lock().unwrap();
        let records: Vec<_> =
            log.iter().filter_map(|line| Record::parse_log_line(line)).map(Result::unwrap).collect();
        let has = |predicate: &dyn Fn(&Record) -> bool| records.iter().any(predicate);
        has(&|record| {
            matches!(record, Record::Final { outcome, class, value, .. }
                if outcome == "served" && !class.is_empty() && *value > 0.0)
        }) && has(&|record| {
            matches!(record, Record::Attempt { node, outcome, .. }
                if node == "s-0" && outcome == "Ok")
        }) && has(&|record| matches!(record, Record::State { nodes, .. } if nodes.len() == 1))
    });
}

#[test]
fn nothing_is_logged_if_the_log_is_not_enabled() {
    let (_backend, _counter, _discovery, ingress) = start(false);
    assert_eq!(ingress.count_log_lines(violetyoke_account::RECORD_PREFIX), 0);
}
