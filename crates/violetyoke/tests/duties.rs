//! Duties at the control plane: who may have a lease, what is refused and by which field, and upkeep by one of two
//! control planes on one store.

#![cfg(test)]
#![allow(
    clippy::let_underscore_must_use,
    clippy::too_many_lines,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod common;

use common::control::*;
use common::until;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;
use std::sync::Mutex;

const DUTIES: &str = r#"
[[duty]]
name = "report"
kind = "report"
shards = 8
length_ms = 3000
"#;

/// A file that goes with the test.
struct Declared(PathBuf);

impl Declared {
    fn new(file: &StoreFile, text: &str) -> Declared {
        let path = PathBuf::from(format!("{}.duties", file.0.display()));
        fs::write(&path, text).unwrap();
        Declared(path)
    }

    fn start(&self, file: &StoreFile) -> Control {
        Control::start(
            file,
            &[
                "--duties",
                self.0.to_str().unwrap(),
                "--rate",
                "100000",
                "--burst",
                "100000",
                "--drain-ms",
                "200",
            ],
        )
    }
}

impl Drop for Declared {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// One call of a holder, which sends back what its last answer brought.
fn ask(api: &Api, mut body: Value) -> Value {
    static ECHOES: Mutex<BTreeMap<String, Value>> = Mutex::new(BTreeMap::new());
    let holder = format!("{} {}", api.address, body["holder"]);
    if let Some(token) = ECHOES.lock().unwrap().get(&holder) {
        body["echo"] = token.clone();
    }
    let told = api.post("/v1/leases", body);
    assert_eq!(told.status, 200, "{told:?}");
    ECHOES.lock().unwrap().insert(holder, told.body["token"].clone());
    told.body
}

/// All shards of the report, once the desk has got around to them.
fn all(api: &Api, holder: &str) -> Vec<Value> {
    let mut given = Vec::new();
    until("all shards are given", || {
        let answer = ask(api, json!({ "holder": holder, "duties": ["report"] }));
        given.extend(answer["given"].as_array().unwrap().clone());
        given.len() == 8
    });
    given
}

#[test]
fn what_is_wrong_with_a_call_is_told_by_its_field_and_the_rest_is_done() {
    let file = StoreFile::new();
    let declared = Declared::new(&file, DUTIES);
    let control = declared.start(&file);
    let operator = control.operator();
    let api = key(&operator, "/v1/keys", json!({"role": "ingress"}));
    for (body, status, field) in [
        (json!({"duties": ["report"]}), 400, "holder"),
        (json!({"holder": "a b"}), 422, "holder"),
        (json!({"holder": "a", "renew": [{"duty": "report", "shard": 0}]}), 400, "renew[0].epoch"),
        (
            json!({"holder": "a", "renew": [{"duty": "report", "shard": 0, "epoch": -1}]}),
            400,
            "renew[0].epoch",
        ),
        (
            json!({"holder": "a", "release": [{"duty": "report", "shard": "x", "epoch": 1}]}),
            400,
            "release[0].shard",
        ),
    ] {
        let told = api.post("/v1/leases", &body);
        assert_eq!(told.status, status, "{body}: {told:?}");
        assert_eq!(told.body["errors"][0]["field"], field, "{body}: {told:?}");
    }
    // A whole call with parts that are no good: those are left out, and the rest stands.
    let far = u64::MAX / 2;
    let mut given = 0;
    until("what is good of it is done", || {
        let answer = ask(
            &api,
            json!({
                "holder": "a", "duties": ["nothing", "report", "upkeep"],
                "renew": [{"duty": "report", "shard": 0, "epoch": far}],
            }),
        );
        given += answer["given"].as_array().unwrap().len();
        let faults: Vec<&str> =
            answer["faults"].as_array().unwrap().iter().map(|fault| fault[0].as_str().unwrap()).collect();
        assert_eq!(faults, ["duties[0]", "duties[2]", "renew[0].epoch"]);
        assert!(answer["newest"].as_u64().unwrap() < far / 2, "it is not believed either");
        given == 8
    });
    let mark = |epoch: u64, mark: u64| {
        api.post(
            "/v1/leases/mark",
            json!({"holder": "a", "duty": "report", "shard": 3, "epoch": epoch, "mark": mark}),
        )
    };
    let shard = operator.get("/v1/duties/report/shards/3");
    let epoch = shard.body["epoch"].as_u64().unwrap();
    // What is noted of a shard is no news for ingresses: none would ever hold a revision that counted it.
    let told = || operator.get("/v1/ingresses").body["revision"].clone();
    let before = told();
    assert_eq!(mark(epoch, 7).status, 204);
    assert_eq!(told(), before);
    assert_eq!(mark(epoch, 6).body["errors"][0]["field"], "mark");
    let old = mark(epoch - 1, 9);
    assert_eq!((old.status, old.body["newest"].as_u64()), (409, Some(epoch)), "{old:?}");
    let use_of = |path: &str| api.get(path).status;
    assert_eq!((use_of("/v1/use/nothing/0?after=0"), use_of("/v1/use/report/8?after=0")), (404, 422));
    for (path, body, field) in [
        ("/v1/duties/report/shards/8", json!({}), "shard"),
        ("/v1/duties/report/shards/1", json!({"next": "nobody"}), "next"),
    ] {
        let told = operator.force("PUT", path, body);
        assert_eq!((told.status, told.body["errors"][0]["field"].as_str()), (422, Some(field)), "{told:?}");
    }
}

#[test]
fn of_two_operators_that_give_one_shard_away_the_second_is_told() {
    let file = StoreFile::new();
    let declared = Declared::new(&file, DUTIES);
    let control = declared.start(&file);
    let operator = control.operator();
    let api = key(&operator, "/v1/keys", json!({"role": "ingress"}));
    let given = all(&api, "a#1");
    // The first call tells it what to send back; it is a candidate from the second on.
    ask(&api, json!({"holder": "b#1", "duties": ["report"]}));
    ask(&api, json!({"holder": "b#1", "duties": ["report"]}));
    let path = "/v1/duties/report/shards/5";
    let version = operator.get(path).version.unwrap();
    let give = |to: &str| {
        operator
            .call("PUT", path, &json!({"next": to}).to_string(), &format!("If-Match: {version}\r\n"))
            .status
    };
    assert_eq!((give("b"), give("a")), (200, 412));
    // The owner is told, and the other gets it once the owner has let go, under a newer epoch.
    let of = given.iter().find(|given| given["shard"] == 5).unwrap();
    let renew = json!([{"duty": "report", "shard": 5, "epoch": of["epoch"], "acts": 1}]);
    let answer = ask(&api, json!({"holder": "a#1", "duties": ["report"], "renew": renew}));
    assert_eq!(answer["given"][0]["hand_over"], true, "{answer}");
    let none = ask(&api, json!({"holder": "b#1", "duties": ["report"]}));
    assert!(none["given"].as_array().unwrap().iter().all(|given| given["shard"] != 5), "{none}");
    let release = json!([{"duty": "report", "shard": 5, "epoch": of["epoch"]}]);
    ask(&api, json!({"holder": "a#1", "duties": ["report"], "release": release}));
    let got = ask(&api, json!({"holder": "b#1", "duties": ["report"]}));
    let got = got["given"].as_array().unwrap().iter().find(|given| given["shard"] == 5).unwrap().clone();
    assert!(got["epoch"].as_u64() > of["epoch"].as_u64(), "{got}");
    // Both words are in the audit log.
    let audit = operator.get("/v1/audit?limit=1000").body.to_string();
    assert!(audit.contains("duties/report/00005"), "{audit}");
}

#[test]
fn shards_stay_as_many_as_they_are_while_one_is_owned() {
    let file = StoreFile::new();
    let declared = Declared::new(&file, DUTIES);
    let mut control = declared.start(&file);
    let operator = control.operator();
    let api = key(&operator, "/v1/keys", json!({"role": "ingress"}));
    all(&api, "a#1");
    control.kill();
    let other = "[[duty]]\nname = \"second\"\nkind = \"report\"\nlength_ms = 0\n";
    fs::write(&declared.0, DUTIES.replace("shards = 8", "shards = 12") + other).unwrap();
    let control = declared.start(&file);
    let operator = control.api(&operator.key);
    let duties = operator.get("/v1/duties").body;
    let names: Vec<(&str, u64)> = (duties["items"].as_array().unwrap().iter())
        .map(|duty| (duty["name"].as_str().unwrap(), duty["shards"].as_u64().unwrap()))
        .collect();
    assert_eq!(
        names,
        [("report", 8), ("upkeep", 1)],
        "neither the twelve nor the length of nothing is in force"
    );
}

/// How many control planes say that they have the upkeep, and which epoch is the newest.
fn upkeep(operator: &Api) -> Option<(String, u64)> {
    let shard = operator.get("/v1/duties/upkeep/shards/0").body;
    Some((shard["holder"].as_str()?.to_string(), shard["epoch"].as_u64()?))
}

#[test]
fn of_two_control_planes_one_has_the_upkeep_and_the_other_takes_it_over() {
    let file = StoreFile::new();
    let declared = Declared::new(&file, DUTIES);
    let mut first = declared.start(&file);
    let operator = first.operator();
    until("the first has the upkeep", || upkeep(&operator).is_some());
    let (owner, epoch) = upkeep(&operator).unwrap();
    let second = declared.start(&file);
    let operator = second.api(&operator.key);
    assert_eq!(upkeep(&operator), Some((owner.clone(), epoch)), "what is held is not taken");
    first.kill();
    until("the second has it", || upkeep(&operator).is_some_and(|(holder, _)| holder != owner));
    assert!(upkeep(&operator).unwrap().1 > epoch);
    // And does it: a tenant that drains goes.
    tenant(&operator, "acme");
    assert_eq!(operator.force("DELETE", "/v1/tenants/acme", "").status, 202);
    until("the tenant goes", || operator.get("/v1/tenants/acme").status == 404);
}
