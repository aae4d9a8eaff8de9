//! Bodies pass as they come, whole or visibly not, and a proxy holds no more than a part of them.

#![cfg(test)]

mod common;

use common::{configuration, TestSystem};
use serde_json::json;
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use violetyoke_local::backend::{executions_by_attempt, Backend, Fault};
use violetyoke_standin::http::read_http;

const LARGE: usize = 12 << 20;

/// A system whose clients and routes leave time enough for large bodies on a slow machine.
fn patient() -> TestSystem {
    let mut system = TestSystem::start();
    system.client_deadline_ms = 20_000;
    let mut patient = configuration(2);
    for route in patient["routes"]["rows"].as_array_mut().expect("routes") {
        route[4] = json!(20_000);
    }
    system.replace_configuration(&patient);
    system
}

fn bytes(size: usize) -> Vec<u8> {
    (0..size).map(|n| n as u8).collect()
}

/// The most memory that an edge's process ever held (kB).
fn peak(system: &TestSystem, edge: usize) -> u64 {
    let id = system.processes.edges[edge].proxy.id().expect("a process");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("its peak");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a figure")
}

#[test]
fn large_bodies_are_streamed_unchanged_in_both_directions() {
    let mut system = patient();
    let before = peak(&system, 0);
    let body = bytes(LARGE);
    let (id, answer) = system.send(0, "/search/in", "key-1", &body);
    assert_eq!(answer.expect("an answer").status(), 200);
    let runs: Vec<_> = system.finders.iter().flat_map(Backend::executions).collect();
    let run = runs.iter().find(|run| run.attempt == id).expect("it ran");
    assert!(run.body == body, "{} bytes", run.body.len());
    let (_, answer) = system.send(0, &format!("/search/bytes/{LARGE}"), "key-1", b"");
    let answer = answer.expect("an answer");
    assert_eq!((answer.status(), answer.body.len()), (200, LARGE));
    assert!(answer.body == body);
    assert_eq!(answer.headers.get("content-length"), Some(&LARGE.to_string()));
    let held = peak(&system, 0) - before;
    assert!(held < 6 << 10, "{held} kB more for two bodies of {} kB", LARGE >> 10);
    // A body that comes in chunks, of a length that nobody knows.
    let mut stream = TcpStream::connect(system.processes.edges[1].front).expect("a connection");
    let head =
        "POST /book/in HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: chunks\r\nx-deadline-ms: 20000\r\n\
                x-credential: key-1\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).expect("sent");
    for part in body[..1 << 20].chunks(50_000) {
        stream.write_all(format!("{:x}\r\n", part.len()).as_bytes()).expect("sent");
        stream.write_all(part).expect("sent");
        stream.write_all(b"\r\n").expect("sent");
    }
    stream.write_all(b"0\r\n\r\n").expect("sent");
    assert_eq!(read_http(&mut BufReader::new(stream)).expect("an answer").status(), 200);
    let runs: Vec<_> = system.ledgers.iter().flat_map(Backend::executions).collect();
    let run = runs.iter().find(|run| run.attempt == "chunks").expect("it ran");
    assert!(run.body == body[..1 << 20], "{} bytes", run.body.len());
}

#[test]
fn truncated_bodies_never_look_complete() {
    let mut system = patient();
    for finder in &system.finders {
        finder.set_fault(Fault::TruncatesResponses);
    }
    // Large: the client has the beginning when the backend breaks off. Small: nothing of it is passed on.
    assert!(system.send(0, &format!("/search/bytes/{LARGE}"), "key-1", b"").1.is_none());
    assert_eq!(system.send(0, "/search/bytes/3000", "key-1", b"").1.map(|answer| answer.status()), Some(502));
    for finder in &system.finders {
        finder.set_fault(Fault::None);
    }
    // A client that breaks off in the middle of its body: no backend takes the part for the whole.
    let mut stream = TcpStream::connect(system.processes.edges[0].front).expect("a connection");
    let head = format!(
        "POST /book/in HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: part\r\nx-deadline-ms: 20000\r\n\
                 x-credential: key-1\r\ncontent-length: {LARGE}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(&bytes(LARGE / 2)).expect("sent");
    drop(stream);
    assert_eq!(system.status(0, "/book/after", "key-1", b"x"), 200);
    assert!(!executions_by_attempt(&system.ledgers).contains_key("part"));
}

#[test]
fn configured_limits_bound_body_size_and_head_time() {
    let mut system = TestSystem::start();
    let mut limited = configuration(2);
    limited["limits"] = json!({"max-header-bytes": 16384, "max-body-bytes": 100_000, "header-timeout-ms": 300,
                               "idle-timeout-ms": 15000});
    system.replace_configuration(&limited);
    assert_eq!(system.status(0, "/search/in", "key-1", &bytes(100_000)), 200);
    assert_eq!(system.status(0, "/search/in", "key-1", &bytes(100_001)), 413);
    // Half a head: the connection ends soon after the bound, long before one that is only idle.
    let mut idle = TcpStream::connect(system.processes.edges[0].front).expect("a connection");
    let mut slow = TcpStream::connect(system.processes.edges[0].front).expect("a connection");
    let begun = Instant::now();
    slow.write_all(b"GET /search/1 HTTP/1.1\r\nhost: rooms").expect("sent");
    slow.set_read_timeout(Some(Duration::from_secs(10))).expect("a bound");
    let mut got = Vec::new();
    assert!(slow.read_to_end(&mut got).is_ok(), "it ended");
    let took = begun.elapsed();
    assert!(took >= Duration::from_millis(300) && took < Duration::from_secs(8), "{took:?}");
    idle.write_all(
        b"GET /search/1 HTTP/1.1\r\nhost: rooms.example\r\nx-attempt-id: i\r\nx-credential: key-1\r\n\r\n",
    )
    .expect("sent");
    assert_eq!(read_http(&mut BufReader::new(idle)).expect("an answer").status(), 200);
}
