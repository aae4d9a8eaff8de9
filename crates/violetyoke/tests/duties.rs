//! Singleton roles at the control plane: grants of leases, rejected requests, and upkeep by one of two control
//! planes with the same store.

#![cfg(test)]

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

const SHARDS: usize = 8;

/// A file of declarations, which is deleted at the end of the test.
struct Declarations(PathBuf);

impl Declarations {
    fn new(file: &StoreFile, text: &str) -> Declarations {
        let path = PathBuf::from(format!("{}.duties", file.0.display()));
        fs::write(&path, text).unwrap();
        Declarations(path)
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

impl Drop for Declarations {
    fn drop(&mut self) {
        fs::remove_file(&self.0).unwrap();
    }
}

/// One request of a holder, which echoes the token of its last response.
fn renew(api: &Api, mut body: Value) -> Value {
    static LAST_TOKENS: Mutex<BTreeMap<String, Value>> = Mutex::new(BTreeMap::new());
    let holder = format!("{} {}", api.address, body["holder"]);
    if let Some(token) = LAST_TOKENS.lock().unwrap().get(&holder) {
        body["echo"] = token.clone();
    }
    let response = api.post("/v1/leases", body);
    assert_eq!(response.status, 200, "{response:?}");
    LAST_TOKENS.lock().unwrap().insert(holder, response.body["token"].clone());
    response.body
}

fn grants(response: &Value) -> &Vec<Value> {
    response["given"].as_array().unwrap()
}

/// The grants of all shards of the report.
fn acquire_all_shards(api: &Api, holder: &str) -> Vec<Value> {
    let mut granted = Vec::new();
    until("all shards are granted", || {
        let response = renew(api, json!({ "holder": holder, "duties": ["report"] }));
        granted.extend(grants(&response).clone());
        granted.len() == SHARDS
    });
    granted
}

fn ingress_key(operator: &Api) -> Api {
    key(operator, "/v1/keys", json!({"role": "ingress"}))
}

#[test]
fn invalid_renew_requests_are_rejected_with_the_field_name() {
    let file = StoreFile::new();
    let declared = Declarations::new(&file, DUTIES);
    let control = declared.start(&file);
    let api = ingress_key(&control.operator());
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
        let response = api.post("/v1/leases", &body);
        assert_eq!(response.status, status, "{body}: {response:?}");
        assert_eq!(response.body["errors"][0]["field"], field, "{body}: {response:?}");
    }
}

#[test]
fn invalid_parts_of_a_renew_request_are_reported_and_the_rest_is_processed() {
    let file = StoreFile::new();
    let declared = Declarations::new(&file, DUTIES);
    let control = declared.start(&file);
    let api = ingress_key(&control.operator());
    let implausible = u64::MAX / 2;
    let mut granted = 0;
    until("the valid part is processed", || {
        let response = renew(
            &api,
            json!({
                "holder": "a", "duties": ["nothing", "report", "upkeep"],
                "renew": [{"duty": "report", "shard": 0, "epoch": implausible}],
            }),
        );
        granted += grants(&response).len();
        let faults = response["faults"].as_array().unwrap();
        let fields: Vec<&str> = faults.iter().map(|fault| fault[0].as_str().unwrap()).collect();
        assert_eq!(fields, ["duties[0]", "duties[2]", "renew[0].epoch"]);
        assert!(
            response["newest"].as_u64().unwrap() < implausible / 2,
            "an implausible epoch is not adopted"
        );
        granted == SHARDS
    });
}

#[test]
fn watermark_is_recorded_by_the_newest_holder_only_and_never_decreases() {
    let file = StoreFile::new();
    let declared = Declarations::new(&file, DUTIES);
    let control = declared.start(&file);
    let operator = control.operator();
    let api = ingress_key(&operator);
    acquire_all_shards(&api, "a");
    let record = |epoch: u64, mark: u64| {
        api.post(
            "/v1/leases/mark",
            json!({"holder": "a", "duty": "report", "shard": 3, "epoch": epoch, "mark": mark}),
        )
    };
    let shard = operator.get("/v1/duties/report/shards/3");
    let epoch = shard.body["epoch"].as_u64().unwrap();
    // Recording a watermark doesn't change what ingresses receive, so it does not increase the revision.
    let announced = || operator.get("/v1/ingresses").body["revision"].clone();
    let before = announced();
    assert_eq!(record(epoch, 7).status, 204);
    assert_eq!(announced(), before);
    assert_eq!(record(epoch, 6).body["errors"][0]["field"], "mark");
    let stale = record(epoch - 1, 9);
    assert_eq!((stale.status, stale.body["newest"].as_u64()), (409, Some(epoch)), "{stale:?}");
}

#[test]
fn unknown_roles_shards_and_processes_are_rejected() {
    let file = StoreFile::new();
    let declared = Declarations::new(&file, DUTIES);
    let control = declared.start(&file);
    let operator = control.operator();
    let api = ingress_key(&operator);
    acquire_all_shards(&api, "a");
    let usage_status = |path: &str| api.get(path).status;
    assert_eq!(
        (usage_status("/v1/use/nothing/0?after=0"), usage_status("/v1/use/report/8?after=0")),
        (404, 422)
    );
    for (path, body, field) in [
        ("/v1/duties/report/shards/8", json!({}), "shard"),
        ("/v1/duties/report/shards/1", json!({"next": "nobody"}), "next"),
    ] {
        let response = operator.call_any_version("PUT", path, body);
        assert_eq!(
            (response.status, response.body["errors"][0]["field"].as_str()),
            (422, Some(field)),
            "{response:?}"
        );
    }
}

#[test]
fn second_of_two_operators_overriding_one_shard_gets_a_conflict() {
    let file = StoreFile::new();
    let declared = Declarations::new(&file, DUTIES);
    let control = declared.start(&file);
    let operator = control.operator();
    let api = ingress_key(&operator);
    let granted = acquire_all_shards(&api, "a#1");
    // A holder becomes a candidate only after it has echoed the token from its first response, so b renews twice.
    renew(&api, json!({"holder": "b#1", "duties": ["report"]}));
    renew(&api, json!({"holder": "b#1", "duties": ["report"]}));
    let path = "/v1/duties/report/shards/5";
    let version = operator.get(path).version.unwrap();
    let prefer = |process: &str| {
        operator
            .call("PUT", path, &json!({"next": process}).to_string(), &format!("If-Match: {version}\r\n"))
            .status
    };
    assert_eq!((prefer("b"), prefer("a")), (200, 412));
    // The owner is asked to hand over, and the other is granted the shard once it is released, under a newer
    // epoch.
    let owned = granted.iter().find(|grant| grant["shard"] == 5).unwrap();
    let renewals = json!([{"duty": "report", "shard": 5, "epoch": owned["epoch"], "acts": 1}]);
    let response = renew(&api, json!({"holder": "a#1", "duties": ["report"], "renew": renewals}));
    assert_eq!(response["given"][0]["hand_over"], true, "{response}");
    let none = renew(&api, json!({"holder": "b#1", "duties": ["report"]}));
    assert!(grants(&none).iter().all(|grant| grant["shard"] != 5), "{none}");
    let release = json!([{"duty": "report", "shard": 5, "epoch": owned["epoch"]}]);
    renew(&api, json!({"holder": "a#1", "duties": ["report"], "release": release}));
    let response = renew(&api, json!({"holder": "b#1", "duties": ["report"]}));
    let gained = grants(&response).iter().find(|grant| grant["shard"] == 5).unwrap();
    assert!(gained["epoch"].as_u64() > owned["epoch"].as_u64(), "{gained}");
    // The override is in the audit log.
    let audit = operator.get("/v1/audit?limit=1000").body.to_string();
    assert!(audit.contains("duties/report/00005"), "{audit}");
}

#[test]
fn number_of_shards_cannot_change_while_one_has_an_owner() {
    let file = StoreFile::new();
    let declared = Declarations::new(&file, DUTIES);
    let mut control = declared.start(&file);
    let operator = control.operator();
    let api = ingress_key(&operator);
    acquire_all_shards(&api, "a#1");
    control.kill();
    let other = "[[duty]]\nname = \"second\"\nkind = \"report\"\nlength_ms = 0\n";
    fs::write(&declared.0, DUTIES.replace("shards = 8", "shards = 12") + other).unwrap();
    let control = declared.start(&file);
    let operator = control.api(&operator.key);
    let roles = operator.get("/v1/duties").body;
    let names: Vec<(&str, u64)> = (roles["items"].as_array().unwrap().iter())
        .map(|role| (role["name"].as_str().unwrap(), role["shards"].as_u64().unwrap()))
        .collect();
    assert_eq!(names, [("report", 8), ("upkeep", 1)], "both invalid changes are ignored");
}

/// The holder of the upkeep's lease, and its epoch.
fn upkeep(operator: &Api) -> Option<(String, u64)> {
    let shard = operator.get("/v1/duties/upkeep/shards/0").body;
    Some((shard["holder"].as_str()?.to_string(), shard["epoch"].as_u64()?))
}

#[test]
fn second_control_plane_takes_over_upkeep_when_the_first_dies() {
    let file = StoreFile::new();
    let declared = Declarations::new(&file, DUTIES);
    let mut first = declared.start(&file);
    let operator = first.operator();
    until("the first has the role of upkeep", || upkeep(&operator).is_some());
    let (owner, epoch) = upkeep(&operator).unwrap();
    let second = declared.start(&file);
    let operator = second.api(&operator.key);
    assert_eq!(upkeep(&operator), Some((owner.clone(), epoch)), "a lease with an owner is not granted");
    first.kill();
    until("the second has the role", || upkeep(&operator).is_some_and(|(holder, _)| holder != owner));
    assert!(upkeep(&operator).unwrap().1 > epoch);
    // The upkeep runs: a drained tenant is deleted.
    tenant(&operator, "acme");
    assert_eq!(operator.call_any_version("DELETE", "/v1/tenants/acme", "").status, 202);
    until("the tenant is deleted", || operator.get("/v1/tenants/acme").status == 404);
}
