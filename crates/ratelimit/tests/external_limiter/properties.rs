//! Properties of the limiter in generated orders of events.

use crate::support::{settings, MS};
use proptest::prelude::*;
use std::collections::BTreeMap;
use violetyoke_ratelimit::external_limiter::{ExternalLimiter, FallbackPolicy, Reply, Start, Usage};

/// An event in the life of a query. The first number selects the query.
#[derive(Clone, Debug)]
enum Step {
    Start(u64),
    Reply(usize, u8),
    TimeOut(usize),
    Cancel(usize),
    End(usize, bool),
    LoseReply(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3u64).prop_map(Step::Start),
        4 => (any::<usize>(), 0..3u8).prop_map(|(selector, reply)| Step::Reply(selector, reply)),
        2 => any::<usize>().prop_map(Step::TimeOut),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(selector, is_admitted)| Step::End(selector, is_admitted)),
        1 => any::<usize>().prop_map(Step::LoseReply),
        2 => (1..400 * MS).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    /// In any order of events: the number of slots is bounded, no more credits are used than units were counted, each query
    /// has at most one decision, and no state remains once all queries have ended.
    #[test]
    fn no_credit_is_used_twice_and_no_query_leaks(steps in steps(), rejects in any::<bool>()) {
        let policy = if rejects { FallbackPolicy::Reject } else { FallbackPolicy::OwnQuota };
        let settings = settings(policy);
        let mut limiter = ExternalLimiter::new(settings, 3);
        let mut now = 0;
        // Of each query: its key, whether it has a decision, and whether its reply has not arrived yet.
        let mut queries: BTreeMap<u64, (u64, bool, bool)> = BTreeMap::new();
        let (mut ok_replies, mut credits_used) = (0u64, 0u64);
        for step in steps {
            let select = |selector: usize| {
                let ids: Vec<u64> = queries.keys().copied().collect();
                (!ids.is_empty()).then(|| ids[selector % ids.len()])
            };
            match step {
                Step::Start(key) => match limiter.start(now, now + 1_000 * MS, key) {
                    Start::Query { id, until } => {
                        prop_assert!(until > now && until <= now + settings.max_query_time);
                        queries.insert(id, (key, false, true));
                    }
                    Start::Credited { id } => {
                        credits_used += 1;
                        limiter.on_request_end(now, id, true);
                    }
                    Start::NoQuery(_) => {}
                },
                Step::Reply(selector, reply) => if let Some(id) = select(selector) {
                    let Some((_, has_decision, awaits_reply)) = queries.get_mut(&id) else { continue };
                    if !std::mem::take(awaits_reply) {
                        continue;
                    }
                    let reply = [Reply::Ok, Reply::OverLimit { reset: None }, Reply::Failed][usize::from(reply)];
                    if reply == Reply::Ok {
                        ok_replies += 1;
                    }
                    let decision = limiter.on_reply(now, id, reply);
                    prop_assert!(!(decision.is_some() && *has_decision), "a second decision");
                    *has_decision |= decision.is_some();
                },
                Step::TimeOut(selector) => if let Some(id) = select(selector) {
                    let decision = limiter.on_timeout(now, id);
                    let Some((_, has_decision, _)) = queries.get_mut(&id) else { continue };
                    prop_assert!(!(decision.is_some() && *has_decision), "a second decision");
                    *has_decision |= decision.is_some();
                },
                Step::Cancel(selector) => if let Some(id) = select(selector) {
                    limiter.on_caller_cancelled(now, id);
                    if let Some((_, has_decision, _)) = queries.get_mut(&id) {
                        *has_decision = true;
                    }
                },
                Step::End(selector, is_admitted) => if let Some(id) = select(selector) {
                    // A request ends only after the decision.
                    if queries[&id].1 {
                        limiter.on_request_end(now, id, is_admitted);
                    }
                },
                Step::LoseReply(selector) => if let Some(id) = select(selector) {
                    if queries[&id].1 && queries[&id].2 {
                        limiter.on_reply_lost(id);
                        queries.remove(&id);
                    }
                },
                Step::Wait(time) => now += time,
            }
            prop_assert!(limiter.usage().in_flight <= settings.max_in_flight);
            prop_assert!(credits_used <= ok_replies, "{credits_used} credits used after {ok_replies} OK replies");
        }
        for id in queries.keys().copied().collect::<Vec<_>>() {
            limiter.on_timeout(now, id);
            limiter.on_request_end(now, id, true);
            limiter.on_reply_lost(id);
        }
        let Usage { in_flight, queries, .. } = limiter.usage();
        prop_assert_eq!((in_flight, queries), (0, 0));
        now += 2 * settings.credit_ttl;
        limiter.start(now, now, 0);
        prop_assert_eq!(limiter.usage().credits, 0);
    }

    /// No more requests are admitted than the server has replied OK, whether they used a query or a credit.
    #[test]
    fn each_ok_reply_admits_one_request_at_most(requests in prop::collection::vec((0..2u64, any::<bool>()), 1..100)) {
        let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::OwnQuota), 9);
        let (mut admitted, mut ok_replies) = (0u64, 0u64);
        for (now, (key, is_admitted)) in requests.into_iter().enumerate() {
            let now = now as u64;
            match limiter.start(now, now + 1_000 * MS, key) {
                Start::Query { id, .. } => {
                    ok_replies += 1;
                    limiter.on_reply(now, id, Reply::Ok);
                    limiter.on_request_end(now, id, is_admitted);
                    admitted += u64::from(is_admitted);
                }
                Start::Credited { id } => {
                    limiter.on_request_end(now, id, is_admitted);
                    admitted += u64::from(is_admitted);
                }
                Start::NoQuery(decision) => prop_assert!(false, "{decision:?}"),
            }
            prop_assert!(admitted <= ok_replies);
        }
    }
}
