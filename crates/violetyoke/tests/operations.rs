//! What operators do while the program serves, on real sockets: calls to the second address, nodes taken out by
//! hand, drains and new settings.

#![cfg(test)]

mod common;

use common::shared_socket::{assert_serves, call};
use common::*;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

fn start(
    backends: &[&Backend],
    adjust: impl FnOnce(&mut Value),
) -> (Counter, Discovery, Ingress, SocketAddr) {
    let entries = backends.iter().enumerate();
    let members = entries.map(|(i, backend)| member(&format!("s-{i}"), backend.address, "in_service"));
    let (counter, discovery) = (Counter::start(), Discovery::start(members.collect()));
    let console = free_address();
    let ingress = Ingress::start_with(&counter, &discovery, |config| {
        config["console"] = json!(console.to_string());
        adjust(config);
    });
    (counter, discovery, ingress, console)
}

#[test]
fn a_node_taken_out_by_hand_gets_nothing_until_it_is_put_back() {
    let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
    let (_counter, discovery, ingress, console) = start(&[&a, &b], |_| {});
    assert_eq!(call(console, "GET", "/-/ready"), 200);
    // The call may come twice.
    assert_eq!(call(console, "PUT", "/-/backends/s-0/disable"), 200);
    assert_eq!(call(console, "PUT", "/-/backends/s-0/disable"), 200);
    let before = a.request_count();
    assert_serves(&ingress, 20);
    assert_eq!((a.request_count(), b.request_count() >= 20), (before, true));
    // Whatever the list says of it meanwhile: it drains, and starts anew.
    discovery.update(member("s-0", a.address, "terminating"));
    let mut started = member("s-0", a.address, "in_service");
    started["up_since_ms"] = json!(1);
    discovery.update(started);
    discovery.update(member("s-9", b.address, "in_service"));
    until("the list is heard", || call(console, "PUT", "/-/backends/s-9/enable") == 200);
    assert_serves(&ingress, 20);
    assert_eq!(a.request_count(), before);
    assert_eq!(call(console, "PUT", "/-/backends/s-0/enable"), 200);
    let mut client = ingress.client();
    until("it is used again", || client.call(read_request()).status() == 200 && a.request_count() > before);
}

#[test]
fn calls_that_mean_nothing_are_told_so() {
    let a = Backend::start(|_| ok(b"a"));
    let (_counter, _discovery, _ingress, console) = start(&[&a], |_| {});
    for (method, path, status) in [
        ("PUT", "/-/backends/s-none/disable", 404),
        ("PUT", "/-/backends/s-none/enable", 404),
        ("PUT", "/-/backends/s-0/explode", 404),
        ("PUT", "/-/backends/%ff/disable", 400),
        ("GET", "/-/drain", 405),
        ("GET", "/-/backends/s-0/disable", 405),
        ("PUT", "/-/ready", 405),
        ("GET", "/avail-read/x", 404),
    ] {
        assert_eq!(call(console, method, path), status, "{method} {path}");
    }
    assert_eq!(call(console, "GET", "/-/ready"), 200);
}

#[test]
fn callers_that_say_nothing_keep_nobody_from_an_answer() {
    let a = Backend::start(|_| ok(b"a"));
    let (_counter, _discovery, _ingress, console) = start(&[&a], |_| {});
    let mut silent: Vec<TcpStream> = Vec::new();
    for i in 0..300 {
        silent.push(TcpStream::connect(console).unwrap());
        if i % 50 == 49 {
            let began = Instant::now();
            assert_eq!(call(console, "GET", "/-/ready"), 200);
            assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
        }
    }
}

#[test]
fn a_drained_ingress_empties_itself_and_comes_back() {
    let a = Backend::start(|_| ok(b"a"));
    let (_counter, _discovery, ingress, console) = start(&[&a], |_| {});
    let (mut idle, mut busy, mut half) = (ingress.client(), ingress.client(), ingress.client());
    assert_eq!(idle.call(read_request()).status(), 200);
    assert_eq!(busy.call(read_request()).status(), 200);
    assert_eq!(half.call(read_request()).status(), 200);
    let request = read_request();
    let (first, rest) = request.split_at(40);
    half.send(first);
    assert_eq!(call(console, "PUT", "/-/drain"), 200);
    assert_ne!(ingress.client().call(READY).status(), 200);
    assert_ne!(call(console, "GET", "/-/ready"), 200);
    // Still served, and told to go.
    let answer = busy.call(read_request());
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (200, "close"));
    assert!(busy.is_closed() && idle.is_closed());
    // Half a request was there when the idle connections were closed: it is answered.
    half.send(rest);
    assert_eq!(half.read_response().expect("an answer").status(), 200);
    assert!(half.is_closed());
    assert_eq!(ingress.client().call(read_request()).status(), 200);
    assert_eq!(call(console, "PUT", "/-/resume"), 200);
    assert_eq!((call(console, "GET", "/-/ready"), ingress.client().call(READY).status()), (200, 200));
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).status(), 200);
    assert_eq!(client.call(read_request()).status(), 200);
}

fn posted(class: &str) -> String {
    request_head("POST", class, "wide", "1000m") + "Content-Length: 1\r\n\r\nx"
}

#[test]
fn new_settings_bind_from_the_signal_on() {
    let a = Backend::start(|_| raw("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"));
    let (_counter, _discovery, ingress, _console) = start(&[&a], |_| {});
    let mut client = ingress.client();
    assert_eq!(client.call(posted("upsell-post")).status(), 404);
    let mut config = ingress.config();
    let mut class = config["settings"]["categories"][1].clone();
    class["name"] = json!("upsell-post");
    config["settings"]["categories"] = json!([config["settings"]["categories"][1], class]);
    ingress.reload(&config.to_string());
    until("the new class is known", || ingress.client().call(posted("upsell-post")).status() == 502);
    // The old one is not, and the class that stays goes on as it was: not sent again.
    assert_eq!(ingress.client().call(read_request()).status(), 404);
    let before = a.request_count();
    assert_eq!(ingress.client().call(posted("booking-post")).status(), 502);
    assert_eq!(a.request_count(), before + 1);
    // It becomes harmless to repeat, twice at most.
    config["settings"]["categories"][0]["effect"] = json!("idempotent");
    config["settings"]["bounds"]["attempts-cap"] = json!(2);
    ingress.reload(&config.to_string());
    let again = || request_head("GET", "booking-post", "wide", "1000m") + "\r\n";
    until("its effect has changed", || ingress.client().call(again()).status() == 503);
    let before = a.request_count();
    assert_eq!(ingress.client().call(again()).status(), 503);
    assert!((1..=2).contains(&(a.request_count() - before)), "{}", a.request_count() - before);
}

#[test]
fn nothing_is_taken_from_a_broken_file() {
    let a = Backend::start(|_| ok(b"a"));
    let (_counter, _discovery, ingress, console) = start(&[&a], |_| {});
    let good = ingress.config();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        // Taken, it would show: the class would be another's.
        config["settings"]["categories"][0]["name"] = json!("look-read");
        change(&mut config);
        config.to_string()
    };
    let whole = with(&|_| {});
    let without = |key: &'static str| {
        with(&move |config| {
            config["settings"].as_object_mut().unwrap().remove(key);
        })
    };
    let broken = [
        String::new(),
        whole[..whole.len() / 2].to_string(),
        without("categories"),
        without("bounds"),
        without("granularity-us"),
        with(&|config| drop(config.as_object_mut().unwrap().remove("settings"))),
        with(&|config| drop(config["settings"]["bounds"].as_object_mut().unwrap().remove("attempts-cap"))),
        with(&|config| drop(config["settings"]["categories"][1].as_object_mut().unwrap().remove("effect"))),
        with(&|config| config["settings"]["bounds"]["attempts-cap"] = json!(0)),
        with(&|config| config["settings"]["bounds"]["attempts-cap"] = json!(-1)),
        with(&|config| config["settings"]["bounds"]["attempts-cap"] = json!("four")),
        with(&|config| config["settings"]["categories"][1]["deadline-us"] = json!(0)),
        with(&|config| config["settings"]["categories"][1]["deadline-us"] = json!(-5)),
        with(&|config| config["settings"]["categories"][1]["deadline-us"] = json!("soon")),
        with(&|config| config["settings"]["categories"][1]["name"] = json!("look-read")),
    ];
    for text in broken {
        let refused = ingress.count_log_lines("the configuration in force stays");
        ingress.reload(&text);
        until("the file is read", || ingress.count_log_lines("the configuration in force stays") > refused);
        assert_eq!(ingress.client().call(read_request()).status(), 200, "after {text:.60}");
    }
    assert_eq!(call(console, "GET", "/-/ready"), 200);
}
