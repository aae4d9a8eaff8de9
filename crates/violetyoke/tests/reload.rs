//! A table that is replaced while requests are on their way: one answer each, by the table that matched them, and
//! nobody's quota anew.

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
    /// Name, what its quota is counted under, its node, and its plan's rate and burst.
    pools: &'a [(&'a str, &'a str, &'a Node, f64, f64)],
    /// The pool that all requests go to.
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

fn passed(service: &Service, account: &str, tries: usize) -> usize {
    let mut client = service.client();
    (0..tries).filter(|_| client.call(booking(account)).status() == 200).count()
}

/// A booking is out on a slow node while the file is replaced.
fn reload_while_out(new: impl FnOnce(&Node, &Node) -> String, used_before: bool) {
    let (old, other) = (node("old", 400), node("other", 1));
    let first = [("a", "a", &old, 0.01, 2.0)];
    let mut service = Service::start(&File { pools: &first, to: "a" }.text());
    let mut client = service.client();
    client.send(booking("hotel"));
    until("the booking is out", || old.executed().len() == 1);
    service.reload(&new(&old, &other));
    let answer = client.read_response().expect("one final answer");
    assert_eq!((answer.status(), &answer.body[..3]), (200, b"old".as_slice()));
    client.stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(client.read_response().is_none(), "and no second one");
    assert_eq!((old.executed().len(), other.executed().len()), (1, 0));
    // One of two units is used, where the quota is still the same.
    let left = if used_before { 1 } else { 2 };
    assert_eq!(passed(&service, "hotel", 4), left);
}

#[test]
fn a_route_that_changes_while_a_booking_is_out() {
    let new = |old: &Node, other: &Node| {
        let pools = [("a", "a", old, 0.01, 2.0), ("b", "b", other, 0.01, 2.0)];
        File { pools: &pools, to: "b" }.text()
    };
    // The other pool's quotas are its own.
    reload_while_out(new, false);
}

#[test]
fn a_pool_that_goes_while_a_booking_is_out() {
    reload_while_out(|_, other| File { pools: &[("b", "b", other, 0.01, 2.0)], to: "b" }.text(), false);
}

#[test]
fn a_pool_that_is_renamed_while_a_booking_is_out_keeps_its_quotas() {
    reload_while_out(|_, other| File { pools: &[("new", "a", other, 0.01, 2.0)], to: "new" }.text(), true);
}

#[test]
fn a_pool_whose_nodes_change_while_a_booking_is_out() {
    reload_while_out(|_, other| File { pools: &[("a", "a", other, 0.01, 2.0)], to: "a" }.text(), true);
}

#[test]
fn a_class_that_changes_its_effect_leaves_what_is_out_its_own() {
    // Unsafe when it was sent: a break must not have it sent again, whatever the class is called now.
    let old = node("old", 1);
    let first = [("a", "a", &old, 100.0, 100.0)];
    let text = File { pools: &first, to: "a" }.text();
    let mut service = Service::start(&text);
    old.inject(Fault::Hang);
    let mut client = service.client();
    client.send(booking("hotel"));
    until("it is out", || old.received().len() == 1);
    service.reload(&text.replace("\"unsafe\"", "\"safe\""));
    // What hangs is reset when the fault ends.
    old.inject(Fault::None);
    assert_eq!(client.read_response().unwrap().status(), 502);
    assert_eq!(old.received().len(), 1);
    // New ones go by the new effect: they are repeated.
    assert_eq!(service.client().call(booking("hotel")).status(), 200);
}

#[test]
fn half_a_head_is_matched_by_the_table_that_sees_its_end() {
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
fn half_a_body_belongs_to_the_table_that_matched_its_head() {
    let (a, b) = (node("a", 1), node("b", 1));
    let pools = [("a", "a", &a, 100.0, 100.0), ("b", "b", &b, 100.0, 100.0)];
    let mut service = Service::start(&File { pools: &pools, to: "a" }.text());
    // A connection that the pool knows, so that it is certain that the head has been read.
    let request = booking("hotel").replacen("X-Account", "Expect: 100-continue\r\nX-Account", 1);
    let (head, body) = request.split_at(request.len() - 6);
    let mut client = service.client();
    client.send(head);
    // The go-ahead is written when the body is asked for, which is after the match.
    assert_eq!(client.read_response().unwrap().status(), 100);
    service.reload(&File { pools: &pools[1..], to: "b" }.text());
    client.send(body);
    assert_eq!(client.read_response().unwrap().status(), 200);
    assert_eq!((a.executed().len(), b.executed().len()), (1, 0));
    // The pool that has gone took its last request; the connection serves on.
    assert_eq!(client.call(booking("hotel")).status(), 200);
    assert_eq!(b.executed().len(), 1);
}

#[test]
fn fifty_reloads_within_five_seconds_under_load() {
    let (a, b) = (node("a", 2), node("b", 2));
    let file = |burst, extra: bool| {
        let mut pools = vec![("a", "a", &a, 4.0, burst)];
        if extra {
            pools.push(("b", "b", &b, 1.0, 1.0));
        }
        File { pools: &pools, to: "a" }.text()
    };
    let mut service = Service::start(&file(10.0, false));
    let (address, over) = (service.address, Arc::new(AtomicBool::new(false)));
    let began = Instant::now();
    let load: Vec<_> = (0..4)
        .map(|_| {
            let over = over.clone();
            std::thread::spawn(move || {
                let mut client = Client::try_open(address).unwrap();
                let (mut served, mut refused) = (0, 0);
                while !over.load(SeqCst) {
                    match client.call(booking("hotel")).status() {
                        200 => served += 1,
                        429 => refused += 1,
                        status => panic!("{status}"),
                    }
                    std::thread::sleep(Duration::from_millis(3));
                }
                (served, refused)
            })
        })
        .collect();
    for number in 0..50 {
        service.reload(&file(if number % 2 == 0 { 8.0 } else { 10.0 }, number % 5 == 0));
        let next = Duration::from_millis(100 * (number + 1));
        std::thread::sleep(next.saturating_sub(began.elapsed()));
    }
    over.store(true, SeqCst);
    let seconds = began.elapsed().as_secs_f64();
    let counts: Vec<(u32, u32)> = load.into_iter().map(|thread| thread.join().unwrap()).collect();
    let (served, refused) = counts.iter().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    assert!(refused > 100, "{counts:?}");
    // Ten at once, four a second, and the estimate's error of two.
    let most = 10.0 + 4.0 * seconds + 2.0;
    assert!(f64::from(served) <= most, "{served} of {most} in {seconds} s");
    assert!(f64::from(served) >= 0.7 * most, "{served} of {most} in {seconds} s");
    assert_eq!(a.executed().len(), served as usize);
}

#[test]
fn a_plan_that_shrinks_holds_from_the_reload_on() {
    let a = node("a", 1);
    let file = |rate, burst| File { pools: &[("a", "a", &a, rate, burst)], to: "a" }.text();
    let mut service = Service::start(&file(0.1, 10.0));
    assert_eq!(passed(&service, "hotel", 4), 4);
    service.reload(&file(0.1, 3.0));
    assert_eq!(passed(&service, "hotel", 3), 0);
    assert_eq!(passed(&service, "other", 5), 3);
    // And grows: what was used stays used.
    service.reload(&file(0.1, 10.0));
    assert!(passed(&service, "hotel", 12) <= 6);
}

#[test]
fn a_bad_file_leaves_the_old_one_in_force_and_says_why() {
    let a = node("a", 1);
    let good = File { pools: &[("a", "a", &a, 0.01, 3.0)], to: "a" }.text();
    let mut service = Service::start(&good);
    assert_eq!(passed(&service, "hotel", 1), 1);
    for (from, to, why) in [
        ("burst = 3", "burst = -3", "pool[0].plan[0].burst: -3 is out of range"),
        ("[service]", "[service", "syntax"),
        ("pool = \"a\"", "pool = \"z\"", "route[0].pool: there is no pool \"z\""),
        ("\"LISTEN\"", "\"127.0.0.1:1\"", "service.listen: cannot change while running"),
    ] {
        let text = good.replacen(from, to, 1);
        assert_ne!(text, good);
        service.reload_rejected(&text);
        until("the reason is told", || service.log().iter().any(|line| line.contains(why)));
        // The old one serves on; each account here has its quota whole.
        assert_eq!(service.client().call(booking(&format!("of-{}", why.len()))).status(), 200);
    }
    assert_eq!(passed(&service, "hotel", 4), 2);
}

#[test]
fn a_changed_file_is_taken_up_without_a_signal_where_that_is_switched_on() {
    let (a, b) = (node("a", 1), node("b", 1));
    let pools = [("a", "a", &a, 100.0, 100.0), ("b", "b", &b, 100.0, 100.0)];
    let watched =
        |to| File { pools: &pools, to }.text().replacen("\"LISTEN\"", "\"LISTEN\"\nwatch_file = true", 1);
    let service = Service::start(&watched("a"));
    assert_eq!(service.client().call(booking("x")).status(), 200);
    std::fs::write(&service.file, watched("b").replace("LISTEN", "127.0.0.1:0")).unwrap();
    until("the new route is in force", || {
        service.client().call(booking("x"));
        !b.executed().is_empty()
    });
}
