//! A process that takes over from another on a passed socket.

#![cfg(test)]

mod common;

use common::shared_socket::{assert_serves, call, SharedSocket};
use common::*;

#[test]
fn a_process_takes_over_and_nobody_is_turned_away() {
    let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
    let held = SharedSocket::new(&[&a, &b]);
    let mut old = held.start();
    assert_eq!(call(old.console, "PUT", "/-/backends/s-0/disable"), 200);
    let mut kept = old.ingress.client();
    assert_eq!(kept.call(read_request()).status(), 200);
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
                        let answer = open.call(read_request());
                        assert_eq!(answer.status(), 200);
                        served += 1;
                        if answer.headers.get("connection").is_none_or(|word| word != "close") {
                            client = Some(open);
                        }
                    }
                    served
                })
            })
            .collect();
        for _ in 0..3 {
            let new = held.start();
            old.ingress.terminate();
            assert!(old.ingress.wait_for_exit().success());
            old = new;
        }
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        assert!(clients.into_iter().all(|client| client.join().unwrap() > 0));
    });
    // Out by hand is out for its successors' successor too, until it is put back there.
    assert_eq!(a.request_count(), before);
    assert_eq!(call(old.console, "PUT", "/-/backends/s-0/enable"), 200);
    let mut client = old.ingress.client();
    until("the node is used again", || {
        client.call(read_request()).status() == 200 && a.request_count() > before
    });
}

#[test]
fn a_kept_connection_is_served_to_the_end_by_the_process_that_has_it() {
    let a = Backend::start(|_| Reply::Later(ok_start(), b"x".to_vec()));
    let held = SharedSocket::new(&[&a]);
    let mut old = held.start();
    let mut kept = old.ingress.client();
    assert_eq!(kept.call(read_request()).status(), 200);
    let _new = held.start();
    // It was taken over: the request is served, the connection is not kept.
    until("the old process has seen the new one", || {
        let answer = kept.call(read_request());
        assert_eq!(answer.status(), 200);
        answer.headers.get("connection").is_some_and(|word| word == "close")
    });
    assert!(kept.is_closed());
    old.ingress.terminate();
    assert!(old.ingress.wait_for_exit().success());
}

fn ok_start() -> Vec<u8> {
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n".to_vec()
}

#[test]
fn nodes_move_by_hand_while_one_process_takes_over_from_another() {
    for put_back in [true, false] {
        let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
        let held = SharedSocket::new(&[&a, &b]);
        let mut old = held.start();
        assert_serves(&old.ingress, 4);
        if !put_back {
            assert_eq!(call(old.console, "PUT", "/-/backends/s-0/disable"), 200);
        }
        // Through the old one, while the new one starts: its list of nodes out may be read already.
        let console = old.console;
        let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let stopped = stop.clone();
        let (first, last) = if put_back { ("enable", "disable") } else { ("disable", "enable") };
        let moving = std::thread::spawn(move || {
            while !stopped.load(std::sync::atomic::Ordering::SeqCst) {
                call(console, "PUT", &format!("/-/backends/s-0/{first}"));
                call(console, "PUT", &format!("/-/backends/s-0/{last}"));
            }
        });
        let new = held.start();
        stop.store(true, std::sync::atomic::Ordering::SeqCst);
        moving.join().unwrap();
        // The last word through the old one holds in the new one, within the rule on drains.
        if put_back {
            until("nothing more goes to it", || {
                let before = a.request_count();
                assert_serves(&new.ingress, 10);
                a.request_count() == before
            });
            // Put back through the new one, a moment after.
            assert_eq!(call(new.console, "PUT", "/-/backends/s-0/enable"), 200);
        }
        let before = a.request_count();
        until("it is used", || {
            new.ingress.client().call(read_request()).status() == 200 && a.request_count() > before
        });
        old.ingress.terminate();
        assert!(old.ingress.wait_for_exit().success());
        if !put_back {
            // And out through the new one, after the old one has gone.
            assert_eq!(call(new.console, "PUT", "/-/backends/s-0/disable"), 200);
            let before = a.request_count();
            assert_serves(&new.ingress, 20);
            assert_eq!(a.request_count(), before);
        }
    }
}

#[test]
fn long_bodies_in_both_directions_go_on_over_a_takeover() {
    const LONG: usize = 32 << 20;
    let echo = Backend::start(|request| ok(&request.body));
    let held = SharedSocket::new(&[&echo]);
    let mut old = held.start();
    let body: Vec<u8> = (0..LONG as u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect();
    let request =
        request_head("POST", "booking-post", "wide", "2000m") + &format!("Content-Length: {LONG}\r\n\r\n");
    let (mut through_old, mut whole) = (old.ingress.client(), None);
    // Half of it through the old process; the rest while it is taken over and told to end.
    through_old.send(&request);
    through_old.send(&body[..LONG / 2]);
    let new = held.start();
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
            whole = through_old.read_response();
        });
        through_new.send(&body[LONG / 2..]);
        let answer = through_new.read_response().expect("a whole answer of the new process");
        assert!(answer.status() == 200 && answer.body == body, "{} bytes", answer.body.len());
    });
    let whole = whole.expect("a whole answer of the old process");
    assert!(whole.status() == 200 && whole.body == body, "{} bytes", whole.body.len());
    assert!(old.ingress.wait_for_exit().success());
    assert_eq!(echo.request_count(), 2);
}
