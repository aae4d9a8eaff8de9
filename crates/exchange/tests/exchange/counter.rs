//! Counter calls of the decision module.

use super::support::{accept, advance, exchange, request, START};
use violetyoke_decision::interface::{Idempotency, Outcome, Report};
use violetyoke_exchange::{AttemptId, FinalResponse};

#[test]
fn total_that_arrives_after_its_time_out_is_ignored() {
    let mut exchange = exchange(Idempotency::Idempotent, 1.0);
    accept(&mut exchange, request());
    let (call, amount) = exchange.port.calls[0];
    assert_eq!((amount, exchange.port.attempts.len()), (1.0, 0));
    advance(&mut exchange, START + 60_000);
    // At the time-out the request is decided without the counter, and forwarded because no use is known.
    assert_eq!(exchange.port.attempts.len(), 1);
    let responses = exchange.port.responses.len();
    exchange.counter_call_ended(START + 61_000, call, Outcome::Ok, 500.0);
    exchange.process_events(START + 61_000);
    assert_eq!(exchange.port.responses.len(), responses);
    // The request is still open: its attempt's response reaches the client.
    let attempt = AttemptId { request: 1, number: 0 };
    exchange.attempt_ended(START + 62_000, attempt, Outcome::Ok, Report::new(), "good");
    assert_eq!(exchange.port.responses[responses].1, FinalResponse::Served("good"));
}
