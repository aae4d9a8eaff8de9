//! The API of the control plane as a process: resources, concurrent changes and repeated creations.

#![cfg(test)]

mod common;

use common::control::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::thread;

const PLAN_PATH: &str = "/v1/tenants/acme/plans/basic";

/// A control plane with tenant `acme`, which has a plan.
fn start_with_plan(file: &StoreFile) -> Control {
    let control = start(file);
    let api = control.operator();
    tenant(&api, "acme");
    api.create("/v1/tenants/acme/plans", PLAN);
    control
}

fn if_match(version: &str) -> String {
    format!("If-Match: {version}\r\n")
}

#[test]
fn resource_is_created_read_patched_and_replaced() {
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();
    tenant(&api, "acme");

    let made = api.post("/v1/tenants/acme/plans", PLAN);
    assert_eq!((made.status, made.http.headers["location"].as_str()), (201, PLAN_PATH));
    let read = api.get(PLAN_PATH);
    assert_eq!((read.status, &read.body["burst"], &read.version), (200, &json!(8.0), &made.version));
    // A merge patch changes what it names, a replacement everything.
    let patched = api.call("PATCH", PLAN_PATH, r#"{"rate": 3}"#, &if_match(&read.version.unwrap()));
    assert_eq!(
        (patched.status, &patched.body["rate"], &patched.body["burst"]),
        (200, &json!(3.0), &json!(8.0))
    );
    let body = r#"{"name": "basic", "rate": 1, "burst": 1}"#;
    let put = api.call("PUT", PLAN_PATH, body, &if_match(&patched.version.unwrap()));
    assert_eq!((put.status, &put.body["burst"]), (200, &json!(1.0)));
}

#[test]
fn accounts_may_have_any_name_and_are_listed_in_pages() {
    let file = StoreFile::new();
    let control = start_with_plan(&file);
    let api = control.operator();

    for name in ["hotel 7/ü", "b", "a", "c"] {
        let made = api.post("/v1/tenants/acme/accounts", json!({"name": name, "plan": "basic"}));
        // It is at its location: a slash in its name is not one of the path.
        assert_eq!(api.get(&made.http.headers["location"]).body["name"], name);
    }
    let read = api.get("/v1/tenants/acme/accounts/hotel%207%2F%C3%BC");
    assert_eq!((read.status, read.body["name"].as_str()), (200, Some("hotel 7/ü")));
    let first = api.get("/v1/tenants/acme/accounts?limit=3").body;
    let names = |page: &Value| -> Vec<String> {
        page["items"].as_array().unwrap().iter().map(|item| item["name"].as_str().unwrap().into()).collect()
    };
    assert_eq!(
        (names(&first), first["next"].as_str()),
        (vec!["a".into(), "b".into(), "c".into()], Some("c"))
    );
    let second = api.get("/v1/tenants/acme/accounts?limit=3&after=c").body;
    assert_eq!((names(&second), &second["next"]), (vec!["hotel 7/ü".into()], &Value::Null));
}

#[test]
fn plan_is_deleted_only_when_no_account_has_it() {
    let file = StoreFile::new();
    let control = start_with_plan(&file);
    let api = control.operator();
    for name in ["hotel 7/ü", "b", "a", "c"] {
        api.create("/v1/tenants/acme/accounts", json!({"name": name, "plan": "basic"}));
    }

    assert_eq!(api.call_any_version("DELETE", PLAN_PATH, "").status, 409);
    for name in ["hotel%207%2F%C3%BC", "b", "a", "c"] {
        assert_eq!(
            api.call_any_version("DELETE", &format!("/v1/tenants/acme/accounts/{name}"), "").status,
            204
        );
    }
    assert_eq!(api.call_any_version("DELETE", PLAN_PATH, "").status, 204);
    assert_eq!(api.get(PLAN_PATH).status, 404);
}

#[test]
fn audit_log_has_each_change_with_its_author_and_time() {
    let file = StoreFile::new();
    let control = start_with_plan(&file);
    let api = control.operator();
    assert_eq!(api.call_any_version("PATCH", PLAN_PATH, r#"{"rate": 3}"#).status, 200);
    assert_eq!(
        api.call_any_version("PUT", PLAN_PATH, r#"{"name": "basic", "rate": 1, "burst": 1}"#).status,
        200
    );
    assert_eq!(api.call_any_version("DELETE", PLAN_PATH, "").status, 204);

    let audit = api.get("/v1/tenants/acme/audit").body;

    let entries = audit["items"].as_array().unwrap();
    let rates: Vec<_> = entries
        .iter()
        .filter(|entry| entry["path"] == "tenants/acme/plans/basic")
        .map(|entry| (entry["before"]["rate"].as_f64(), entry["after"]["rate"].as_f64()))
        .collect();
    let expected = [(None, Some(2.0)), (Some(2.0), Some(3.0)), (Some(3.0), Some(1.0)), (Some(1.0), None)];
    assert_eq!(rates, expected);
    assert!(entries.iter().all(|entry| entry["who"] == api.key[3..19] && entry["at"].as_u64() > Some(0)));
}

#[test]
fn change_needs_the_version_that_was_read_and_a_stale_one_is_rejected() {
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();
    tenant(&api, "acme");
    let path = "/v1/tenants/acme";

    assert_eq!(api.call("PATCH", path, r#"{"weight": 3}"#, "").status, 428);
    let read = if_match(&api.get(path).version.unwrap());
    assert_eq!(api.call("PATCH", path, r#"{"weight": 3}"#, &read).status, 200);
    let late = api.call("PATCH", path, r#"{"weight": 4}"#, &read);
    let now = api.get(path).version.unwrap();
    assert_eq!((late.status, late.version.as_deref()), (412, Some(now.as_str())));
    assert_eq!(format!("\"{}\"", late.body["current_version"]), now);
}

/// Adds a pool to the tenant, again after each conflict; returns how many there were.
fn add_pool(api: &Api, path: &str, pool: &str) -> u32 {
    let mut conflicts = 0;
    loop {
        let read = api.get(path);
        let mut pools = read.body["pools"].as_array().unwrap().clone();
        pools.push(json!(pool));
        let body = json!({ "pools": pools }).to_string();
        match api.call("PATCH", path, &body, &if_match(&read.version.unwrap())).status {
            200 => return conflicts,
            412 => conflicts += 1,
            other => panic!("{other}"),
        }
    }
}

#[test]
fn concurrent_changes_through_two_control_planes_lose_no_update() {
    let file = StoreFile::new();
    let first = start(&file);
    let second = start(&file);
    let api = first.operator();
    tenant(&api, "acme");
    let path = "/v1/tenants/acme";

    let apis = [api.clone(), second.api(&api.key)];
    let conflicts: u32 = thread::scope(|scope| {
        let administrators: Vec<_> = (apis.iter().enumerate())
            .map(|(number, api)| {
                scope.spawn(move || {
                    (0..100).map(|round| add_pool(api, path, &format!("p{number}-{round}"))).sum::<u32>()
                })
            })
            .collect();
        administrators.into_iter().map(|administrator| administrator.join().unwrap()).sum()
    });

    let pools = api.get(path).body["pools"].as_array().unwrap().clone();
    let distinct: BTreeSet<_> = pools.iter().map(Value::to_string).collect();
    assert_eq!((pools.len(), distinct.len()), (201, 201), "{conflicts} conflicts");
}

#[test]
fn repeated_creation_with_one_idempotency_key_creates_once() {
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();
    let again =
        |body: &str, key: &str| api.call("POST", "/v1/tenants", body, &format!("Idempotency-Key: {key}\r\n"));
    let first = again(r#"{"name": "acme"}"#, "k1");
    let second = again(r#"{"name": "acme"}"#, "k1");
    assert_eq!((first.status, second.status, &first.body), (201, 201, &second.body));
    assert_eq!(
        (&first.version, &first.http.headers["location"]),
        (&second.version, &second.http.headers["location"])
    );
    assert_eq!(again(r#"{"name": "other"}"#, "k1").status, 422);
    assert_eq!(again(r#"{"name": "acme"}"#, "k2").status, 409);
    let audit = api.get("/v1/audit").body;
    assert_eq!(audit["items"].as_array().unwrap().len(), 2, "{audit}");
    // Of a key that is made, the secret is in the first answer only.
    let key = |body: &str| api.call("POST", "/v1/keys", body, "Idempotency-Key: k3\r\n").body;
    let (first, second) = (key(r#"{"role": "ingress"}"#), key(r#"{"role": "ingress"}"#));
    assert!(first["key"].is_string() && second["key"].is_null() && first["id"] == second["id"]);
    // A creation that failed is not kept: sent again when it can be done, it is.
    let plan = |tenant: &str| {
        api.call("POST", &format!("/v1/tenants/{tenant}/plans"), PLAN, "Idempotency-Key: k4\r\n").status
    };
    assert_eq!(plan("late"), 404);
    tenant(&api, "late");
    assert_eq!(plan("late"), 201);
}
