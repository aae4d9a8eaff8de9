//! Which attempts are started, and how their ends determine the response to the request.

use super::support::{accept, advance, exchange, request, START};
use violetyoke_decision::interface::{Idempotency, Outcome, Report};
use violetyoke_exchange::{AcceptedRequest, AttemptId, FinalResponse, SendProgress};

#[test]
fn attempt_without_connection_is_retried_on_another_backend() {
    let mut exchange = exchange(Idempotency::AtMostOnce, 0.0);
    exchange.port.progress = SendProgress::Nothing;
    accept(&mut exchange, request());
    advance(&mut exchange, START + 100_000);
    assert_eq!(exchange.port.ends[0].outcome, Outcome::ConnectFailed);
    let [(first, first_backend), (second, second_backend), ..] = exchange.port.attempts[..] else {
        panic!("{:?}", exchange.port.attempts)
    };
    assert_eq!((first.number, second.number), (0, 1));
    assert_ne!(first_backend, second_backend);
}

#[test]
fn late_response_of_a_cancelled_attempt_is_ignored() {
    let mut exchange = exchange(Idempotency::AtMostOnce, 0.0);
    exchange.port.progress = SendProgress::Nothing;
    accept(&mut exchange, request());
    advance(&mut exchange, START + 100_000);
    let first = AttemptId { request: 1, number: 0 };
    exchange.attempt_ended(START + 100_001, first, Outcome::Ok, Report::new(), "late");
    exchange.process_events(START + 100_001);
    assert!(exchange.port.responses.is_empty());
    let second = AttemptId { request: 1, number: 1 };
    exchange.attempt_ended(START + 120_000, second, Outcome::Ok, Report::new(), "good");
    exchange.process_events(START + 120_000);
    assert_eq!(exchange.port.responses[0].1, FinalResponse::Served("good"));
}

#[test]
fn attempt_with_incomplete_body_is_neither_executed_nor_the_backends_fault() {
    let mut exchange = exchange(Idempotency::AtMostOnce, 0.0);
    exchange.port.progress = SendProgress::Partial;
    accept(&mut exchange, request());
    exchange.abandon_request(START + 10_000, 1);
    exchange.process_events(START + 10_000);
    assert_eq!(exchange.port.ends[0].outcome, Outcome::Withheld);
    assert!(exchange.port.responses.is_empty() && exchange.is_idle());
}

#[test]
fn request_that_no_backend_accepts_is_rejected_within_its_limit_on_attempts() {
    let mut exchange = exchange(Idempotency::Idempotent, 0.0);
    exchange.port.accepts = false;
    accept(&mut exchange, request());
    advance(&mut exchange, START + 1_000_000);
    assert!(exchange.port.attempts.len() <= 3, "{:?}", exchange.port.attempts);
    assert!(matches!(exchange.port.responses[0].1, FinalResponse::Refused { .. }));
}

#[test]
fn admission_check_is_not_sent_to_a_backend() {
    let mut exchange = exchange(Idempotency::Idempotent, 0.0);
    accept(&mut exchange, AcceptedRequest { is_admission_check: true, ..request() });
    assert!(exchange.port.attempts.is_empty());
}
