//! The calls of operators and clients, to a registry in virtual time.

#![cfg(test)]

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::http::{call, send_request, Response};
use support::log::LogLines;
use support::proxy::FakeProxy;
use support::registry::{with_logged_registry, with_registry, FakeStore, CONTROL, DIRECTORY};
use tokio::time::{sleep, Instant};
use violetyoke_transport::messages::{
    Command, ControlState, Epoch, ListDigest, MembershipDigest, Outcome, ProxyRequest, Revision,
};

const REPLACE: &str = "/api/rpc?call=configuration.replace";
const READ: &str = "/api/rpc?call=configuration.read";
const EVACUATE: &str = "/api/rpc?call=evacuation.begin&of=a1";
const CONFIGURATION: &str = r#"{"version":3,"routes":{"columns":["name"],"rows":[]},
    "services":{"columns":["name"],"rows":[]},"tenants":{"columns":["name"],"rows":[]}}"#;
const FRONT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8080);

async fn post(target: &str, body: &str) -> Response {
    call(CONTROL, "POST", target, body).await
}

fn assert_error(response: &Response, status: u16, error: &str, field: &str) {
    let body = format!(r#"{{"error":"{error}","field":"{field}"}}"#);
    assert_eq!((response.status(), response.body.as_str()), (status, body.as_str()));
    assert_eq!(response.header("content-type"), Some("application/json"));
}

#[test]
fn call_that_an_address_does_not_take_is_not_found() {
    with_registry(|| async {
        let unknown = post("/api/rpc?call=nothing", "").await;
        assert_error(&unknown, 404, "call: is none that this address takes", "call");
        let directory_call = call(CONTROL, "GET", "/api/resolve", "").await;
        assert_error(&directory_call, 404, "call: is none that this address takes", "call");
    });
}

#[test]
fn invalid_and_too_large_documents_are_refused_before_any_store_is_asked() {
    with_registry(|| async {
        let store = FakeStore::start(Some(Outcome::Acknowledged)).await;
        let invalid = post(REPLACE, r#"{"routes":[]}"#).await;
        assert_eq!(invalid.status(), 400, "{invalid:?}");
        assert!(invalid.body.contains(r#""field":"version""#), "{invalid:?}");
        let too_large = post(REPLACE, &" ".repeat((8 << 20) + 1)).await;
        assert_eq!(too_large.status(), 413, "{too_large:?}");
        assert!(too_large.body.contains(r#""field":"document""#), "{too_large:?}");
        assert_error(&post("/api/rpc?call=evacuation.begin&of=z9", "").await, 400, "of: is no zone", "of");
        assert!(store.executed().is_empty());
    });
}

// Guards against a refused configuration that does not appear in the log.
#[test]
fn refused_configuration_is_logged_once_until_the_refusal_changes() {
    let lines = LogLines::default();
    with_logged_registry(lines.logger(), || async {
        let _store = FakeStore::start(Some(Outcome::Acknowledged)).await;
        for document in
            [r#"{"version":4,"limits":7}"#, r#"{"version":4,"limits":7}"#, "{}", CONFIGURATION, "{}"]
        {
            post(REPLACE, document).await;
        }
    });
    let expected = [
        "configuration refused, field: limits, reason: invalid type: integer `7`, expected struct Limits, version: 4",
        "configuration refused, field: version, reason: is no whole number, version: ",
        "configuration refused, field: version, reason: is no whole number, version: ",
    ];
    assert_eq!(lines.with_message("configuration refused"), expected);
}

// Guards against a registry that keeps using an older configuration without logging it.
#[test]
fn configuration_that_only_other_builds_can_read_is_logged_once() {
    let lines = LogLines::default();
    with_logged_registry(lines.logger(), || async {
        let store = FakeStore::start(None).await;
        for sequence in [1, 2] {
            store.publish(Revision { epoch: Epoch(1), sequence }, 5, r#"{"version":5,"limits":7}"#);
            sleep(Duration::from_millis(100)).await;
        }
    });
    let unreadable = lines.with_message("configuration unreadable");
    assert_eq!(unreadable.len(), 1, "{unreadable:?}");
    assert!(
        unreadable[0].contains("field: limits") && unreadable[0].contains("version: 5"),
        "{unreadable:?}"
    );
}

#[test]
fn command_that_no_store_answers_has_an_unknown_outcome_within_a_second() {
    with_registry(|| async {
        let started = Instant::now();
        let response = post(READ, "").await;
        let error = "order: no store has answered: it may be in force or may not";
        assert_error(&response, 503, error, "order");
        assert_eq!(response.header("retry-after"), Some("0.2"));
        let elapsed = started.elapsed();
        assert!((900..1_000).contains(&elapsed.as_millis()), "{elapsed:?}");
    });
}

#[test]
fn text_of_the_configuration_in_force_is_read_from_the_leader() {
    with_registry(|| async {
        let state = ControlState { text: CONFIGURATION.into(), version: 3, ..ControlState::default() };
        let store = FakeStore::start(Some(Outcome::Read(state))).await;
        let response = post(READ, "").await;
        assert_eq!((response.status(), response.body.as_str()), (200, CONFIGURATION));
        assert_eq!(store.executed(), [Command::Read]);
    });
}

#[test]
fn configuration_that_was_never_sent_is_not_found() {
    with_registry(|| async {
        let _store = FakeStore::start(Some(Outcome::Read(ControlState::default()))).await;
        let response = post(READ, "").await;
        assert_error(&response, 404, "configuration: none was ever sent", "configuration");
    });
}

#[test]
fn version_with_another_text_is_a_conflict() {
    with_registry(|| async {
        let _store = FakeStore::start(Some(Outcome::VersionTaken)).await;
        let response = post(REPLACE, CONFIGURATION).await;
        assert_error(&response, 409, "version: 3 was accepted with another text", "version");
    });
}

#[test]
fn confirmation_waits_for_proxies_that_do_not_report_for_450_ms_at_most() {
    with_registry(|| async {
        let store = FakeStore::start(Some(Outcome::Acknowledged)).await;
        let _proxy = FakeProxy::start(FRONT, true).await;
        let started = Instant::now();
        let response = post(REPLACE, CONFIGURATION).await;
        assert_eq!((response.status(), response.body.as_str()), (200, "{}"));
        let elapsed = started.elapsed();
        assert!((450..500).contains(&elapsed.as_millis()), "{elapsed:?}");
        assert_eq!(store.executed(), [Command::Replace { version: 3, text: CONFIGURATION.into() }]);
    });
}

#[test]
fn confirmation_follows_at_once_when_all_proxies_have_reported_the_version() {
    with_registry(|| async {
        let store = FakeStore::start(Some(Outcome::Acknowledged)).await;
        let proxy = FakeProxy::start(FRONT, true).await;
        let revision = Revision { epoch: Epoch(1), sequence: 1 };
        store.publish(revision, 3, CONFIGURATION);
        sleep(Duration::from_millis(50)).await;
        proxy.send(ProxyRequest::Poll {
            revision,
            backend_list: ListDigest::NONE,
            membership: MembershipDigest::NONE,
            is_primary: true,
        });
        sleep(Duration::from_millis(50)).await;
        let started = Instant::now();
        assert_eq!(post(REPLACE, CONFIGURATION).await.status(), 200);
        assert!(started.elapsed() < Duration::from_millis(50), "{:?}", started.elapsed());
    });
}

#[test]
fn evacuation_is_sent_after_60_ms() {
    with_registry(|| async {
        let store = FakeStore::start(Some(Outcome::Acknowledged)).await;
        let started = Instant::now();
        let response = post(EVACUATE, "").await;
        assert_eq!((response.status(), response.body.as_str()), (200, "{}"));
        let elapsed = started.elapsed();
        assert!((60..100).contains(&elapsed.as_millis()), "{elapsed:?}");
        assert_eq!(store.executed(), [Command::Evacuate { zone: "a1".into(), empty: true }]);
    });
}

#[test]
fn evacuation_whose_operator_disconnects_meanwhile_is_never_sent() {
    with_registry(|| async {
        let store = FakeStore::start(Some(Outcome::Acknowledged)).await;
        let stream = send_request(CONTROL, "POST", EVACUATE, "").await;
        sleep(Duration::from_millis(30)).await;
        drop(stream);
        sleep(Duration::from_secs(2)).await;
        assert!(store.executed().is_empty());
    });
}

#[test]
fn clients_are_given_the_addresses_of_ready_proxies() {
    with_registry(|| async {
        let target = "/api/resolve?region=a&zone=a1";
        let response = call(DIRECTORY, "GET", target, "").await;
        assert_error(&response, 503, "addresses: no ingress is ready", "addresses");
        assert_eq!(response.header("retry-after"), None);
        let other_front = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 2), 8080);
        let _starting = FakeProxy::start(other_front, false).await;
        let _ready = FakeProxy::start(FRONT, true).await;
        let response = call(DIRECTORY, "GET", target, "").await;
        let body = r#"{"addresses":["10.0.1.1:8080"],"ttl-s":5.0}"#;
        assert_eq!((response.status(), response.body.as_str()), (200, body));
    });
}
