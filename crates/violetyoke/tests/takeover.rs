//! A new process of an ingress takes over from the old one on an inherited listening socket.

#![cfg(test)]

mod common;

use common::shared_socket::{assert_serves, call, SharedSocket};
use common::*;

#[test]
fn takeover_rejects_no_client_and_keeps_manual_ejections() {
    let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
    let socket = SharedSocket::new(&[&a, &b]);
    let mut old = socket.start();
    assert_eq!(call(old.console, "PUT", "/-/backends/s-0/disable"), 200);
    let mut keep_alive = old.ingress.client();
    assert_eq!(keep_alive.call(read_request()).status(), 200);
    let address = old.ingress.address;
    let stop = std::sync::atomic::AtomicBool::new(false);
    let before = a.request_count();
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|_| {
                let stop = &stop;
                scope.spawn(move || {
                    let (mut client, mut served) = (None, 0);
                    while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                        let mut open: Client =
                            client.take().unwrap_or_else(|| Client::try_open(address).unwrap());
                        let response = open.call(read_request());
                        assert_eq!(response.status(), 200);
                        served += 1;
                        if response.headers.get("connection").is_none_or(|value| value != "close") {
                            client = Some(open);
                        }
                    }
                    served
                })
            })
            .collect();
        for _ in 0..3 {
            let new = socket.start();
            old.ingress.terminate();
            assert!(old.ingress.wait_for_exit().success());
            old = new;
        }
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        assert!(clients.into_iter().all(|client| client.join().unwrap() > 0));
    });
    // The manual ejection also holds in the third process, until the node is restored there.
    assert_eq!(a.request_count(), before);
    assert_eq!(call(old.console, "PUT", "/-/backends/s-0/enable"), 200);
    let mut client = old.ingress.client();
    until("the node is used again", || {
        client.call(read_request()).status() == 200 && a.request_count() > before
    });
}

#[test]
fn keep_alive_connection_is_served_and_closed_by_the_old_process() {
    let a = Backend::start(|_| Reply::Split(ok_start(), b"x".to_vec()));
    let socket = SharedSocket::new(&[&a]);
    let mut old = socket.start();
    let mut keep_alive = old.ingress.client();
    assert_eq!(keep_alive.call(read_request()).status(), 200);
    let _new = socket.start();
    // After the takeover the old process serves the request and closes the connection.
    until("the old process has seen the new one", || {
        let response = keep_alive.call(read_request());
        assert_eq!(response.status(), 200);
        response.headers.get("connection").is_some_and(|value| value == "close")
    });
    assert!(keep_alive.is_closed());
    old.ingress.terminate();
    assert!(old.ingress.wait_for_exit().success());
}

fn ok_start() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n".to_vec()
}

#[test]
fn manual_ejections_during_a_takeover_are_not_lost() {
    for restore_first in [true, false] {
        let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
        let socket = SharedSocket::new(&[&a, &b]);
        let mut old = socket.start();
        assert_serves(&old.ingress, 4);
        if !restore_first {
            assert_eq!(call(old.console, "PUT", "/-/backends/s-0/disable"), 200);
        }
        // Changes through the old process while the new one starts, which may already have read the ejections.
        let console = old.console;
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let stopped = stop.clone();
        let (first, last) = if restore_first { ("enable", "disable") } else { ("disable", "enable") };
        let ejections = std::thread::spawn(move || {
            while !stopped.load(std::sync::atomic::Ordering::SeqCst) {
                call(console, "PUT", &format!("/-/backends/s-0/{first}"));
                call(console, "PUT", &format!("/-/backends/s-0/{last}"));
            }
        });
        let new = socket.start();
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        ejections.join().unwrap();
        // The last change through the old process holds in the new one, within the drain grace.
        if restore_first {
            until("the node gets no more requests", || {
                let before = a.request_count();
                assert_serves(&new.ingress, 10);
                a.request_count() == before
            });
            // The node is restored through the new process.
            assert_eq!(call(new.console, "PUT", "/-/backends/s-0/enable"), 200);
        }
        let before = a.request_count();
        until("the node is used", || {
            new.ingress.client().call(read_request()).status() == 200 && a.request_count() > before
        });
        old.ingress.terminate();
        assert!(old.ingress.wait_for_exit().success());
        if !restore_first {
            // The node is ejected through the new process, after the old one has ended.
            assert_eq!(call(new.console, "PUT", "/-/backends/s-0/disable"), 200);
            let before = a.request_count();
            assert_serves(&new.ingress, 20);
            assert_eq!(a.request_count(), before);
        }
    }
}

#[test]
fn large_bodies_in_both_directions_are_not_interrupted_by_a_takeover() {
    const LONG: usize = 32 << 20;
    let echo = Backend::start(|request| ok(&request.body));
    let socket = SharedSocket::new(&[&echo]);
    let mut old = socket.start();
    let body: Vec<u8> = (0..LONG as u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let request =
        request_head("POST", "booking-post", "wide", "2000m") + &format!("Content-Length: {LONG}\r\n\r\n");
    let (mut through_old, mut old_response) = (old.ingress.client(), None);
    // The first half is sent to the old process, the rest while it is taken over and terminated.
    through_old.send(&request);
    through_old.send(&body[..LONG / 2]);
    let new = socket.start();
    until("the old process has seen the new one", || old.ingress.count_log_lines("clients: TakenOver") == 1);
    let mut through_new = new.ingress.client();
    through_new.send(
        request_head("POST", "booking-post", "wide", "2000m") + &format!("Content-Length: {LONG}\r\n\r\n"),
    );
    through_new.send(&body[..LONG / 2]);
    old.ingress.terminate();
    std::thread::scope(|scope| {
        scope.spawn(|| {
            through_old.send(&body[LONG / 2..]);
            old_response = through_old.read_response();
        });
        through_new.send(&body[LONG / 2..]);
        let response = through_new.read_response().expect("a complete response of the new process");
        assert!(response.status() == 200 && response.body == body, "{} bytes", response.body.len());
    });
    let old_response = old_response.expect("a complete response of the old process");
    assert!(old_response.status() == 200 && old_response.body == body, "{} bytes", old_response.body.len());
    assert!(old.ingress.wait_for_exit().success());
    assert_eq!(echo.request_count(), 2);
}
