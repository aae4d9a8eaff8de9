//! The state that a new process of an ingress imports from the old one, and the states that it rejects.

#![cfg(test)]

mod common;

use common::shared_socket::{assert_serves, Process, SharedSocket};
use common::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// A node that fails all requests.
fn failing_backend() -> Backend {
    Backend::start(|_| raw("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
}

/// Sends requests until the process has ejected `node` and sends it no more requests.
fn send_until_ejected(process: &Process, node: &Backend) {
    until("the failing node is ejected", || {
        let before = node.request_count();
        assert_serves(&process.ingress, 20);
        node.request_count() == before
    });
}

/// Waits for a log line. A process that is ready has written it, but the test may not have read it yet.
fn wait_for_log_line(process: &Process, text: &str) {
    until(text, || process.ingress.count_log_lines(text) == 1);
}

#[test]
fn node_ejected_by_the_old_process_stays_ejected_in_the_new_one() {
    let (a, b, c) = (failing_backend(), Backend::start(|_| ok(b"b")), Backend::start(|_| ok(b"c")));
    let socket = SharedSocket::new(&[&a, &b, &c]);
    let old = socket.start();
    send_until_ejected(&old, &a);
    let new = socket.start();
    wait_for_log_line(&new, "state handover: imported: 3 nodes");
    let before = a.request_count();
    assert_serves(&new.ingress, 4);
    assert_eq!(a.request_count(), before);
}

/// Another process of the ingress, simulated by the test: it has announced that it serves, and responds to a
/// request for its state.
struct Predecessor {
    folder: PathBuf,
}

impl Predecessor {
    fn new(socket: &SharedSocket) -> Predecessor {
        let folder = socket.folder.join("violetyoke-n0");
        std::fs::create_dir_all(folder.join("out")).unwrap();
        std::fs::write(folder.join("serving"), "an old process").unwrap();
        Predecessor { folder }
    }

    /// Writes the state that `make_state` returns for the name of the requesting process, once there is a
    /// request.
    fn respond_with(self, make_state: impl FnOnce(String) -> Option<Vec<u8>> + Send + 'static) {
        std::thread::spawn(move || {
            let mut process = String::new();
            until("the new process requests the state", || {
                process = std::fs::read_to_string(self.folder.join("asks")).unwrap_or_default();
                !process.is_empty()
            });
            match make_state(process) {
                Some(state) => {
                    std::fs::write(self.folder.join("handed.new"), state).unwrap();
                    std::fs::rename(self.folder.join("handed.new"), self.folder.join("handed")).unwrap();
                }
                // The process is killed while it writes.
                None => std::fs::write(self.folder.join("handed.new"), b"VYSN\x01\x00\xff").unwrap(),
            }
        });
    }
}

#[test]
fn damaged_foreign_or_missing_state_is_not_imported_and_the_reason_is_logged() {
    use violetyoke_succession::{seal, Header, VERSION};
    type MakeState = Box<dyn FnOnce(String) -> Option<Vec<u8>> + Send>;
    let seal_state =
        |to: String, settings: u64| seal(&Header { ingress: "n0".into(), settings, to }, &()).unwrap();
    let cases: [(&str, MakeState); 6] = [
        ("has not answered", Box::new(|_| None)),
        ("length: 5 bytes, expected ", Box::new(move |to| Some(seal_state(to, 1)[..23].to_vec()))),
        ("settings: not the expected one", Box::new(move |to| Some(seal_state(to, 1)))),
        ("format: not a sealed state", Box::new(|_| Some(b"nodes = 3".to_vec()))),
        (
            "version: sealed as version",
            Box::new(move |to| {
                let mut sealed = seal_state(to, 1);
                sealed[4] = VERSION as u8 + 1;
                Some(sealed)
            }),
        ),
        (
            "checksum: does not match",
            Box::new(move |to| {
                let mut sealed = seal_state(to, 1);
                *sealed.last_mut().unwrap() ^= 1;
                Some(sealed)
            }),
        ),
    ];
    for (reason, make_state) in cases {
        let a = Backend::start(|_| ok(b"a"));
        let socket = SharedSocket::new(&[&a]);
        Predecessor::new(&socket).respond_with(make_state);
        let new = socket.start();
        wait_for_log_line(&new, reason);
        assert_eq!(new.ingress.count_log_lines("state handover: nothing imported"), 1);
        assert_serves(&new.ingress, 2);
    }
}

/// Creates a named pipe: opening it for writing blocks until it is opened for reading.
fn named_pipe(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

#[test]
fn handover_time_out_starts_once_the_request_is_written() {
    use violetyoke_succession::{seal, Header, HANDOVER_TIMEOUT};
    let a = Backend::start(|_| ok(b"a"));
    let socket = SharedSocket::new(&[&a]);
    let folder = Predecessor::new(&socket).folder;
    let [state_file, answer, request, request_file] =
        ["handed", "handed.new", "asks.new", "asks"].map(|n| folder.join(n));
    std::fs::write(&state_file, "for another").unwrap();
    let header = Header { ingress: "n0".into(), settings: 1, to: "any".into() };
    std::fs::write(&answer, seal(&header, &()).unwrap()).unwrap();
    // Writing the request blocks for longer than the handover time-out, as on a busy disk.
    named_pipe(&request);
    std::thread::spawn(move || {
        until("the new process is about to write its request", || !state_file.exists());
        let started_at = Instant::now();
        until("the time-out of the handover has passed", || {
            started_at.elapsed() > Duration::from_micros(HANDOVER_TIMEOUT)
        });
        let process = std::fs::read_to_string(&request).unwrap();
        until("the request is written", || request_file.exists());
        // Replaces the pipe by a regular file.
        std::fs::write(&request, process).unwrap();
        std::fs::rename(&request, &request_file).unwrap();
        std::fs::rename(&answer, &state_file).unwrap();
    });
    let new = socket.start();
    wait_for_log_line(&new, "state handover: nothing imported: settings: not the expected one");
    assert_serves(&new.ingress, 2);
}

#[test]
fn first_process_requests_no_state() {
    let a = Backend::start(|_| ok(b"a"));
    let socket = SharedSocket::new(&[&a]);
    let first = socket.start();
    assert_eq!(first.ingress.count_log_lines("state handover"), 0);
    assert!(!socket.folder.join("violetyoke-n0/asks").exists());
}

#[test]
fn state_exported_to_a_process_that_died_is_reclaimed() {
    let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
    let socket = SharedSocket::new(&[&a, &b]);
    let old = socket.start();
    assert_serves(&old.ingress, 4);
    // A process that requests the state and never serves.
    std::fs::write(socket.folder.join("violetyoke-n0/asks"), "a process that died").unwrap();
    until("the state is exported", || socket.folder.join("violetyoke-n0/handed").exists());
    assert_serves(&old.ingress, 4);
    until("the state is reclaimed", || old.ingress.count_log_lines("the exported state is reclaimed") == 1);
    assert_serves(&old.ingress, 4);
    // The next process still gets the state.
    let new = socket.start();
    until("the new process has logged the import", || new.ingress.count_log_lines("state handover: ") == 1);
    assert_eq!(new.ingress.count_log_lines("imported: 2 nodes"), 1, "{:?}", new.ingress.log.lock().unwrap());
}

#[test]
fn state_left_by_a_dead_process_is_not_imported() {
    let (a, b) = (failing_backend(), Backend::start(|_| ok(b"b")));
    let socket = SharedSocket::new(&[&a, &b]);
    let mut old = socket.start();
    send_until_ejected(&old, &a);
    std::fs::write(socket.folder.join("violetyoke-n0/asks"), "an earlier process").unwrap();
    let state = socket.folder.join("violetyoke-n0/handed");
    until("the state is exported", || state.exists());
    old.ingress.child.kill().unwrap();
    old.ingress.wait_for_exit();
    // The dead process's state is still there, and its announcement that it serves.
    let new = socket.start();
    wait_for_log_line(&new, "state handover: nothing imported: the process that served has ended");
    assert!(!state.exists());
    assert_serves(&new.ingress, 4);
}

#[test]
fn old_process_serves_again_if_the_new_one_dies_after_it_took_over() {
    let (a, b) = (failing_backend(), Backend::start(|_| ok(b"b")));
    let socket = SharedSocket::new(&[&a, &b]);
    let old = socket.start();
    send_until_ejected(&old, &a);
    let mut new = socket.start();
    until("the old process has seen the new one", || old.ingress.count_log_lines("clients: TakenOver") == 1);
    new.ingress.child.kill().unwrap();
    new.ingress.wait_for_exit();
    until("the old process accepts clients again", || old.ingress.count_log_lines("clients: Serving") == 1);
    until("the old process has reclaimed its state", || {
        old.ingress.count_log_lines("the exported state is reclaimed") == 1
    });
    let before = a.request_count();
    assert_serves(&old.ingress, 4);
    assert_eq!(a.request_count(), before);
    // It exports the state to the next process.
    let next = socket.start();
    wait_for_log_line(&next, "state handover: imported: 2 nodes");
    until("the old process has seen the next one", || old.ingress.count_log_lines("clients: TakenOver") == 2);
    assert_serves(&next.ingress, 4);
}
