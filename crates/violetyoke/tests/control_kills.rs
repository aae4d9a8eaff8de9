//! What the control plane has acknowledged outlives its process.

#![cfg(test)]

mod common;

use common::control::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::process::Command;
use std::thread;
use std::time::Duration;

const PLANS: &str = "/v1/tenants/acme/plans";

/// The rates of plans as a client knows them.
#[derive(Default)]
struct KnownRates {
    acknowledged: BTreeMap<String, f64>,
    /// Of changes without a response, which may have been done or not.
    unsure: BTreeMap<String, f64>,
    changes: u32,
}

impl KnownRates {
    /// Changes plans one after another until the control plane gives no response.
    fn change_until_killed(&mut self, api: &Api) {
        loop {
            let (name, rate) = (format!("p{}", self.changes % 7), f64::from(self.changes + 1));
            let body = json!({"name": name, "rate": rate, "burst": rate}).to_string();
            let may_exist = self.acknowledged.contains_key(&name) || self.unsure.contains_key(&name);
            self.changes += 1;
            let told = if may_exist {
                api.try_call("PUT", &format!("{PLANS}/{name}"), &body, "If-Match: *\r\n")
            } else {
                api.try_call("POST", PLANS, &body, "")
            };
            match told.map(|told| told.status) {
                Some(200 | 201) => {
                    self.unsure.remove(&name);
                    self.acknowledged.insert(name, rate);
                }
                // Its creation had not been done.
                Some(404) if self.unsure.contains_key(&name) && !self.acknowledged.contains_key(&name) => {
                    self.unsure.remove(&name);
                }
                Some(other) => panic!("{other}"),
                None => {
                    self.unsure.insert(name, rate);
                    return;
                }
            }
        }
    }

    /// Checks that no acknowledged change was lost.
    fn assert_kept(&self, plans: &BTreeMap<String, Value>) {
        for (name, rate) in &self.acknowledged {
            let now = plans[name]["rate"].as_f64().unwrap();
            let may_be = now == *rate || self.unsure.get(name) == Some(&now);
            assert!(may_be, "{name}: {now}, acknowledged {rate}");
        }
    }

    /// Takes over what became of the changes without a response.
    fn learn(&mut self, plans: &BTreeMap<String, Value>) {
        for (name, rate) in std::mem::take(&mut self.unsure) {
            match plans.get(&name).and_then(|plan| plan["rate"].as_f64()) {
                Some(now) => {
                    assert!(now == rate || self.acknowledged.get(&name) == Some(&now));
                    self.acknowledged.insert(name, now);
                }
                None => assert!(!self.acknowledged.contains_key(&name)),
            }
        }
    }
}

fn plans(api: &Api) -> BTreeMap<String, Value> {
    let list = api.get("/v1/tenants/acme/plans?limit=1000").body;
    let items = list["items"].as_array().unwrap();
    items.iter().map(|plan| (plan["name"].as_str().unwrap().to_string(), plan.clone())).collect()
}

/// The documents that the audit log leads to. Each entry starts with what the one before it has left.
fn audited_documents(api: &Api) -> BTreeMap<String, Value> {
    let mut documents: BTreeMap<String, Value> = BTreeMap::new();
    let mut after = 0;
    loop {
        let page = api.get(&format!("/v1/tenants/acme/audit?limit=1000&after={after}")).body;
        for entry in page["items"].as_array().unwrap() {
            let path = entry["path"].as_str().unwrap().to_string();
            assert_eq!(documents.get(&path).unwrap_or(&Value::Null), &entry["before"], "{path}");
            documents.insert(path, entry["after"].clone());
        }
        match page["next"].as_u64() {
            Some(next) => after = next,
            None => return documents,
        }
    }
}

/// Checks that no change was done in part, and that the audit log agrees.
fn assert_consistent(plans: &BTreeMap<String, Value>, audited: &BTreeMap<String, Value>) {
    for (name, plan) in plans {
        let rate = plan["burst"].as_f64().filter(|_| name != "basic").unwrap_or(2.0);
        assert_eq!(plan["rate"], json!(rate));
        let mut document = audited[&format!("tenants/acme/plans/{name}")].clone();
        document["version"] = plan["version"].clone();
        assert_eq!(document, *plan);
    }
}

#[test]
fn acknowledged_changes_survive_kills_at_any_point() {
    let file = StoreFile::new();
    let mut control = start(&file);
    let key = control.key.clone().unwrap();
    tenant(&control.operator(), "acme");
    control.operator().create(PLANS, PLAN);
    let mut known = KnownRates::default();
    let mut random: u64 = 11;
    while known.changes < 200 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let pause = Duration::from_micros((random >> 33) % 40_000);
        let api = control.api(&key);
        let mut child = std::mem::replace(&mut control.child, Command::new("true").spawn().unwrap());
        let killer = thread::spawn(move || {
            thread::sleep(pause);
            child.kill().unwrap();
            child.wait().unwrap();
        });
        known.change_until_killed(&api);
        killer.join().unwrap();
        control = start(&file);
        let api = control.api(&key);
        let plans = plans(&api);
        known.assert_kept(&plans);
        assert_consistent(&plans, &audited_documents(&api));
        known.learn(&plans);
    }
}
