//! The whole path as real processes on loopback: three core machines, four edges, stand-in backends, list and operator.

use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use violetyoke_rig::driven::Driven;
use violetyoke_rig::link::Link;
use violetyoke_rig::until;
use violetyoke_screen::backends::{times_run, Backend, Fault};
use violetyoke_screen::calls::{call, order, resolve};
use violetyoke_screen::machines::{Plan, System};
use violetyoke_screen::platform::Platform;
use violetyoke_standin::http::Http;

const LONG: Duration = Duration::from_secs(20);
const REPLACE: &str = "/api/rpc?call=configuration.replace";
const READ: &str = "/api/rpc?call=configuration.read";

struct Stage {
    system: System,
    platform: Platform,
    finders: Vec<Backend>,
    ledgers: Vec<Backend>,
    driven: Driven,
    next: u32,
}

fn configuration(version: u64) -> Value {
    json!({
        "version": version,
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts",
                        "home-regions", "service"],
            "rows": [["search", "rooms.example", "/search/", "idempotent", 2000, 800, 2, [], "finder"],
                     ["book", "rooms.example", "/book/", "nonidempotent", 2000, 800, 2, ["west"], "ledger"]]
        },
        "services": {"columns": ["name", "cold-s", "cold-rate-s"], "rows": [["finder", 3, 20], ["ledger", 3, 20]]},
        "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                    "rows": [["kolkheti", ["key-1"], 0, 0], ["svaneti", ["key-2"], 20, 20]]}
    })
}

fn stage() -> Stage {
    let driven = Driven::start().expect("a runtime");
    let platform = Platform::start(driven.handle()).expect("a platform");
    let start = |service: &str, n: usize| {
        let zone = ["a", "b"][n % 2];
        let id = format!("{service}-{n}");
        let backend = Backend::start(driven.handle(), &id, service, zone, Duration::from_millis(10))
            .expect("a backend");
        platform.set(&id, Some(backend.line()));
        backend
    };
    let finders: Vec<Backend> = (0..4).map(|n| start("finder", n)).collect();
    let ledgers: Vec<Backend> = (0..2).map(|n| start("ledger", n * 2)).collect();
    let plan = Plan {
        cores: &[("a", "west"), ("a", "west"), ("c", "west")],
        edges: &[("a", "west"), ("c", "west"), ("b", "east"), ("b", "east")],
        platform: platform.address,
        tolerance: 1,
    };
    let system = System::start(Path::new(env!("CARGO_BIN_EXE_screen")), &plan).expect("the processes");
    let stage = Stage { system, platform, finders, ledgers, driven, next: 0 };
    stage.put(configuration(1));
    stage.all_ready();
    stage
}

impl Stage {
    fn put(&self, configuration: Value) {
        let text = configuration.to_string();
        let answer = order(&self.system.controls(), REPLACE, text.as_bytes()).expect("a clear answer");
        assert_eq!(answer.status(), 200, "{}", String::from_utf8_lossy(&answer.body));
    }

    fn all_ready(&self) {
        let edges = self.system.edges.iter();
        let ready =
            |to: SocketAddr| call(to, "GET", "/api/readiness", &[], b"").map(|it| it.status()) == Some(200);
        for edge in edges {
            assert!(
                until(LONG, || ready(edge.ready)),
                "{} is not ready: {:?}",
                edge.name,
                edge.proxy.lines()
            );
        }
    }

    /// One request to one edge, under an id of its own.
    fn send(&mut self, edge: usize, target: &str, key: &str, body: &[u8]) -> (String, Option<Http>) {
        self.next += 1;
        let id = format!("try-{}", self.next);
        let fields = [
            ("host", "rooms.example"),
            ("x-attempt-id", &id),
            ("x-deadline-ms", "1500"),
            ("x-credential", key),
        ];
        let method = if body.is_empty() { "GET" } else { "POST" };
        (id.clone(), call(self.system.edges[edge].front, method, target, &fields, body))
    }

    fn status(&mut self, edge: usize, target: &str, key: &str, body: &[u8]) -> u16 {
        self.send(edge, target, key, body).1.map_or(0, |answer| answer.status())
    }

    fn version(&self) -> u64 {
        let answer = order(&self.system.controls(), READ, b"").expect("a clear answer");
        let held: Value = serde_json::from_slice(&answer.body).expect("a configuration");
        held["version"].as_u64().expect("a version")
    }
}

#[test]
fn a_request_is_routed_keyed_bound_to_its_homes_and_answered_unchanged() {
    let mut stage = stage();
    for edge in 0..4 {
        let (id, answer) = stage.send(edge, "/search/2f?x=1", "key-1", b"");
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers.get("x-server-seal").map(String::as_str), Some("seal"));
        assert!(String::from_utf8_lossy(&answer.body).ends_with(&format!("ran {id}")));
        let (id, answer) = stage.send(edge, "/book/7", "key-1", b"two nights");
        assert_eq!(answer.expect("an answer").status(), 200);
        let run = stage.ledgers.iter().flat_map(Backend::runs).find(|run| run.attempt == id).expect("it ran");
        assert_eq!(
            (run.tenant.as_deref(), run.path.as_str(), &run.body[..]),
            (Some("kolkheti"), "/book/7", &b"two nights"[..])
        );
        assert!(run.deadline_ms.is_some_and(|ms| (1..1500).contains(&ms)), "{run:?}");
    }
    assert_eq!(stage.status(0, "/search/1", "no-key", b""), 401);
    assert_eq!(stage.status(0, "/nowhere/1", "key-1", b""), 404);
    let west: BTreeSet<SocketAddr> =
        resolve(stage.system.cores[0].directory, "west", "a").into_iter().collect();
    assert_eq!(west, BTreeSet::from([stage.system.edges[0].front]), "the own zone's edge alone");
    assert_eq!(resolve(stage.system.cores[1].directory, "east", "b").len(), 2);
}

#[test]
fn a_tenant_s_limit_holds_over_all_edges_together() {
    let mut stage = stage();
    let begun = Instant::now();
    let mut passed = 0;
    for n in 0..120 {
        let status = stage.status(n % 4, "/search/1", "key-2", b"");
        assert!(status == 200 || status == 429, "{status}");
        passed += u32::from(status == 200);
    }
    let seconds = begun.elapsed().as_secs_f64();
    // A window's worth at once, then the rate; the other side of each bound is what edges alone would give.
    assert!(f64::from(passed) <= 20.0 + 20.0 * (seconds + 1.0), "{passed} in {seconds:.2} s");
    assert!(passed >= 18, "{passed} in {seconds:.2} s");
}

#[test]
fn what_may_have_run_is_not_sent_again_and_what_did_not_run_is() {
    let mut stage = stage();
    for ledger in &stage.ledgers {
        ledger.fail(Fault::LosesAnswers);
    }
    for _ in 0..10 {
        let status = stage.status(0, "/book/1", "key-1", b"x");
        assert!(status == 502 || status == 503, "{status}");
    }
    assert!(times_run(&stage.ledgers).values().all(|times| *times == 1), "{:?}", times_run(&stage.ledgers));
    for ledger in &stage.ledgers {
        ledger.fail(Fault::None);
    }
    // One of two turns requests away: the other runs them.
    stage.ledgers[0].fail(Fault::TurnsAway);
    assert!(until(LONG, || stage.status(0, "/book/1", "key-1", b"x") == 200));
    let served = (0..20).filter(|_| stage.status(0, "/book/1", "key-1", b"x") == 200).count();
    assert_eq!(served, 20);
    assert!(times_run(&stage.ledgers).values().all(|times| *times == 1));
}

#[test]
fn an_answer_that_bears_another_s_id_is_nobody_s() {
    let mut stage = stage();
    for finder in &stage.finders {
        finder.fail(Fault::AnswersTwice);
    }
    let (_, answer) = stage.send(0, "/search/1", "key-1", b"");
    assert_ne!(answer.expect("an answer").status(), 200);
}

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
