//! Several pools in one process, on real sockets: routes, what goes on to nodes, quotas apart, pools that fail
//! apart, and connections that say nothing.

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

/// Two pools with quotas that are not in the way; `more` goes into the first pool's table.
fn two_pools(avail: &[SocketAddr], booking: &[SocketAddr], service: &str, more: &str) -> String {
    format!(
        r#"[service]
listen = "LISTEN"
{service}
[[pool]]
name = "availability"
nodes = {}
{more}
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
    let answer = client.call(read("x"));
    assert_eq!((answer.status(), &answer.body[..10]), (200, b"a answers ".as_slice()));
    // On the same connection, to the other pool and back.
    let answer = client.call(booking("x"));
    assert_eq!((answer.status(), &answer.body[..10]), (200, b"b answers ".as_slice()));
    assert_eq!(client.call(read("x")).status(), 200);
    assert_eq!((avail.executed().len(), reserve.executed().len()), (2, 1));
    let answer = client.call(service_request("GET", "other.example.org", "/", "x", ""));
    assert_eq!((answer.status(), answer.body.as_slice()), (404, b"path: no route\n".as_slice()));
    assert_eq!(service.client().call(READY).status(), 200);
}

#[test]
fn a_bad_request_is_told_which_field_is_wrong() {
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
    for (request, why) in cases {
        let answer = service.client().call(&request);
        assert!([400, 404].contains(&answer.status()), "{why}");
        assert_eq!(String::from_utf8_lossy(&answer.body).trim_end(), why);
    }
    assert_eq!(avail.received().len(), 0);
}

#[test]
fn what_goes_on_to_the_node_is_what_was_matched() {
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
    for (path, host, goes_on) in cases {
        let answer = service.client().call(service_request("GET", host, path, "x", ""));
        assert_eq!(answer.status(), 200, "{path}");
        let seen = backend.requests().last().unwrap().start_line.clone();
        assert_eq!(seen, format!("GET {goes_on} HTTP/1.1"), "{path}");
    }
    let before = backend.request_count();
    let hidden =
        ["/x/%2e%2e%2fadmin", "/x/..;/admin", "/%5cadmin", "/..%2fadmin", "/../admin", "/x%00", "/a%"];
    for path in hidden {
        let answer = service.client().call(service_request("GET", AVAIL, path, "x", ""));
        assert_eq!(answer.status(), 400, "{path}");
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
    // Whichever way the path is written, it is the route of its normal form that holds.
    for path in ["/admin/keys", "//admin//keys", "/x/../admin/keys", "/%61dmin/keys", "/./admin/keys"] {
        let request = service_request("GET", AVAIL, path, "x", "");
        let request = request.replacen("X-Account: x\r\n", "X-Account: x\r\nReq-Kind: booking-post\r\n", 1);
        // The class is one of the pool behind the route, and of that alone.
        assert_eq!(service.client().call(request).status(), 200, "{path}");
        assert_eq!(backend.requests().last().unwrap().start_line, "GET /admin/keys HTTP/1.1");
    }
}

#[test]
fn quotas_of_two_pools_are_apart_whatever_they_share() {
    // The same node, customer and plan name in both, and one counter.
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
    let (mut of_avail, mut of_booking): (Vec<_>, Vec<_>) =
        names.iter().partition(|name| name.starts_with("availability:"));
    assert!(of_booking.iter().all(|name| name.starts_with("reservations:")), "{names:?}");
    // Of one customer: but for the pool they are the same names.
    let bare = |names: &mut Vec<&String>| {
        let mut bare: Vec<_> = names.iter().map(|name| name.split_once(':').unwrap().1.to_string()).collect();
        bare.sort();
        bare.dedup();
        bare
    };
    assert_eq!(bare(&mut of_avail), bare(&mut of_booking));
    assert_eq!(shared.executed().len(), 6);
}

#[test]
fn clients_are_told_of_their_quota_where_that_is_switched_on() {
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
    let refused = client.call(read("x"));
    assert_eq!(refused.status(), 429);
    assert!(refused.headers["ratelimit"].starts_with("\"quota\";r=0;t="), "{refused:?}");
    let wait: f64 = refused.headers["retry-after"].parse().unwrap();
    assert!(wait > 0.5 && wait <= 2.0, "{wait}");
    let other = client.call(booking("x"));
    assert!(!other.headers.contains_key("ratelimit") && !other.headers.contains_key("x-ratelimit-limit"));
}

/// Every node of one pool fails; the other pool's requests are all served meanwhile, and each of the failing
/// pool's gets its one answer in time.
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
            let began = Instant::now();
            clients.iter_mut().for_each(|client| client.send(read("x")));
            statuses.extend(
                clients.iter_mut().map(|client| client.read_response().expect("one answer").status()),
            );
            // The deadline, and what the machine may take for it.
            assert!(began.elapsed() < Duration::from_millis(600 + 400), "{:?}", began.elapsed());
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
    // And it comes back.
    nodes.iter().for_each(|node| node.inject(Fault::None));
    until("the pool serves again", || service.client().call(read("x")).status() == 200);
}

#[test]
fn a_pool_whose_nodes_all_decline_fails_alone() {
    one_pool_fails(Fault::Decline, &[503]);
}

#[test]
fn a_pool_whose_nodes_all_refuse_connections_fails_alone() {
    one_pool_fails(Fault::Closed, &[502, 503]);
}

#[test]
fn a_pool_whose_nodes_all_hang_fails_alone() {
    one_pool_fails(Fault::Hang, &[502, 503]);
}

#[test]
fn a_pool_whose_nodes_all_reset_fails_alone() {
    one_pool_fails(Fault::Reset, &[502, 503]);
}

#[test]
fn a_pool_whose_nodes_all_answer_rubbish_fails_alone() {
    one_pool_fails(Fault::Spoil, &[502, 503]);
}

#[test]
fn silent_connections_keep_nobody_out() {
    let (avail, reserve) = (node("a", 1), node("b", 1));
    let text = two_pools(&[avail.address], &[reserve.address], "descriptors = 300", "");
    let service = Service::start(&text);
    // Some that never say a word, some that have asked the one pool and then say nothing, and halves of heads.
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
    // The pool that they are against still takes new ones too: the longest idle make room.
    assert_eq!(service.client().call(read("y")).status(), 200);
}

#[test]
fn one_pools_connections_leave_the_others_their_descriptors() {
    let (avail, reserve) = (node("a", 1), node("b", 1));
    // No keep-alive of its own is idle: all are in the middle of a request that hangs.
    let text = two_pools(&[avail.address], &[reserve.address], "descriptors = 220", "");
    let service = Service::start(&text);
    avail.inject(Fault::Hang);
    let mut busy: Vec<_> = (0..200).filter_map(|_| Client::try_open(service.address)).collect();
    for client in &mut busy {
        let _ = client.try_send(read("x"));
    }
    let mut served = 0;
    for number in 0..20 {
        served += u32::from(service.client().call(booking(&format!("h{number}"))).status() == 200);
    }
    assert_eq!(served, 20);
}

#[test]
fn one_pools_bodies_leave_the_others_their_memory() {
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
    let mut full: Vec<_> = (0..12).map(|_| service.client()).collect();
    let large = service_request("POST", AVAIL, "/rates", "x", &body);
    full.iter_mut().for_each(|client| client.send(&large));
    // 260 of 400 KB are not the other pool's, which is four bodies; the others are refused at once.
    let refused = |client: &mut Client| {
        client.stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        client.read_response().is_some_and(|answer| answer.status() == 503)
    };
    let mut count = 0;
    until("what does not fit is refused", || {
        count += full.iter_mut().map(|client| usize::from(refused(client))).sum::<usize>();
        count >= 8
    });
    let own = service_request("POST", BOOKING, "/bookings", "y", &body);
    assert_eq!(service.client().call(&own).status(), 200);
    assert_eq!(reserve.executed().len(), 1);
}

#[test]
fn a_pool_takes_no_more_open_requests_than_it_may() {
    let avail = node("a", 1);
    let text = two_pools(&[avail.address], &[avail.address], "", "limits = { open_requests = 3 }");
    let service = Service::start(&text);
    avail.inject(Fault::Hang);
    let mut clients: Vec<_> = (0..3).map(|_| service.client()).collect();
    clients.iter_mut().for_each(|client| client.send(read("x")));
    until("three are out", || avail.received().len() == 3);
    let began = Instant::now();
    assert_eq!(service.client().call(read("x")).status(), 503);
    assert!(began.elapsed() < Duration::from_millis(300), "refused at once, not after {:?}", began.elapsed());
    clients.iter_mut().for_each(|client| assert_ne!(client.read_response().unwrap().status(), 200));
    avail.inject(Fault::None);
    until("there is room again", || service.client().call(read("x")).status() == 200);
}

#[test]
fn a_pool_can_follow_a_discovery() {
    let (first, second, reserve) = (node("a", 1), node("b", 1), node("c", 1));
    let discovery = Discovery::start(vec![member("s-1", first.address, "in_service")]);
    let text = two_pools(&[first.address], &[reserve.address], "", "");
    let list = format!("nodes = {}", addresses(&[first.address]));
    let text = text.replacen(&list, &format!("discovery = \"{}\"", discovery.address), 1);
    let service = Service::start(&text);
    until("it is ready", || service.client().call(READY).status() == 200);
    assert_eq!(service.client().call(read("x")).status(), 200);
    discovery.update(member("s-2", second.address, "in_service"));
    discovery.update(member("s-1", first.address, "terminating"));
    until("the new one serves", || {
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
fn sigterm_ends_the_service_with_what_is_open_answered() {
    let (avail, reserve) = (node("a", 1), node("b", 400));
    let mut service = Service::start(&two_pools(&[avail.address], &[reserve.address], "", ""));
    let mut client = service.client();
    client.send(booking("x"));
    until("it is out", || reserve.received().len() == 1);
    service.signal("-TERM");
    assert_eq!(client.read_response().unwrap().status(), 200);
    until("the service ends", || service.child.try_wait().unwrap().is_some());
    assert!(service.child.wait().unwrap().success());
}
