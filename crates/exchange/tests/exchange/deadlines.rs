//! The latest time of the final response to a request.

use super::support::{accept, advance, exchange, request, START};
use violetyoke_decision::interface::Idempotency;
use violetyoke_exchange::{FinalResponse, Upload};

#[test]
fn request_is_answered_once_by_its_deadline_while_its_attempt_hangs() {
    let mut exchange = exchange(Idempotency::AtMostOnce, 0.0);
    accept(&mut exchange, request());
    assert_eq!(exchange.port.attempts.len(), 1);
    advance(&mut exchange, START + 1_000_000);
    let [(summary, response)] = exchange.port.responses.as_slice() else {
        panic!("{:?}", exchange.port.responses)
    };
    // The attempt may have been executed, so the request fails and is not sent again.
    assert_eq!((summary.attempts, response), (1, &FinalResponse::Failed));
    assert_eq!((exchange.port.attempts.len(), exchange.port.cancelled), (1, 1));
    assert!(exchange.is_idle());
}

#[test]
fn deadline_moves_by_the_time_that_an_upload_takes() {
    let mut exchange = exchange(Idempotency::AtMostOnce, 0.0);
    exchange.port.upload = Some(Upload { started_at: START, ended_at: None, is_unsent: true });
    accept(&mut exchange, request());
    advance(&mut exchange, START + 1_500_000);
    assert!(exchange.port.responses.is_empty());
    let ended_at = Some(START + 1_500_000);
    exchange.port.upload = Some(Upload { started_at: START, ended_at, is_unsent: false });
    advance(&mut exchange, START + 2_499_000);
    assert_eq!(exchange.port.responses.len(), 1);
}
