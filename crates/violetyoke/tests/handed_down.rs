//! What a process that takes over is handed by the one before it, and what it believes of that.

#![cfg(test)]

mod common;

use common::held::{serves, Held, Process};
use common::*;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// One that fails everything it is sent.
fn sick() -> Backend {
    Backend::start(|_| raw("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
}

/// Calls until the process has left `node` out, as it then sends it next to nothing.
fn learn_of(process: &Process, node: &Backend) {
    until("the sick node is left out", || {
        let before = node.request_count();
        serves(&process.ingress, 20);
        node.request_count() == before
    });
}

/// A process that serves has written its line, but the test's reader of its log may not have come to it yet.
fn until_told(process: &Process, what: &str) {
    until(what, || process.ingress.told(what) == 1);
}

#[test]
fn a_new_process_knows_the_sick_node_that_the_old_one_knew() {
    let (a, b, c) = (sick(), Backend::start(|_| ok(b"b")), Backend::start(|_| ok(b"c")));
    let held = Held::new(&[&a, &b, &c]);
    let old = held.start();
    learn_of(&old, &a);
    let new = held.start();
    until_told(&new, "state handover: imported: 3 nodes");
    let before = a.request_count();
    serves(&new.ingress, 4);
    assert_eq!(a.request_count(), before);
}

/// Another process of the ingress, played by the test: it has said that it serves, and answers who asks.
struct Predecessor {
    folder: PathBuf,
}

impl Predecessor {
    fn new(held: &Held) -> Predecessor {
        let folder = held.folder.join("violetyoke-n0");
        std::fs::create_dir_all(folder.join("out")).unwrap();
        std::fs::write(folder.join("serving"), "an older one").unwrap();
        Predecessor { folder }
    }

    /// Leaves what is made of the asker's name as soon as somebody has asked.
    fn answers(self, answer: impl FnOnce(String) -> Option<Vec<u8>> + Send + 'static) {
        std::thread::spawn(move || {
            let mut asker = String::new();
            until("the new process asks", || {
                asker = std::fs::read_to_string(self.folder.join("asks")).unwrap_or_default();
                !asker.is_empty()
            });
            match answer(asker) {
                Some(handed) => {
                    std::fs::write(self.folder.join("handed.new"), handed).unwrap();
                    std::fs::rename(self.folder.join("handed.new"), self.folder.join("handed")).unwrap();
                }
                // Killed while it writes.
                None => std::fs::write(self.folder.join("handed.new"), b"VYSN\x01\x00\xff").unwrap(),
            }
        });
    }
}

#[test]
fn what_is_torn_foreign_or_missing_is_not_believed_and_said() {
    use violetyoke_succession::{seal, Header, VERSION};
    type Answer = Box<dyn FnOnce(String) -> Option<Vec<u8>> + Send>;
    let whole =
        |to: String, settings: u64| seal(&Header { ingress: "n0".into(), settings, to }, &()).unwrap();
    let answers: [(&str, Answer); 6] = [
        ("has not answered", Box::new(|_| None)),
        ("length: 5 bytes, expected ", Box::new(move |to| Some(whole(to, 1)[..23].to_vec()))),
        ("settings: not the expected one", Box::new(move |to| Some(whole(to, 1)))),
        ("format: not a sealed state", Box::new(|_| Some(b"nodes = 3".to_vec()))),
        (
            "version: sealed as version",
            Box::new(move |to| {
                let mut sealed = whole(to, 1);
                sealed[4] = VERSION as u8 + 1;
                Some(sealed)
            }),
        ),
        (
            "checksum: does not match",
            Box::new(move |to| {
                let mut sealed = whole(to, 1);
                *sealed.last_mut().unwrap() ^= 1;
                Some(sealed)
            }),
        ),
    ];
    for (why, answer) in answers {
        let a = Backend::start(|_| ok(b"a"));
        let held = Held::new(&[&a]);
        Predecessor::new(&held).answers(answer);
        let new = held.start();
        until_told(&new, why);
        assert_eq!(new.ingress.told("state handover: nothing imported"), 1);
        serves(&new.ingress, 2);
    }
}

/// A file that whoever opens it to write waits for until somebody reads.
fn named_pipe(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

#[test]
fn the_wait_for_an_answer_begins_once_the_request_is_written() {
    use violetyoke_succession::{seal, Header, HANDOVER_TIMEOUT};
    let a = Backend::start(|_| ok(b"a"));
    let held = Held::new(&[&a]);
    let folder = Predecessor::new(&held).folder;
    let [earlier, answer, request, asks] =
        ["handed", "handed.new", "asks.new", "asks"].map(|n| folder.join(n));
    std::fs::write(&earlier, "for another").unwrap();
    let header = Header { ingress: "n0".into(), settings: 1, to: "any".into() };
    std::fs::write(&answer, seal(&header, &()).unwrap()).unwrap();
    // It can't be written for longer than an answer is waited for, as on a busy disk.
    named_pipe(&request);
    std::thread::spawn(move || {
        until("the new process is about to ask", || !earlier.exists());
        let began = Instant::now();
        until("the time for an answer has passed", || {
            began.elapsed() > Duration::from_micros(HANDOVER_TIMEOUT)
        });
        let asker = std::fs::read_to_string(&request).unwrap();
        until("the request is there", || asks.exists());
        // A file again, which can be read once more.
        std::fs::write(&request, asker).unwrap();
        std::fs::rename(&request, &asks).unwrap();
        std::fs::rename(&answer, &earlier).unwrap();
    });
    let new = held.start();
    until_told(&new, "state handover: nothing imported: settings: not the expected one");
    serves(&new.ingress, 2);
}

#[test]
fn a_first_process_asks_nobody() {
    let a = Backend::start(|_| ok(b"a"));
    let held = Held::new(&[&a]);
    let first = held.start();
    assert_eq!(first.ingress.told("state handover"), 0);
    assert!(!held.folder.join("violetyoke-n0/asks").exists());
}

#[test]
fn what_was_handed_to_a_process_that_died_is_taken_back() {
    let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
    let held = Held::new(&[&a, &b]);
    let old = held.start();
    serves(&old.ingress, 4);
    // One that asks and is never heard of again.
    std::fs::write(held.folder.join("violetyoke-n0/asks"), "a process that died").unwrap();
    until("it is handed down", || held.folder.join("violetyoke-n0/handed").exists());
    serves(&old.ingress, 4);
    until("it is taken back", || old.ingress.told("the exported state is reclaimed") == 1);
    serves(&old.ingress, 4);
    // The next one gets it all the same.
    let new = held.start();
    until("it is heard what was handed down", || new.ingress.told("state handover: ") == 1);
    assert_eq!(new.ingress.told("imported: 2 nodes"), 1, "{:?}", new.ingress.log.lock().unwrap());
}

#[test]
fn what_an_hour_old_process_left_is_not_taken_for_an_answer() {
    let (a, b) = (sick(), Backend::start(|_| ok(b"b")));
    let held = Held::new(&[&a, &b]);
    let mut old = held.start();
    learn_of(&old, &a);
    std::fs::write(held.folder.join("violetyoke-n0/asks"), "an earlier one").unwrap();
    let handed = held.folder.join("violetyoke-n0/handed");
    until("it is handed down", || handed.exists());
    old.ingress.child.kill().unwrap();
    old.ingress.exit();
    // The dead one's answer is still there, and its word that it serves.
    let new = held.start();
    until_told(&new, "state handover: nothing imported: the process that served has ended");
    assert!(!handed.exists());
    serves(&new.ingress, 4);
}

#[test]
fn a_new_process_that_dies_right_after_its_yes_leaves_the_old_one_serving() {
    let (a, b) = (sick(), Backend::start(|_| ok(b"b")));
    let held = Held::new(&[&a, &b]);
    let old = held.start();
    learn_of(&old, &a);
    let mut new = held.start();
    until("the old process has seen the new one", || old.ingress.told("clients: TakenOver") == 1);
    new.ingress.child.kill().unwrap();
    new.ingress.exit();
    until("the old one takes clients again", || old.ingress.told("clients: Serving") == 1);
    until("and has back what it lent", || old.ingress.told("the exported state is reclaimed") == 1);
    let before = a.request_count();
    serves(&old.ingress, 4);
    assert_eq!(a.request_count(), before);
    // And hands it to the next.
    let next = held.start();
    until_told(&next, "state handover: imported: 2 nodes");
    until("the old process has seen the next", || old.ingress.told("clients: TakenOver") == 2);
    serves(&next.ingress, 4);
}
