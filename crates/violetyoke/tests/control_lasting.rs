//! What outlives a tenant, a process, and a change.

#![cfg(test)]
#![allow(clippy::too_many_lines, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod common;

use common::control::*;
use common::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn deleted_tenant_drains_can_be_restored_and_leaves_nothing_to_its_successor() {
    let file = StoreFile::new();
    let control = Control::start(&file, &[FREE, &["--drain-ms", "1500"]].concat());
    let api = control.operator();
    tenant(&api, "acme");
    tenant(&api, "acme-2");
    api.make("/v1/tenants/acme/plans", PLAN);
    api.make("/v1/tenants/acme/accounts", json!({"name": "h", "plan": "basic"}));
    let admin = key(&api, "/v1/tenants/acme/keys", json!({"role": "tenant_admin", "tenant": "acme"}));
    let path = "/v1/tenants/acme";
    let before = api.get(path);
    let drained = api.force("DELETE", path, "");
    assert_eq!((drained.status, &drained.body["state"]), (202, &json!("draining")));
    assert_eq!(api.force("DELETE", path, "").status, 409);
    // Nothing of it changes meanwhile, and it can be taken back.
    assert_eq!(admin.post("/v1/tenants/acme/plans", r#"{"name": "p", "rate": 0}"#).status, 409);
    let restored = api.force("POST", "/v1/tenants/acme/restore", "");
    assert_eq!(
        (restored.status, &restored.body["state"], &restored.body["epoch"]),
        (200, &json!("active"), &before.body["epoch"])
    );
    assert_eq!(admin.post("/v1/tenants/acme/plans", r#"{"name": "p", "rate": 0}"#).status, 201);
    // Again, and watched until it is gone.
    let drained = api.force("DELETE", path, "");
    let more = format!("If-None-Match: {}\r\nPrefer: wait=30\r\n", drained.version.unwrap());
    let began = Instant::now();
    let gone = api.call("GET", path, "", &more);
    assert_eq!(gone.status, 404);
    assert!(began.elapsed() < Duration::from_secs(15));
    assert_eq!((api.get("/v1/tenants/acme/plans").status, admin.get(path).status), (404, 401));
    assert_eq!(api.force("POST", "/v1/tenants/acme/restore", "").status, 404);
    // Its host is free, and one made anew has nothing of the old one's.
    tenant(&api, "acme");
    let anew = api.get(path);
    assert!(anew.body["epoch"].as_u64() > before.body["epoch"].as_u64());
    for kind in ["plans", "accounts", "routes", "keys"] {
        assert_eq!(api.get(&format!("/v1/tenants/acme/{kind}")).body["items"], json!([]));
    }
    assert_eq!(admin.get(path).status, 401);
    assert_eq!(api.get("/v1/tenants/acme-2").status, 200);
}

#[test]
fn acknowledged_changes_survive_kills_at_any_point() {
    let file = StoreFile::new();
    let mut control = start(&file);
    let key = control.key.clone().unwrap();
    tenant(&control.operator(), "acme");
    control.operator().make("/v1/tenants/acme/plans", PLAN);
    let mut acknowledged: BTreeMap<String, f64> = BTreeMap::new();
    // Of a change that was not answered nobody knows whether it was done: both are right.
    let mut unsure: BTreeMap<String, f64> = BTreeMap::new();
    let mut random: u64 = 11;
    let mut changes = 0;
    while changes < 200 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let pause = Duration::from_micros((random >> 33) % 40_000);
        let api = control.api(&key);
        let mut child = std::mem::replace(&mut control.child, Command::new("true").spawn().unwrap());
        let killer = thread::spawn(move || {
            thread::sleep(pause);
            child.kill().unwrap();
            child.wait().unwrap();
        });
        // Changes one after another until it is dead.
        loop {
            let (name, rate) = (format!("p{}", changes % 7), f64::from(changes + 1));
            let body = json!({"name": name, "rate": rate, "burst": rate});
            let known = acknowledged.contains_key(&name) || unsure.contains_key(&name);
            let path = "/v1/tenants/acme/plans";
            changes += 1;
            let told = match known {
                false => api.try_call("POST", path, &body.to_string(), ""),
                true => api.try_call("PUT", &format!("{path}/{name}"), &body.to_string(), "If-Match: *\r\n"),
            };
            match told.map(|told| told.status) {
                Some(200 | 201) => {
                    unsure.remove(&name);
                    acknowledged.insert(name, rate);
                }
                // It was not there after all: its creation had not been done.
                Some(404) if unsure.contains_key(&name) && !acknowledged.contains_key(&name) => {
                    unsure.remove(&name);
                }
                Some(other) => panic!("{other}"),
                None => {
                    unsure.insert(name, rate);
                    break;
                }
            }
        }
        killer.join().unwrap();
        control = start(&file);
        let api = control.api(&key);
        let list = api.get("/v1/tenants/acme/plans?limit=1000").body;
        let plans: BTreeMap<&str, &Value> = list["items"]
            .as_array()
            .unwrap()
            .iter()
            .map(|plan| (plan["name"].as_str().unwrap(), plan))
            .collect();
        for (name, rate) in &acknowledged {
            let now = plans[name.as_str()]["rate"].as_f64().unwrap();
            assert!(now == *rate || unsure.get(name) == Some(&now), "{name}: {now}, acknowledged {rate}");
        }
        // No half change, and the audit log tells the same.
        let mut told: BTreeMap<String, Value> = BTreeMap::new();
        let mut after = 0;
        loop {
            let page = api.get(&format!("/v1/tenants/acme/audit?limit=1000&after={after}")).body;
            for entry in page["items"].as_array().unwrap() {
                let path = entry["path"].as_str().unwrap().to_string();
                assert_eq!(told.get(&path).unwrap_or(&Value::Null), &entry["before"], "{path}");
                told.insert(path, entry["after"].clone());
            }
            match page["next"].as_u64() {
                Some(next) => after = next,
                None => break,
            }
        }
        for (name, plan) in &plans {
            assert_eq!(
                plan["rate"],
                plan["burst"].as_f64().filter(|_| *name != "basic").map_or(json!(2.0), |rate| json!(rate))
            );
            let mut audited = told[&format!("tenants/acme/plans/{name}")].clone();
            audited["version"] = plan["version"].clone();
            assert_eq!(&&audited, plan);
        }
        // What is there now is what the next round begins with.
        for (name, rate) in std::mem::take(&mut unsure) {
            match plans.get(name.as_str()).and_then(|plan| plan["rate"].as_f64()) {
                Some(now) => {
                    assert!(now == rate || acknowledged.get(&name) == Some(&now));
                    acknowledged.insert(name, now);
                }
                None => assert!(!acknowledged.contains_key(&name)),
            }
        }
    }
}

#[test]
fn ingresses_get_full_and_incremental_snapshots_as_the_store_changes() {
    use violetyoke_tenants::snapshot::{Held, Snapshot};
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();
    let ingress = key(&api, "/v1/keys", json!({"role": "ingress"}));
    tenant(&api, "acme");
    api.make("/v1/tenants/acme/plans", PLAN);
    api.make("/v1/tenants/acme/accounts", json!({"name": "h", "plan": "basic"}));
    tenant(&api, "other");
    let take = |held: &Held, told: &Told| held.take(Snapshot::read(&told.http.body).unwrap()).unwrap();
    let held = take(&Held::default(), &ingress.get("/v1/snapshot?ingress=i1"));
    assert_eq!(held.tenants.keys().collect::<Vec<_>>(), ["acme", "other"]);
    assert_eq!(held.tenants["acme"].accounts[0].name, "h");
    // Nothing new: it waits, and what comes then is only what has changed.
    let path = format!("/v1/snapshot?held={}&ingress=i1", held.revision);
    assert_eq!(ingress.get(&path).status, 304);
    let waiting = ingress.clone();
    let wait = thread::spawn(move || waiting.call("GET", &path, "", "Prefer: wait=20\r\n"));
    until("it waits", || api.get("/v1/ingresses").body["items"]["i1"]["held"] == held.revision);
    api.force("PATCH", "/v1/tenants/acme/plans/basic", r#"{"rate": 5}"#);
    let part = wait.join().unwrap();
    assert_eq!(part.body["base"], held.revision);
    let held = take(&held, &part);
    assert_eq!(part.body["tenants"].as_array().unwrap().len(), 1);
    assert_eq!(held.tenants["acme"].plans[0].rate, 5.0);
    // Draining is told, and that a tenant is gone.
    api.force("DELETE", "/v1/tenants/other", "");
    let held = take(&held, &ingress.get(&format!("/v1/snapshot?held={}", held.revision)));
    assert!(held.tenants["other"].draining && !held.tenants["acme"].draining);
    // One that holds what is newer than the store (an old store was put back) gets all, and refuses it.
    let whole = ingress.get("/v1/snapshot?held=999999");
    assert!(Held { revision: 999_999, ..Held::default() }
        .take(Snapshot::read(&whole.http.body).unwrap())
        .is_err());
    // What it refused, and why, is told to operators.
    ingress.get("/v1/snapshot?held=3&ingress=i2&rejected=9&reason=no%20such%20pool");
    let state = &api.get("/v1/ingresses").body["items"]["i2"];
    assert_eq!((&state["rejected"], &state["reason"]), (&json!(9), &json!("no such pool")));
}
