//! The gRPC rate limit service on real sockets, with a client of tonic's and raw HTTP/2 frames.

#![cfg(test)]
#![allow(
    clippy::let_underscore_must_use,
    clippy::redundant_closure_for_method_calls,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod common;

use common::grpc::*;
use common::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tonic::{Code, Request, Status};
use violetyoke_ratelimit_proto as proto;
use violetyoke_standin::node::{Node, Shape};

const HOST: &str = "booking.example.org";

fn node() -> Node {
    let shape = Shape { service: Duration::from_millis(1), ..Shape::default() };
    Node::start(violetyoke_standin::any_port(), "n", shape).unwrap()
}

fn file(node: &Node, rate: f64, burst: f64, more: &str) -> String {
    format!(
        r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
limit_fields = ["draft"]
{more}
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 1000, deadline_ms = 2000 }}]
plan = [{{ name = "basic", rate = {rate}, burst = {burst} }}, {{ name = "none", rate = 0 }}]
default_plan = "basic"
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
plan_key = "tier"
try_key = "try"
"#,
        node.address
    )
}

/// A running service with one pool of one node, and the address of its rate limit protocol.
struct Rooms {
    node: Node,
    service: Service,
    address: SocketAddr,
}

impl Rooms {
    /// A service whose basic plan has that `rate` and `burst`; `more` is text for its pool.
    fn start(rate: f64, burst: f64, more: &str) -> Rooms {
        let node = node();
        let service = Service::start(&file(&node, rate, burst, more));
        let address = rate_limit_address(&service);
        Rooms { node, service, address }
    }
}

fn question(descriptors: Vec<proto::RateLimitDescriptor>) -> proto::RateLimitRequest {
    proto::RateLimitRequest { domain: "rooms".into(), descriptors, hits_addend: 0 }
}

fn about(account: &str) -> proto::RateLimitRequest {
    question(vec![descriptor(&[("account", account)])])
}

async fn ask(
    client: &mut RateLimitClient,
    request: proto::RateLimitRequest,
) -> Result<proto::RateLimitResponse, Status> {
    client.should_rate_limit(request).await.map(|response| response.into_inner())
}

async fn ok(client: &mut RateLimitClient, request: proto::RateLimitRequest) -> bool {
    ask(client, request).await.unwrap().overall_code() == proto::Code::Ok
}

fn booking(service: &Service, account: &str) -> u16 {
    service.client().call(service_request("POST", HOST, "/bookings", account, "room=4")).status()
}

fn tried(service: &Service, account: &str, name: &str) -> u16 {
    let request = service_request("POST", HOST, "/bookings", account, "room=4");
    service.client().call(request.replacen("X-Account", &format!("X-Try: {name}\r\nX-Account"), 1)).status()
}

#[test]
fn questions_and_requests_draw_from_one_quota() {
    let Rooms { node, service, address } = Rooms::start(0.01, 6.0, "");
    block_on(async {
        let mut client = client(address).await;
        assert!(ok(&mut client, about("h")).await);
        assert_eq!((booking(&service, "h"), booking(&service, "h")), (200, 200));
        assert!(ok(&mut client, about("h")).await && ok(&mut client, about("h")).await);
        assert_eq!((booking(&service, "h"), booking(&service, "h")), (200, 429));
        assert!(!ok(&mut client, about("h")).await);
        // Another account has its own, and questions are sent to no node.
        assert!(ok(&mut client, about("other")).await);
    });
    assert_eq!(node.received().len(), 3);
}

#[test]
fn answers_have_every_field_that_clients_read() {
    let Rooms { node: _node, service: _service, address } = Rooms::start(2.0, 3.0, "");
    block_on(async {
        let mut client = client(address).await;
        let answer = ask(&mut client, about("h")).await.unwrap();
        let status = &answer.statuses[0];
        assert_eq!((answer.overall_code(), status.code()), (proto::Code::Ok, proto::Code::Ok));
        let limit = status.current_limit.as_ref().unwrap();
        assert_eq!((limit.requests_per_unit, limit.unit()), (2, proto::Unit::Second));
        assert_eq!(status.limit_remaining, 2);
        let reset = status.duration_until_reset.as_ref().unwrap();
        assert!(reset.seconds == 0 && reset.nanos > 100_000_000, "{reset:?}");
        let names: Vec<_> = answer.response_headers_to_add.iter().map(|header| header.key.as_str()).collect();
        assert!(names.contains(&"ratelimit") && names.contains(&"ratelimit-policy"), "{names:?}");
        // Two units and three: the second has no room, and says when it would have.
        assert!(ok(&mut client, proto::RateLimitRequest { hits_addend: 2, ..about("h") }).await);
        let answer =
            ask(&mut client, proto::RateLimitRequest { hits_addend: 3, ..about("h") }).await.unwrap();
        assert_eq!(answer.overall_code(), proto::Code::OverLimit);
        let reset = answer.statuses[0].duration_until_reset.as_ref().unwrap();
        assert!(reset.seconds >= 1, "{reset:?}");
        // A descriptor's own units go before the request's, and none of its own ask how things stand.
        let own = proto::RateLimitDescriptor { hits_addend: Some(0), ..descriptor(&[("account", "fresh")]) };
        let answer = ask(&mut client, proto::RateLimitRequest { hits_addend: 9, ..question(vec![own]) })
            .await
            .unwrap();
        assert_eq!((answer.overall_code(), answer.statuses[0].limit_remaining), (proto::Code::Ok, 3));
        // A plan without a quota has no limit to tell of.
        let free = question(vec![descriptor(&[("account", "f"), ("tier", "none")])]);
        assert!(ask(&mut client, free).await.unwrap().statuses[0].current_limit.is_none());
    });
}

#[test]
fn several_descriptors_are_all_or_nothing() {
    let Rooms { node: _node, service: _service, address } = Rooms::start(0.01, 2.0, "");
    block_on(async {
        let mut client = client(address).await;
        let both = || question(vec![descriptor(&[("account", "a")]), descriptor(&[("account", "b")])]);
        assert!(ok(&mut client, about("b")).await && ok(&mut client, about("b")).await);
        for _ in 0..5 {
            let answer = ask(&mut client, both()).await.unwrap();
            let codes: Vec<_> = answer.statuses.iter().map(|status| status.code()).collect();
            assert_eq!(answer.overall_code(), proto::Code::OverLimit);
            assert_eq!(codes, [proto::Code::Ok, proto::Code::OverLimit]);
        }
        // Nothing was added for the first one meanwhile.
        assert!(ok(&mut client, about("a")).await && ok(&mut client, about("a")).await);
        assert!(!ok(&mut client, about("a")).await);
    });
}

#[test]
fn what_is_not_known_gets_the_answer_that_the_file_states() {
    let Rooms { node: _node, service: _service, address } = Rooms::start(0.01, 2.0, "");
    block_on(async {
        let mut client = client(address).await;
        for _ in 0..4 {
            assert!(ok(&mut client, proto::RateLimitRequest { domain: "other".into(), ..about("a") }).await);
            assert!(!ok(&mut client, question(vec![descriptor(&[("colour", "red")])])).await);
        }
    });
}

#[test]
fn bad_questions_get_a_status_that_names_the_fault_and_count_nothing() {
    let Rooms { node: _node, service: _service, address } = Rooms::start(0.01, 2.0, "largest_request = 10");
    block_on(async {
        let mut client = client(address).await;
        let good = || descriptor(&[("account", "a")]);
        let with = |request: proto::RateLimitRequest, code, word: &'static str| (request, code, word);
        let negative = proto::RateLimitDescriptor { is_negative_hits: true, ..good() };
        let huge = proto::RateLimitDescriptor { hits_addend: Some(u64::MAX), ..good() };
        let invalid = Code::InvalidArgument;
        let cases = [
            with(proto::RateLimitRequest { domain: String::new(), ..about("a") }, invalid, "domain"),
            with(question(vec![]), invalid, "descriptors"),
            with(question(vec![good(); 1_000]), invalid, "descriptors"),
            with(question(vec![good(); 10_000]), Code::OutOfRange, "too large"),
            with(question(vec![good(), descriptor(&[])]), invalid, "descriptors[1].entries"),
            with(question(vec![good(), negative]), invalid, "descriptors[1].is_negative_hits"),
            with(question(vec![good(), huge]), invalid, "descriptors[1].hits_addend"),
            with(proto::RateLimitRequest { hits_addend: u32::MAX, ..about("a") }, invalid, "hits_addend"),
            with(
                question(vec![good(), descriptor(&[("account", "a"), ("tier", "gold")])]),
                invalid,
                "no such plan",
            ),
            with(
                question(vec![good(), descriptor(&[("account", &"x".repeat(70_000))])]),
                Code::OutOfRange,
                "too large",
            ),
        ];
        for (request, code, word) in cases {
            let status = ask(&mut client, request).await.unwrap_err();
            assert_eq!(status.code(), code, "{status:?}");
            assert!(status.message().contains(word), "{word}: {status:?}");
        }
        let mut request = Request::new(about("a"));
        request.metadata_mut().insert("grpc-timeout", "soon".parse().unwrap());
        let status = client.should_rate_limit(request).await.unwrap_err();
        assert!(status.code() == invalid && status.message().contains("grpc-timeout"), "{status:?}");
        assert!(ok(&mut client, about("a")).await && ok(&mut client, about("a")).await);
        assert!(!ok(&mut client, about("a")).await);
    });
}

#[test]
fn a_question_with_unknown_fields_is_answered_and_one_with_broken_text_is_not() {
    let Rooms { node: _node, service: _service, address } = Rooms::start(0.01, 5.0, "");
    // rooms / (account, a) by hand, then with a field 99 behind it, then with a byte that is no UTF-8.
    let good = b"\x0a\x05rooms\x12\x0e\x0a\x0c\x0a\x07account\x12\x01a".to_vec();
    let unknown = [good.as_slice(), b"\x9a\x06\x02hi"].concat();
    let broken = good.iter().map(|byte| if *byte == b'a' + 17 { 0xff } else { *byte }).collect::<Vec<_>>();
    assert_ne!(good, broken);
    block_on(async {
        let codes = [raw_status(address, &good).await, raw_status(address, &unknown).await];
        assert_eq!(codes, [0, 0]);
        assert_ne!(raw_status(address, &broken).await, 0);
    });
}

/// The gRPC status of a question given as bytes.
async fn raw_status(address: SocketAddr, message: &[u8]) -> i32 {
    use http_body_util::BodyExt;
    use tonic::codegen::Service;
    let mut framed = vec![0];
    framed.extend((message.len() as u32).to_be_bytes());
    framed.extend(message);
    let body = tonic::body::Body::new(http_body_util::Full::new(framed.into()));
    let request = hyper::Request::post("/envoy.service.ratelimit.v3.RateLimitService/ShouldRateLimit")
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .body(body)
        .unwrap();
    let response = channel(address).await.call(request).await.unwrap();
    let in_head = response.headers().get("grpc-status").cloned();
    let collected = response.into_body().collect().await.unwrap();
    let status = in_head.or_else(|| collected.trailers().and_then(|all| all.get("grpc-status").cloned()));
    status.unwrap().to_str().unwrap().parse().unwrap()
}

#[test]
fn a_named_try_is_counted_once_over_both_ways() {
    let node = node();
    let counter = Counter::start();
    let text = file(&node, 0.01, 4.0, &format!("counter = \"{}\"", counter.address));
    // Two ingresses with one counter, as a tier has them.
    let text = text.replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
    let a = Service::start(&text.replace("INDEX", "0"));
    let b = Service::start(&text.replace("INDEX", "1"));
    let (at_a, at_b) = (rate_limit_address(&a), rate_limit_address(&b));
    let named = |name: &str| question(vec![descriptor(&[("account", "h"), ("try", name)])]);
    block_on(async {
        let (mut a_client, mut b_client) = (client(at_a).await, client(at_b).await);
        // Asked at one, asked again at the other, then sent through both: one count.
        assert!(ok(&mut a_client, named("t1")).await);
        until("the outcome is told", || counter.calls().iter().any(|(_, amount)| *amount == 10_000.0));
        assert!(ok(&mut b_client, named("t1")).await);
        assert_eq!(tried(&b, "h", "t1"), 200);
        // A second request under the name is sent on as well, and so it counts.
        assert_eq!(tried(&a, "h", "t1"), 200);
        until("it is counted", || {
            counter.calls().iter().filter(|(_, amount)| *amount == 10_000.0).count() == 2
        });
        // Sent first, asked about afterwards.
        assert_eq!(tried(&a, "h", "t2"), 200);
        until("the outcome is told", || {
            counter.calls().iter().filter(|(_, amount)| *amount == 10_000.0).count() == 3
        });
        assert!(ok(&mut b_client, named("t2")).await);
        // The fourth unit, and no fifth; the refused one stays refused wherever it is asked about.
        assert!(ok(&mut b_client, named("t3")).await);
        assert!(!ok(&mut a_client, named("t4")).await);
        until("the refusal is told", || counter.calls().iter().any(|(_, amount)| *amount == 1_000_000.0));
        assert!(!ok(&mut b_client, named("t4")).await);
        assert_eq!(tried(&b, "h", "t4"), 429);
        // Those that were let in still pass.
        assert!(ok(&mut a_client, named("t2")).await);
    });
}

#[test]
fn a_name_is_no_way_past_a_quota() {
    let Rooms { node, service, address } = Rooms::start(0.01, 3.0, "");
    let named = |account: &str| question(vec![descriptor(&[("account", account), ("try", "same")])]);
    block_on(async {
        let mut client = client(address).await;
        // One name for everything: it is counted request by request, but for the one that the question counted.
        assert!(ok(&mut client, named("h")).await);
        let served = (0..20).filter(|_| tried(&service, "h", "same") == 200).count();
        assert_eq!(served, 3);
        // And the name of one account's try is nothing to another account.
        assert!((0..3).all(|_| booking(&service, "other") == 200));
        assert!(!ok(&mut client, named("other")).await);
        assert_eq!(tried(&service, "other", "same"), 429);
    });
    assert_eq!(node.received().len(), 6);
}

#[test]
fn a_claim_that_is_lost_counts_again_and_never_not_at_all() {
    let counter = Counter::start();
    let Rooms { node: _node, service: _service, address } =
        Rooms::start(0.01, 3.0, &format!("counter = \"{}\"", counter.address));
    let named = || question(vec![descriptor(&[("account", "h"), ("try", "t")])]);
    block_on(async {
        let mut client = client(address).await;
        counter.set(Mode::Silent);
        let began = Instant::now();
        for _ in 0..3 {
            assert!(ok(&mut client, named()).await);
        }
        // Each counted for itself, as nothing could be known of the others; and nobody waited for long.
        assert!(!ok(&mut client, named()).await);
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    });
}

#[test]
fn ten_thousand_questions_on_one_connection_at_once() {
    let Rooms { node: _node, service, address } = Rooms::start(1_000_000.0, 1_000_000.0, "");
    block_on(async {
        let client = client(address).await;
        let all = (0..10_000).map(|number| {
            let mut client = client.clone();
            tokio::task::spawn_local(
                async move { ok(&mut client, about(&format!("h{}", number % 50))).await },
            )
        });
        let all: Vec<_> = all.collect();
        for one in all {
            assert!(one.await.unwrap());
        }
    });
    let status = std::fs::read_to_string(format!("/proc/{}/status", service.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches(" kB").trim().parse().unwrap();
    assert!(peak < 96 * 1024, "{peak} KiB");
}

#[test]
fn a_client_that_opens_and_resets_at_full_speed_is_cut_off_and_others_are_served() {
    let Rooms { node: _node, service: _service, address } = Rooms::start(1_000_000.0, 1_000_000.0, "");
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let frame = |kind: u8, flags: u8, id: u32, payload: &[u8]| {
        let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(id.to_be_bytes());
        frame.extend(payload);
        frame
    };
    // POST http / application/grpc, by indexes of the static table and literals without an index.
    let mut head = vec![0x83, 0x86, 0x84, 0x01, 0x01, b'x'];
    head.extend([0x0f, 0x10, 0x10]);
    head.extend(b"application/grpc");
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(4, 0, 0, &[]));
    for number in 0..20_000u32 {
        let id = 2 * number + 1;
        bytes.extend(frame(1, 4, id, &head));
        bytes.extend(frame(3, 0, id, &8u32.to_be_bytes()));
    }
    let mut writer = stream.try_clone().unwrap();
    // The peer ends it in the middle of this.
    let written = std::thread::spawn(move || writer.write_all(&bytes).is_ok());
    let mut seen = Vec::new();
    let _ = stream.read_to_end(&mut seen);
    let _ = written.join();
    // GOAWAY (kind 7), with ENHANCE_YOUR_CALM (11), is the last word.
    let goaway = seen.windows(17).any(|bytes| bytes[3] == 7 && bytes[13..17] == 11u32.to_be_bytes());
    assert!(goaway, "{} bytes and no GOAWAY", seen.len());
    block_on(async {
        let mut client = client(address).await;
        assert!(ok(&mut client, about("h")).await);
    });
}

#[test]
fn sigterm_ends_with_goaway_and_what_was_taken_is_answered() {
    let node = node();
    let counter = Counter::start();
    let mut service = Service::start(&file(&node, 10.0, 10.0, &format!("counter = \"{}\"", counter.address)));
    let address = rate_limit_address(&service);
    // Each question waits for the counter's time-out, so that some are open when the signal comes.
    counter.set(Mode::Silent);
    let answered = block_on(async {
        let client = client(address).await;
        let open: Vec<_> = (0..5)
            .map(|number| {
                let mut client = client.clone();
                tokio::task::spawn_local(async move { ask(&mut client, about(&format!("h{number}"))).await })
            })
            .collect();
        let seen = || counter.calls().len() >= 5;
        while !seen() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        service.signal("-TERM");
        let mut answered = 0;
        for one in open {
            answered += usize::from(one.await.unwrap().is_ok());
        }
        answered
    });
    assert_eq!(answered, 5);
    until("the service ends", || service.child.try_wait().unwrap().is_some());
    assert!(service.child.wait().unwrap().success());
}

#[test]
fn health_and_reflection_answer_too() {
    let Rooms { node: _node, service: _service, address } = Rooms::start(10.0, 10.0, "");
    block_on(async {
        use tonic_health::pb::health_check_response::ServingStatus;
        use tonic_health::pb::{health_client::HealthClient, HealthCheckRequest};
        let mut health = HealthClient::new(channel(address).await);
        let status = health.check(HealthCheckRequest { service: String::new() }).await.unwrap().into_inner();
        assert_eq!(status.status(), ServingStatus::Serving);
        use tonic_reflection::pb::v1::server_reflection_client::ServerReflectionClient;
        use tonic_reflection::pb::v1::server_reflection_request::MessageRequest;
        use tonic_reflection::pb::v1::server_reflection_response::MessageResponse;
        use tonic_reflection::pb::v1::ServerReflectionRequest;
        let request = ServerReflectionRequest {
            host: String::new(),
            message_request: Some(MessageRequest::ListServices(String::new())),
        };
        let mut reflection = ServerReflectionClient::new(channel(address).await);
        let stream = futures_util::stream::iter([request]);
        let mut answers = reflection.server_reflection_info(stream).await.unwrap().into_inner();
        let answer = answers.message().await.unwrap().unwrap().message_response.unwrap();
        let MessageResponse::ListServicesResponse(list) = answer else { panic!("{answer:?}") };
        let names: Vec<_> = list.service.iter().map(|service| service.name.as_str()).collect();
        assert!(names.contains(&"envoy.service.ratelimit.v3.RateLimitService"), "{names:?}");
    });
}

/// An ingress dies at each point between the claim and its answer, and the try comes again through another, over
/// either way: it passes, it is counted at least once, and at most once more than it would have been.
#[test]
fn a_try_whose_ingress_is_killed_is_counted_again_through_another() {
    // Its calls: the claim, its units, the outcome. Each is lost on its way, or is added and its answer lost.
    for (answered, mode, first_over_grpc) in [
        (0, Mode::Silent, true),
        (0, Mode::AddSilently, false),
        (1, Mode::Silent, false),
        (1, Mode::AddSilently, true),
        (2, Mode::AddSilently, true),
        (2, Mode::Silent, false),
    ] {
        let case = format!("{answered} calls answered, then {mode:?}, first over gRPC: {first_over_grpc}");
        let node = node();
        let counter = Counter::start();
        // The counter's answers are waited for so long that the ingress dies before it gives up.
        let more = format!("counter = \"{}\"\ncounter_timeout_ms = 1500", counter.address);
        let text =
            file(&node, 0.01, 4.0, &more).replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
        let mut a = Service::start(&text.replace("INDEX", "0"));
        let b = Service::start(&text.replace("INDEX", "1"));
        let (at_a, at_b) = (rate_limit_address(&a), rate_limit_address(&b));
        let named = || question(vec![descriptor(&[("account", "h"), ("try", "t")])]);
        counter.set_after(answered, mode);
        let passed = block_on(async {
            if first_over_grpc {
                let mut client = client(at_a).await;
                let asked = tokio::task::spawn_local(async move { ask(&mut client, named()).await });
                wait_for_calls(&counter, answered).await;
                a.child.kill().unwrap();
                let _ = asked.await.unwrap();
                counter.set(Mode::Answer);
                assert_eq!(tried(&b, "h", "t"), 200, "{case}");
                1
            } else {
                let request = service_request("POST", HOST, "/bookings", "h", "room=4");
                let mut client = a.client();
                client.send(request.replacen("X-Account", "X-Try: t\r\nX-Account", 1));
                wait_for_calls(&counter, answered).await;
                a.child.kill().unwrap();
                drop(client.read_response());
                counter.set(Mode::Answer);
                assert!(ok(&mut self::client(at_b).await, named()).await, "{case}");
                1
            }
        });
        // What is left of four units: the try was counted once, or once more for the loss.
        let more = (0..8).filter(|_| booking(&b, "h") == 200).count();
        assert!((2..=3).contains(&more), "{case}: {more} more");
        assert!(passed + more <= 4, "{case}");
    }
}

/// Until the call behind those that are answered has come.
async fn wait_for_calls(counter: &Counter, answered: u32) {
    let end = Instant::now() + Duration::from_secs(10);
    while counter.calls().len() <= answered as usize {
        assert!(Instant::now() < end, "the call came");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[test]
fn with_a_slow_counter_a_try_passes_and_is_counted_once_more_at_most() {
    let node = node();
    let counter = Counter::start();
    let text = file(&node, 0.01, 4.0, &format!("counter = \"{}\"", counter.address));
    let text = text.replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
    let a = Service::start(&text.replace("INDEX", "0"));
    let b = Service::start(&text.replace("INDEX", "1"));
    counter.set(Mode::Late);
    // Every answer comes after its call was given up: nobody knows of the claim, and the try is counted at both.
    assert_eq!(tried(&a, "h", "t"), 200);
    assert_eq!(tried(&b, "h", "t"), 200);
    counter.set(Mode::Answer);
    let more = (0..8).filter(|_| booking(&b, "h") == 200).count();
    assert!(more <= 3, "{more} more");
}
