//! The OpenAPI document of the administration API, and its command line.

#![cfg(test)]

mod common;

use common::control::*;
use serde_json::Value;
use std::process::Command;
use violetyoke_control::api::ENDPOINTS;

#[test]
fn openapi_page_has_every_endpoint_and_every_referenced_schema() {
    let page = violetyoke_control::api::openapi().unwrap();
    for endpoint in ENDPOINTS {
        let operation = &page["paths"][endpoint.path][endpoint.method.to_lowercase()];
        assert_eq!(operation["summary"], endpoint.summary, "{} {}", endpoint.method, endpoint.path);
    }
    let text = page.to_string();
    for part in text.split("#/components/schemas/").skip(1) {
        let name = part.split('"').next().unwrap();
        assert!(page["components"]["schemas"][name].is_object(), "{name}");
    }
}

#[test]
fn command_line_covers_the_api() {
    let file = StoreFile::new();
    let control = start(&file);
    let key = control.key.clone().unwrap();
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
            .arg(arguments[0])
            .args(["--server", &control.address.to_string()])
            .args(&arguments[1..])
            .env("VIOLETYOKE_KEY", &key)
            .output()
            .unwrap();
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        (output.status.success(), text(output.stdout), text(output.stderr))
    };
    let run_successfully = |arguments: &[&str]| {
        let (success, out, error) = run(arguments);
        assert!(success, "{arguments:?}: {error}");
        out
    };
    run_successfully(&[
        "tenant",
        "create",
        "acme",
        "weight=2",
        "hosts=[\"a.example.org\"]",
        "pools=[\"reservations\"]",
    ]);
    run_successfully(&["plan", "--tenant", "acme", "create", "basic", "rate=2", "burst=8"]);
    run_successfully(&["account", "--tenant", "acme", "create", "hotel 7/a", "plan=basic"]);
    run_successfully(&[
        "route",
        "--tenant",
        "acme",
        "create",
        "all",
        "host=a.example.org",
        "pool=reservations",
    ]);
    run_successfully(&["plan", "--tenant", "acme", "set", "basic", "rate=3"]);
    let table = run_successfully(&["plan", "--tenant", "acme", "list"]);
    assert!(table.starts_with("NAME ") && table.contains("basic") && table.contains("3.0"), "{table}");
    let listed: Value =
        serde_json::from_str(&run_successfully(&["account", "--tenant", "acme", "--json", "list"])).unwrap();
    assert_eq!(listed[0]["name"], "hotel 7/a");
    let created: Value = serde_json::from_str(&run_successfully(&[
        "key",
        "--tenant",
        "acme",
        "--json",
        "create",
        "tenant_reader",
    ]))
    .unwrap();
    assert!(created["key"].is_string(), "{created}");
    let rotated = run_successfully(&["key", "--tenant", "acme", "rotate", created["id"].as_str().unwrap()]);
    assert!(rotated.contains("vy_"), "{rotated}");
    assert!(run_successfully(&["tenant", "delete", "acme"]).contains("draining"));
    assert!(run_successfully(&["tenant", "restore", "acme"]).contains("active"));
    let (success, _, error) = run(&["plan", "--tenant", "acme", "create", "bad", "rate=2"]);
    assert!(!success && error.contains("burst: must be 1 or more"), "{error}");
}
