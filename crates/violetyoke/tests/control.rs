//! The control plane as a process: its API, who may do what, and what survives its death.

#![cfg(test)]
#![allow(clippy::too_many_lines, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod common;

use common::control::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::thread;

#[test]
fn resources_are_created_read_listed_changed_and_deleted() {
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();
    tenant(&api, "acme");
    let made = api.post("/v1/tenants/acme/plans", PLAN);
    assert_eq!((made.status, made.http.headers["location"].as_str()), (201, "/v1/tenants/acme/plans/basic"));
    let read = api.get("/v1/tenants/acme/plans/basic");
    assert_eq!((read.status, &read.body["burst"], &read.version), (200, &json!(8.0), &made.version));
    // A merge patch changes what it names, a replacement everything.
    let if_match = format!("If-Match: {}\r\n", read.version.unwrap());
    let path = "/v1/tenants/acme/plans/basic";
    let patched = api.call("PATCH", path, r#"{"rate": 3}"#, &if_match);
    assert_eq!(
        (patched.status, &patched.body["rate"], &patched.body["burst"]),
        (200, &json!(3.0), &json!(8.0))
    );
    let if_match = format!("If-Match: {}\r\n", patched.version.unwrap());
    let put = api.call("PUT", path, r#"{"name": "basic", "rate": 1, "burst": 1}"#, &if_match);
    assert_eq!((put.status, &put.body["burst"]), (200, &json!(1.0)));
    // Accounts may have any name, and come in pages.
    for name in ["hotel 7/ü", "b", "a", "c"] {
        let made = api.post("/v1/tenants/acme/accounts", json!({"name": name, "plan": "basic"}));
        // Where it says that it is, it is: a slash of the name's is none of the path's.
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
    // A plan that accounts have stays.
    assert_eq!(api.force("DELETE", path, "").status, 409);
    for name in ["hotel%207%2F%C3%BC", "b", "a", "c"] {
        assert_eq!(api.force("DELETE", &format!("/v1/tenants/acme/accounts/{name}"), "").status, 204);
    }
    assert_eq!(api.force("DELETE", path, "").status, 204);
    assert_eq!(api.get(path).status, 404);
    // Who, when, what before, what after.
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
fn invalid_requests_are_rejected_by_field() {
    let file = StoreFile::new();
    let control = start(&file);
    let api = control.operator();
    tenant(&api, "acme");
    tenant(&api, "other");
    api.make("/v1/tenants/acme/plans", PLAN);
    let route = json!({"name": "all", "host": "acme.example.org", "pool": "reservations"});
    api.make("/v1/tenants/acme/routes", route.clone());
    let with = |change: Value| {
        let mut body = route.clone();
        body.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        body.to_string()
    };
    let acme = "/v1/tenants/acme";
    for (path, body, status, field, word) in [
        ("/v1/tenants", r#"{"name": "x y"}"#.to_string(), 422, "name", "letters"),
        ("/v1/tenants", r#"{"name": "x", "weight": 0}"#.into(), 422, "weight", "1 to 1000"),
        (
            "/v1/tenants",
            r#"{"name": "x", "hosts": ["acme.example.org"]}"#.into(),
            422,
            "hosts[0]",
            "another tenant's",
        ),
        (
            "/v1/tenants",
            r#"{"name": "x", "limits": {"descriptors": {"guaranteed": 5, "most": 3}}}"#.into(),
            422,
            "limits.descriptors.most",
            "below",
        ),
        ("/v1/tenants", r#"{"name": "x", "colour": "red"}"#.into(), 400, "colour", "unknown field"),
        ("/v1/tenants", r#"{"weight": 2}"#.into(), 400, "name", "missing field"),
        ("/v1/tenants", "{".into(), 400, "body", "EOF"),
        (&format!("{acme}/plans"), r#"{"name": "p", "rate": 2}"#.into(), 422, "burst", "1 or more"),
        (&format!("{acme}/plans"), r#"{"name": "p", "rate": -1}"#.into(), 422, "rate", "0 to"),
        (&format!("{acme}/accounts"), r#"{"name": "", "plan": "basic"}"#.into(), 422, "name", "1 to 128"),
        (&format!("{acme}/accounts"), r#"{"name": "a", "plan": "gold"}"#.into(), 422, "plan", "no plan"),
        (
            &format!("{acme}/routes"),
            with(json!({"name": "r", "host": "other.example.org"})),
            422,
            "host",
            "not a host",
        ),
        (&format!("{acme}/routes"), with(json!({"name": "r", "pool": "secret"})), 422, "pool", "not a pool"),
        (&format!("{acme}/routes"), with(json!({"name": "r"})), 422, "path", "same requests"),
        (&format!("{acme}/routes"), with(json!({"name": "r", "path": "no"})), 422, "path", ""),
        (&format!("{acme}/keys"), r#"{"role": "operator"}"#.into(), 422, "role", "tenant_admin"),
        (
            &format!("{acme}/keys"),
            r#"{"role": "tenant_admin", "tenant": "other"}"#.into(),
            422,
            "tenant",
            "path",
        ),
        ("/v1/keys", r#"{"role": "king"}"#.into(), 400, "king", "unknown variant"),
        (
            "/v1/keys",
            r#"{"role": "operator", "expires_in_seconds": 0}"#.into(),
            422,
            "expires_in_seconds",
            "1 to",
        ),
    ] {
        let told = api.post(path, &body);
        assert_eq!(told.status, status, "{body}: {told:?}");
        assert_eq!(told.http.headers["content-type"], "application/problem+json");
        let error = &told.body["errors"][0];
        assert_eq!(error["field"], field, "{body}: {told:?}");
        assert!(error["reason"].as_str().unwrap().contains(word), "{body}: {told:?}");
        assert_eq!(told.body["status"], status);
    }
    // Nothing came of any of them.
    assert_eq!(api.get("/v1/tenants").body["items"].as_array().unwrap().len(), 2);
    assert_eq!(api.get("/v1/tenants/acme/accounts").body["items"], json!([]));
    // What a route needs can't be taken from its tenant.
    let told = api.force("PATCH", acme, r#"{"pools": []}"#);
    assert_eq!((told.status, &told.body["errors"][0]["field"]), (422, &json!("pools")), "{told:?}");
    for (method, path, status) in
        [("GET", "/v1/nothing", 404), ("PUT", "/v1/tenants", 405), ("GET", "/v1/tenants?limit=0", 422)]
    {
        let told = api.call(method, path, "", "");
        assert_eq!((told.status, &told.body["status"]), (status, &json!(status)));
    }
    let large = format!("{{\"name\": \"{}\"}}", "x".repeat(2 << 20));
    assert!(api.try_call("POST", "/v1/tenants", &large, "").is_none_or(|told| told.status == 413));
}

#[test]
fn concurrent_administrators_get_a_conflict_and_lose_no_change() {
    let file = StoreFile::new();
    let first = start(&file);
    let second = start(&file);
    let api = first.operator();
    tenant(&api, "acme");
    let path = "/v1/tenants/acme";
    // Without the version that was read nothing is changed.
    assert_eq!(api.call("PATCH", path, r#"{"weight": 3}"#, "").status, 428);
    let version = api.get(path).version.unwrap();
    let if_match = format!("If-Match: {version}\r\n");
    assert_eq!(api.call("PATCH", path, r#"{"weight": 3}"#, &if_match).status, 200);
    let late = api.call("PATCH", path, r#"{"weight": 4}"#, &if_match);
    let now = api.get(path).version.unwrap();
    assert_eq!((late.status, late.version.as_deref()), (412, Some(now.as_str())));
    assert_eq!(format!("\"{}\"", late.body["current_version"]), now);
    // 100 rounds of two, each through a process of its own: every one of them adds its pool once.
    let apis = [api.clone(), second.api(&api.key)];
    let conflicts: u32 = thread::scope(|scope| {
        let people: Vec<_> = apis
            .iter()
            .enumerate()
            .map(|(person, api)| {
                scope.spawn(move || {
                    let mut conflicts = 0;
                    for round in 0..100 {
                        loop {
                            let read = api.get(path);
                            let mut pools = read.body["pools"].as_array().unwrap().clone();
                            pools.push(json!(format!("p{person}-{round}")));
                            let body = json!({ "pools": pools }).to_string();
                            let if_match = format!("If-Match: {}\r\n", read.version.unwrap());
                            match api.call("PATCH", path, &body, &if_match).status {
                                200 => break,
                                412 => conflicts += 1,
                                other => panic!("{other}"),
                            }
                        }
                    }
                    conflicts
                })
            })
            .collect();
        people.into_iter().map(|person| person.join().unwrap()).sum()
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
