//! Control of the whole system as real processes, while machines stop, die, leave and are cut off.

#![cfg(test)]

mod common;

use common::{configuration, stage, Stage, LONG, REPLACE};
use serde_json::json;
use std::time::Duration;
use violetyoke_ctl::verbs::{self, Ended};
use violetyoke_local::calls::{call, order, resolve};
use violetyoke_rig::link::Link;
use violetyoke_rig::until;

#[test]
fn control_outlives_its_primary_and_an_edge_follows_within_the_bound() {
    let mut stage = stage();
    // Whichever leads: each store in turn is stopped, killed or left without its registry, and a change is taken.
    for victim in 0..3 {
        stage.system.cores[victim].store.kill().expect("killed");
        stage.system.cores[victim].registry.kill().expect("killed");
        let version = 10 + victim as u64;
        let mut next = configuration(version);
        next["routes"]["rows"][0][2] = json!(format!("/search-{version}/"));
        stage.put(next);
        assert_eq!(stage.version(), version);
        for edge in 0..4 {
            let path = format!("/search-{version}/1");
            assert!(
                until(Duration::from_secs(3), || stage.status(edge, &path, "key-1", b"") == 200),
                "edge {edge}"
            );
            assert_eq!(stage.status(edge, "/search/1", "key-1", b""), 404);
        }
        stage.system.cores[victim].store.again().expect("started");
        stage.system.cores[victim].registry.again().expect("started");
        let up = |stage: &Stage| resolve(stage.system.cores[victim].directory, "west", "a").len() == 1;
        assert!(until(LONG, || up(&stage)), "core {victim} does not come back");
    }
    // An older one is acknowledged and has no effect; an invalid one is refused by its field.
    stage.put(configuration(3));
    assert_eq!(stage.version(), 12);
    let mut invalid = configuration(20);
    invalid["routes"]["rows"][1][8] = json!("nobody");
    let answer =
        order(&stage.system.controls(), REPLACE, invalid.to_string().as_bytes()).expect("a clear answer");
    assert_eq!(answer.status(), 400);
    assert!(String::from_utf8_lossy(&answer.body).contains("routes.rows[1].service"));
    assert_eq!(stage.version(), 12);
}

#[test]
fn a_stopped_core_machine_and_a_cut_link_cost_no_request() {
    let mut stage = stage();
    // One finder is reached over a link that is cut.
    let link = Link::start(stage.driven.handle(), stage.finders[0].address).expect("a link");
    let mut line = stage.finders[0].line();
    line["address"] = json!(link.address.to_string());
    line["service"] = json!("finder");
    stage.platform.set("finder-0", None);
    stage.platform.set("finder-9", Some(line));
    link.cut(true);
    stage.system.cores[0].store.stop().expect("stopped");
    stage.system.cores[0].registry.stop().expect("stopped");
    stage.put(configuration(2));
    let served = (0..60).filter(|n| stage.status(n % 4, "/search/1", "key-1", b"") == 200).count();
    assert_eq!(served, 60);
    stage.system.cores[0].store.go_on().expect("goes on");
    stage.system.cores[0].registry.go_on().expect("goes on");
    stage.put(configuration(4));
    assert_eq!(stage.version(), 4);
}

#[test]
fn an_evacuated_zone_gets_nothing_and_a_drained_backend_neither() {
    let mut stage = stage();
    let controls = stage.system.controls();
    let answer = order(&controls, "/api/rpc?call=evacuation.begin&of=a", b"").expect("a clear answer");
    assert_eq!(answer.status(), 200);
    let zone_a = |stage: &Stage| {
        stage.finders.iter().filter(|it| it.zone == "a").map(|it| it.runs().len()).sum::<usize>()
    };
    let quiet = |stage: &mut Stage| {
        let before = zone_a(stage);
        (0..12).all(|n| stage.status(n % 4, "/search/1", "key-1", b"") == 200) && zone_a(stage) == before
    };
    assert!(until(Duration::from_secs(5), || quiet(&mut stage)), "zone a still gets requests");
    let mut line = stage.finders[1].line();
    line["state"] = json!("draining");
    stage.platform.set("finder-1", Some(line));
    let still = |stage: &mut Stage| {
        let before = stage.finders[1].runs().len();
        (0..12).all(|n| stage.status(n % 4, "/search/1", "key-1", b"") == 200)
            && stage.finders[1].runs().len() == before
    };
    assert!(until(Duration::from_secs(3), || still(&mut stage)), "the drained one still gets requests");
    assert_eq!(
        order(&controls, "/api/rpc?call=evacuation.finish&of=a", b"").map(|it| it.status()),
        Some(200)
    );
    assert!(
        until(LONG, || {
            stage.status(0, "/search/1", "key-1", b"");
            !quiet(&mut stage)
        }),
        "zone a stays empty"
    );
    assert_eq!(
        order(&controls, "/api/rpc?call=evacuation.begin&of=nowhere", b"").map(|it| it.status()),
        Some(400)
    );
}

#[test]
fn an_edge_that_is_told_to_end_finishes_what_it_has() {
    let mut stage = stage();
    let front = stage.system.edges[0].front;
    let flood = std::thread::spawn(move || {
        let mut statuses = Vec::new();
        for n in 0..400 {
            let id = format!("flood-{n}");
            let fields = [("host", "rooms.example"), ("x-attempt-id", &id[..]), ("x-credential", "key-1")];
            match call(front, "GET", "/search/1", &fields, b"") {
                Some(answer) => statuses.push(answer.status()),
                // Nobody listens there any more.
                None => break,
            }
        }
        statuses
    });
    assert!(until(LONG, || stage.finders.iter().any(|it| it.runs().len() > 20)));
    stage.system.edges[0].proxy.terminate().expect("told");
    assert!(until(LONG, || stage.system.edges[0].proxy.has_ended()), "it does not end");
    let statuses = flood.join().expect("the flood");
    assert!(statuses.len() > 20 && statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let gone = |stage: &Stage| !resolve(stage.system.cores[0].directory, "west", "a").contains(&front);
    assert!(until(LONG, || gone(&stage)));
}

/// What a verb of the operators' client prints, and how it ends.
fn verb(stage: &Stage, words: &[&str]) -> (String, Ended) {
    let mut line: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    for control in stage.system.controls() {
        line.extend(["--control".to_owned(), control.to_string()]);
    }
    let wanted = verbs::read(lexopt::Parser::from_args(line)).expect("a command line");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let mut out = Vec::new();
    let ended = runtime.block_on(verbs::run(&wanted, &mut out));
    (String::from_utf8_lossy(&out).into_owned(), ended)
}

#[test]
fn the_client_plans_sends_and_evacuates_though_a_core_machine_is_gone() {
    let mut stage = stage();
    stage.system.cores[0].registry.kill().expect("killed");
    let mut next = configuration(5);
    next["tenants"]["rows"][1][2] = json!(40);
    let file = stage.system.folder.join("next.json");
    std::fs::write(&file, next.to_string()).expect("a file");
    let name = file.to_str().expect("a name");
    let told = "version 1 -> 5\ntenant svaneti: changed, rate-per-s 20 -> 40\n";
    assert_eq!(verb(&stage, &["plan", name]), (told.to_owned(), Ended::Done));
    let (text, ended) = verb(&stage, &["put", name]);
    assert_eq!((text, ended), (format!("{told}version 5 is acknowledged\n"), Ended::Done));
    assert_eq!(verb(&stage, &["get"]).0.trim_end(), next.to_string());
    assert_eq!(verb(&stage, &["plan", name]).1.status(), 1, "it would have no effect any more");
    for n in 0..8 {
        assert_eq!(stage.status(n % 4, "/search/1", "key-1", b""), 200);
    }
    let ready: Vec<String> = stage.system.edges.iter().map(|edge| edge.ready.to_string()).collect();
    let mut words = vec!["capacity", "--json"];
    words.extend(ready.iter().flat_map(|address| ["--edge", address]));
    let rows: serde_json::Value = serde_json::from_str(&verb(&stage, &words).0).expect("rows");
    let rows = rows.as_array().expect("a list");
    assert_eq!(rows.len(), 6, "each backend once");
    let given = |row: &serde_json::Value| row["given"].as_u64().unwrap_or(0);
    assert_eq!(rows.iter().map(given).sum::<u64>(), 8, "what all edges gave: {rows:?}");
    assert_eq!(verb(&stage, &["evacuate", "a"]).1, Ended::Done);
    assert_eq!(verb(&stage, &["evacuate", "nowhere"]).1.status(), 1);
    assert_eq!(verb(&stage, &["restore", "a"]).1, Ended::Done);
}
