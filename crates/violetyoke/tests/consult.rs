//! A pool that queries an external rate limit server before admission: responses that are in time, late,
//! invalid or missing, with a stub server on loopback sockets.

#![cfg(test)]

mod common;

use common::grpc::*;
use common::*;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use violetyoke_ratelimit_proto as proto;
use violetyoke_standin::node::{Node, Shape};
use violetyoke_standin::rate_limit_server::{Behavior, RateLimitServer};

const HOST: &str = "booking.example.org";
const HOUR: Duration = Duration::from_secs(3_600);

fn node() -> Node {
    let shape = Shape { service: Duration::from_millis(1), ..Shape::default() };
    Node::start(violetyoke_standin::any_port(), "n", shape).unwrap()
}

/// A server that admits `limit` units of each account for the duration of a test.
fn limiter(limit: u64) -> RateLimitServer {
    RateLimitServer::start(violetyoke_standin::any_port(), limit, HOUR).unwrap()
}

/// A pool with an external limiter, and a quota of 100 units unless `pool_settings` has another plan.
fn file(node: &Node, limiter: &RateLimitServer, consult: &str, pool_settings: &str) -> String {
    let plan = if pool_settings.contains("plan =") {
        ""
    } else {
        "plan = [{ name = \"basic\", rate = 0.01, burst = 100 }]"
    };
    format!(
        r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
{pool_settings}
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 1000, deadline_ms = 2000 }}]
{plan}
[pool.consult]
address = "{}"
domain = "partners"
{consult}
[[route]]
host = "{HOST}"
pool = "reservations"
[ratelimit]
listen = "LISTEN"
unknown_domain = "ok"
[[ratelimit.domain]]
name = "rooms"
unknown_descriptor = "over_limit"
[[ratelimit.domain.descriptor]]
pool = "reservations"
account = "account"
try_key = "try"
"#,
        node.address, limiter.address
    )
}

const REJECT_ON_TIMEOUT: &str = "when_silent = \"refuse\"\nbudget_ms = 100\nbreaker = { failures = 1000000 }";
const OWN_QUOTA_ON_TIMEOUT: &str =
    "when_silent = \"own_quota\"\nbudget_ms = 100\nbreaker = { failures = 1000000 }";

fn booking(address: SocketAddr, account: &str) -> HttpMessage {
    let mut client = Client::try_open(address).expect("the service accepts connections");
    client.call(service_request("POST", HOST, "/bookings", account, "room=4"))
}

fn status(service: &Service, account: &str) -> u16 {
    booking(service.address, account).status()
}

fn status_of_attempt(service: &Service, account: &str, name: &str) -> u16 {
    let request = service_request("POST", HOST, "/bookings", account, "room=4");
    service.client().call(request.replacen("X-Account", &format!("X-Try: {name}\r\nX-Account"), 1)).status()
}

#[test]
fn external_limit_and_quota_of_the_pool_both_hold() {
    let (node, limiter) = (node(), limiter(3));
    let keys = "plan_key = \"tier\"\nclass_key = \"class\"\nwith = { service = \"rooms\" }\n";
    let service = Service::start(&file(&node, &limiter, &format!("{keys}{REJECT_ON_TIMEOUT}"), ""));
    let statuses: Vec<u16> = (0..5).map(|_| status(&service, "h")).collect();
    assert_eq!(statuses, [200, 200, 200, 429, 429]);
    assert_eq!(node.received().len(), 3);
    let rejected = booking(service.address, "h");
    // The external server reports the end of its window, and the pool limits it to its maximum.
    assert_eq!(rejected.headers["retry-after"], "60.000");
    let seen = limiter.received();
    let entries: Vec<_> = seen[0].entries.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
    let expected = [("service", "rooms"), ("account", "h"), ("tier", "basic"), ("class", "booking-post")];
    assert_eq!((seen[0].domain.as_str(), entries.as_slice()), ("partners", expected.as_slice()));
    // A server that admits too much does not extend the pool's quota, and one that rejects all uses none of it.
    let service = Service::start(&file(
        &node,
        &limiter,
        REJECT_ON_TIMEOUT,
        "plan = [{ name = \"p\", rate = 0.01, burst = 2 }]",
    ));
    limiter.set(Behavior::AdmitNone);
    assert_eq!((status(&service, "g"), status(&service, "g")), (429, 429));
    limiter.set(Behavior::AdmitAll);
    assert_eq!([status(&service, "g"), status(&service, "g"), status(&service, "g")], [200, 200, 429]);
}

#[test]
fn missing_response_is_decided_within_the_budget_as_configured() {
    for (consult, status_code) in [(OWN_QUOTA_ON_TIMEOUT, 200), (REJECT_ON_TIMEOUT, 503)] {
        for mode in [Behavior::Silent, Behavior::Error, Behavior::UnknownCode] {
            let (node, limiter) = (node(), limiter(9));
            let service = Service::start(&file(&node, &limiter, consult, ""));
            limiter.set(mode);
            let started_at = Instant::now();
            assert_eq!(status(&service, "h"), status_code, "{mode:?}");
            // Well before the deadline of 2 s: the budget is 100 ms.
            assert!(
                started_at.elapsed() < Duration::from_millis(1_500),
                "{mode:?}: {:?}",
                started_at.elapsed()
            );
            assert_eq!(limiter.received().len(), 1);
        }
        // No process listens at the address.
        let (node, limiter) = (node(), limiter(9));
        let text = file(&node, &limiter, consult, "");
        let unreachable = text.replace(&limiter.address.to_string(), "127.0.0.1:1");
        assert_eq!(status(&Service::start(&unreachable), "h"), status_code);
    }
}

#[test]
fn external_query_does_not_delay_a_request_beyond_its_deadline() {
    let (node, limiter) = (node(), limiter(9));
    let consult = OWN_QUOTA_ON_TIMEOUT.replace("budget_ms = 100", "budget_ms = 60000");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Silent);
    let request = service_request("POST", HOST, "/bookings", "h", "room=4");
    let started_at = Instant::now();
    let urgent = request.replacen("X-Account", "Req-Deadline: 400m\r\nX-Account", 1);
    assert_eq!(service.client().call(urgent).status(), 200);
    assert!(started_at.elapsed() < Duration::from_millis(400), "{:?}", started_at.elapsed());
}

#[test]
fn late_admission_does_not_change_the_response_and_admits_one_later_request() {
    let (node, limiter) = (node(), limiter(1));
    let consult = format!("{REJECT_ON_TIMEOUT}\ncredit_ms = 60000\nlate_ms = 10000");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(400)));
    assert_eq!(status(&service, "h"), 503);
    assert_eq!(node.received().len(), 0);
    // The only unit was counted for the first request. The late admission is recorded as credit, which admits
    // exactly one request.
    limiter.set(Behavior::Answer);
    let mut statuses = Vec::new();
    until("the late response is recorded", || {
        statuses.push(status(&service, "h"));
        statuses.ends_with(&[200])
    });
    statuses.extend((0..5).map(|_| status(&service, "h")));
    assert_eq!(statuses.iter().filter(|status_code| **status_code == 200).count(), 1, "{statuses:?}");
    assert!(statuses.iter().all(|status_code| [200, 429].contains(status_code)), "{statuses:?}");
    assert_eq!(node.received().len(), 1);
}

#[test]
fn late_rejection_does_not_change_the_response_and_leaves_no_credit() {
    let (node, limiter) = (node(), limiter(0));
    // Only one open query: the next one is sent once the late one has ended.
    let service = Service::start(&file(
        &node,
        &limiter,
        &format!("{OWN_QUOTA_ON_TIMEOUT}\nmost_open = 1\nlate_ms = 10000"),
        "",
    ));
    limiter.set(Behavior::Delay(Duration::from_millis(300)));
    assert_eq!(status(&service, "h"), 200);
    limiter.set(Behavior::Answer);
    let mut statuses = Vec::new();
    until("the late response has arrived", || {
        statuses.push(status(&service, "h"));
        statuses.ends_with(&[429])
    });
    // Until then the query was open, and requests were admitted by the pool's quota without a query.
    assert!(statuses[..statuses.len() - 1].iter().all(|status_code| *status_code == 200), "{statuses:?}");
    assert_eq!(limiter.received().len(), 2);
    assert_eq!((status(&service, "h"), limiter.received().len()), (429, 3));
}

#[test]
fn queries_without_a_response_do_not_count_as_open_forever() {
    let (node, limiter) = (node(), limiter(100));
    let service = Service::start(&file(
        &node,
        &limiter,
        &format!("{OWN_QUOTA_ON_TIMEOUT}\nmost_open = 2\nlate_ms = 200"),
        "",
    ));
    limiter.set(Behavior::Silent);
    // More requests at once than queries may be open: the others are decided without a query.
    let address = service.address;
    let calls: Vec<_> = (0..6).map(|_| thread::spawn(move || booking(address, "h").status())).collect();
    assert!(calls.into_iter().all(|call| call.join().unwrap() == 200));
    assert!((2..=6).contains(&limiter.received().len()));
    limiter.set(Behavior::Answer);
    let before = limiter.received().len();
    until("queries are sent again", || {
        assert_eq!(status(&service, "h"), 200);
        limiter.received().len() >= before + 3
    });
}

#[test]
fn circuit_breaker_opens_after_failures_and_a_successful_trial_closes_it() {
    let (node, limiter) = (node(), limiter(100));
    let breaker =
        "when_silent = \"refuse\"\nbreaker = { failures = 3, pause_ms = 2000, longest_pause_ms = 2000 }";
    let service = Service::start(&file(&node, &limiter, breaker, ""));
    limiter.set(Behavior::Error);
    for _ in 0..3 {
        assert_eq!(status(&service, "h"), 503);
    }
    // Open: requests are rejected at once with a Retry-After, and no query is sent.
    let rejected = booking(service.address, "h");
    let retry: f64 = rejected.headers["retry-after"].parse().unwrap();
    assert!(rejected.status() == 503 && retry > 0.0 && retry <= 2.0, "{retry}");
    assert_eq!(limiter.received().len(), 3);
    limiter.set(Behavior::Answer);
    until("a trial has closed the breaker", || status(&service, "h") == 200);
    assert_eq!((status(&service, "h"), status(&service, "h")), (200, 200));
    let log = service.log();
    assert!(log.iter().any(|line| line.contains("is silent")), "{log:?}");
    assert!(log.iter().any(|line| line.contains("answers again")), "{log:?}");
}

#[test]
fn goaway_loses_no_query() {
    let (node, limiter) = (node(), limiter(100));
    let consult = REJECT_ON_TIMEOUT.replace("budget_ms = 100", "budget_ms = 5000\nbudget_part = 0.5");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(50)));
    let address = service.address;
    for round in 1..=3 {
        let calls: Vec<_> = (0..8).map(|_| thread::spawn(move || booking(address, "h").status())).collect();
        until("the queries are open", || limiter.received().len() >= round * 8 - 4);
        limiter.close_gracefully();
        assert_eq!(calls.into_iter().map(|call| call.join().unwrap()).collect::<Vec<_>>(), [200; 8]);
    }
    // Each query was counted once by the server: only unprocessed ones were sent again.
    assert_eq!(limiter.received().iter().filter(|seen| seen.is_counted).count(), 24);
    assert!(limiter.connections() >= 3);
}

#[test]
fn broken_connection_counts_as_a_missing_response_and_is_replaced() {
    let (node, limiter) = (node(), limiter(100));
    let consult = REJECT_ON_TIMEOUT.replace("budget_ms = 100", "budget_ms = 5000\nbudget_part = 0.5");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Silent);
    let address = service.address;
    let call = thread::spawn(move || {
        let started_at = Instant::now();
        (booking(address, "h").status(), started_at.elapsed())
    });
    until("the query is open", || limiter.received().len() == 1);
    limiter.close_abruptly();
    let (status_code, elapsed) = call.join().unwrap();
    // Decided when the connection broke, not at the time-out.
    assert!(status_code == 503 && elapsed < Duration::from_millis(900), "{status_code} after {elapsed:?}");
    limiter.set(Behavior::Answer);
    assert_eq!(status(&service, "h"), 200);
}

#[test]
fn request_of_a_disconnected_client_is_not_forwarded_and_its_unit_is_credited() {
    let (node, limiter) = (node(), limiter(1));
    let consult = format!("{REJECT_ON_TIMEOUT}\ncredit_ms = 60000\nlate_ms = 10000")
        .replace("budget_ms = 100", "budget_ms = 5000");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(300)));
    let mut client = service.client();
    client.send(service_request("POST", HOST, "/bookings", "h", "room=4"));
    until("the query is open", || limiter.received().len() == 1);
    drop(client);
    limiter.set(Behavior::Answer);
    until("its unit admits another request", || status(&service, "h") == 200);
    assert_eq!(node.received().len(), 1);
    assert_eq!(status(&service, "h"), 429);
}

#[test]
fn rate_limit_service_also_queries_the_external_server() {
    let (node, limiter) = (node(), limiter(2));
    let service = Service::start(&file(&node, &limiter, REJECT_ON_TIMEOUT, ""));
    let address = rate_limit_address(&service);
    let request_for = |accounts: &[&str]| proto::RateLimitRequest {
        domain: "rooms".into(),
        descriptors: accounts.iter().map(|account| descriptor(&[("account", account)])).collect(),
        hits_addend: 0,
    };
    block_on(async {
        let mut client = client(address).await;
        let mut is_admitted = async |accounts: &[&str]| {
            let response = client.should_rate_limit(request_for(accounts)).await.unwrap().into_inner();
            response.overall_code() == proto::Code::Ok
        };
        assert!(is_admitted(&["a"]).await && is_admitted(&["a"]).await && !is_admitted(&["a"]).await);
        // All or nothing: the unit counted for the first is not lost by the rejection of the second.
        assert!(!is_admitted(&["b", "a"]).await && !is_admitted(&["b", "a"]).await);
        assert!(is_admitted(&["b"]).await && is_admitted(&["b"]).await && !is_admitted(&["b"]).await);
    });
    let counted_calls = |account: &str| {
        let seen = limiter.received();
        seen.iter().filter(|seen| seen.is_counted && seen.entries[0].1 == account).count()
    };
    assert_eq!((counted_calls("a"), counted_calls("b")), (2, 2));
}

#[test]
fn attempt_with_an_id_is_queried_once_and_stays_rejected_at_every_ingress() {
    let (node, limiter, counter) = (node(), limiter(1), Counter::start());
    let text = file(
        &node,
        &limiter,
        &format!("try_key = \"try\"\n{REJECT_ON_TIMEOUT}"),
        &format!("counter = \"{}\"", counter.address),
    );
    let text = text.replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
    // Attempts with an id are separate descriptors at the server, each with its own limit.
    let a = Service::start(&text.replace("INDEX", "0"));
    let b = Service::start(&text.replace("INDEX", "1"));
    let wait_for_outcome = |amount: f64, times: usize| {
        until("the outcome is recorded", || {
            counter.calls().iter().filter(|(_, added)| *added == amount).count() == times
        });
    };
    assert_eq!(status_of_attempt(&a, "h", "t1"), 200);
    wait_for_outcome(10_000.0, 1);
    limiter.set(Behavior::AdmitNone);
    assert_eq!(status_of_attempt(&a, "h", "t2"), 429);
    wait_for_outcome(1_000_000.0, 1);
    limiter.set(Behavior::AdmitAll);
    let before = limiter.received().len();
    assert_eq!((status_of_attempt(&b, "h", "t2"), limiter.received().len()), (429, before));
    // A missing response does not decide an attempt: the next ingress queries it again.
    limiter.set(Behavior::Error);
    assert_eq!(status_of_attempt(&a, "h", "t3"), 503);
    limiter.set(Behavior::AdmitAll);
    assert_eq!(status_of_attempt(&b, "h", "t3"), 200);
}

#[test]
fn sigterm_waits_for_open_queries() {
    let (node, limiter) = (node(), limiter(9));
    let consult = REJECT_ON_TIMEOUT.replace("budget_ms = 100", "budget_ms = 5000\nbudget_part = 0.5");
    let mut service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(300)));
    let address = service.address;
    let call = thread::spawn(move || booking(address, "h").status());
    until("the query is open", || limiter.received().len() == 1);
    service.signal("-TERM");
    assert_eq!(call.join().unwrap(), 200);
    until("the service ends", || service.child.try_wait().unwrap().is_some());
}

#[test]
fn reload_enables_and_disables_the_external_limiter() {
    let (node, limiter) = (node(), limiter(1));
    let text = file(&node, &limiter, REJECT_ON_TIMEOUT, "");
    let (head, rest) = text.split_once("[pool.consult]").unwrap();
    let without_limiter = format!("{head}{}", &rest[rest.find("[[route]]").unwrap()..]);
    let mut service = Service::start(&text);
    assert_eq!((status(&service, "h"), status(&service, "h")), (200, 429));
    service.reload(&without_limiter);
    assert_eq!((status(&service, "h"), limiter.received().len()), (200, 2));
    service.reload(&text.replace("refuse", "own_quota"));
    assert_eq!((status(&service, "h"), limiter.received().len()), (429, 3));
    service.reload_rejected(&text.replace("refuse", "perhaps"));
}
