//! The program on loopback sockets, with stubs for all services that it depends on.

#![cfg(test)]
#![allow(
    clippy::let_underscore_must_use,
    clippy::semicolon_if_nothing_returned,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod common;

use common::*;
use serde_json::json;
use std::collections::HashSet;
use std::net::{Shutdown, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

const DECLINED_RESPONSE: &str =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

fn one_backend(backend: &Backend) -> (Counter, Discovery, Ingress) {
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let ingress = Ingress::start(&counter, &discovery);
    (counter, discovery, ingress)
}

#[test]
fn request_and_response_are_forwarded_unchanged() {
    let body: Vec<u8> = (0..60_000u32).map(|i| (i % 251) as u8).collect();
    let reply = ok(&body);
    let backend = Backend::start(move |_| reply.clone());
    let (counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    let request = booking("{\"room\":4}");
    let response = client.call(&request);
    assert_eq!((response.status(), response.body), (200, body));
    let seen = backend.requests();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].start_line, "POST /booking-post/x?room=4%201&q=a HTTP/1.1");
    assert_eq!(seen[0].body, b"{\"room\":4}");
    assert!(request.contains(&format!("Req-Id: {}\r\n", seen[0].headers["req-id"])));
    let remaining_us: u64 = seen[0].headers["req-deadline"].strip_suffix('u').unwrap().parse().unwrap();
    assert!(remaining_us > 0 && remaining_us < 1_000_000, "{remaining_us}");
    let amounts: Vec<_> = counter.calls().iter().map(|(_, amount)| *amount).collect();
    assert_eq!(amounts, [2.0]);
    // The connections on both sides are reused for the next request.
    assert_eq!(client.call(read_request()).status(), 200);
    assert_eq!((backend.request_count(), backend.connections()), (2, 1));
}

#[test]
fn ingresses_started_at_different_times_use_the_same_counter_name_for_a_window() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let first = Ingress::start(&counter, &discovery);
    // The origins of two process clocks would differ by at least this much.
    std::thread::sleep(Duration::from_millis(50));
    let second =
        Ingress::start_with(&counter, &discovery, |config| config["settings"]["self-index"] = json!(1));
    // A window may end between two requests, but hardly twice in a row.
    let has_same_name = (0..3).any(|_| {
        counter.clear_calls();
        assert_eq!(first.client().call(read_request()).status(), 200);
        assert_eq!(second.client().call(read_request()).status(), 200);
        counter.names().into_iter().collect::<HashSet<_>>().len() == 1
    });
    assert!(has_same_name, "{:?}", counter.names());
}

#[test]
fn at_most_once_request_that_may_have_been_executed_fails_without_a_retry() {
    let truncated = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf";
    let endless = "HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all";
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let plain_503 = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    for bytes in ["", truncated, endless, error, plain_503, "junk\r\n\r\n"] {
        let reply = Reply::Close(bytes.as_bytes().to_vec());
        let backend = Backend::start(move |_| reply.clone());
        let (_counter, _discovery, ingress) = one_backend(&backend);
        let response = ingress.client().call(booking("x"));
        assert!(![200, 429, 503].contains(&response.status()), "{} after {bytes:.60}", response.status());
        assert_eq!(backend.request_count(), 1, "after {bytes:.60}");
    }
}

#[test]
fn at_most_once_request_that_was_declined_is_retried() {
    let mut attempts = 0;
    let backend = Backend::start(move |_| {
        attempts += 1;
        if attempts == 1 {
            raw(DECLINED_RESPONSE)
        } else {
            ok(b"done")
        }
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let response = ingress.client().call(booking("x"));
    assert_eq!((response.status(), backend.request_count()), (200, 2));
}

fn fleet(backends: &[Backend]) -> (Counter, Discovery, Ingress) {
    fleet_with(backends, |_| {})
}

fn fleet_with(
    backends: &[Backend],
    adjust: impl FnOnce(&mut serde_json::Value),
) -> (Counter, Discovery, Ingress) {
    let entries = backends.iter().enumerate();
    let members = entries.map(|(i, backend)| member(&format!("s-{i}"), backend.address, "in_service"));
    let (counter, discovery) = (Counter::start(), Discovery::start(members.collect()));
    let ingress = Ingress::start_with(&counter, &discovery, adjust);
    (counter, discovery, ingress)
}

#[test]
fn backend_that_stops_responding_is_ejected() {
    let good = || Reply::Split(b"HTTP/1.1 200 OK\r\n".to_vec(), b"Content-Length: 1\r\n\r\nx".to_vec());
    let mut backends: Vec<_> = (0..2).map(|_| Backend::start(move |_| good())).collect();
    backends.push(Backend::start(|_| Reply::NeverReply));
    // The ejection lasts twice as long as this.
    let adjust = |config: &mut serde_json::Value| {
        config["settings"]["bounds"]["connect-timeout-us"] = json!(2_000_000)
    };
    let (_counter, _discovery, ingress) = fleet_with(&backends, adjust);
    let mut client = ingress.client();
    let mut failed_requests = 0;
    until("three requests to it have failed", || {
        failed_requests += u32::from(client.call(read_request()).status() != 200);
        failed_requests == 3
    });
    // Many requests at once: the other backends have several in flight, and it has none.
    let mut clients: Vec<_> = (0..16).map(|_| ingress.client()).collect();
    for _ in 0..4 {
        clients.iter_mut().for_each(|client| client.send(read_request()));
        assert!(clients.iter_mut().all(|client| client.read_response().unwrap().status() == 200));
    }
    assert_eq!(backends[2].request_count(), 3);
}

#[test]
fn broken_connections_to_all_backends_do_not_eject_all_of_them() {
    let is_breaking = Arc::new(AtomicBool::new(true));
    let backends: Vec<_> = (0..4)
        .map(|_| {
            let is_breaking = is_breaking.clone();
            Backend::start(
                move |_| if is_breaking.load(SeqCst) { Reply::Close(Vec::new()) } else { ok(b"good") },
            )
        })
        .collect();
    let (_counter, _discovery, ingress) = fleet(&backends);
    let mut client = ingress.client();
    // Enough failures to eject each of them.
    for _ in 0..12 {
        assert_eq!(client.call(booking("x")).status(), 502);
    }
    is_breaking.store(false, SeqCst);
    assert_eq!(client.call(read_request()).status(), 200);
}

#[test]
fn backend_that_breaks_every_connection_is_ejected() {
    let mut backends: Vec<_> = (0..2).map(|_| Backend::start(|_| ok(b"good"))).collect();
    backends.push(Backend::start(|_| Reply::Close(Vec::new())));
    let (_counter, _discovery, ingress) = fleet(&backends);
    let (mut client, start) = (ingress.client(), Instant::now());
    for _ in 0..60 {
        assert_eq!(client.call(read_request()).status(), 200);
    }
    // Three failures until the ejection, and one trial after each ejection (half a second at first).
    let trials = start.elapsed().as_millis() as usize / 500;
    assert!(backends[2].request_count() <= 3 + trials, "{} requests", backends[2].request_count());
}

#[test]
fn broken_idle_connections_do_not_count_as_failures_of_the_backend() {
    let is_breaking = Arc::new(AtomicBool::new(false));
    let is_broken = is_breaking.clone();
    let backend = Backend::start(move |_| {
        if is_broken.load(SeqCst) {
            return Reply::Close(Vec::new());
        }
        Reply::Split(b"HTTP/1.1 200 OK\r\n".to_vec(), b"Content-Length: 1\r\n\r\nx".to_vec())
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut clients: Vec<_> = (0..8).map(|_| ingress.client()).collect();
    until("several connections are idle", || {
        clients.iter_mut().for_each(|client| client.send(read_request()));
        assert!(clients.iter_mut().all(|client| client.read_response().unwrap().status() == 200));
        backend.connections() >= 4
    });
    is_breaking.store(true, SeqCst);
    let kept = backend.connections();
    clients[..4].iter_mut().for_each(|client| client.send(booking("x")));
    assert!(clients[..4].iter_mut().all(|client| client.read_response().unwrap().status() == 502));
    assert_eq!(backend.connections(), kept);
    is_breaking.store(false, SeqCst);
    assert_eq!(clients[0].call(read_request()).status(), 200);
}

#[test]
fn idle_time_out_shrinks_when_idle_connections_break() {
    let mut last = Instant::now();
    let backend = Backend::start(move |request| {
        let idle_time = std::mem::replace(&mut last, Instant::now()).elapsed();
        if request.headers[NTH] != "1" && idle_time > Duration::from_millis(30) {
            Reply::Close(Vec::new())
        } else {
            ok(b"x")
        }
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    let failed = |_: &i32| {
        std::thread::sleep(Duration::from_millis(50));
        client.call(booking("x")).status() == 502
    };
    // Without an adapted time-out every second request would fail.
    let failed = (0..16).filter(failed).count();
    assert!(failed <= 3, "{failed} of 16");
    // Connections in steady use are still reused.
    let before = backend.connections();
    assert!((0..20).all(|_| client.call(read_request()).status() == 200));
    assert!(backend.connections() <= before + 2, "{before} {}", backend.connections());
}

#[test]
fn backend_that_responds_between_broken_connections_is_not_ejected() {
    let mut number = 0;
    let backend = Backend::start(move |_| {
        number += 1;
        let good = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx";
        Reply::Close(if number % 2 == 1 { good.into() } else { Vec::new() })
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    for number in 0..12 {
        assert_eq!(client.call(booking("x")).status(), if number % 2 == 0 { 200 } else { 502 });
    }
}

/// Malformed responses of many kinds. The connection stays open and can't be reused.
const MALFORMED_RESPONSES: [&str; 9] = [
    "\u{7f}\u{3}noise with no head in it at all, and no end of it either\r\n\r\n",
    "HTTP/1.1 twohundred OK\r\nContent-Length: 1\r\n\r\nx",
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhalf",
    "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nhalf",
    "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nthere is more",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Head: that does not end",
    "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 9\r\n\r\nhalf",
];

#[test]
fn malformed_response_fails_its_attempt_and_does_not_eject_the_backend() {
    for malformed in MALFORMED_RESPONSES {
        let mut number = 0;
        let backend = Backend::start(move |request| {
            number += 1;
            // Two malformed responses in a row, from the only backend.
            if number <= 2 || request.start_line.starts_with("POST") {
                raw(malformed)
            } else {
                ok(b"good")
            }
        });
        let (_counter, _discovery, ingress) = one_backend(&backend);
        let mut client = ingress.client();
        // An idempotent request is retried until it has a response, each time on a new connection.
        let start = Instant::now();
        let response = client.call(read_request());
        assert_eq!((response.status(), response.body), (200, b"good".to_vec()), "{malformed}");
        assert!(start.elapsed() < Duration::from_millis(700), "{:?} {malformed}", start.elapsed());
        assert_eq!((backend.request_count(), backend.connections()), (3, 3), "{malformed}");
        // An at-most-once request may have been executed: it fails and is not retried.
        let status = client.call(booking("x")).status();
        assert!(![200, 429, 503].contains(&status), "{status} {malformed}");
        assert_eq!(backend.request_count(), 4, "{malformed}");
    }
}

#[test]
fn informational_responses_invalid_load_reports_and_trailing_bytes_are_ignored() {
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    let cases = [
        (format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{good}mine"), 1),
        ("HTTP/1.1 200 OK\r\nSrv-Load: inflight=NaN\r\nContent-Length: 4\r\n\r\nmine".to_string(), 1),
        ("HTTP/1.1 200 OK\r\nSrv-Load: \u{ff}=\u{fe}\r\nContent-Length: 4\r\n\r\nmine".to_string(), 1),
        ("HTTP/1.1 200 OK\r\nSrv-Load: inflight=-9e99\r\nContent-Length: 4\r\n\r\nmine".to_string(), 1),
        // Bytes after the response: the connection can't be reused.
        (format!("{good}mine{good}next"), 2),
        (format!("{good}mine\r\n\u{1}noise"), 2),
    ];
    for (first, connections) in cases {
        let mut reply = Some(first.clone());
        let backend = Backend::start(move |_| reply.take().map_or(ok(b"other"), |text| raw(&text)));
        let (_counter, _discovery, ingress) = one_backend(&backend);
        let mut client = ingress.client();
        assert_eq!(client.call(read_request()).body, b"mine", "{first}");
        assert_eq!(client.call(read_request()).body, b"other", "{first}");
        assert_eq!(backend.connections(), connections, "{first}");
    }
}

#[test]
fn bytes_that_arrive_on_an_idle_connection_prevent_its_reuse() {
    let late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
    let mut number = 0;
    let backend = Backend::start(move |_| {
        number += 1;
        match ok(b"mine") {
            Reply::Raw(bytes) if number % 2 == 1 => Reply::Split(bytes, late.as_bytes().to_vec()),
            reply => reply,
        }
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    for _ in 0..10 {
        // Read before the call: the backend may write the late bytes before the client has the response.
        let late = backend.late_replies();
        assert_eq!(client.call(read_request()).body, b"mine");
        until("the stale bytes are sent", || {
            backend.late_replies() > late || backend.request_count().is_multiple_of(2)
        });
        assert_eq!(client.call(read_request()).body, b"mine");
    }
}

#[test]
fn idle_connections_are_closed_when_their_descriptors_are_needed() {
    let backends: Vec<_> = (0..30).map(|_| Backend::start(|_| ok(b"x"))).collect();
    let members = backends.iter().enumerate();
    let members = members.map(|(i, backend)| member(&format!("s-{i}"), backend.address, "in_service"));
    let (counter, discovery) = (Counter::start(), Discovery::start(members.collect()));
    // At most 20 connections to backends, and requests for all of 30 backends.
    let ingress = Ingress::start_with(&counter, &discovery, |config| config["limits"]["sockets"] = json!(64));
    let mut client = ingress.client();
    for _ in 0..120 {
        assert_eq!(client.call(read_request()).status(), 200);
    }
    assert!(backends.iter().filter(|backend| backend.request_count() > 0).count() > 24);
}

#[test]
fn removed_backend_serves_again_under_the_same_or_another_id() {
    let (first, second) = (Backend::start(|_| ok(b"first")), Backend::start(|_| ok(b"second")));
    let (_counter, discovery, ingress) = one_backend(&first);
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).body, b"first");
    for round in 0..2 {
        discovery.update(member("s-2", second.address, "in_service"));
        discovery.update(member("s-1", first.address, "terminated"));
        until("the second backend serves", || client.call(read_request()).body == b"second");
        // Removed backends are cleaned up once a second.
        std::thread::sleep(Duration::from_millis(1200));
        let id = ["s-1", "s-3"][round];
        discovery.update(member(id, first.address, "in_service"));
        discovery.update(member("s-2", second.address, "terminated"));
        until("the first backend serves", || client.call(read_request()).body == b"first");
        discovery.update(member(id, first.address, "in_service"));
    }
}

#[test]
fn idle_connection_closed_by_the_backend_fails_no_request() {
    let mut first = true;
    let backend = Backend::start(move |_| {
        let close = std::mem::take(&mut first);
        match ok(b"x") {
            Reply::Raw(bytes) if close => Reply::Close(bytes),
            reply => reply,
        }
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    assert_eq!(client.call(booking("x")).status(), 200);
    until("the first connection has ended", || backend.ended_connections() == 1);
    assert_eq!(client.call(booking("x")).status(), 200);
    assert_eq!((backend.request_count(), backend.connections()), (2, 2));
}

#[test]
fn attempt_at_a_hanging_backend_is_closed_before_the_deadline() {
    let backend = Backend::start(|_| Reply::NeverReply);
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let start = Instant::now();
    let response = ingress.client().call(booking("x"));
    assert!(start.elapsed() < Duration::from_millis(1000), "{:?}", start.elapsed());
    assert!(![200, 429, 503].contains(&response.status()), "{}", response.status());
    until("the attempt's connection is closed", || backend.ended_connections() == 1);
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn attempt_of_a_client_that_disconnects_is_cancelled() {
    let backend = Backend::start(|_| Reply::NeverReply);
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    let start = Instant::now();
    client.send(read_request());
    until("the attempt is in flight", || backend.request_count() == 1);
    client.stream.shutdown(Shutdown::Both).unwrap();
    until("the attempt's connection is closed", || backend.ended_connections() == 1);
    // Well before the attempt would time out.
    assert!(start.elapsed() < Duration::from_millis(600), "{:?}", start.elapsed());
}

#[test]
fn draining_backend_gets_no_new_requests() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (_counter, discovery, ingress) = one_backend(&old);
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).body, b"old");
    discovery.update(member("s-2", new.address, "in_service"));
    discovery.update(member("s-1", old.address, "terminating"));
    until("its idle connection is closed", || old.ended_connections() == 1);
    for _ in 0..10 {
        assert_eq!(client.call(read_request()).body, b"new");
    }
    assert_eq!(old.request_count(), 1);
    discovery.update(member("s-2", new.address, "terminated"));
    until("its idle connection is closed", || new.ended_connections() == new.connections());
    assert_eq!(client.call(read_request()).status(), 503);
}

#[test]
fn backend_with_a_new_address_is_identified_by_its_id() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (_counter, discovery, ingress) = one_backend(&old);
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).body, b"old");
    discovery.update(member("s-1", new.address, "in_service"));
    until("the old connection is closed", || old.ended_connections() == 1);
    assert_eq!(client.call(read_request()).body, b"new");
}

#[test]
fn discovery_watch_without_a_response_is_restarted() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (_counter, discovery, ingress) = one_backend(&old);
    discovery.set_silent(true);
    discovery.update(member("s-1", old.address, "terminated"));
    discovery.update(member("s-2", new.address, "in_service"));
    let calls = discovery.calls();
    // The call without a response times out, as do later ones until one has a response.
    until("another call is made", || discovery.calls() > calls);
    discovery.set_silent(false);
    until("the new list is in force", || ingress.client().call(read_request()).body == b"new");
}

#[test]
fn start_with_a_known_list_requests_only_changes() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", old.address, "in_service")]));
    let known =
        json!({"revision": 1, "complete": true, "members": [member("s-1", old.address, "in_service")]});
    discovery.update(member("s-2", new.address, "in_service"));
    discovery.update(member("s-1", old.address, "terminated"));
    let ingress = Ingress::start_with(&counter, &discovery, |config| config["known"] = known);
    until("the changes are in force", || ingress.client().call(read_request()).body == b"new");
    assert_eq!(discovery.full_list_calls(), 0);
}

#[test]
fn calls_to_an_overloaded_discovery_back_off_until_it_responds() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", old.address, "in_service")]));
    let known =
        json!({"revision": 1, "complete": true, "members": [member("s-1", old.address, "in_service")]});
    discovery.set_overloaded(true);
    let ingress = Ingress::start_with(&counter, &discovery, |config| config["known"] = known);
    until("a call is rejected", || discovery.calls() >= 1);
    let first = Instant::now();
    assert_eq!(ingress.client().call(read_request()).body, b"old");
    until("two more calls are made", || discovery.calls() >= 3);
    // The delays are at least half a second and a second, less the time until the first call was seen.
    assert!(first.elapsed() >= Duration::from_millis(1200), "{:?}", first.elapsed());
    discovery.update(member("s-2", new.address, "in_service"));
    discovery.update(member("s-1", old.address, "terminated"));
    discovery.set_overloaded(false);
    until("the changes are in force", || ingress.client().call(read_request()).body == b"new");
}

#[test]
fn ingress_is_ready_only_with_a_list_which_may_be_the_known_one() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) = (Counter::start(), Discovery::start(Vec::new()));
    discovery.set_silent(true);
    let without_list = Ingress::spawn(&counter, &discovery, |_| {});
    until("the ingress listens", || Client::try_open(without_list.address).is_some());
    assert_eq!(without_list.client().call(READY).status(), 503);
    let known = json!({"revision": 3, "complete": true,
                       "members": [member("s-1", backend.address, "in_service")]});
    let ingress = Ingress::start_with(&counter, &discovery, |config| config["known"] = known);
    assert_eq!(ingress.client().call(read_request()).status(), 200);
}

#[test]
fn request_beyond_the_quota_is_rejected_at_once_with_a_retry_after() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    let low_quota = || request_head("GET", "avail-read", "narrow", "1500m") + "\r\n";
    let rejected = (0..12).find_map(|_| {
        let start = Instant::now();
        let response = client.call(low_quota());
        (response.status() != 200).then_some((response, start.elapsed()))
    });
    let (response, elapsed) = rejected.expect("the burst is used up");
    assert_eq!(response.status(), 429);
    let seconds: f64 = response.headers["retry-after"].parse().unwrap();
    assert!(seconds > 0.0 && seconds <= 2.0, "{seconds}");
    assert!(elapsed < Duration::from_millis(200), "{elapsed:?}");
}

#[test]
fn requests_are_served_while_the_counter_does_not_respond_rejects_or_disconnects() {
    for mode in [Mode::Silent, Mode::Busy, Mode::Disconnect] {
        let backend = Backend::start(|_| ok(b"x"));
        let (counter, _discovery, ingress) = one_backend(&backend);
        counter.set(mode);
        let mut client = ingress.client();
        for _ in 0..8 {
            let start = Instant::now();
            assert_eq!(client.call(read_request()).status(), 200);
            assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
        }
        counter.set(Mode::Answer);
        // It is called again once it has recovered. A connection with missing responses is replaced.
        until("the counter answers again", || {
            counter.clear_calls();
            assert_eq!(client.call(read_request()).status(), 200);
            !counter.calls().is_empty()
        });
    }
}

#[test]
fn late_responses_of_the_counter_are_matched_to_their_calls() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    counter.set(Mode::Late);
    for _ in 0..4 {
        assert_eq!(client.call(read_request()).status(), 200);
    }
    counter.set(Mode::Answer);
    until("several more calls were made", || {
        assert_eq!(client.call(read_request()).status(), 200);
        counter.calls().len() >= 8
    });
    // A response matched to another call would have broken the connection.
    assert_eq!(counter.connections(), 1);
}

#[test]
fn invalid_datagrams_of_peers_and_other_senders_are_ignored() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let foreign_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let ingress = Ingress::start_with(&counter, &discovery, |config| {
        config["settings"]["bounds"]["peer-messages"] = json!(true);
        config["peer_listen"] = json!(own.to_string());
        config["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    });
    let datagrams = [vec![], vec![1], vec![0xff; 256], [7u64.to_le_bytes().to_vec(), vec![1]].concat()];
    for data in &datagrams {
        peer.send_to(data, own).unwrap();
        foreign_sender.send_to(data, own).unwrap();
    }
    assert_eq!(ingress.client().call(read_request()).status(), 200);
}

#[test]
fn malformed_requests_are_rejected_and_not_forwarded() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let good = read_request();
    let without = |name: &str| {
        let lines = good.split_inclusive("\r\n").filter(|line| !line.starts_with(name));
        lines.collect::<String>()
    };
    let with = |from: &str, to: &str| {
        assert!(good.contains(from), "{from}");
        good.replace(from, to)
    };
    let booking_head = request_head("POST", "booking-post", "wide", "1000m");
    let cases = [
        (without("Req-Id"), 400),
        (without("Req-Kind"), 400),
        (without("X-Tier"), 400),
        (without("Cookie"), 400),
        (without("Req-Deadline"), 400),
        (without("X-Call-Terms"), 400),
        (with("/avail-read/", "/booking-post/"), 404),
        (with("avail-read", "unheard-of"), 404),
        (with("X-Tier: wide", "X-Tier: none"), 400),
        (with("account=0000000000000007", "account=7"), 400),
        (with("account=0000000000000007", "account=ffffffffffffffff"), 400),
        (with("1500m", "1500"), 400),
        (with("1500m", "-5m"), 400),
        (with("1500m", "NaNm"), 400),
        (with("units=2", "units=inf"), 400),
        (with("units=2", "units=0"), 400),
        (with("units=2", "units=6.5"), 400),
        (with("units=2", "units=2,units=1"), 400),
        (with("units=2", "units=1e0"), 400),
        (with("spread=2", "spread=1.5"), 400),
        (with("spread=2", "spread=3"), 400),
        (with("spread=2", "spread=0"), 400),
        (with("first=0", "first=2"), 400),
        (with("first=0", "first=-1"), 400),
        (with("first=0", "first=0.5"), 400),
        (with("1500m", "0m"), 400),
        (with("1500m", "1e3m"), 400),
        (with("spread=2", "spread=x"), 400),
        (with("GET ", "POST "), 400),
        (with("Req-Id: ", "Req-Id: 0000000000000001\r\nReq-Id: "), 400),
        (booking_head.clone() + "Transfer-Encoding: chunked\r\n\r\nz\r\nx\r\n0\r\n\r\n", 400),
        (booking_head.clone() + "Transfer-Encoding: gzip\r\n\r\nx", 400),
        (booking_head.clone() + "Content-Length: 33554433\r\n\r\n", 413),
        (booking_head.clone() + "Content-Length: minus\r\n\r\n", 400),
        ("GET /favicon.ico HTTP/1.1\r\nHost: a\r\n\r\n".into(), 400),
        ("\u{1}\u{2}\u{3} junk\r\n\r\n".into(), 400),
    ];
    for (text, status) in cases {
        assert_eq!(ingress.client().call(&text).status(), status, "{text}");
    }
    // A partial request on a connection that is then closed.
    let mut half = ingress.client();
    half.send(booking_head + "Content-Length: 10\r\n\r\nhalf");
    half.stream.shutdown(Shutdown::Write).unwrap();
    assert!(half.read_response().is_none_or(|response| response.status() == 400));
    ingress.client().send(&good[..good.len() / 2]);
    assert_eq!(backend.request_count(), 0);
    assert_eq!(ingress.client().call(read_request()).status(), 200);
}

#[test]
fn idle_clients_do_not_keep_others_out() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let mut ingress =
        Ingress::start_with(&counter, &discovery, |config| config["limits"]["sockets"] = json!(64));
    // Far more clients than descriptors: responses close their connections once many are open.
    let (mut idle_clients, start, mut closed) = (Vec::new(), Instant::now(), 0);
    for number in 0..100 {
        let mut client = ingress.client();
        let response = client.call(read_request());
        assert_eq!(response.status(), 200, "number {number}");
        closed += u32::from(response.headers.get("connection").is_some_and(|value| value == "close"));
        idle_clients.push(client);
    }
    // No client had to wait until an idle connection could be closed.
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    assert!(closed > 50 && idle_clients[99].is_closed(), "{closed}");
    // Connections without `Connection: close` can still be used.
    assert_eq!(idle_clients[0].call(read_request()).status(), 200);
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id())).unwrap().count();
    assert!(descriptors < 64, "{descriptors}");
    assert!(ingress.child.try_wait().unwrap().is_none());
}

#[test]
fn client_without_a_complete_request_is_disconnected_within_three_seconds() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let start = Instant::now();
    let (mut silent, mut half, mut body) = (ingress.client(), ingress.client(), ingress.client());
    half.send(&read_request()[..40]);
    body.send(request_head("POST", "booking-post", "wide", "1000m") + "Content-Length: 10\r\n\r\nhalf");
    assert!(silent.is_closed() && half.is_closed());
    assert!(body.read_response().is_none_or(|response| response.status() == 408));
    let elapsed = start.elapsed();
    assert!(elapsed > Duration::from_millis(2000) && elapsed < Duration::from_millis(3000), "{elapsed:?}");
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn rejected_request_closes_its_connection_and_following_bytes_are_not_forwarded() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let hidden = read_request();
    let chunked = format!("0\r\n\r\n{hidden}");
    let (te, cl) = ("Transfer-Encoding: chunked\r\n", format!("Content-Length: {}\r\n", chunked.len()));
    let heads = [
        request_head("POST", "booking-post", "wide", "1000m"),
        request_head("GET", "avail-read", "wide", "1000m"),
    ];
    let ready = "GET /-/ready HTTP/1.1\r\nHost: a\r\n".to_string();
    let mut cases = Vec::new();
    for head in heads.iter().chain([&ready]) {
        cases.push(format!("{head}{te}{cl}\r\n{chunked}"));
        cases.push(format!("{head}{cl}{te}\r\n{chunked}"));
        // A chunked body is valid only for methods with a body.
        if !head.starts_with("POST") {
            cases.push(format!("{head}{te}\r\n{chunked}"));
        }
    }
    cases.push(read_request().replace("units=2", "units=7") + &hidden);
    cases.push(
        request_head("POST", "booking-post", "wide", "1000m") + "Content-Length: 40000000\r\n\r\n" + &hidden,
    );
    for text in cases {
        let mut client = ingress.client();
        let response = client.call(&text);
        assert!((400..500).contains(&response.status()), "{} {text}", response.status());
        assert_eq!(response.headers["connection"], "close", "{text}");
        assert!(client.is_closed(), "{text}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn client_that_sends_too_large_a_body_can_still_read_the_rejection() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    client.send(request_head("POST", "booking-post", "wide", "1000m") + "Content-Length: 60000000\r\n\r\n");
    let part = vec![b'x'; 1_000_000];
    // The client reads only after it has sent everything. A reset would fail a write or discard the response.
    (0..60).for_each(|_| client.send(&part));
    assert_eq!(client.read_response().map(|response| response.status()), Some(413));
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(client.is_closed());
}

#[test]
fn request_with_the_id_of_an_open_one_is_rejected() {
    let backend = Backend::start(|_| Reply::NeverReply);
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let (mut first, mut second) = (ingress.client(), ingress.client());
    let request = booking("x");
    first.send(&request);
    until("the request is in flight", || backend.request_count() == 1);
    assert_eq!(second.call(&request).status(), 400);
    assert_eq!(backend.request_count(), 1);
    // Once the first request has ended, the id can be used again.
    assert_eq!(first.read_response().map(|response| response.status()), Some(502));
    second = ingress.client();
    second.send(&request);
    until("the second request is forwarded", || backend.request_count() == 2);
}

#[test]
fn sighup_applies_the_discovery_and_counter_of_the_new_file() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", old.address, "in_service")]));
    let (counter2, discovery2) =
        (Counter::start(), Discovery::start(vec![member("s-2", new.address, "in_service")]));
    let mut ingress = Ingress::start(&counter, &discovery);
    assert_eq!(ingress.client().call(read_request()).body, b"old");
    let first = ingress.config();
    let mut second = first.clone();
    second["discovery"] = json!(discovery2.address.to_string());
    second["counter"] = json!(counter2.address.to_string());
    let assert_uses = |counter: &Counter, body: &[u8]| {
        until("the new list is in force", || ingress.client().call(read_request()).body == body);
        until("the new counter is called", || {
            counter.clear_calls();
            assert_eq!(ingress.client().call(read_request()).body, body);
            !counter.calls().is_empty()
        });
    };
    ingress.reload(&second.to_string());
    assert_uses(&counter2, b"new");
    // An invalid file changes nothing.
    for bad in ["", "{}", "{\"discovery\": 7"] {
        ingress.reload(bad);
    }
    assert_uses(&counter2, b"new");
    ingress.reload(&first.to_string());
    assert_uses(&counter, b"old");
    // The old connections are closed, and SIGTERM still ends the process.
    ingress.reload(&second.to_string());
    assert_uses(&counter2, b"new");
    ingress.terminate();
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
}

#[test]
fn malformed_counter_total_fails_only_its_own_call() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    // A long time-out, to distinguish a malformed response from a missing one.
    let ingress = Ingress::start_with(&counter, &discovery, |config| {
        config["settings"]["family-info"]["counter-timeout-us"] = json!(600_000);
    });
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).status(), 200);
    counter.set(Mode::Malformed);
    let start = Instant::now();
    assert_eq!(client.call(read_request()).status(), 200);
    // The malformed response fails the call when it arrives, not at the time-out.
    assert!(start.elapsed() < Duration::from_millis(400), "{:?}", start.elapsed());
    counter.set(Mode::Answer);
    // Nor does the counter count as a slow one, which is called less often.
    until("both calls are recorded", || counter.calls().len() == 2);
    counter.clear_calls();
    for _ in 0..8 {
        assert_eq!(client.call(read_request()).status(), 200);
    }
    assert_eq!((counter.connections(), counter.calls().len()), (2, 8));
}

#[test]
fn sigterm_completes_open_requests_and_still_accepts_connections_for_a_while() {
    let (release, blocked) = std::sync::mpsc::channel::<()>();
    let backend = Backend::start(move |request| {
        if request.start_line.starts_with("POST") {
            let _ = blocked.recv();
        }
        ok(b"x")
    });
    let (_counter, _discovery, mut ingress) = one_backend(&backend);
    let (mut idle, mut busy) = (ingress.client(), ingress.client());
    assert_eq!(idle.call(READY).status(), 200);
    busy.send(booking("x"));
    until("the request is in flight", || backend.request_count() == 1);
    ingress.terminate();
    assert!(idle.is_closed(), "an idle connection is closed between requests");
    release.send(()).unwrap();
    let response = busy.read_response().expect("the open request gets its response");
    assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    let response = ingress.client().call(read_request());
    assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
}

#[test]
fn partial_requests_do_not_delay_the_exit() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, mut ingress) = one_backend(&backend);
    let mut half = ingress.client();
    half.send(&read_request()[..40]);
    let mut body = ingress.client();
    body.send(request_head("POST", "booking-post", "wide", "1000m") + "Content-Length: 10\r\n\r\nhalf");
    assert_eq!(ingress.client().call(READY).status(), 200);
    let start = Instant::now();
    ingress.terminate();
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
    // SIGKILL follows at the earliest after the longest deadline and 0.7 s; another 0.7 s are allowed.
    assert!(start.elapsed() < Duration::from_millis(3400), "{:?}", start.elapsed());
}

#[test]
fn invalid_entry_of_a_list_does_not_hide_the_others() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (_counter, discovery, ingress) = one_backend(&old);
    assert_eq!(ingress.client().call(read_request()).body, b"old");
    discovery.update(json!({"id": "s-9", "host_port": "nowhere", "phase": "unheard_of"}));
    discovery.update(member("s-2", new.address, "in_service"));
    discovery.update(member("s-1", old.address, "terminating"));
    until("the drain is in force", || old.ended_connections() == 1);
    assert_eq!(ingress.client().call(read_request()).body, b"new");
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    let path = std::env::temp_dir().join(format!("violetyoke-bad-{}.json", std::process::id()));
    for text in
        ["", "{}", "{\"seed\":\"1\",\"settings\":{}}", "{\"seed\":\"1\",\"listen\":\"here\",\"settings\":{}}"]
    {
        std::fs::write(&path, text).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
            .env("EDGE_CONFIG", &path)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{message}");
        assert!(message.starts_with("violetyoke: ") && message.lines().count() == 1, "{message}");
    }
    std::fs::remove_file(&path).unwrap();
}
