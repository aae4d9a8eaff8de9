//! Claims: reporting of their totals, and the outcomes that are added to them.

use super::support::{accept, advance, exchange, request, START};
use violetyoke_decision::interface::{Idempotency, Outcome};
use violetyoke_exchange::AcceptedRequest;
use violetyoke_ratelimit::claim;

#[test]
fn total_of_a_claim_is_reported_to_its_waiter() {
    let mut exchange = exchange(Idempotency::Idempotent, 0.0);
    exchange.add_to_claim(START, 5, 1.0, Some("waiter"));
    let (call, _) = exchange.port.calls[0];
    exchange.counter_call_ended(START + 1_000, call, Outcome::Ok, 3.0);
    assert_eq!(exchange.port.claims, [("waiter", Some(3.0))]);
    assert!(exchange.is_idle());
}

#[test]
fn waiter_of_a_claim_is_notified_when_the_call_times_out() {
    let mut exchange = exchange(Idempotency::Idempotent, 0.0);
    exchange.add_to_claim(START, 5, 1.0, Some("waiter"));
    advance(&mut exchange, START + 50_000);
    assert_eq!(exchange.port.claims, [("waiter", None)]);
    assert!(exchange.is_idle());
}

#[test]
fn admission_of_a_claimed_request_is_added_to_its_claim_once() {
    let mut exchange = exchange(Idempotency::Idempotent, 0.0);
    accept(&mut exchange, AcceptedRequest { claim: Some(5), ..request() });
    advance(&mut exchange, START + 1_000_000);
    let amounts: Vec<f64> = exchange.port.calls.iter().map(|(_, amount)| *amount).collect();
    assert_eq!(amounts, [claim::ADMITTED]);
    assert!(exchange.port.claims.is_empty());
}
