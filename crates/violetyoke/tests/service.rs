//! Several pools in one process, on loopback sockets: routes, forwarded requests, separate quotas, isolation of
//! failing pools, and idle connections.

#![cfg(test)]

mod common;

use common::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use violetyoke_standin::node::{Fault, Node, Shape};

const AVAIL: &str = "avail.example.org";
const BOOKING: &str = "booking.example.org";

fn node(name: &str, milliseconds: u64) -> Node {
    let shape = Shape { service: Duration::from_millis(milliseconds), ..Shape::default() };
    Node::start(violetyoke_standin::any_port(), name, shape).unwrap()
}

fn addresses(nodes: &[SocketAddr]) -> String {
    let list: Vec<_> = nodes.iter().map(|address| format!("{{ address = \"{address}\" }}")).collect();
    format!("[{}]", list.join(", "))
}

/// Two pools with high quotas. `pool_settings` are added to the first pool.
fn two_pools(avail: &[SocketAddr], booking: &[SocketAddr], service: &str, pool_settings: &str) -> String {
    format!(
        r#"[service]
listen = "LISTEN"
{service}
[[pool]]
name = "availability"
nodes = {}
{pool_settings}
class = [{{ name = "avail-read", effect = "safe", aim_ms = 300, deadline_ms = 600 }}]
plan = [{{ name = "basic", rate = 1000, burst = 1000 }}]

[[pool]]
name = "reservations"
nodes = {}
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 1000, deadline_ms = 2000 }}]
plan = [{{ name = "basic", rate = 1000, burst = 1000 }}]

[[route]]
host = "avail.example.org"
pool = "availability"

[[route]]
host = "booking.example.org"
pool = "reservations"
"#,
        addresses(avail),
        addresses(booking)
    )
}

fn read(account: &str) -> String {
    service_request("GET", AVAIL, "/hotels/7", account, "")
}

fn booking(account: &str) -> String {
    service_request("POST", BOOKING, "/bookings", account, "room=4")
}

#[test]
fn requests_go_to_the_pool_of_their_route() {
    let (avail, reserve) = (node("a", 1), node("b", 1));
    let service = Service::start(&two_pools(&[avail.address], &[reserve.address], "", ""));
    let mut client = service.client();
    let response = client.call(read("x"));
    assert_eq!((response.status(), &response.body[..10]), (200, b"a answers ".as_slice()));
    // The same connection is used for the other pool, and again for the first.
    let response = client.call(booking("x"));
    assert_eq!((response.status(), &response.body[..10]), (200, b"b answers ".as_slice()));
    assert_eq!(client.call(read("x")).status(), 200);
    assert_eq!((avail.executed().len(), reserve.executed().len()), (2, 1));
    let response = client.call(service_request("GET", "other.example.org", "/", "x", ""));
    assert_eq!((response.status(), response.body.as_slice()), (404, b"path: no route\n".as_slice()));
    assert_eq!(service.client().call(READY).status(), 200);
}

#[test]
fn rejection_of_an_invalid_request_names_the_field() {
    let avail = node("a", 1);
    let service = Service::start(&two_pools(&[avail.address], &[avail.address], "", ""));
    let with = |line: &str| read("x").replacen("X-Account: x\r\n", line, 1);
    let cases = [
        (with(""), "x-account: missing"),
        (with("X-Account: x\r\nX-Account: y\r\n"), "x-account: doubled or not text"),
        (with("X-Account: x\r\nX-Tier: gold\r\n"), "x-tier: no such plan"),
        (with("X-Account: x\r\nReq-Deadline: soon\r\n"), "req-deadline: a number and m or u"),
        (with("X-Account: x\r\nX-Call-Terms: units=-1\r\n"), "x-call-terms: units"),
        (with("X-Account: x\r\nReq-Kind: cancel\r\n"), "req-kind: no such class"),
        (with("X-Account: x\r\nTransfer-Encoding: chunked\r\n"), "transfer-encoding: not taken"),
    ];
    for (request, reason) in cases {
        let response = service.client().call(&request);
        assert!([400, 404].contains(&response.status()), "{reason}");
        assert_eq!(String::from_utf8_lossy(&response.body).trim_end(), reason);
    }
    assert_eq!(avail.received().len(), 0);
}

#[test]
fn forwarded_target_is_the_normalized_one_that_was_matched() {
    let backend = Backend::start(|_| ok(b"x"));
    let text = two_pools(&[backend.address], &[backend.address], "", "")
        + "[[route]]\nhost = \"avail.example.org\"\npath = \"/admin/*\"\npool = \"reservations\"\n";
    let service = Service::start(&text);
    let cases = [
        ("/a//b/./c/../d?x=%2e&y=//", AVAIL, "/a/b/d?x=%2e&y=//"),
        ("/%61%62?q", AVAIL, "/ab?q"),
        ("/x", "AVAIL.example.ORG:8080", "/x"),
        ("http://avail.example.org/x?y", AVAIL, "/x?y"),
        ("/b/..", AVAIL, "/"),
    ];
    for (path, host, forwarded) in cases {
        let response = service.client().call(service_request("GET", host, path, "x", ""));
        assert_eq!(response.status(), 200, "{path}");
        let seen = backend.requests().last().unwrap().start_line.clone();
        assert_eq!(seen, format!("GET {forwarded} HTTP/1.1"), "{path}");
    }
    let before = backend.request_count();
    let hidden =
        ["/x/%2e%2e%2fadmin", "/x/..;/admin", "/%5cadmin", "/..%2fadmin", "/../admin", "/x%00", "/a%"];
    for path in hidden {
        let response = service.client().call(service_request("GET", AVAIL, path, "x", ""));
        assert_eq!(response.status(), 400, "{path}");
    }
    for request in [
        read("x").replacen("Host: avail.example.org\r\n", "", 1),
        read("x").replacen("Host:", "Host: booking.example.org\r\nHost:", 1),
        service_request("GET", AVAIL, "http://booking.example.org/x", "x", ""),
        service_request("GET", "avail.example.org, booking.example.org", "/x", "x", ""),
        service_request("GET", "user@avail.example.org", "/x", "x", ""),
    ] {
        assert_eq!(service.client().call(&request).status(), 400, "{request}");
    }
    assert_eq!(backend.request_count(), before);
    // All spellings of a path match the route of its normalized form.
    for path in ["/admin/keys", "//admin//keys", "/x/../admin/keys", "/%61dmin/keys", "/./admin/keys"] {
        let request = service_request("GET", AVAIL, path, "x", "");
        let request = request.replacen("X-Account: x\r\n", "X-Account: x\r\nReq-Kind: booking-post\r\n", 1);
        // The class exists only in the pool of this route.
        assert_eq!(service.client().call(request).status(), 200, "{path}");
        assert_eq!(backend.requests().last().unwrap().start_line, "GET /admin/keys HTTP/1.1");
    }
}

#[test]
fn quotas_of_two_pools_are_separate_with_the_same_node_account_and_counter() {
    // Both pools have the same node, account, plan name and counter.
    let (shared, counter) = (node("n", 1), Counter::start());
    let text = two_pools(&[shared.address], &[shared.address], "", "")
        .replace("rate = 1000, burst = 1000", "rate = 0.1, burst = 3")
        .replace("class = ", &format!("counter = \"{}\"\nclass = ", counter.address));
    let service = Service::start(&text);
    let mut client = service.client();
    let statuses = |client: &mut Client, request: &dyn Fn(&str) -> String| -> Vec<u16> {
        (0..5).map(|_| client.call(request("x")).status()).collect()
    };
    assert_eq!(statuses(&mut client, &read), [200, 200, 200, 429, 429]);
    assert_eq!(statuses(&mut client, &booking), [200, 200, 200, 429, 429]);
    let names = counter.names();
    let (mut avail_names, mut booking_names): (Vec<_>, Vec<_>) =
        names.iter().partition(|name| name.starts_with("availability:"));
    assert!(booking_names.iter().all(|name| name.starts_with("reservations:")), "{names:?}");
    // The names of one customer differ only in the pool.
    let without_namespace = |names: &mut Vec<&String>| {
        let mut without_namespace: Vec<_> =
            names.iter().map(|name| name.split_once(':').unwrap().1.to_string()).collect();
        without_namespace.sort();
        without_namespace.dedup();
        without_namespace
    };
    assert_eq!(without_namespace(&mut avail_names), without_namespace(&mut booking_names));
    assert_eq!(shared.executed().len(), 6);
}

#[test]
fn quota_headers_are_sent_only_by_pools_that_enable_them() {
    let avail = node("a", 1);
    let text = two_pools(&[avail.address], &[avail.address], "", "limit_fields = [\"draft\", \"legacy\"]")
        .replacen("rate = 1000, burst = 1000", "rate = 0.5, burst = 2", 1);
    let service = Service::start(&text);
    let mut client = service.client();
    let first = client.call(read("x"));
    assert_eq!(first.headers["ratelimit-policy"], "\"quota\";q=2;w=4");
    assert!(first.headers["ratelimit"].starts_with("\"quota\";r=1;t="), "{first:?}");
    assert_eq!(
        (first.headers["x-ratelimit-limit"].as_str(), first.headers["x-ratelimit-remaining"].as_str()),
        ("2", "1")
    );
    assert_eq!(client.call(read("x")).status(), 200);
    let rejected = client.call(read("x"));
    assert_eq!(rejected.status(), 429);
    assert!(rejected.headers["ratelimit"].starts_with("\"quota\";r=0;t="), "{rejected:?}");
    let wait: f64 = rejected.headers["retry-after"].parse().unwrap();
    assert!(wait > 0.5 && wait <= 2.0, "{wait}");
    let other = client.call(booking("x"));
    assert!(!other.headers.contains_key("ratelimit") && !other.headers.contains_key("x-ratelimit-limit"));
}

/// All nodes of one pool fail. Meanwhile all requests to the other pool must be served, and each request to the
/// failing pool must get one response in time.
fn one_pool_fails(fault: Fault, expected: &[u16]) {
    let nodes = [node("a", 1), node("b", 1)];
    let healthy = node("c", 1);
    let text = two_pools(&[nodes[0].address, nodes[1].address], &[healthy.address], "", "");
    let service = Service::start(&text);
    assert_eq!(service.client().call(read("x")).status(), 200);
    nodes.iter().for_each(|node| node.inject(fault));
    let address = service.address;
    let failing = std::thread::spawn(move || {
        let mut clients: Vec<_> = (0..8).map(|_| Client::try_open(address).unwrap()).collect();
        let mut statuses = Vec::new();
        for _ in 0..3 {
            let started_at = Instant::now();
            clients.iter_mut().for_each(|client| client.send(read("x")));
            statuses.extend(
                clients.iter_mut().map(|client| client.read_response().expect("one response").status()),
            );
            // The deadline, and a tolerance for a busy machine.
            assert!(started_at.elapsed() < Duration::from_millis(600 + 400), "{:?}", started_at.elapsed());
        }
        statuses
    });
    let mut client = service.client();
    let mut served = 0;
    while !failing.is_finished() || served < 50 {
        assert_eq!(client.call(booking(&format!("h{served}"))).status(), 200);
        served += 1;
    }
    let statuses = failing.join().unwrap();
    assert!(statuses.iter().all(|status| expected.contains(status)), "{statuses:?}");
    assert_eq!(healthy.executed().len(), served);
    // The pool recovers.
    nodes.iter().for_each(|node| node.inject(Fault::None));
    until("the pool serves again", || service.client().call(read("x")).status() == 200);
}

#[test]
fn pool_whose_nodes_all_decline_does_not_affect_the_other() {
    one_pool_fails(Fault::Decline, &[503]);
}

#[test]
fn pool_whose_nodes_all_refuse_connections_does_not_affect_the_other() {
    one_pool_fails(Fault::Closed, &[502, 503]);
}

#[test]
fn pool_whose_nodes_all_hang_does_not_affect_the_other() {
    one_pool_fails(Fault::Hang, &[502, 503]);
}

#[test]
fn pool_whose_nodes_all_reset_connections_does_not_affect_the_other() {
    one_pool_fails(Fault::Reset, &[502, 503]);
}

#[test]
fn pool_whose_nodes_all_send_malformed_responses_does_not_affect_the_other() {
    one_pool_fails(Fault::Spoil, &[502, 503]);
}

#[test]
fn idle_connections_do_not_keep_new_clients_out() {
    let (avail, reserve) = (node("a", 1), node("b", 1));
    let text = two_pools(&[avail.address], &[reserve.address], "descriptors = 300", "");
    let service = Service::start(&text);
    // Connections without a request, connections that are idle after a request to one pool, and partial request
    // heads.
    let mut silent = Vec::new();
    for number in 0..500 {
        let Some(mut client) = Client::try_open(service.address) else { continue };
        match number % 3 {
            0 => {}
            1 => {
                let _ = client.try_call(read("x"));
            }
            _ => {
                let _ = client.try_send("GET /hotels HTTP/1.1\r\nHost: avail");
            }
        }
        silent.push(client);
    }
    for number in 0..20 {
        let mut client = service.client();
        assert_eq!(client.call(booking(&format!("h{number}"))).status(), 200);
    }
    assert_eq!(reserve.executed().len(), 20);
    // Their pool also accepts new connections: those that are idle for longest are closed.
    assert_eq!(service.client().call(read("y")).status(), 200);
}

#[test]
fn connections_of_one_pool_leave_other_pools_their_guaranteed_descriptors() {
    let (avail, reserve) = (node("a", 1), node("b", 1));
    // No connection of the first pool is idle: all have a hanging request.
    let text = two_pools(&[avail.address], &[reserve.address], "descriptors = 220", "");
    let service = Service::start(&text);
    avail.inject(Fault::Hang);
    let mut hanging: Vec<_> = (0..200).filter_map(|_| Client::try_open(service.address)).collect();
    for client in &mut hanging {
        let _ = client.try_send(read("x"));
    }
    let mut served = 0;
    for number in 0..20 {
        served += u32::from(service.client().call(booking(&format!("h{number}"))).status() == 200);
    }
    assert_eq!(served, 20);
}

#[test]
fn bodies_of_one_pool_leave_other_pools_their_guaranteed_memory() {
    let (avail, reserve) = (node("a", 1), node("b", 1));
    let service_keys = "buffered_bytes = 400000";
    let limits = "limits = { buffered_bytes = 70000 }";
    let text = two_pools(&[avail.address], &[reserve.address], service_keys, limits);
    let text = text.replace(
        "name = \"reservations\"\n",
        "name = \"reservations\"\nlimits = { buffered_bytes = 140000 }\n",
    );
    let service = Service::start(&text);
    let body = "x".repeat(65_000);
    avail.inject(Fault::Hang);
    let mut large_uploads: Vec<_> = (0..12).map(|_| service.client()).collect();
    let large = service_request("POST", AVAIL, "/rates", "x", &body);
    large_uploads.iter_mut().for_each(|client| client.send(&large));
    // 260 of 400 KB are not guaranteed to the other pool, enough for four bodies. The others are rejected at
    // once.
    let rejected = |client: &mut Client| {
        client.stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        client.read_response().is_some_and(|response| response.status() == 503)
    };
    let mut count = 0;
    until("the bodies that do not fit are rejected", || {
        count += large_uploads.iter_mut().map(|client| usize::from(rejected(client))).sum::<usize>();
        count >= 8
    });
    let other_pool_request = service_request("POST", BOOKING, "/bookings", "y", &body);
    assert_eq!(service.client().call(&other_pool_request).status(), 200);
    assert_eq!(reserve.executed().len(), 1);
}

#[test]
fn pool_rejects_requests_beyond_its_limit_of_open_ones() {
    let avail = node("a", 1);
    let text = two_pools(&[avail.address], &[avail.address], "", "limits = { open_requests = 3 }");
    let service = Service::start(&text);
    avail.inject(Fault::Hang);
    let mut clients: Vec<_> = (0..3).map(|_| service.client()).collect();
    clients.iter_mut().for_each(|client| client.send(read("x")));
    until("three requests are in flight", || avail.received().len() == 3);
    let started_at = Instant::now();
    assert_eq!(service.client().call(read("x")).status(), 503);
    assert!(
        started_at.elapsed() < Duration::from_millis(300),
        "rejected at once, not after {:?}",
        started_at.elapsed()
    );
    clients.iter_mut().for_each(|client| assert_ne!(client.read_response().unwrap().status(), 200));
    avail.inject(Fault::None);
    until("the pool serves again", || service.client().call(read("x")).status() == 200);
}

#[test]
fn pool_gets_its_nodes_from_a_discovery() {
    let (first, second, reserve) = (node("a", 1), node("b", 1), node("c", 1));
    let discovery = Discovery::start(vec![member("s-1", first.address, "in_service")]);
    let text = two_pools(&[first.address], &[reserve.address], "", "");
    let list = format!("nodes = {}", addresses(&[first.address]));
    let text = text.replacen(&list, &format!("discovery = \"{}\"", discovery.address), 1);
    let service = Service::start(&text);
    until("the service is ready", || service.client().call(READY).status() == 200);
    assert_eq!(service.client().call(read("x")).status(), 200);
    discovery.update(member("s-2", second.address, "in_service"));
    discovery.update(member("s-1", first.address, "terminating"));
    until("the new node serves", || {
        service.client().call(read("x"));
        !second.executed().is_empty()
    });
    let before = first.received().len();
    for _ in 0..20 {
        assert_eq!(service.client().call(read("x")).status(), 200);
    }
    assert_eq!(first.received().len(), before);
}

#[test]
fn sigterm_ends_the_service_after_open_requests_have_responses() {
    let (avail, reserve) = (node("a", 1), node("b", 400));
    let mut service = Service::start(&two_pools(&[avail.address], &[reserve.address], "", ""));
    let mut client = service.client();
    client.send(booking("x"));
    until("the request is in flight", || reserve.received().len() == 1);
    service.signal("-TERM");
    assert_eq!(client.read_response().unwrap().status(), 200);
    until("the service ends", || service.child.try_wait().unwrap().is_some());
    assert!(service.child.wait().unwrap().success());
}
