//! A pool that asks an outside rate limit server before it admits: answers in time, late, wrong and never, on real
//! sockets with the stand-in server.

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

/// `limit` units of each account for the length of a test.
fn limiter(limit: u64) -> RateLimitServer {
    RateLimitServer::start(violetyoke_standin::any_port(), limit, HOUR).unwrap()
}

/// A pool that asks, with a quota of its own of 100 units unless `more` has another plan.
fn file(node: &Node, limiter: &RateLimitServer, consult: &str, more: &str) -> String {
    let plan =
        if more.contains("plan =") { "" } else { "plan = [{ name = \"basic\", rate = 0.01, burst = 100 }]" };
    format!(
        r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
{more}
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

const REFUSE: &str = "when_silent = \"refuse\"\nbudget_ms = 100\nbreaker = { failures = 1000000 }";
const OWN: &str = "when_silent = \"own_quota\"\nbudget_ms = 100\nbreaker = { failures = 1000000 }";

fn booking(address: SocketAddr, account: &str) -> HttpMessage {
    let mut client = Client::try_open(address).expect("the service takes connections");
    client.call(service_request("POST", HOST, "/bookings", account, "room=4"))
}

fn status(service: &Service, account: &str) -> u16 {
    booking(service.address, account).status()
}

fn tried(service: &Service, account: &str, name: &str) -> u16 {
    let request = service_request("POST", HOST, "/bookings", account, "room=4");
    service.client().call(request.replacen("X-Account", &format!("X-Try: {name}\r\nX-Account"), 1)).status()
}

#[test]
fn the_outside_limit_and_the_pool_s_own_both_hold() {
    let (node, limiter) = (node(), limiter(3));
    let keys = "plan_key = \"tier\"\nclass_key = \"class\"\nwith = { service = \"rooms\" }\n";
    let service = Service::start(&file(&node, &limiter, &format!("{keys}{REFUSE}"), ""));
    let codes: Vec<u16> = (0..5).map(|_| status(&service, "h")).collect();
    assert_eq!(codes, [200, 200, 200, 429, 429]);
    assert_eq!(node.received().len(), 3);
    let refused = booking(service.address, "h");
    // The outside server names the end of its window, and the pool the longest time that it tells.
    assert_eq!(refused.headers["retry-after"], "60.000");
    let seen = limiter.received();
    let entries: Vec<_> = seen[0].entries.iter().map(|(key, value)| (key.as_str(), value.as_str())).collect();
    let expected = [("service", "rooms"), ("account", "h"), ("tier", "basic"), ("class", "booking-post")];
    assert_eq!((seen[0].domain.as_str(), entries.as_slice()), ("partners", expected.as_slice()));
    // A server that counts wrongly lets nobody past the pool's own quota, and one that is too strict costs none.
    let service =
        Service::start(&file(&node, &limiter, REFUSE, "plan = [{ name = \"p\", rate = 0.01, burst = 2 }]"));
    limiter.set(Behavior::AdmitNone);
    assert_eq!((status(&service, "g"), status(&service, "g")), (429, 429));
    limiter.set(Behavior::AdmitAll);
    assert_eq!([status(&service, "g"), status(&service, "g"), status(&service, "g")], [200, 200, 429]);
}

#[test]
fn silence_is_answered_by_the_budget_and_as_the_file_states() {
    for (consult, code) in [(OWN, 200), (REFUSE, 503)] {
        for mode in [Behavior::Silent, Behavior::Error, Behavior::UnknownCode] {
            let (node, limiter) = (node(), limiter(9));
            let service = Service::start(&file(&node, &limiter, consult, ""));
            limiter.set(mode);
            let began = Instant::now();
            assert_eq!(status(&service, "h"), code, "{mode:?}");
            // Well before its deadline of 2 s: the budget is 100 ms.
            assert!(began.elapsed() < Duration::from_millis(1_500), "{mode:?}: {:?}", began.elapsed());
            assert_eq!(limiter.received().len(), 1);
        }
        // Nobody listens there at all.
        let (node, limiter) = (node(), limiter(9));
        let text = file(&node, &limiter, consult, "");
        let gone = text.replace(&limiter.address.to_string(), "127.0.0.1:1");
        assert_eq!(status(&Service::start(&gone), "h"), code);
    }
}

#[test]
fn a_request_in_a_hurry_is_not_held_up_beyond_its_deadline() {
    let (node, limiter) = (node(), limiter(9));
    let consult = OWN.replace("budget_ms = 100", "budget_ms = 60000");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Silent);
    let request = service_request("POST", HOST, "/bookings", "h", "room=4");
    let began = Instant::now();
    let hurried = request.replacen("X-Account", "Req-Deadline: 400m\r\nX-Account", 1);
    assert_eq!(service.client().call(hurried).status(), 200);
    assert!(began.elapsed() < Duration::from_millis(400), "{:?}", began.elapsed());
}

#[test]
fn a_late_ok_changes_no_answer_and_what_it_counted_serves_one_more() {
    let (node, limiter) = (node(), limiter(1));
    let consult = format!("{REFUSE}\ncredit_ms = 60000\nlate_ms = 10000");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(400)));
    assert_eq!(status(&service, "h"), 503);
    assert_eq!(node.received().len(), 0);
    // The only unit has been counted for it; in time the answer is booked, and exactly one request passes by it.
    limiter.set(Behavior::Answer);
    let mut codes = Vec::new();
    until("the late answer is booked", || {
        codes.push(status(&service, "h"));
        codes.ends_with(&[200])
    });
    codes.extend((0..5).map(|_| status(&service, "h")));
    assert_eq!(codes.iter().filter(|code| **code == 200).count(), 1, "{codes:?}");
    assert!(codes.iter().all(|code| [200, 429].contains(code)), "{codes:?}");
    assert_eq!(node.received().len(), 1);
}

#[test]
fn a_late_over_limit_changes_no_answer_and_leaves_nothing() {
    let (node, limiter) = (node(), limiter(0));
    // One place: the next question is asked only once the late one has given it back.
    let service =
        Service::start(&file(&node, &limiter, &format!("{OWN}\nmost_open = 1\nlate_ms = 10000"), ""));
    limiter.set(Behavior::Delay(Duration::from_millis(300)));
    assert_eq!(status(&service, "h"), 200);
    limiter.set(Behavior::Answer);
    let mut codes = Vec::new();
    until("the late answer has come", || {
        codes.push(status(&service, "h"));
        codes.ends_with(&[429])
    });
    // Until then the place was taken, and the own quota let all in without asking.
    assert!(codes[..codes.len() - 1].iter().all(|code| *code == 200), "{codes:?}");
    assert_eq!(limiter.received().len(), 2);
    assert_eq!((status(&service, "h"), limiter.received().len()), (429, 3));
}

#[test]
fn answers_that_never_come_give_their_places_back() {
    let (node, limiter) = (node(), limiter(100));
    let service = Service::start(&file(&node, &limiter, &format!("{OWN}\nmost_open = 2\nlate_ms = 200"), ""));
    limiter.set(Behavior::Silent);
    // More at once than there are places: whoever gets none is answered without being asked about.
    let address = service.address;
    let calls: Vec<_> = (0..6).map(|_| thread::spawn(move || booking(address, "h").status())).collect();
    assert!(calls.into_iter().all(|call| call.join().unwrap() == 200));
    assert!((2..=6).contains(&limiter.received().len()));
    limiter.set(Behavior::Answer);
    let before = limiter.received().len();
    until("places are free again", || {
        assert_eq!(status(&service, "h"), 200);
        limiter.received().len() >= before + 3
    });
}

#[test]
fn the_breaker_opens_after_failures_and_a_trial_closes_it() {
    let (node, limiter) = (node(), limiter(100));
    let breaker =
        "when_silent = \"refuse\"\nbreaker = { failures = 3, pause_ms = 2000, longest_pause_ms = 2000 }";
    let service = Service::start(&file(&node, &limiter, breaker, ""));
    limiter.set(Behavior::Error);
    for _ in 0..3 {
        assert_eq!(status(&service, "h"), 503);
    }
    // Open: answered at once, with the time after which it may be otherwise, and nothing is asked.
    let refused = booking(service.address, "h");
    let retry: f64 = refused.headers["retry-after"].parse().unwrap();
    assert!(refused.status() == 503 && retry > 0.0 && retry <= 2.0, "{retry}");
    assert_eq!(limiter.received().len(), 3);
    limiter.set(Behavior::Answer);
    until("a trial has closed it", || status(&service, "h") == 200);
    assert_eq!((status(&service, "h"), status(&service, "h")), (200, 200));
    let log = service.log();
    assert!(log.iter().any(|line| line.contains("is silent")), "{log:?}");
    assert!(log.iter().any(|line| line.contains("answers again")), "{log:?}");
}

#[test]
fn goaway_loses_no_question() {
    let (node, limiter) = (node(), limiter(100));
    let consult = REFUSE.replace("budget_ms = 100", "budget_ms = 5000\nbudget_part = 0.5");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(50)));
    let address = service.address;
    for round in 1..=3 {
        let calls: Vec<_> = (0..8).map(|_| thread::spawn(move || booking(address, "h").status())).collect();
        until("all are out", || limiter.received().len() >= round * 8 - 4);
        limiter.close_gracefully();
        assert_eq!(calls.into_iter().map(|call| call.join().unwrap()).collect::<Vec<_>>(), [200; 8]);
    }
    // Each was counted outside once: what was not looked at was asked again, and nothing else.
    assert_eq!(limiter.received().iter().filter(|seen| seen.is_counted).count(), 24);
    assert!(limiter.connections() >= 3);
}

#[test]
fn a_connection_that_breaks_off_is_silence_and_the_next_one_is_opened() {
    let (node, limiter) = (node(), limiter(100));
    let consult = REFUSE.replace("budget_ms = 100", "budget_ms = 5000\nbudget_part = 0.5");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Silent);
    let address = service.address;
    let call = thread::spawn(move || {
        let began = Instant::now();
        (booking(address, "h").status(), began.elapsed())
    });
    until("it is out", || limiter.received().len() == 1);
    limiter.close_abruptly();
    let (code, took) = call.join().unwrap();
    // Answered when it broke, not when its time was up.
    assert!(code == 503 && took < Duration::from_millis(900), "{code} after {took:?}");
    limiter.set(Behavior::Answer);
    assert_eq!(status(&service, "h"), 200);
}

#[test]
fn a_client_that_leaves_is_not_let_in_and_its_unit_is_not_lost() {
    let (node, limiter) = (node(), limiter(1));
    let consult = format!("{REFUSE}\ncredit_ms = 60000\nlate_ms = 10000")
        .replace("budget_ms = 100", "budget_ms = 5000");
    let service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(300)));
    let mut client = service.client();
    client.send(service_request("POST", HOST, "/bookings", "h", "room=4"));
    until("it is out", || limiter.received().len() == 1);
    drop(client);
    limiter.set(Behavior::Answer);
    until("its unit is there for another", || status(&service, "h") == 200);
    assert_eq!(node.received().len(), 1);
    assert_eq!(status(&service, "h"), 429);
}

#[test]
fn questions_over_grpc_ask_the_outside_server_too() {
    let (node, limiter) = (node(), limiter(2));
    let service = Service::start(&file(&node, &limiter, REFUSE, ""));
    let address = rate_limit_address(&service);
    let about = |accounts: &[&str]| proto::RateLimitRequest {
        domain: "rooms".into(),
        descriptors: accounts.iter().map(|account| descriptor(&[("account", account)])).collect(),
        hits_addend: 0,
    };
    block_on(async {
        let mut client = client(address).await;
        let mut ask = async |accounts: &[&str]| {
            let answer = client.should_rate_limit(about(accounts)).await.unwrap().into_inner();
            answer.overall_code() == proto::Code::Ok
        };
        assert!(ask(&["a"]).await && ask(&["a"]).await && !ask(&["a"]).await);
        // All or nothing: what was counted for the first is not used up by the second's refusal.
        assert!(!ask(&["b", "a"]).await && !ask(&["b", "a"]).await);
        assert!(ask(&["b"]).await && ask(&["b"]).await && !ask(&["b"]).await);
    });
    let counted = |account: &str| {
        let seen = limiter.received();
        seen.iter().filter(|seen| seen.is_counted && seen.entries[0].1 == account).count()
    };
    assert_eq!((counted("a"), counted("b")), (2, 2));
}

#[test]
fn a_named_try_is_asked_about_once_and_stays_refused_at_every_ingress() {
    let (node, limiter, counter) = (node(), limiter(1), Counter::start());
    let text = file(
        &node,
        &limiter,
        &format!("try_key = \"try\"\n{REFUSE}"),
        &format!("counter = \"{}\"", counter.address),
    );
    let text = text.replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
    // Named tries are one descriptor each outside: the limit is each try's.
    let a = Service::start(&text.replace("INDEX", "0"));
    let b = Service::start(&text.replace("INDEX", "1"));
    let told = |amount: f64, times: usize| {
        until("the outcome is told", || {
            counter.calls().iter().filter(|(_, told)| *told == amount).count() == times
        });
    };
    assert_eq!(tried(&a, "h", "t1"), 200);
    told(10_000.0, 1);
    limiter.set(Behavior::AdmitNone);
    assert_eq!(tried(&a, "h", "t2"), 429);
    told(1_000_000.0, 1);
    limiter.set(Behavior::AdmitAll);
    let before = limiter.received().len();
    assert_eq!((tried(&b, "h", "t2"), limiter.received().len()), (429, before));
    // Silence is no word on a try: it is fresh to whoever asks next.
    limiter.set(Behavior::Error);
    assert_eq!(tried(&a, "h", "t3"), 503);
    limiter.set(Behavior::AdmitAll);
    assert_eq!(tried(&b, "h", "t3"), 200);
}

#[test]
fn sigterm_ends_after_the_answers() {
    let (node, limiter) = (node(), limiter(9));
    let consult = REFUSE.replace("budget_ms = 100", "budget_ms = 5000\nbudget_part = 0.5");
    let mut service = Service::start(&file(&node, &limiter, &consult, ""));
    limiter.set(Behavior::Delay(Duration::from_millis(300)));
    let address = service.address;
    let call = thread::spawn(move || booking(address, "h").status());
    until("it is out", || limiter.received().len() == 1);
    service.signal("-TERM");
    assert_eq!(call.join().unwrap(), 200);
    until("the service ends", || service.child.try_wait().unwrap().is_some());
}

#[test]
fn a_reload_switches_asking_on_and_off() {
    let (node, limiter) = (node(), limiter(1));
    let text = file(&node, &limiter, REFUSE, "");
    let (head, rest) = text.split_once("[pool.consult]").unwrap();
    let off = format!("{head}{}", &rest[rest.find("[[route]]").unwrap()..]);
    let mut service = Service::start(&text);
    assert_eq!((status(&service, "h"), status(&service, "h")), (200, 429));
    service.reload(&off);
    assert_eq!((status(&service, "h"), limiter.received().len()), (200, 2));
    service.reload(&text.replace("refuse", "own_quota"));
    assert_eq!((status(&service, "h"), limiter.received().len()), (429, 3));
    service.reload_rejected(&text.replace("refuse", "perhaps"));
}
