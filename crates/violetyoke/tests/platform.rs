//! The real program on loopback sockets, with fakes for all that stands round it.

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

const DECLINED: &str = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

fn one_backend(backend: &Backend) -> (Counter, Discovery, Ingress) {
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let ingress = Ingress::start(&counter, &discovery);
    (counter, discovery, ingress)
}

#[test]
fn a_request_goes_on_unchanged_and_its_answer_comes_back_unchanged() {
    let body: Vec<u8> = (0..60_000u32).map(|i| (i % 251) as u8).collect();
    let reply = ok(&body);
    let backend = Backend::start(move |_| reply.clone());
    let (counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    let request = booking("{\"room\":4}");
    let answer = client.call(&request);
    assert_eq!((answer.status(), answer.body), (200, body));
    let seen = backend.requests();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].start_line, "POST /booking-post/x?room=4%201&q=a HTTP/1.1");
    assert_eq!(seen[0].body, b"{\"room\":4}");
    assert!(request.contains(&format!("Req-Id: {}\r\n", seen[0].headers["req-id"])));
    let left: u64 = seen[0].headers["req-deadline"].strip_suffix('u').unwrap().parse().unwrap();
    assert!(left > 0 && left < 1_000_000, "{left}");
    let amounts: Vec<_> = counter.calls().iter().map(|(_, amount)| *amount).collect();
    assert_eq!(amounts, [2.0]);
    // The connections on both sides carry the next request.
    assert_eq!(client.call(read_request()).status(), 200);
    assert_eq!((backend.request_count(), backend.connections()), (2, 1));
}

#[test]
fn ingresses_started_apart_give_a_window_the_same_name() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let first = Ingress::start(&counter, &discovery);
    // The origin of a private clock would differ by at least this much.
    std::thread::sleep(Duration::from_millis(50));
    let second =
        Ingress::start_with(&counter, &discovery, |config| config["settings"]["self-index"] = json!(1));
    // A window's end may fall between two requests, but hardly twice in a row.
    let alike = (0..3).any(|_| {
        counter.clear_calls();
        assert_eq!(first.client().call(read_request()).status(), 200);
        assert_eq!(second.client().call(read_request()).status(), 200);
        counter.names().into_iter().collect::<HashSet<_>>().len() == 1
    });
    assert!(alike, "{:?}", counter.names());
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf";
    let endless = "HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all";
    let error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let plain_503 = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    for bytes in ["", cut, endless, error, plain_503, "junk\r\n\r\n"] {
        let reply = Reply::Close(bytes.as_bytes().to_vec());
        let backend = Backend::start(move |_| reply.clone());
        let (_counter, _discovery, ingress) = one_backend(&backend);
        let answer = ingress.client().call(booking("x"));
        assert!(![200, 429, 503].contains(&answer.status()), "{} after {bytes:.60}", answer.status());
        assert_eq!(backend.request_count(), 1, "after {bytes:.60}");
    }
}

#[test]
fn an_unsafe_request_that_was_turned_away_is_sent_again() {
    let mut turned_away = 0;
    let backend = Backend::start(move |_| {
        turned_away += 1;
        if turned_away == 1 {
            raw(DECLINED)
        } else {
            ok(b"done")
        }
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let answer = ingress.client().call(booking("x"));
    assert_eq!((answer.status(), backend.request_count()), (200, 2));
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
fn a_backend_that_falls_silent_is_left_out() {
    let good = || Reply::Later(b"HTTP/1.1 200 OK\r\n".to_vec(), b"Content-Length: 1\r\n\r\nx".to_vec());
    let mut backends: Vec<_> = (0..2).map(|_| Backend::start(move |_| good())).collect();
    backends.push(Backend::start(|_| Reply::Hold));
    // It is left out for twice as long.
    let adjust = |config: &mut serde_json::Value| {
        config["settings"]["bounds"]["connect-timeout-us"] = json!(2_000_000)
    };
    let (_counter, _discovery, ingress) = fleet_with(&backends, adjust);
    let mut client = ingress.client();
    let mut lost = 0;
    until("it has let three down", || {
        lost += u32::from(client.call(read_request()).status() != 200);
        lost == 3
    });
    // Many at once: the others have several in hand, and it has none.
    let mut clients: Vec<_> = (0..16).map(|_| ingress.client()).collect();
    for _ in 0..4 {
        clients.iter_mut().for_each(|client| client.send(read_request()));
        assert!(clients.iter_mut().all(|client| client.read_response().unwrap().status() == 200));
    }
    assert_eq!(backends[2].request_count(), 3);
}

#[test]
fn a_network_that_breaks_connections_to_all_backends_does_not_take_them_all_out() {
    let breaks = Arc::new(AtomicBool::new(true));
    let backends: Vec<_> = (0..4)
        .map(|_| {
            let breaks = breaks.clone();
            Backend::start(move |_| if breaks.load(SeqCst) { Reply::Close(Vec::new()) } else { ok(b"good") })
        })
        .collect();
    let (_counter, _discovery, ingress) = fleet(&backends);
    let mut client = ingress.client();
    // Enough to put each of them out.
    for _ in 0..12 {
        assert_eq!(client.call(booking("x")).status(), 502);
    }
    breaks.store(false, SeqCst);
    assert_eq!(client.call(read_request()).status(), 200);
}

#[test]
fn a_backend_that_breaks_every_connection_is_soon_left_out() {
    let mut backends: Vec<_> = (0..2).map(|_| Backend::start(|_| ok(b"good"))).collect();
    backends.push(Backend::start(|_| Reply::Close(Vec::new())));
    let (_counter, _discovery, ingress) = fleet(&backends);
    let (mut client, start) = (ingress.client(), Instant::now());
    for _ in 0..60 {
        assert_eq!(client.call(read_request()).status(), 200);
    }
    // Three to learn of it, and one trial each time that a while (half a second, at first) is over.
    let trials = start.elapsed().as_millis() as usize / 500;
    assert!(backends[2].request_count() <= 3 + trials, "{} requests", backends[2].request_count());
}

#[test]
fn kept_connections_that_break_say_nothing_of_their_backend() {
    let breaks = Arc::new(AtomicBool::new(false));
    let broken = breaks.clone();
    let backend = Backend::start(move |_| {
        if broken.load(SeqCst) {
            return Reply::Close(Vec::new());
        }
        Reply::Later(b"HTTP/1.1 200 OK\r\n".to_vec(), b"Content-Length: 1\r\n\r\nx".to_vec())
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut clients: Vec<_> = (0..8).map(|_| ingress.client()).collect();
    until("several connections are kept", || {
        clients.iter_mut().for_each(|client| client.send(read_request()));
        assert!(clients.iter_mut().all(|client| client.read_response().unwrap().status() == 200));
        backend.connections() >= 4
    });
    breaks.store(true, SeqCst);
    let kept = backend.connections();
    clients[..4].iter_mut().for_each(|client| client.send(booking("x")));
    assert!(clients[..4].iter_mut().all(|client| client.read_response().unwrap().status() == 502));
    assert_eq!(backend.connections(), kept);
    breaks.store(false, SeqCst);
    assert_eq!(clients[0].call(read_request()).status(), 200);
}

#[test]
fn connections_that_die_while_unused_are_soon_kept_for_less() {
    let mut last = Instant::now();
    let backend = Backend::start(move |request| {
        let unused = std::mem::replace(&mut last, Instant::now()).elapsed();
        if request.headers[NTH] != "1" && unused > Duration::from_millis(30) {
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
    // Each second one, if none were learned from.
    let failed = (0..16).filter(failed).count();
    assert!(failed <= 3, "{failed} of 16");
    // Those in steady use are kept all the same.
    let before = backend.connections();
    assert!((0..20).all(|_| client.call(read_request()).status() == 200));
    assert!(backend.connections() <= before + 2, "{before} {}", backend.connections());
}

#[test]
fn a_backend_that_answers_in_between_is_not_left_out_for_broken_connections() {
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

/// Spoilt in every way that bytes can be; the connection stays open and is of no further use.
const SPOILT: [&str; 9] = [
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
fn a_spoilt_answer_fails_its_attempt_and_leaves_the_backend_in_use() {
    for spoilt in SPOILT {
        let mut number = 0;
        let backend = Backend::start(move |request| {
            number += 1;
            // Two spoilt answers in a row, from the only backend there is.
            if number <= 2 || request.start_line.starts_with("POST") {
                raw(spoilt)
            } else {
                ok(b"good")
            }
        });
        let (_counter, _discovery, ingress) = one_backend(&backend);
        let mut client = ingress.client();
        // Safe to repeat: sent again until it is answered, each time on a new connection.
        let start = Instant::now();
        let answer = client.call(read_request());
        assert_eq!((answer.status(), answer.body), (200, b"good".to_vec()), "{spoilt}");
        assert!(start.elapsed() < Duration::from_millis(700), "{:?} {spoilt}", start.elapsed());
        assert_eq!((backend.request_count(), backend.connections()), (3, 3), "{spoilt}");
        // It may have run: an unsafe one has failed, and is not sent again.
        let status = client.call(booking("x")).status();
        assert!(![200, 429, 503].contains(&status), "{status} {spoilt}");
        assert_eq!(backend.request_count(), 4, "{spoilt}");
    }
}

#[test]
fn what_comes_with_a_good_answer_or_behind_it_changes_nothing() {
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    let cases = [
        (format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{good}mine"), 1),
        ("HTTP/1.1 200 OK\r\nSrv-Load: inflight=NaN\r\nContent-Length: 4\r\n\r\nmine".to_string(), 1),
        ("HTTP/1.1 200 OK\r\nSrv-Load: \u{ff}=\u{fe}\r\nContent-Length: 4\r\n\r\nmine".to_string(), 1),
        ("HTTP/1.1 200 OK\r\nSrv-Load: inflight=-9e99\r\nContent-Length: 4\r\n\r\nmine".to_string(), 1),
        // More than belongs to it: the connection is of no further use.
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
fn bytes_that_come_after_the_connection_was_put_back_are_seen_before_its_next_use() {
    let late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
    let mut number = 0;
    let backend = Backend::start(move |_| {
        number += 1;
        match ok(b"mine") {
            Reply::Raw(bytes) if number % 2 == 1 => Reply::Later(bytes, late.as_bytes().to_vec()),
            reply => reply,
        }
    });
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    for _ in 0..10 {
        // Read before the call: the backend may write the late bytes before the client has its answer.
        let late = backend.late_replies();
        assert_eq!(client.call(read_request()).body, b"mine");
        until("the stale bytes are out", || {
            backend.late_replies() > late || backend.request_count().is_multiple_of(2)
        });
        assert_eq!(client.call(read_request()).body, b"mine");
    }
}

#[test]
fn idle_connections_make_room_for_one_that_is_needed() {
    let backends: Vec<_> = (0..30).map(|_| Backend::start(|_| ok(b"x"))).collect();
    let members = backends.iter().enumerate();
    let members = members.map(|(i, backend)| member(&format!("s-{i}"), backend.address, "in_service"));
    let (counter, discovery) = (Counter::start(), Discovery::start(members.collect()));
    // 20 connections to backends at most, and 30 backends that each get their turn.
    let ingress = Ingress::start_with(&counter, &discovery, |config| config["limits"]["sockets"] = json!(64));
    let mut client = ingress.client();
    for _ in 0..120 {
        assert_eq!(client.call(read_request()).status(), 200);
    }
    assert!(backends.iter().filter(|backend| backend.request_count() > 0).count() > 24);
}

#[test]
fn a_backend_that_was_gone_serves_again_under_its_id_and_its_address_under_another() {
    let (first, second) = (Backend::start(|_| ok(b"first")), Backend::start(|_| ok(b"second")));
    let (_counter, discovery, ingress) = one_backend(&first);
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).body, b"first");
    for round in 0..2 {
        discovery.update(member("s-2", second.address, "in_service"));
        discovery.update(member("s-1", first.address, "terminated"));
        until("the second serves", || client.call(read_request()).body == b"second");
        // Forgotten ones are dropped once a second.
        std::thread::sleep(Duration::from_millis(1200));
        let id = ["s-1", "s-3"][round];
        discovery.update(member(id, first.address, "in_service"));
        discovery.update(member("s-2", second.address, "terminated"));
        until("the first serves", || client.call(read_request()).body == b"first");
        discovery.update(member(id, first.address, "in_service"));
    }
}

#[test]
fn a_connection_that_the_backend_closed_while_idle_loses_no_request() {
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
fn a_silent_backend_costs_one_attempt_that_is_closed_before_the_deadline() {
    let backend = Backend::start(|_| Reply::Hold);
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let start = Instant::now();
    let answer = ingress.client().call(booking("x"));
    assert!(start.elapsed() < Duration::from_millis(1000), "{:?}", start.elapsed());
    assert!(![200, 429, 503].contains(&answer.status()), "{}", answer.status());
    until("the attempt's connection is closed", || backend.ended_connections() == 1);
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn a_client_that_goes_away_takes_its_attempt_along() {
    let backend = Backend::start(|_| Reply::Hold);
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    let start = Instant::now();
    client.send(read_request());
    until("the attempt is out", || backend.request_count() == 1);
    client.stream.shutdown(Shutdown::Both).unwrap();
    until("the attempt's connection is closed", || backend.ended_connections() == 1);
    // Well before the attempt would have been given up anyway.
    assert!(start.elapsed() < Duration::from_millis(600), "{:?}", start.elapsed());
}

#[test]
fn a_drained_backend_gets_nothing_new_and_a_new_one_does() {
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
fn a_backend_that_moves_is_followed_by_its_id() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (_counter, discovery, ingress) = one_backend(&old);
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).body, b"old");
    discovery.update(member("s-1", new.address, "in_service"));
    until("the old connection is closed", || old.ended_connections() == 1);
    assert_eq!(client.call(read_request()).body, b"new");
}

#[test]
fn a_watch_that_falls_silent_is_begun_anew() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (_counter, discovery, ingress) = one_backend(&old);
    discovery.set_silent(true);
    discovery.update(member("s-1", old.address, "terminated"));
    discovery.update(member("s-2", new.address, "in_service"));
    let calls = discovery.calls();
    // The call that was swallowed is given up, and later ones too, until one is answered.
    until("a further call came", || discovery.calls() > calls);
    discovery.set_silent(false);
    until("the new list is in force", || ingress.client().call(read_request()).body == b"new");
}

#[test]
fn a_start_from_a_known_list_asks_for_what_has_changed_since() {
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
fn a_discovery_that_turns_calls_away_is_called_ever_less_and_then_heard() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", old.address, "in_service")]));
    let known =
        json!({"revision": 1, "complete": true, "members": [member("s-1", old.address, "in_service")]});
    discovery.set_overloaded(true);
    let ingress = Ingress::start_with(&counter, &discovery, |config| config["known"] = known);
    until("a call is turned away", || discovery.calls() >= 1);
    let first = Instant::now();
    assert_eq!(ingress.client().call(read_request()).body, b"old");
    until("it is made twice more", || discovery.calls() >= 3);
    // The pauses are half a second and a second at least, less what passed before the first call was seen.
    assert!(first.elapsed() >= Duration::from_millis(1200), "{:?}", first.elapsed());
    discovery.update(member("s-2", new.address, "in_service"));
    discovery.update(member("s-1", old.address, "terminated"));
    discovery.set_overloaded(false);
    until("the changes are in force", || ingress.client().call(read_request()).body == b"new");
}

#[test]
fn it_is_ready_only_with_a_list_and_starts_from_the_known_one() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) = (Counter::start(), Discovery::start(Vec::new()));
    discovery.set_silent(true);
    let bare = Ingress::spawn(&counter, &discovery, |_| {});
    until("it listens", || Client::try_open(bare.address).is_some());
    assert_eq!(bare.client().call(READY).status(), 503);
    let known = json!({"revision": 3, "complete": true,
                       "members": [member("s-1", backend.address, "in_service")]});
    let ingress = Ingress::start_with(&counter, &discovery, |config| config["known"] = known);
    assert_eq!(ingress.client().call(read_request()).status(), 200);
}

#[test]
fn beyond_the_quota_the_refusal_comes_at_once_and_says_when_to_return() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    let narrow = || request_head("GET", "avail-read", "narrow", "1500m") + "\r\n";
    let refused = (0..12).find_map(|_| {
        let start = Instant::now();
        let answer = client.call(narrow());
        (answer.status() != 200).then_some((answer, start.elapsed()))
    });
    let (answer, took) = refused.expect("the burst is used up");
    assert_eq!(answer.status(), 429);
    let seconds: f64 = answer.headers["retry-after"].parse().unwrap();
    assert!(seconds > 0.0 && seconds <= 2.0, "{seconds}");
    assert!(took < Duration::from_millis(200), "{took:?}");
}

#[test]
fn a_counter_that_is_silent_busy_or_broken_does_not_stop_the_service() {
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
        // It is asked again once it is back; a connection that owes answers is replaced.
        until("the counter answers again", || {
            counter.clear_calls();
            assert_eq!(client.call(read_request()).status(), 200);
            !counter.calls().is_empty()
        });
    }
}

#[test]
fn late_answers_of_the_counter_keep_their_places() {
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
    // An answer out of place would have broken the connection.
    assert_eq!(counter.connections(), 1);
}

#[test]
fn datagrams_of_peers_and_strangers_end_nothing() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    let own = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let ingress = Ingress::start_with(&counter, &discovery, |config| {
        config["settings"]["bounds"]["peer-messages"] = json!(true);
        config["peer_listen"] = json!(own.to_string());
        config["peers"] = json!([own.to_string(), peer.local_addr().unwrap().to_string()]);
    });
    let told = [vec![], vec![1], vec![0xff; 256], [7u64.to_le_bytes().to_vec(), vec![1]].concat()];
    for data in &told {
        peer.send_to(data, own).unwrap();
        stranger.send_to(data, own).unwrap();
    }
    assert_eq!(ingress.client().call(read_request()).status(), 200);
}

#[test]
fn malformed_requests_are_turned_down_and_never_go_on() {
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
    // Half a request, and a connection closed in its middle.
    let mut half = ingress.client();
    half.send(booking_head + "Content-Length: 10\r\n\r\nhalf");
    half.stream.shutdown(Shutdown::Write).unwrap();
    assert!(half.read_response().is_none_or(|answer| answer.status() == 400));
    ingress.client().send(&good[..good.len() / 2]);
    assert_eq!(backend.request_count(), 0);
    assert_eq!(ingress.client().call(read_request()).status(), 200);
}

#[test]
fn clients_that_ask_once_and_stay_keep_nobody_out() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let mut ingress =
        Ingress::start_with(&counter, &discovery, |config| config["limits"]["sockets"] = json!(64));
    // Well more than there are descriptors: answers close their connections once many are open.
    let (mut stay, start, mut closed) = (Vec::new(), Instant::now(), 0);
    for number in 0..100 {
        let mut client = ingress.client();
        let answer = client.call(read_request());
        assert_eq!(answer.status(), 200, "number {number}");
        closed += u32::from(answer.headers.get("connection").is_some_and(|value| value == "close"));
        stay.push(client);
    }
    // Nobody had to wait for an idle connection to be old enough to be closed.
    assert!(start.elapsed() < Duration::from_millis(1500), "{:?}", start.elapsed());
    assert!(closed > 50 && stay[99].is_closed(), "{closed}");
    // Those that were told nothing of the kind are of use.
    assert_eq!(stay[0].call(read_request()).status(), 200);
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", ingress.child.id())).unwrap().count();
    assert!(descriptors < 64, "{descriptors}");
    assert!(ingress.child.try_wait().unwrap().is_none());
}

#[test]
fn a_client_that_says_nothing_or_half_a_request_is_sent_away_within_three_seconds() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let start = Instant::now();
    let (mut silent, mut half, mut body) = (ingress.client(), ingress.client(), ingress.client());
    half.send(&read_request()[..40]);
    body.send(request_head("POST", "booking-post", "wide", "1000m") + "Content-Length: 10\r\n\r\nhalf");
    assert!(silent.is_closed() && half.is_closed());
    assert!(body.read_response().is_none_or(|answer| answer.status() == 408));
    let took = start.elapsed();
    assert!(took > Duration::from_millis(2000) && took < Duration::from_millis(3000), "{took:?}");
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn a_request_turned_down_ends_its_connection_and_what_follows_is_never_passed_on() {
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
        // Alone it may have a body, where a body is taken.
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
        let answer = client.call(&text);
        assert!((400..500).contains(&answer.status()), "{} {text}", answer.status());
        assert_eq!(answer.headers["connection"], "close", "{text}");
        assert!(client.is_closed(), "{text}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn a_client_that_sends_far_too_much_still_reads_why_it_is_turned_down() {
    let backend = Backend::start(|_| ok(b"x"));
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let mut client = ingress.client();
    client.send(request_head("POST", "booking-post", "wide", "1000m") + "Content-Length: 60000000\r\n\r\n");
    let part = vec![b'x'; 1_000_000];
    // It reads nothing before all is sent; a reset on the way would fail a write, or eat the answer.
    (0..60).for_each(|_| client.send(&part));
    assert_eq!(client.read_response().map(|answer| answer.status()), Some(413));
    client.stream.shutdown(Shutdown::Write).unwrap();
    assert!(client.is_closed());
}

#[test]
fn the_id_of_an_open_request_is_not_sent_on_again() {
    let backend = Backend::start(|_| Reply::Hold);
    let (_counter, _discovery, ingress) = one_backend(&backend);
    let (mut first, mut second) = (ingress.client(), ingress.client());
    let request = booking("x");
    first.send(&request);
    until("the request is out", || backend.request_count() == 1);
    assert_eq!(second.call(&request).status(), 400);
    assert_eq!(backend.request_count(), 1);
    // Once it is over the id is forgotten.
    assert_eq!(first.read_response().map(|answer| answer.status()), Some(502));
    second = ingress.client();
    second.send(&request);
    until("it is sent on", || backend.request_count() == 2);
}

#[test]
fn sighup_takes_discovery_and_counter_from_the_new_file() {
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
    let asked = |counter: &Counter, body: &[u8]| {
        until("the new list is in force", || ingress.client().call(read_request()).body == body);
        until("the new counter is asked", || {
            counter.clear_calls();
            assert_eq!(ingress.client().call(read_request()).body, body);
            !counter.calls().is_empty()
        });
    };
    ingress.reload(&second.to_string());
    asked(&counter2, b"new");
    // A file that makes no sense leaves all as it is.
    for bad in ["", "{}", "{\"discovery\": 7"] {
        ingress.reload(bad);
    }
    asked(&counter2, b"new");
    ingress.reload(&first.to_string());
    asked(&counter, b"old");
    // The old connections are given up, and a signal to end is still heeded.
    ingress.reload(&second.to_string());
    asked(&counter2, b"new");
    ingress.terminate();
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
}

#[test]
fn a_total_that_is_none_costs_only_its_own_call() {
    let backend = Backend::start(|_| ok(b"x"));
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    // Patience enough to tell an illegible answer from none.
    let ingress = Ingress::start_with(&counter, &discovery, |config| {
        config["settings"]["family-info"]["counter-timeout-us"] = json!(600_000);
    });
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).status(), 200);
    counter.set(Mode::Malformed);
    let start = Instant::now();
    assert_eq!(client.call(read_request()).status(), 200);
    // The illegible answer is seen when it comes, not when the call's time is up.
    assert!(start.elapsed() < Duration::from_millis(400), "{:?}", start.elapsed());
    counter.set(Mode::Answer);
    // Nor does it make the counter pass for a slow one, which is asked more rarely.
    until("both calls are noted", || counter.calls().len() == 2);
    counter.clear_calls();
    for _ in 0..8 {
        assert_eq!(client.call(read_request()).status(), 200);
    }
    assert_eq!((counter.connections(), counter.calls().len()), (2, 8));
}

#[test]
fn sigterm_finishes_what_was_taken_and_takes_new_connections_for_a_while() {
    let (release, held) = std::sync::mpsc::channel::<()>();
    let backend = Backend::start(move |request| {
        if request.start_line.starts_with("POST") {
            let _ = held.recv();
        }
        ok(b"x")
    });
    let (_counter, _discovery, mut ingress) = one_backend(&backend);
    let (mut idle, mut busy) = (ingress.client(), ingress.client());
    assert_eq!(idle.call(READY).status(), 200);
    busy.send(booking("x"));
    until("the request is out", || backend.request_count() == 1);
    ingress.terminate();
    assert!(idle.is_closed(), "an idle connection is closed between requests");
    release.send(()).unwrap();
    let answer = busy.read_response().expect("what was taken is answered");
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (200, "close"));
    let answer = ingress.client().call(read_request());
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (200, "close"));
    assert_eq!(ingress.wait_for_exit().code(), Some(0));
}

#[test]
fn half_a_request_does_not_keep_the_program_from_ending() {
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
    // SIGKILL comes no sooner than the longest deadline and 0.7 s more, and 0.7 s on top are granted.
    assert!(start.elapsed() < Duration::from_millis(3400), "{:?}", start.elapsed());
}

#[test]
fn an_entry_that_makes_no_sense_hides_no_other() {
    let (old, new) = (Backend::start(|_| ok(b"old")), Backend::start(|_| ok(b"new")));
    let (_counter, discovery, ingress) = one_backend(&old);
    assert_eq!(ingress.client().call(read_request()).body, b"old");
    discovery.update(json!({"id": "s-9", "host_port": "nowhere", "phase": "unheard_of"}));
    discovery.update(member("s-2", new.address, "in_service"));
    discovery.update(member("s-1", old.address, "terminating"));
    until("the drain is heeded", || old.ended_connections() == 1);
    assert_eq!(ingress.client().call(read_request()).body, b"new");
}

#[test]
fn a_bad_configuration_is_named_in_one_line() {
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
