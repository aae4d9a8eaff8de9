//! Reloads of the configuration while requests are open: each request gets one response, according to the
//! routes that matched it, and no account gets its quota again.

#![cfg(test)]

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};
use violetyoke_standin::node::{Fault, Node, Shape};

const HOST: &str = "booking.example.org";

fn node(name: &str, milliseconds: u64) -> Node {
    let shape = Shape { service: Duration::from_millis(milliseconds), ..Shape::default() };
    Node::start(violetyoke_standin::any_port(), name, shape).unwrap()
}

struct File<'a> {
    /// Name, name of the quota, node, and the plan's rate and burst.
    pools: &'a [(&'a str, &'a str, &'a Node, f64, f64)],
    /// The pool of all requests.
    to: &'a str,
}

impl File<'_> {
    fn text(&self) -> String {
        let mut text = "[service]\nlisten = \"LISTEN\"\n".to_string();
        for (name, quota, node, rate, burst) in self.pools {
            text += &format!(
                "[[pool]]\nname = \"{name}\"\nquota = \"{quota}\"\nnodes = [{{ address = \"{}\" }}]\n\
                 class = [{{ name = \"booking-post\", effect = \"unsafe\", aim_ms = 3000, deadline_ms = 6000 }}]\n\
                 plan = [{{ name = \"basic\", rate = {rate}, burst = {burst} }}]\n",
                node.address
            );
        }
        text + &format!("[[route]]\nhost = \"{HOST}\"\npool = \"{}\"\n", self.to)
    }
}

fn booking(account: &str) -> String {
    service_request("POST", HOST, "/bookings", account, "room=4")
}

fn count_served(service: &Service, account: &str, requests: usize) -> usize {
    let mut client = service.client();
    (0..requests).filter(|_| client.call(booking(account)).status() == 200).count()
}

/// Replaces the file while a booking is in flight at a slow node.
fn reload_during_a_booking(new: impl FnOnce(&Node, &Node) -> String, used_before: bool) {
    let (old, other) = (node("old", 400), node("other", 1));
    let first = [("a", "a", &old, 0.01, 2.0)];
    let mut service = Service::start(&File { pools: &first, to: "a" }.text());
    let mut client = service.client();
    client.send(booking("hotel"));
    until("the booking is in flight", || old.executed().len() == 1);
    service.reload(&new(&old, &other));
    let response = client.read_response().expect("one final response");
    assert_eq!((response.status(), &response.body[..3]), (200, b"old".as_slice()));
    client.stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(client.read_response().is_none(), "there is no second response");
    assert_eq!((old.executed().len(), other.executed().len()), (1, 0));
    // One of two units is used if the quota is still the same.
    let remaining_units = if used_before { 1 } else { 2 };
    assert_eq!(count_served(&service, "hotel", 4), remaining_units);
}

#[test]
fn route_may_change_while_a_booking_is_in_flight() {
    let new = |old: &Node, other: &Node| {
        let pools = [("a", "a", old, 0.01, 2.0), ("b", "b", other, 0.01, 2.0)];
        File { pools: &pools, to: "b" }.text()
    };
    // The other pool has separate quotas.
    reload_during_a_booking(new, false);
}

#[test]
fn pool_may_be_removed_while_a_booking_is_in_flight() {
    reload_during_a_booking(
        |_, other| File { pools: &[("b", "b", other, 0.01, 2.0)], to: "b" }.text(),
        false,
    );
}

#[test]
fn pool_renamed_while_a_booking_is_in_flight_keeps_its_quotas() {
    reload_during_a_booking(
        |_, other| File { pools: &[("new", "a", other, 0.01, 2.0)], to: "new" }.text(),
        true,
    );
}

#[test]
fn nodes_of_a_pool_may_change_while_a_booking_is_in_flight() {
    reload_during_a_booking(|_, other| File { pools: &[("a", "a", other, 0.01, 2.0)], to: "a" }.text(), true);
}

#[test]
fn open_request_keeps_the_effect_that_its_class_had() {
    // The request was at-most-once when it was sent: it must not be retried after the class has become
    // idempotent.
    let old = node("old", 1);
    let first = [("a", "a", &old, 100.0, 100.0)];
    let text = File { pools: &first, to: "a" }.text();
    let mut service = Service::start(&text);
    old.inject(Fault::Hang);
    let mut client = service.client();
    client.send(booking("hotel"));
    until("the request is in flight", || old.received().len() == 1);
    service.reload(&text.replace("\"unsafe\"", "\"safe\""));
    // The node resets hanging requests when the fault ends.
    old.inject(Fault::None);
    assert_eq!(client.read_response().unwrap().status(), 502);
    assert_eq!(old.received().len(), 1);
    // New requests have the new effect and are retried.
    assert_eq!(service.client().call(booking("hotel")).status(), 200);
}

#[test]
fn partial_request_head_is_matched_by_the_routes_at_its_end() {
    let (a, b) = (node("a", 1), node("b", 1));
    let pools = [("a", "a", &a, 100.0, 100.0), ("b", "b", &b, 100.0, 100.0)];
    let mut service = Service::start(&File { pools: &pools, to: "a" }.text());
    let request = booking("hotel");
    let mut client = service.client();
    client.send(&request[..40]);
    service.reload(&File { pools: &pools, to: "b" }.text());
    client.send(&request[40..]);
    assert_eq!(client.read_response().unwrap().status(), 200);
    assert_eq!((a.executed().len(), b.executed().len()), (0, 1));
}

#[test]
fn request_with_a_partial_body_keeps_the_route_of_its_head() {
    let (a, b) = (node("a", 1), node("b", 1));
    let pools = [("a", "a", &a, 100.0, 100.0), ("b", "b", &b, 100.0, 100.0)];
    let mut service = Service::start(&File { pools: &pools, to: "a" }.text());
    // With Expect: 100-continue it is certain that the head has been read.
    let request = booking("hotel").replacen("X-Account", "Expect: 100-continue\r\nX-Account", 1);
    let (head, body) = request.split_at(request.len() - 6);
    let mut client = service.client();
    client.send(head);
    // The 100 response is written when the body is read, which is after the route was matched.
    assert_eq!(client.read_response().unwrap().status(), 100);
    service.reload(&File { pools: &pools[1..], to: "b" }.text());
    client.send(body);
    assert_eq!(client.read_response().unwrap().status(), 200);
    assert_eq!((a.executed().len(), b.executed().len()), (1, 0));
    // That was the last request of the removed pool. The connection is still used.
    assert_eq!(client.call(booking("hotel")).status(), 200);
    assert_eq!(b.executed().len(), 1);
}

#[test]
fn fifty_reloads_under_load_fail_no_request_and_do_not_increase_the_quota() {
    let (a, b) = (node("a", 2), node("b", 2));
    let file = |burst, extra: bool| {
        let mut pools = vec![("a", "a", &a, 4.0, burst)];
        if extra {
            pools.push(("b", "b", &b, 1.0, 1.0));
        }
        File { pools: &pools, to: "a" }.text()
    };
    let mut service = Service::start(&file(10.0, false));
    let (address, is_finished) = (service.address, Arc::new(AtomicBool::new(false)));
    let started_at = Instant::now();
    let load: Vec<_> = (0..4)
        .map(|_| {
            let is_finished = is_finished.clone();
            std::thread::spawn(move || {
                let mut client = Client::try_open(address).unwrap();
                let (mut served, mut rejected) = (0, 0);
                while !is_finished.load(SeqCst) {
                    match client.call(booking("hotel")).status() {
                        200 => served += 1,
                        429 => rejected += 1,
                        status => panic!("{status}"),
                    }
                    std::thread::sleep(Duration::from_millis(3));
                }
                (served, rejected)
            })
        })
        .collect();
    for number in 0..50 {
        service.reload(&file(if number % 2 == 0 { 8.0 } else { 10.0 }, number % 5 == 0));
        let next = Duration::from_millis(100 * (number + 1));
        std::thread::sleep(next.saturating_sub(started_at.elapsed()));
    }
    is_finished.store(true, SeqCst);
    let seconds = started_at.elapsed().as_secs_f64();
    let counts: Vec<(u32, u32)> = load.into_iter().map(|thread| thread.join().unwrap()).collect();
    let (served, rejected) = counts.iter().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    assert!(rejected > 100, "{counts:?}");
    // A burst of ten, four a second, and an estimation error of two.
    let max_served = 10.0 + 4.0 * seconds + 2.0;
    assert!(f64::from(served) <= max_served, "{served} of {max_served} in {seconds} s");
    assert!(f64::from(served) >= 0.7 * max_served, "{served} of {max_served} in {seconds} s");
    assert_eq!(a.executed().len(), served as usize);
}

#[test]
fn reduced_plan_is_in_force_from_the_reload_on() {
    let a = node("a", 1);
    let file = |rate, burst| File { pools: &[("a", "a", &a, rate, burst)], to: "a" }.text();
    let mut service = Service::start(&file(0.1, 10.0));
    assert_eq!(count_served(&service, "hotel", 4), 4);
    service.reload(&file(0.1, 3.0));
    assert_eq!(count_served(&service, "hotel", 3), 0);
    assert_eq!(count_served(&service, "other", 5), 3);
    // The plan grows: used units stay used.
    service.reload(&file(0.1, 10.0));
    assert!(count_served(&service, "hotel", 12) <= 6);
}

#[test]
fn invalid_file_leaves_the_old_one_in_force_and_logs_the_reason() {
    let a = node("a", 1);
    let good = File { pools: &[("a", "a", &a, 0.01, 3.0)], to: "a" }.text();
    let mut service = Service::start(&good);
    assert_eq!(count_served(&service, "hotel", 1), 1);
    for (from, to, reason) in [
        ("burst = 3", "burst = -3", "pool[0].plan[0].burst: -3 is out of range"),
        ("[service]", "[service", "syntax"),
        ("pool = \"a\"", "pool = \"z\"", "route[0].pool: there is no pool \"z\""),
        ("\"LISTEN\"", "\"127.0.0.1:1\"", "service.listen: cannot change while running"),
    ] {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good);
        service.reload_rejected(&text);
        until("the reason is logged", || service.log().iter().any(|line| line.contains(reason)));
        // The old file is still in force. Each of these accounts has its full quota.
        assert_eq!(service.client().call(booking(&format!("of-{}", reason.len()))).status(), 200);
    }
    assert_eq!(count_served(&service, "hotel", 4), 2);
}

#[test]
fn changed_file_is_reloaded_without_a_signal_if_enabled() {
    let (a, b) = (node("a", 1), node("b", 1));
    let pools = [("a", "a", &a, 100.0, 100.0), ("b", "b", &b, 100.0, 100.0)];
    let watched_file =
        |to| File { pools: &pools, to }.text().replacen("\"LISTEN\"", "\"LISTEN\"\nwatch_file = true", 1);
    let service = Service::start(&watched_file("a"));
    assert_eq!(service.client().call(booking("x")).status(), 200);
    std::fs::write(&service.file, watched_file("b").replace("LISTEN", "127.0.0.1:0")).unwrap();
    until("the new route is in force", || {
        service.client().call(booking("x"));
        !b.executed().is_empty()
    });
}
