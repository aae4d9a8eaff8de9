//! Who may do what at the administration API, and how often.

#![cfg(test)]

mod common;

use common::control::*;
use common::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::thread;
use violetyoke_control::api::{Access, ENDPOINTS};

/// What a key of each kind gets of each endpoint: the operator's, an ingress's, a reader's and an administrator's of
/// the tenant in the path, and an administrator's of another. 2: it may; else the code that says that it may not.
const MAY: &[(&str, [u16; 5])] = &[
    ("GET /v1/openapi.json", [2, 2, 2, 2, 2]),
    ("GET /v1/health", [2, 2, 2, 2, 2]),
    ("GET /v1/tenants", [2, 403, 403, 403, 403]),
    ("POST /v1/tenants", [2, 403, 403, 403, 403]),
    ("GET /v1/tenants/{tenant}", [2, 403, 2, 2, 404]),
    ("PUT /v1/tenants/{tenant}", [2, 403, 403, 403, 403]),
    ("PATCH /v1/tenants/{tenant}", [2, 403, 403, 403, 403]),
    ("DELETE /v1/tenants/{tenant}", [2, 403, 403, 403, 403]),
    ("POST /v1/tenants/{tenant}/restore", [2, 403, 403, 403, 403]),
    ("GET /v1/tenants/{tenant}/plans", [2, 403, 2, 2, 404]),
    ("POST /v1/tenants/{tenant}/plans", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/plans/{name}", [2, 403, 2, 2, 404]),
    ("PUT /v1/tenants/{tenant}/plans/{name}", [2, 403, 403, 2, 404]),
    ("PATCH /v1/tenants/{tenant}/plans/{name}", [2, 403, 403, 2, 404]),
    ("DELETE /v1/tenants/{tenant}/plans/{name}", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/accounts", [2, 403, 2, 2, 404]),
    ("POST /v1/tenants/{tenant}/accounts", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/accounts/{name}", [2, 403, 2, 2, 404]),
    ("PUT /v1/tenants/{tenant}/accounts/{name}", [2, 403, 403, 2, 404]),
    ("PATCH /v1/tenants/{tenant}/accounts/{name}", [2, 403, 403, 2, 404]),
    ("DELETE /v1/tenants/{tenant}/accounts/{name}", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/routes", [2, 403, 2, 2, 404]),
    ("POST /v1/tenants/{tenant}/routes", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/routes/{name}", [2, 403, 2, 2, 404]),
    ("PUT /v1/tenants/{tenant}/routes/{name}", [2, 403, 403, 2, 404]),
    ("PATCH /v1/tenants/{tenant}/routes/{name}", [2, 403, 403, 2, 404]),
    ("DELETE /v1/tenants/{tenant}/routes/{name}", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/keys", [2, 403, 403, 2, 404]),
    ("POST /v1/tenants/{tenant}/keys", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/keys/{key}", [2, 403, 403, 2, 404]),
    ("POST /v1/tenants/{tenant}/keys/{key}/rotate", [2, 403, 403, 2, 404]),
    ("DELETE /v1/tenants/{tenant}/keys/{key}", [2, 403, 403, 2, 404]),
    ("GET /v1/tenants/{tenant}/audit", [2, 403, 2, 2, 404]),
    ("GET /v1/keys", [2, 403, 403, 403, 403]),
    ("POST /v1/keys", [2, 403, 403, 403, 403]),
    ("GET /v1/keys/{key}", [2, 403, 403, 403, 403]),
    ("POST /v1/keys/{key}/rotate", [2, 403, 403, 403, 403]),
    ("DELETE /v1/keys/{key}", [2, 403, 403, 403, 403]),
    ("GET /v1/audit", [2, 403, 403, 403, 403]),
    ("GET /v1/snapshot", [2, 2, 403, 403, 403]),
    ("GET /v1/ingresses", [2, 403, 403, 403, 403]),
    ("POST /v1/leases", [2, 2, 403, 403, 403]),
    ("GET /v1/leases", [2, 2, 403, 403, 403]),
    ("POST /v1/leases/mark", [2, 2, 403, 403, 403]),
    ("POST /v1/use", [2, 2, 403, 403, 403]),
    ("GET /v1/use/{duty}/{shard}", [2, 2, 403, 403, 403]),
    ("GET /v1/findings/{duty}", [2, 2, 403, 403, 403]),
    ("PUT /v1/findings/{duty}/{shard}", [2, 2, 403, 403, 403]),
    ("GET /v1/duties", [2, 403, 403, 403, 403]),
    ("GET /v1/duties/{duty}", [2, 2, 403, 403, 403]),
    ("GET /v1/duties/{duty}/shards", [2, 403, 403, 403, 403]),
    ("GET /v1/duties/{duty}/shards/{shard}", [2, 403, 403, 403, 403]),
    ("PUT /v1/duties/{duty}/shards/{shard}", [2, 403, 403, 403, 403]),
];

#[test]
fn every_endpoint_admits_exactly_the_roles_of_the_table() {
    let there: BTreeSet<String> =
        ENDPOINTS.iter().map(|endpoint| format!("{} {}", endpoint.method, endpoint.path)).collect();
    let expected: BTreeMap<String, [u16; 5]> =
        MAY.iter().map(|(name, may)| (name.to_string(), *may)).collect();
    assert_eq!(there, expected.keys().cloned().collect(), "each endpoint has to stand in the table");
    let file = StoreFile::new();
    let control = start(&file);
    let operator = control.operator();
    for name in ["acme", "other"] {
        tenant(&operator, name);
        operator.create(&format!("/v1/tenants/{name}/plans"), PLAN);
    }
    let keys = |tenant: &str| format!("/v1/tenants/{tenant}/keys");
    let callers = [
        operator.clone(),
        key(&operator, "/v1/keys", json!({"role": "ingress"})),
        key(&operator, &keys("acme"), json!({"role": "tenant_reader", "tenant": "acme"})),
        key(&operator, &keys("acme"), json!({"role": "tenant_admin", "tenant": "acme"})),
        key(&operator, &keys("other"), json!({"role": "tenant_admin", "tenant": "other"})),
    ];
    for endpoint in ENDPOINTS {
        let name = format!("{} {}", endpoint.method, endpoint.path);
        // Of a thing that is not there: whoever may call it is told so, or that the body is none, and nothing changes.
        let path =
            endpoint.path.replace("{tenant}", "acme").replace("{name}", "none").replace("{key}", "none");
        let body = if endpoint.request_schema.is_some() { "[]" } else { "" };
        for (caller, may) in callers.iter().zip(expected[&name]) {
            let told = caller.call(endpoint.method, &path, body, "If-Match: \"1\"\r\n");
            match may {
                2 => assert!(![401, 403, 429, 500].contains(&told.status), "{name}: {told:?}"),
                code => assert_eq!(told.status, code, "{name}: {told:?}"),
            }
            // Another tenant's answer is that of a tenant that is not there.
            if may == 404 && endpoint.path.contains("{tenant}") {
                let absent = caller.call(
                    endpoint.method,
                    &path.replace("acme", "absent"),
                    body,
                    "If-Match: \"1\"\r\n",
                );
                assert_eq!((absent.status, absent.body), (told.status, told.body), "{name}");
            }
        }
        // Without a key, and with one that is not ours.
        for nobody in
            ["", "vy_0000000000000000_0000000000000000000000000000000000000000000000000000000000000000"]
        {
            let told = control.api(nobody).call(endpoint.method, &path, body, "");
            let expected = if endpoint.access == Access::Public { 200 } else { 401 };
            assert_eq!(told.status, expected, "{name}: {told:?}");
        }
    }
    // A key is not reached through another tenant's path either.
    let id = callers[3].key[3..19].to_string();
    assert_eq!(callers[4].get(&format!("/v1/tenants/other/keys/{id}")).status, 404);
    assert_eq!(operator.get(&format!("/v1/keys/{id}")).status, 404);
    assert_eq!(operator.get(&format!("/v1/tenants/acme/keys/{id}")).status, 200);
}

#[test]
fn keys_expire_rotate_and_are_withdrawn_on_open_connections() {
    let file = StoreFile::new();
    let control = start(&file);
    let operator = control.operator();
    tenant(&operator, "acme");
    let admin = key(
        &operator,
        "/v1/tenants/acme/keys",
        json!({"role": "tenant_admin", "tenant": "acme", "label": "x"}),
    );
    let id = admin.key[3..19].to_string();
    let path = "/v1/tenants/acme/plans";
    // One connection from the beginning to the end.
    let mut open = Client::try_open(control.address).unwrap();
    let mut status = |key: &Api| open.call(key.request("GET", path, "", "")).status();
    assert_eq!(status(&admin), 200);
    let rotated =
        operator.post(&format!("/v1/tenants/acme/keys/{id}/rotate"), json!({"overlap_seconds": 3600}));
    let new = Api { key: rotated.body["key"].as_str().unwrap().into(), ..admin.clone() };
    assert_eq!((status(&admin), status(&new)), (200, 200));
    let rotated = operator.post(&format!("/v1/tenants/acme/keys/{}/rotate", &new.key[3..19]), json!({}));
    let newest = Api { key: rotated.body["key"].as_str().unwrap().into(), ..admin.clone() };
    assert_eq!((status(&admin), status(&new), status(&newest)), (200, 401, 200));
    assert_eq!(operator.call_any_version("DELETE", &format!("/v1/tenants/acme/keys/{id}"), "").status, 204);
    assert_eq!((status(&admin), status(&newest)), (401, 200));
    // Secrets and hashes are shown nowhere.
    let shown =
        format!("{:?}{:?}", operator.get("/v1/tenants/acme/keys"), operator.get("/v1/audit?limit=1000"));
    assert!(!shown.contains(&newest.key[20..]) && !shown.contains("hash"), "{shown}");
    // One that is good for some seconds is not after that. How many it takes to be seen good before turns on how busy
    // this machine is.
    let brief = [1, 2, 4, 8, 16].into_iter().find_map(|seconds| {
        let brief = key(&operator, "/v1/keys", json!({"role": "operator", "expires_in_seconds": seconds}));
        (brief.get("/v1/tenants").status == 200).then_some(brief)
    });
    let brief = brief.expect("none was ever good");
    until("it has expired", || brief.get("/v1/tenants").status == 401);
    // Who waits for something new when its key is withdrawn is not answered with it.
    let ingress = key(&operator, "/v1/keys", json!({"role": "ingress"}));
    let held = ingress.get("/v1/snapshot").body["revision"].as_u64().unwrap();
    let waiting = ingress.clone();
    let wait = thread::spawn(move || {
        waiting.call("GET", &format!("/v1/snapshot?held={held}&ingress=i1"), "", "Prefer: wait=10\r\n").status
    });
    until("it waits", || operator.get("/v1/ingresses").body["items"]["i1"]["held"] == held);
    operator.call_any_version("DELETE", &format!("/v1/keys/{}", &ingress.key[3..19]), "");
    assert_eq!(wait.join().unwrap(), 401);
}

#[test]
fn calls_are_rate_limited_by_key() {
    let file = StoreFile::new();
    let control = Control::start(&file, &["--rate", "0.5", "--burst", "5"]);
    let api = control.operator();
    let codes: Vec<u16> = (0..8).map(|_| api.get("/v1/tenants").status).collect();
    assert_eq!(codes, [200, 200, 200, 200, 200, 429, 429, 429]);
    let told = api.get("/v1/tenants");
    let after: f64 = told.http.headers["retry-after"].parse().unwrap();
    assert!(told.status == 429 && after >= 1.0 && told.body["retry_after"].as_f64() > Some(0.0), "{told:?}");
    // Guesses share one quota, and use up nobody's.
    let guesses: Vec<u16> = (0..8).map(|_| control.api("vy_x").get("/v1/tenants").status).collect();
    assert_eq!(guesses, [401, 401, 401, 401, 401, 429, 429, 429]);
    until("some of the quota is back", || api.get("/v1/tenants").status == 200);
}
