//! Replies of an external server that arrive in time, late or never.

#![cfg(test)]

mod properties;
mod support;

use support::{query, settings, MS};
use violetyoke_ratelimit::external_limiter::{
    Decision, ExternalLimiter, FallbackPolicy, Reply, Start, Usage,
};

#[test]
fn time_out_of_a_query_is_a_fraction_of_the_requests_remaining_time() {
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::OwnQuota), 1);
    assert_eq!(limiter.start(0, 2_000 * MS, 1), Start::Query { id: 1, until: 100 * MS });
    assert_eq!(limiter.start(0, 200 * MS, 1), Start::Query { id: 2, until: 50 * MS });
    // A request with 3 ms left is not delayed by a query, and occupies no slot.
    assert_eq!(limiter.start(0, 3 * MS, 1), Start::NoQuery(Decision::Proceed));
    assert_eq!(limiter.usage().in_flight, 2);
}

#[test]
fn replies_in_time_decide() {
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::Reject), 1);
    let (first, _) = query(&mut limiter, 0, 1);
    assert_eq!(limiter.on_reply(10, first, Reply::Ok), Some(Decision::Proceed));
    limiter.on_request_end(20, first, true);
    let (second, _) = query(&mut limiter, 30, 1);
    let over = Reply::OverLimit { reset: Some(700 * MS) };
    assert_eq!(limiter.on_reply(40, second, over), Some(Decision::OverLimit { retry_after: 700 * MS }));
    let (third, _) = query(&mut limiter, 50, 1);
    let over = Reply::OverLimit { reset: Some(u64::MAX) };
    assert_eq!(limiter.on_reply(60, third, over), Some(Decision::OverLimit { retry_after: 5_000 * MS }));
    assert_eq!(limiter.usage(), Usage::default());
}

#[test]
fn late_ok_becomes_a_credit_if_its_request_was_rejected() {
    // Rejected because the reply was late: the next request with the same key uses the units that were counted for it.
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::Reject), 1);
    let (id, until) = query(&mut limiter, 0, 7);
    assert_eq!(limiter.on_timeout(until, id), Some(Decision::Reject { retry_after: 0 }));
    // When the query is dropped, its request counts as admitted. This has no effect, as it has been rejected before.
    limiter.on_request_end(until, id, true);
    assert_eq!(limiter.on_reply(until + 1, id, Reply::Ok), None);
    assert!(matches!(limiter.start(until + 2, until + 2_000 * MS, 8), Start::Query { .. }));
    let Start::Credited { id: credited } = limiter.start(until + 2, until + 2_000 * MS, 7) else {
        panic!("no credit")
    };
    // This request is not admitted either, so the credit is available to the next one, with its original expiry.
    limiter.on_request_end(until + 3, credited, false);
    let Start::Credited { id: credited } = limiter.start(until + 4, until + 2_000 * MS, 7) else {
        panic!("no credit")
    };
    limiter.on_request_end(until + 5, credited, true);
    assert!(matches!(limiter.start(until + 2, until + 2_000 * MS, 7), Start::Query { .. }));
    assert_eq!((limiter.counters().late_unused, limiter.counters().credits_used), (1, 1));
    // Admitted by the pool's own quota: the request has used the counted units, so there is no credit.
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::OwnQuota), 1);
    let (id, until) = query(&mut limiter, 0, 7);
    assert_eq!(limiter.on_timeout(until, id), Some(Decision::Proceed));
    limiter.on_request_end(until, id, true);
    assert_eq!(limiter.on_reply(until + 1, id, Reply::Ok), None);
    assert_eq!(
        (limiter.counters().late_ok, limiter.counters().credited, limiter.usage()),
        (1, 0, Usage::default())
    );
}

#[test]
fn late_over_limit_reply_has_no_effect_but_is_counted() {
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::OwnQuota), 1);
    let (id, until) = query(&mut limiter, 0, 7);
    assert_eq!(limiter.on_timeout(until, id), Some(Decision::Proceed));
    limiter.on_request_end(until, id, true);
    assert_eq!(limiter.on_reply(until + 1, id, Reply::OverLimit { reset: None }), None);
    assert_eq!(
        (limiter.counters().late_over_let_in, limiter.counters().credited, limiter.usage()),
        (1, 0, Usage::default())
    );
}

#[test]
fn credit_of_a_request_rejected_by_its_own_quota_expires() {
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::Reject), 1);
    let (id, _) = query(&mut limiter, 0, 7);
    assert_eq!(limiter.on_reply(1, id, Reply::Ok), Some(Decision::Proceed));
    limiter.on_request_end(2, id, false);
    // The credit has expired.
    assert!(matches!(limiter.start(2 + 1_000 * MS, 5_000 * MS, 7), Start::Query { .. }));
    assert_eq!(limiter.usage().credits, 0);
}

#[test]
fn unprocessed_query_is_retried_once_while_its_request_waits() {
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::Reject), 1);
    let (id, until) = query(&mut limiter, 0, 7);
    assert!(limiter.may_retry(until - 1, id, until, 1));
    assert!(!limiter.may_retry(until - 1, id, until, 2) && !limiter.may_retry(until, id, until, 1));
    // After a time-out, or if the caller was cancelled, the units of a retry would be lost.
    limiter.on_timeout(10, id);
    assert!(!limiter.may_retry(11, id, until, 1));
    let (id, until) = query(&mut limiter, 20, 7);
    limiter.on_caller_cancelled(21, id);
    assert!(!limiter.may_retry(22, id, until, 1));
}

#[test]
fn slots_are_occupied_until_the_reply_arrives_or_is_lost() {
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::Reject), 1);
    let ids: Vec<u64> = (0..4).map(|key| query(&mut limiter, 0, key).0).collect();
    assert_eq!(limiter.start(0, 2_000 * MS, 9), Start::NoQuery(Decision::Reject { retry_after: 0 }));
    limiter.on_caller_cancelled(1, ids[0]);
    assert_eq!(limiter.usage().in_flight, 4);
    limiter.on_reply_lost(ids[0]);
    assert_eq!(limiter.on_reply(2, ids[0], Reply::Ok), None);
    assert_eq!((limiter.usage().in_flight, limiter.counters().lost), (3, 1));
    assert!(matches!(limiter.start(3, 2_000 * MS, 9), Start::Query { .. }));
}

#[test]
fn broken_connection_is_one_failure_for_all_its_queries() {
    let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::Reject), 1);
    let broke = |connection| Reply::ConnectionBroke { connection };
    // Two connections break at the same time, and the results of their queries arrive in any order.
    let ids: Vec<_> = (0..4).map(|key| query(&mut limiter, 0, key).0).collect();
    for (id, connection) in ids.into_iter().zip([1, 2, 1, 2]) {
        assert!(matches!(limiter.on_reply(1, id, broke(connection)), Some(Decision::Reject { .. })));
    }
    assert!(!limiter.is_breaker_open(), "two failures of three");
    let (first, second) = (query(&mut limiter, 1, 1).0, query(&mut limiter, 1, 2).0);
    limiter.on_reply(2, first, broke(3));
    assert!(limiter.is_breaker_open());
    // The trial is on a connection whose break an older query reports first. The failure of the trial must still count.
    let (trial, _) = query(&mut limiter, 2_000 * MS, 3);
    limiter.on_reply(2_000 * MS, second, broke(4));
    limiter.on_reply(2_000 * MS, trial, broke(4));
    assert!(
        matches!(limiter.start(10_000 * MS, 12_000 * MS, 4), Start::Query { .. }),
        "a further trial is granted"
    );
}

#[test]
fn open_breaker_is_handled_like_a_missing_reply() {
    for (policy, rejects) in [(FallbackPolicy::OwnQuota, false), (FallbackPolicy::Reject, true)] {
        let mut limiter = ExternalLimiter::new(settings(policy), 1);
        for _ in 0..3 {
            let (id, _) = query(&mut limiter, 0, 1);
            limiter.on_reply(1, id, Reply::Failed);
        }
        match limiter.start(2, 2_000 * MS, 1) {
            Start::NoQuery(Decision::Proceed) => assert!(!rejects),
            Start::NoQuery(Decision::Reject { retry_after }) => assert!(rejects && retry_after > 700 * MS),
            other => panic!("{other:?}"),
        }
        assert_eq!(
            (limiter.counters().opened, limiter.is_breaker_open(), limiter.usage()),
            (1, true, Usage::default())
        );
    }
}
