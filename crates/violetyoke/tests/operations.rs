//! Operations on a running ingress: calls to the console, manual ejections, drains and reloads of settings.

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
fn manually_ejected_node_gets_no_requests_until_it_is_restored() {
    let (a, b) = (Backend::start(|_| ok(b"a")), Backend::start(|_| ok(b"b")));
    let (_counter, discovery, ingress, console) = start(&[&a, &b], |_| {});
    assert_eq!(call(console, "GET", "/-/ready"), 200);
    // The call is idempotent.
    assert_eq!(call(console, "PUT", "/-/backends/s-0/disable"), 200);
    assert_eq!(call(console, "PUT", "/-/backends/s-0/disable"), 200);
    let before = a.request_count();
    assert_serves(&ingress, 20);
    assert_eq!((a.request_count(), b.request_count() >= 20), (before, true));
    // The ejection holds while the list reports that the node drains and restarts.
    discovery.update(member("s-0", a.address, "terminating"));
    let mut started = member("s-0", a.address, "in_service");
    started["up_since_ms"] = json!(1);
    discovery.update(started);
    discovery.update(member("s-9", b.address, "in_service"));
    until("the new list is in force", || call(console, "PUT", "/-/backends/s-9/enable") == 200);
    assert_serves(&ingress, 20);
    assert_eq!(a.request_count(), before);
    assert_eq!(call(console, "PUT", "/-/backends/s-0/enable"), 200);
    let mut client = ingress.client();
    until("the node is used again", || {
        client.call(read_request()).status() == 200 && a.request_count() > before
    });
}

#[test]
fn invalid_console_calls_get_an_error_status() {
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
fn idle_console_connections_do_not_block_calls() {
    let a = Backend::start(|_| ok(b"a"));
    let (_counter, _discovery, _ingress, console) = start(&[&a], |_| {});
    let mut idle: Vec<TcpStream> = Vec::new();
    for i in 0..300 {
        idle.push(TcpStream::connect(console).unwrap());
        if i % 50 == 49 {
            let started_at = Instant::now();
            assert_eq!(call(console, "GET", "/-/ready"), 200);
            assert!(started_at.elapsed() < Duration::from_secs(1), "{:?}", started_at.elapsed());
        }
    }
}

#[test]
fn drained_ingress_closes_its_connections_and_serves_again_after_resume() {
    let a = Backend::start(|_| ok(b"a"));
    let (_counter, _discovery, ingress, console) = start(&[&a], |_| {});
    let (mut idle, mut busy, mut partial) = (ingress.client(), ingress.client(), ingress.client());
    assert_eq!(idle.call(read_request()).status(), 200);
    assert_eq!(busy.call(read_request()).status(), 200);
    assert_eq!(partial.call(read_request()).status(), 200);
    let request = read_request();
    let (first, rest) = request.split_at(40);
    partial.send(first);
    assert_eq!(call(console, "PUT", "/-/drain"), 200);
    assert_ne!(ingress.client().call(READY).status(), 200);
    assert_ne!(call(console, "GET", "/-/ready"), 200);
    // The request is served and its connection closed.
    let response = busy.call(read_request());
    assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    assert!(busy.is_closed() && idle.is_closed());
    // A partial request had arrived when idle connections were closed, and gets its response.
    partial.send(rest);
    assert_eq!(partial.read_response().expect("a response").status(), 200);
    assert!(partial.is_closed());
    assert_eq!(ingress.client().call(read_request()).status(), 200);
    assert_eq!(call(console, "PUT", "/-/resume"), 200);
    assert_eq!((call(console, "GET", "/-/ready"), ingress.client().call(READY).status()), (200, 200));
    let mut client = ingress.client();
    assert_eq!(client.call(read_request()).status(), 200);
    assert_eq!(client.call(read_request()).status(), 200);
}

fn post_request(class: &str) -> String {
    request_head("POST", class, "wide", "1000m") + "Content-Length: 1\r\n\r\nx"
}

#[test]
fn reloaded_settings_are_in_force_after_the_signal() {
    let a = Backend::start(|_| raw("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"));
    let (_counter, _discovery, ingress, _console) = start(&[&a], |_| {});
    let mut client = ingress.client();
    assert_eq!(client.call(post_request("upsell-post")).status(), 404);
    let mut config = ingress.config();
    let mut class = config["settings"]["categories"][1].clone();
    class["name"] = json!("upsell-post");
    config["settings"]["categories"] = json!([config["settings"]["categories"][1], class]);
    ingress.reload(&config.to_string());
    until("the new class is in force", || ingress.client().call(post_request("upsell-post")).status() == 502);
    // The removed class is unknown. The remaining class is unchanged: its requests are not retried.
    assert_eq!(ingress.client().call(read_request()).status(), 404);
    let before = a.request_count();
    assert_eq!(ingress.client().call(post_request("booking-post")).status(), 502);
    assert_eq!(a.request_count(), before + 1);
    // The class becomes idempotent, with at most two attempts.
    config["settings"]["categories"][0]["effect"] = json!("idempotent");
    config["settings"]["bounds"]["attempts-cap"] = json!(2);
    ingress.reload(&config.to_string());
    let retryable_request = || request_head("GET", "booking-post", "wide", "1000m") + "\r\n";
    until("the new effect is in force", || ingress.client().call(retryable_request()).status() == 503);
    let before = a.request_count();
    assert_eq!(ingress.client().call(retryable_request()).status(), 503);
    assert!((1..=2).contains(&(a.request_count() - before)), "{}", a.request_count() - before);
}

#[test]
fn invalid_file_changes_no_setting() {
    let a = Backend::start(|_| ok(b"a"));
    let (_counter, _discovery, ingress, console) = start(&[&a], |_| {});
    let good = ingress.config();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = good.clone();
        // If the file were applied, the class would have another name.
        config["settings"]["categories"][0]["name"] = json!("look-read");
        change(&mut config);
        config.to_string()
    };
    let valid = with(&|_| {});
    let without = |key: &'static str| {
        with(&move |config| {
            config["settings"].as_object_mut().unwrap().remove(key);
        })
    };
    let broken = [
        String::new(),
        valid[..valid.len() / 2].to_string(),
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
        let rejected = ingress.count_log_lines("the configuration in force stays");
        ingress.reload(&text);
        until("the file is read", || ingress.count_log_lines("the configuration in force stays") > rejected);
        assert_eq!(ingress.client().call(read_request()).status(), 200, "after {text:.60}");
    }
    assert_eq!(call(console, "GET", "/-/ready"), 200);
}
