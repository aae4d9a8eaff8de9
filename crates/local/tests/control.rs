//! Control of the whole system as real processes, while machines stop, die, leave and are cut off.

#![cfg(test)]

mod common;

use common::{configuration, TestSystem, LONG, REPLACE};
use serde_json::json;
use std::time::Duration;
use violetyoke_ctl::command_line::CommandLine;
use violetyoke_ctl::commands::run;
use violetyoke_ctl::CommandError;
use violetyoke_local::client::{resolve_edges, send_command, send_request};
use violetyoke_rig::link::Link;
use violetyoke_rig::wait_until;

#[test]
fn changes_are_accepted_and_reach_edges_after_each_core_machine_is_killed() {
    let mut system = TestSystem::start();
    // Whichever leads: each store in turn is stopped, killed or left without its registry, and a change is taken.
    for victim in 0..3 {
        system.processes.cores[victim].store.kill().expect("killed");
        system.processes.cores[victim].registry.kill().expect("killed");
        let version = 10 + victim as u64;
        let mut next = configuration(version);
        next["routes"]["rows"][0][2] = json!(format!("/search-{version}/"));
        system.replace_configuration(&next);
        assert_eq!(system.version_in_force(), version);
        for edge in 0..4 {
            let path = format!("/search-{version}/1");
            assert!(
                wait_until(Duration::from_secs(3), || system.status(edge, &path, "key-1", b"") == 200),
                "edge {edge}"
            );
            assert_eq!(system.status(edge, "/search/1", "key-1", b""), 404);
        }
        system.processes.cores[victim].store.restart().expect("started");
        system.processes.cores[victim].registry.restart().expect("started");
        let up = |system: &TestSystem| {
            resolve_edges(system.processes.cores[victim].directory, "west", "a").len() == 1
        };
        assert!(wait_until(LONG, || up(&system)), "core {victim} does not come back");
    }
    // An older one is acknowledged and has no effect; an invalid one is refused by its field.
    system.replace_configuration(&configuration(3));
    assert_eq!(system.version_in_force(), 12);
    let mut invalid = configuration(20);
    invalid["routes"]["rows"][1][8] = json!("nobody");
    let answer = send_command(&system.processes.control_addresses(), REPLACE, invalid.to_string().as_bytes())
        .expect("a clear answer");
    assert_eq!(answer.status(), 400);
    assert!(String::from_utf8_lossy(&answer.body).contains("routes.rows[1].service"));
    assert_eq!(system.version_in_force(), 12);
}

#[test]
fn a_stopped_core_machine_and_a_partitioned_backend_fail_no_request() {
    let mut system = TestSystem::start();
    // One finder is reached over a link that is cut.
    let link = Link::start(system.runtime.handle(), system.finders[0].address).expect("a link");
    let mut line = system.finders[0].list_entry();
    line["address"] = json!(link.address.to_string());
    line["service"] = json!("finder");
    system.platform.remove("finder-0");
    system.platform.set("finder-9", line);
    link.cut();
    system.processes.cores[0].store.pause().expect("stopped");
    system.processes.cores[0].registry.pause().expect("stopped");
    system.replace_configuration(&configuration(2));
    let served = (0..60).filter(|n| system.status(n % 4, "/search/1", "key-1", b"") == 200).count();
    assert_eq!(served, 60);
    system.processes.cores[0].store.resume().expect("goes on");
    system.processes.cores[0].registry.resume().expect("goes on");
    system.replace_configuration(&configuration(4));
    assert_eq!(system.version_in_force(), 4);
}

#[test]
fn evacuated_zones_and_draining_backends_receive_no_requests() {
    let mut system = TestSystem::start();
    let controls = system.processes.control_addresses();
    let answer = send_command(&controls, "/api/rpc?call=evacuation.begin&of=a", b"").expect("a clear answer");
    assert_eq!(answer.status(), 200);
    let zone_a = |system: &TestSystem| {
        system
            .finders
            .iter()
            .filter(|finder| finder.zone == "a")
            .map(|finder| finder.executions().len())
            .sum::<usize>()
    };
    let quiet = |system: &mut TestSystem| {
        let before = zone_a(system);
        (0..12).all(|n| system.status(n % 4, "/search/1", "key-1", b"") == 200) && zone_a(system) == before
    };
    assert!(wait_until(Duration::from_secs(5), || quiet(&mut system)), "zone a still gets requests");
    let mut line = system.finders[1].list_entry();
    line["state"] = json!("draining");
    system.platform.set("finder-1", line);
    let still = |system: &mut TestSystem| {
        let before = system.finders[1].executions().len();
        (0..12).all(|n| system.status(n % 4, "/search/1", "key-1", b"") == 200)
            && system.finders[1].executions().len() == before
    };
    assert!(wait_until(Duration::from_secs(3), || still(&mut system)), "the drained one still gets requests");
    assert_eq!(
        send_command(&controls, "/api/rpc?call=evacuation.finish&of=a", b"").map(|answer| answer.status()),
        Some(200)
    );
    assert!(
        wait_until(LONG, || {
            system.status(0, "/search/1", "key-1", b"");
            !quiet(&mut system)
        }),
        "zone a stays empty"
    );
    assert_eq!(
        send_command(&controls, "/api/rpc?call=evacuation.begin&of=nowhere", b"")
            .map(|answer| answer.status()),
        Some(400)
    );
}

#[test]
fn an_edge_completes_requests_in_flight_on_sigterm() {
    let mut system = TestSystem::start();
    let front = system.processes.edges[0].front;
    let flood = std::thread::spawn(move || {
        let mut statuses = Vec::new();
        for n in 0..400 {
            let id = format!("flood-{n}");
            let fields = [("host", "rooms.example"), ("x-attempt-id", &id[..]), ("x-credential", "key-1")];
            match send_request(front, "GET", "/search/1", &fields, b"") {
                Some(answer) => statuses.push(answer.status()),
                // Nobody listens there any more.
                None => break,
            }
        }
        statuses
    });
    assert!(wait_until(LONG, || system.finders.iter().any(|finder| finder.executions().len() > 20)));
    system.processes.edges[0].proxy.terminate().expect("told");
    assert!(wait_until(LONG, || system.processes.edges[0].proxy.has_ended()), "it does not end");
    let statuses = flood.join().expect("the flood");
    assert!(statuses.len() > 20 && statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let gone = |system: &TestSystem| {
        !resolve_edges(system.processes.cores[0].directory, "west", "a").contains(&front)
    };
    assert!(wait_until(LONG, || gone(&system)));
}

/// What a verb of the operators' client prints, and how it ends.
fn run_verb(system: &TestSystem, words: &[&str]) -> (String, Result<(), CommandError>) {
    let mut line: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    for control in system.processes.control_addresses() {
        line.extend(["--control".to_owned(), control.to_string()]);
    }
    let line = CommandLine::parse(lexopt::Parser::from_args(line)).expect("a command line");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let mut out = Vec::new();
    let ended = runtime.block_on(run(&line, &mut out));
    (String::from_utf8_lossy(&out).into_owned(), ended)
}

#[test]
fn ctl_plans_replaces_and_evacuates_with_a_core_machine_lost() {
    let mut system = TestSystem::start();
    system.processes.cores[0].registry.kill().expect("killed");
    let mut next = configuration(5);
    next["tenants"]["rows"][1][2] = json!(40);
    let file = system.processes.folder.join("next.json");
    std::fs::write(&file, next.to_string()).expect("a file");
    let name = file.to_str().expect("a name");
    let planned = "version 1 -> 5\ntenant svaneti: changed, rate-per-s 20 -> 40\n";
    let (text, ended) = run_verb(&system, &["plan", name]);
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(text, planned);
    let (text, ended) = run_verb(&system, &["put", name]);
    assert!(ended.is_ok(), "{ended:?}");
    assert_eq!(text, format!("{planned}version 5 is acknowledged\n"));
    assert_eq!(run_verb(&system, &["get"]).0.trim_end(), next.to_string());
    let again = run_verb(&system, &["plan", name]).1.expect_err("it would have no effect any more");
    assert_eq!(again.exit_status(), 1, "{again}");
    for n in 0..8 {
        assert_eq!(system.status(n % 4, "/search/1", "key-1", b""), 200);
    }
    let ready: Vec<String> = system.processes.edges.iter().map(|edge| edge.ready.to_string()).collect();
    let mut words = vec!["capacity", "--json"];
    words.extend(ready.iter().flat_map(|address| ["--edge", address]));
    let rows: serde_json::Value = serde_json::from_str(&run_verb(&system, &words).0).expect("rows");
    let rows = rows.as_array().expect("a list");
    assert_eq!(rows.len(), 6, "each backend once");
    let given = |row: &serde_json::Value| row["given"].as_u64().unwrap_or(0);
    assert_eq!(rows.iter().map(given).sum::<u64>(), 8, "what all edges gave: {rows:?}");
    run_verb(&system, &["evacuate", "a"]).1.expect("evacuated");
    let unknown = run_verb(&system, &["evacuate", "nowhere"]).1.expect_err("there is no such zone");
    assert_eq!(unknown.exit_status(), 1, "{unknown}");
    run_verb(&system, &["restore", "a"]).1.expect("restored");
}
