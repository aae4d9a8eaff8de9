//! The gRPC rate limit service on loopback sockets, with a tonic client and with raw HTTP/2 frames.

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

fn file(node: &Node, rate: f64, burst: f64, pool_settings: &str) -> String {
    format!(
        r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
limit_fields = ["draft"]
{pool_settings}
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

/// A running service with one pool of one node, and the address of its gRPC service.
struct RateLimitedService {
    node: Node,
    service: Service,
    address: SocketAddr,
}

impl RateLimitedService {
    /// Starts a service whose basic plan has this rate and burst. `pool_settings` are added to its pool.
    fn start(rate: f64, burst: f64, pool_settings: &str) -> RateLimitedService {
        let node = node();
        let service = Service::start(&file(&node, rate, burst, pool_settings));
        let address = rate_limit_address(&service);
        RateLimitedService { node, service, address }
    }
}

fn rate_limit_request(descriptors: Vec<proto::RateLimitDescriptor>) -> proto::RateLimitRequest {
    proto::RateLimitRequest { domain: "rooms".into(), descriptors, hits_addend: 0 }
}

fn request_for(account: &str) -> proto::RateLimitRequest {
    rate_limit_request(vec![descriptor(&[("account", account)])])
}

async fn call(
    client: &mut RateLimitClient,
    request: proto::RateLimitRequest,
) -> Result<proto::RateLimitResponse, Status> {
    client.should_rate_limit(request).await.map(|response| response.into_inner())
}

async fn is_admitted(client: &mut RateLimitClient, request: proto::RateLimitRequest) -> bool {
    call(client, request).await.unwrap().overall_code() == proto::Code::Ok
}

fn booking(service: &Service, account: &str) -> u16 {
    service.client().call(service_request("POST", HOST, "/bookings", account, "room=4")).status()
}

fn status_of_attempt(service: &Service, account: &str, name: &str) -> u16 {
    let request = service_request("POST", HOST, "/bookings", account, "room=4");
    service.client().call(request.replacen("X-Account", &format!("X-Try: {name}\r\nX-Account"), 1)).status()
}

#[test]
fn grpc_calls_and_requests_use_the_same_quota() {
    let RateLimitedService { node, service, address } = RateLimitedService::start(0.01, 6.0, "");
    block_on(async {
        let mut client = client(address).await;
        assert!(is_admitted(&mut client, request_for("h")).await);
        assert_eq!((booking(&service, "h"), booking(&service, "h")), (200, 200));
        assert!(
            is_admitted(&mut client, request_for("h")).await
                && is_admitted(&mut client, request_for("h")).await
        );
        assert_eq!((booking(&service, "h"), booking(&service, "h")), (200, 429));
        assert!(!is_admitted(&mut client, request_for("h")).await);
        // Another account has its own quota, and gRPC calls are not sent to a node.
        assert!(is_admitted(&mut client, request_for("other")).await);
    });
    assert_eq!(node.received().len(), 3);
}

#[test]
fn responses_have_all_fields_that_clients_read() {
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(2.0, 3.0, "");
    block_on(async {
        let mut client = client(address).await;
        let response = call(&mut client, request_for("h")).await.unwrap();
        let status = &response.statuses[0];
        assert_eq!((response.overall_code(), status.code()), (proto::Code::Ok, proto::Code::Ok));
        let limit = status.current_limit.as_ref().unwrap();
        assert_eq!((limit.requests_per_unit, limit.unit()), (2, proto::Unit::Second));
        assert_eq!(status.limit_remaining, 2);
        let reset = status.duration_until_reset.as_ref().unwrap();
        assert!(reset.seconds == 0 && reset.nanos > 100_000_000, "{reset:?}");
        let names: Vec<_> =
            response.response_headers_to_add.iter().map(|header| header.key.as_str()).collect();
        assert!(names.contains(&"ratelimit") && names.contains(&"ratelimit-policy"), "{names:?}");
        // Two units, then three: the second call exceeds the quota and reports when it would not.
        assert!(
            is_admitted(&mut client, proto::RateLimitRequest { hits_addend: 2, ..request_for("h") }).await
        );
        let response =
            call(&mut client, proto::RateLimitRequest { hits_addend: 3, ..request_for("h") }).await.unwrap();
        assert_eq!(response.overall_code(), proto::Code::OverLimit);
        let reset = response.statuses[0].duration_until_reset.as_ref().unwrap();
        assert!(reset.seconds >= 1, "{reset:?}");
        // The units of a descriptor override those of the request. Zero units only query the state.
        let own = proto::RateLimitDescriptor { hits_addend: Some(0), ..descriptor(&[("account", "fresh")]) };
        let response =
            call(&mut client, proto::RateLimitRequest { hits_addend: 9, ..rate_limit_request(vec![own]) })
                .await
                .unwrap();
        assert_eq!((response.overall_code(), response.statuses[0].limit_remaining), (proto::Code::Ok, 3));
        // A plan without a quota has no current limit.
        let unlimited = rate_limit_request(vec![descriptor(&[("account", "f"), ("tier", "none")])]);
        assert!(call(&mut client, unlimited).await.unwrap().statuses[0].current_limit.is_none());
    });
}

#[test]
fn several_descriptors_are_admitted_together_or_not_at_all() {
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(0.01, 2.0, "");
    block_on(async {
        let mut client = client(address).await;
        let both =
            || rate_limit_request(vec![descriptor(&[("account", "a")]), descriptor(&[("account", "b")])]);
        assert!(
            is_admitted(&mut client, request_for("b")).await
                && is_admitted(&mut client, request_for("b")).await
        );
        for _ in 0..5 {
            let response = call(&mut client, both()).await.unwrap();
            let codes: Vec<_> = response.statuses.iter().map(|status| status.code()).collect();
            assert_eq!(response.overall_code(), proto::Code::OverLimit);
            assert_eq!(codes, [proto::Code::Ok, proto::Code::OverLimit]);
        }
        // No units were added for the first descriptor.
        assert!(
            is_admitted(&mut client, request_for("a")).await
                && is_admitted(&mut client, request_for("a")).await
        );
        assert!(!is_admitted(&mut client, request_for("a")).await);
    });
}

#[test]
fn unknown_domains_and_descriptors_get_the_configured_response() {
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(0.01, 2.0, "");
    block_on(async {
        let mut client = client(address).await;
        for _ in 0..4 {
            assert!(
                is_admitted(
                    &mut client,
                    proto::RateLimitRequest { domain: "other".into(), ..request_for("a") }
                )
                .await
            );
            assert!(
                !is_admitted(&mut client, rate_limit_request(vec![descriptor(&[("colour", "red")])])).await
            );
        }
    });
}

#[test]
fn invalid_calls_get_a_status_that_names_the_fault_and_count_nothing() {
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(0.01, 2.0, "largest_request = 10");
    block_on(async {
        let mut client = client(address).await;
        let valid = || descriptor(&[("account", "a")]);
        let with = |request: proto::RateLimitRequest, code, text: &'static str| (request, code, text);
        let negative = proto::RateLimitDescriptor { is_negative_hits: true, ..valid() };
        let huge = proto::RateLimitDescriptor { hits_addend: Some(u64::MAX), ..valid() };
        let invalid = Code::InvalidArgument;
        let cases = [
            with(proto::RateLimitRequest { domain: String::new(), ..request_for("a") }, invalid, "domain"),
            with(rate_limit_request(vec![]), invalid, "descriptors"),
            with(rate_limit_request(vec![valid(); 1_000]), invalid, "descriptors"),
            with(rate_limit_request(vec![valid(); 10_000]), Code::OutOfRange, "too large"),
            with(rate_limit_request(vec![valid(), descriptor(&[])]), invalid, "descriptors[1].entries"),
            with(rate_limit_request(vec![valid(), negative]), invalid, "descriptors[1].is_negative_hits"),
            with(rate_limit_request(vec![valid(), huge]), invalid, "descriptors[1].hits_addend"),
            with(
                proto::RateLimitRequest { hits_addend: u32::MAX, ..request_for("a") },
                invalid,
                "hits_addend",
            ),
            with(
                rate_limit_request(vec![valid(), descriptor(&[("account", "a"), ("tier", "gold")])]),
                invalid,
                "no such plan",
            ),
            with(
                rate_limit_request(vec![valid(), descriptor(&[("account", &"x".repeat(70_000))])]),
                Code::OutOfRange,
                "too large",
            ),
        ];
        for (request, code, text) in cases {
            let status = call(&mut client, request).await.unwrap_err();
            assert_eq!(status.code(), code, "{status:?}");
            assert!(status.message().contains(text), "{text}: {status:?}");
        }
        let mut request = Request::new(request_for("a"));
        request.metadata_mut().insert("grpc-timeout", "soon".parse().unwrap());
        let status = client.should_rate_limit(request).await.unwrap_err();
        assert!(status.code() == invalid && status.message().contains("grpc-timeout"), "{status:?}");
        assert!(
            is_admitted(&mut client, request_for("a")).await
                && is_admitted(&mut client, request_for("a")).await
        );
        assert!(!is_admitted(&mut client, request_for("a")).await);
    });
}

#[test]
fn unknown_protobuf_fields_are_ignored_and_invalid_utf8_is_rejected() {
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(0.01, 5.0, "");
    // The encoded call rooms / (account, a), the same with an unknown field 99, and with a byte that is not
    // UTF-8.
    let valid = b"\x0a\x05rooms\x12\x0e\x0a\x0c\x0a\x07account\x12\x01a".to_vec();
    let unknown = [valid.as_slice(), b"\x9a\x06\x02hi"].concat();
    let broken = valid.iter().map(|byte| if *byte == b'a' + 17 { 0xff } else { *byte }).collect::<Vec<_>>();
    assert_ne!(valid, broken);
    block_on(async {
        let codes = [raw_status(address, &valid).await, raw_status(address, &unknown).await];
        assert_eq!(codes, [0, 0]);
        assert_ne!(raw_status(address, &broken).await, 0);
    });
}

/// The gRPC status of a call with this encoded message.
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
fn attempt_with_an_id_is_counted_once_over_grpc_and_http() {
    let node = node();
    let counter = Counter::start();
    let text = file(&node, 0.01, 4.0, &format!("counter = \"{}\"", counter.address));
    // Two ingresses with a shared counter.
    let text = text.replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
    let a = Service::start(&text.replace("INDEX", "0"));
    let b = Service::start(&text.replace("INDEX", "1"));
    let (at_a, at_b) = (rate_limit_address(&a), rate_limit_address(&b));
    let with_attempt_id =
        |name: &str| rate_limit_request(vec![descriptor(&[("account", "h"), ("try", name)])]);
    block_on(async {
        let (mut a_client, mut b_client) = (client(at_a).await, client(at_b).await);
        // A gRPC call at each ingress, then an HTTP request: counted once.
        assert!(is_admitted(&mut a_client, with_attempt_id("t1")).await);
        until("the outcome is recorded", || counter.calls().iter().any(|(_, amount)| *amount == 10_000.0));
        assert!(is_admitted(&mut b_client, with_attempt_id("t1")).await);
        assert_eq!(status_of_attempt(&b, "h", "t1"), 200);
        // A second request with the id is forwarded too, and therefore counted.
        assert_eq!(status_of_attempt(&a, "h", "t1"), 200);
        until("the request is counted", || {
            counter.calls().iter().filter(|(_, amount)| *amount == 10_000.0).count() == 2
        });
        // An HTTP request first, then a gRPC call.
        assert_eq!(status_of_attempt(&a, "h", "t2"), 200);
        until("the outcome is recorded", || {
            counter.calls().iter().filter(|(_, amount)| *amount == 10_000.0).count() == 3
        });
        assert!(is_admitted(&mut b_client, with_attempt_id("t2")).await);
        // The fourth unit is admitted, the fifth is not, and stays rejected at both ingresses.
        assert!(is_admitted(&mut b_client, with_attempt_id("t3")).await);
        assert!(!is_admitted(&mut a_client, with_attempt_id("t4")).await);
        until("the rejection is recorded", || {
            counter.calls().iter().any(|(_, amount)| *amount == 1_000_000.0)
        });
        assert!(!is_admitted(&mut b_client, with_attempt_id("t4")).await);
        assert_eq!(status_of_attempt(&b, "h", "t4"), 429);
        // An admitted attempt is still admitted.
        assert!(is_admitted(&mut a_client, with_attempt_id("t2")).await);
    });
}

#[test]
fn reused_attempt_id_does_not_bypass_the_quota() {
    let RateLimitedService { node, service, address } = RateLimitedService::start(0.01, 3.0, "");
    let with_attempt_id =
        |account: &str| rate_limit_request(vec![descriptor(&[("account", account), ("try", "same")])]);
    block_on(async {
        let mut client = client(address).await;
        // Requests with the same id are counted one by one, except for the one that the gRPC call has counted.
        assert!(is_admitted(&mut client, with_attempt_id("h")).await);
        let served = (0..20).filter(|_| status_of_attempt(&service, "h", "same") == 200).count();
        assert_eq!(served, 3);
        // An id of one account has no effect for another account.
        assert!((0..3).all(|_| booking(&service, "other") == 200));
        assert!(!is_admitted(&mut client, with_attempt_id("other")).await);
        assert_eq!(status_of_attempt(&service, "other", "same"), 429);
    });
    assert_eq!(node.received().len(), 6);
}

#[test]
fn attempt_whose_claim_is_lost_is_counted_again_and_never_skipped() {
    let counter = Counter::start();
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(0.01, 3.0, &format!("counter = \"{}\"", counter.address));
    let with_attempt_id = || rate_limit_request(vec![descriptor(&[("account", "h"), ("try", "t")])]);
    block_on(async {
        let mut client = client(address).await;
        counter.set(Mode::Silent);
        let started_at = Instant::now();
        for _ in 0..3 {
            assert!(is_admitted(&mut client, with_attempt_id()).await);
        }
        // Each call was counted, because the others were not known, and none waited for long.
        assert!(!is_admitted(&mut client, with_attempt_id()).await);
        assert!(started_at.elapsed() < Duration::from_secs(2), "{:?}", started_at.elapsed());
    });
}

#[test]
fn ten_thousand_concurrent_calls_on_one_connection_use_little_memory() {
    let RateLimitedService { node: _node, service, address } =
        RateLimitedService::start(1_000_000.0, 1_000_000.0, "");
    block_on(async {
        let client = client(address).await;
        let calls = (0..10_000).map(|number| {
            let mut client = client.clone();
            tokio::task::spawn_local(async move {
                is_admitted(&mut client, request_for(&format!("h{}", number % 50))).await
            })
        });
        let calls: Vec<_> = calls.collect();
        for call_result in calls {
            assert!(call_result.await.unwrap());
        }
    });
    let status = std::fs::read_to_string(format!("/proc/{}/status", service.child.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: u64 = peak.trim().trim_end_matches(" kB").trim().parse().unwrap();
    assert!(peak < 96 * 1024, "{peak} KiB");
}

#[test]
fn rapid_reset_attack_is_disconnected_and_other_clients_are_served() {
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(1_000_000.0, 1_000_000.0, "");
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let frame = |kind: u8, flags: u8, id: u32, payload: &[u8]| {
        let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
        frame.extend([kind, flags]);
        frame.extend(id.to_be_bytes());
        frame.extend(payload);
        frame
    };
    // POST http / application/grpc, with indexes of the static table and literals without indexing.
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
    // The server closes the connection during this write.
    let written = std::thread::spawn(move || writer.write_all(&bytes).is_ok());
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    let _ = written.join();
    // The last frame is GOAWAY (type 7) with ENHANCE_YOUR_CALM (11).
    let goaway = received.windows(17).any(|bytes| bytes[3] == 7 && bytes[13..17] == 11u32.to_be_bytes());
    assert!(goaway, "{} bytes and no GOAWAY", received.len());
    block_on(async {
        let mut client = client(address).await;
        assert!(is_admitted(&mut client, request_for("h")).await);
    });
}

#[test]
fn sigterm_sends_goaway_and_completes_open_calls() {
    let node = node();
    let counter = Counter::start();
    let mut service = Service::start(&file(&node, 10.0, 10.0, &format!("counter = \"{}\"", counter.address)));
    let address = rate_limit_address(&service);
    // Each call waits for the counter's time-out, so that some are open when the signal arrives.
    counter.set(Mode::Silent);
    let answered_calls = block_on(async {
        let client = client(address).await;
        let open: Vec<_> = (0..5)
            .map(|number| {
                let mut client = client.clone();
                tokio::task::spawn_local(async move {
                    call(&mut client, request_for(&format!("h{number}"))).await
                })
            })
            .collect();
        let received = || counter.calls().len() >= 5;
        while !received() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        service.signal("-TERM");
        let mut answered_calls = 0;
        for call_result in open {
            answered_calls += usize::from(call_result.await.unwrap().is_ok());
        }
        answered_calls
    });
    assert_eq!(answered_calls, 5);
    until("the service ends", || service.child.try_wait().unwrap().is_some());
    assert!(service.child.wait().unwrap().success());
}

#[test]
fn health_and_reflection_services_respond() {
    let RateLimitedService { node: _node, service: _service, address } =
        RateLimitedService::start(10.0, 10.0, "");
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
        let response = answers.message().await.unwrap().unwrap().message_response.unwrap();
        let MessageResponse::ListServicesResponse(list) = response else { panic!("{response:?}") };
        let names: Vec<_> = list.service.iter().map(|service| service.name.as_str()).collect();
        assert!(names.contains(&"envoy.service.ratelimit.v3.RateLimitService"), "{names:?}");
    });
}

/// An ingress is killed at each point between the claim and its response, and the attempt is repeated at
/// another one, over gRPC or HTTP: it must be admitted, counted at least once, and at most once more than
/// without the kill.
#[test]
fn attempt_whose_ingress_is_killed_is_counted_at_most_once_more() {
    // The counter calls are the claim, the units and the outcome. Either the call or its response is lost.
    for (answered_calls, mode, first_over_grpc) in [
        (0, Mode::Silent, true),
        (0, Mode::AddSilently, false),
        (1, Mode::Silent, false),
        (1, Mode::AddSilently, true),
        (2, Mode::AddSilently, true),
        (2, Mode::Silent, false),
    ] {
        let case =
            format!("{answered_calls} calls answered, then {mode:?}, first over gRPC: {first_over_grpc}");
        let node = node();
        let counter = Counter::start();
        // The counter's time-out is so long that the ingress is killed before it.
        let pool_settings = format!("counter = \"{}\"\ncounter_timeout_ms = 1500", counter.address);
        let text = file(&node, 0.01, 4.0, &pool_settings)
            .replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
        let mut a = Service::start(&text.replace("INDEX", "0"));
        let b = Service::start(&text.replace("INDEX", "1"));
        let (at_a, at_b) = (rate_limit_address(&a), rate_limit_address(&b));
        let with_attempt_id = || rate_limit_request(vec![descriptor(&[("account", "h"), ("try", "t")])]);
        counter.set_after(answered_calls, mode);
        let served = block_on(async {
            if first_over_grpc {
                let mut client = client(at_a).await;
                let response =
                    tokio::task::spawn_local(async move { call(&mut client, with_attempt_id()).await });
                wait_for_calls(&counter, answered_calls).await;
                a.child.kill().unwrap();
                let _ = response.await.unwrap();
                counter.set(Mode::Answer);
                assert_eq!(status_of_attempt(&b, "h", "t"), 200, "{case}");
                1
            } else {
                let request = service_request("POST", HOST, "/bookings", "h", "room=4");
                let mut client = a.client();
                client.send(request.replacen("X-Account", "X-Try: t\r\nX-Account", 1));
                wait_for_calls(&counter, answered_calls).await;
                a.child.kill().unwrap();
                drop(client.read_response());
                counter.set(Mode::Answer);
                assert!(is_admitted(&mut self::client(at_b).await, with_attempt_id()).await, "{case}");
                1
            }
        });
        // Of four units, the attempt has used one, or one more because of the loss.
        let served_later = (0..8).filter(|_| booking(&b, "h") == 200).count();
        assert!((2..=3).contains(&served_later), "{case}: {served_later} more");
        assert!(served + served_later <= 4, "{case}");
    }
}

/// Waits until the call after the answered ones has arrived.
async fn wait_for_calls(counter: &Counter, answered_calls: u32) {
    let end = Instant::now() + Duration::from_secs(10);
    while counter.calls().len() <= answered_calls as usize {
        assert!(Instant::now() < end, "the call arrives");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[test]
fn attempt_with_a_late_counter_is_counted_at_most_once_more() {
    let node = node();
    let counter = Counter::start();
    let text = file(&node, 0.01, 4.0, &format!("counter = \"{}\"", counter.address));
    let text = text.replace("[service]\n", "[service]\ningresses = 2\nindex = INDEX\n");
    let a = Service::start(&text.replace("INDEX", "0"));
    let b = Service::start(&text.replace("INDEX", "1"));
    counter.set(Mode::Late);
    // Every response arrives after the time-out: the claim is not known, and the attempt is counted at both
    // ingresses.
    assert_eq!(status_of_attempt(&a, "h", "t"), 200);
    assert_eq!(status_of_attempt(&b, "h", "t"), 200);
    counter.set(Mode::Answer);
    let served_later = (0..8).filter(|_| booking(&b, "h") == 200).count();
    assert!(served_later <= 3, "{served_later} more");
}
