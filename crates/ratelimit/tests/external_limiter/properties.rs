//! Properties of the limiter over generated orders of events.

use crate::support::{settings, MS};
use proptest::prelude::*;
use std::collections::BTreeMap;
use violetyoke_ratelimit::external_limiter::{ExternalLimiter, FallbackPolicy, Reply, Start, Usage};

/// One thing that happens to the limiter's state; the number chooses among the questions that it can happen to.
#[derive(Clone, Debug)]
enum Step {
    Ask(u64),
    Reply(usize, u8),
    GiveUp(usize),
    Leave(usize),
    End(usize, bool),
    Lose(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3u64).prop_map(Step::Ask),
        4 => (any::<usize>(), 0..3u8).prop_map(|(which, said)| Step::Reply(which, said)),
        2 => any::<usize>().prop_map(Step::GiveUp),
        1 => any::<usize>().prop_map(Step::Leave),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(which, let_in)| Step::End(which, let_in)),
        1 => any::<usize>().prop_map(Step::Lose),
        2 => (1..400 * MS).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    /// In any order of events: places are bounded, nobody passes by a credit that was not counted limiter for
    /// nothing, each question gives at most one word, and once all have ended nothing is held.
    #[test]
    fn no_credit_is_used_twice_and_no_query_leaks(steps in steps(), refuse in any::<bool>()) {
        let silence = if refuse { FallbackPolicy::Reject } else { FallbackPolicy::OwnQuota };
        let settings = settings(silence);
        let mut limiter = ExternalLimiter::new(settings, 3);
        let mut now = 0;
        // Of each question: what it is about, whether a decision was made, and whether its answer is still to come.
        let mut questions: BTreeMap<u64, (u64, bool, bool)> = BTreeMap::new();
        let (mut said_ok, mut used) = (0u64, 0u64);
        for step in steps {
            let pick = |which: usize| {
                let numbers: Vec<u64> = questions.keys().copied().collect();
                (!numbers.is_empty()).then(|| numbers[which % numbers.len()])
            };
            match step {
                Step::Ask(about) => match limiter.start(now, now + 1_000 * MS, about) {
                    Start::Query { id: number, until } => {
                        prop_assert!(until > now && until <= now + settings.max_query_time);
                        questions.insert(number, (about, false, true));
                    }
                    Start::Credited { id: number } => {
                        used += 1;
                        limiter.on_request_end(now, number, true);
                    }
                    Start::NoQuery(_) => {}
                },
                Step::Reply(which, said) => if let Some(number) = pick(which) {
                    let Some((_, word, coming)) = questions.get_mut(&number) else { continue };
                    if !std::mem::take(coming) {
                        continue;
                    }
                    let said = [Reply::Ok, Reply::OverLimit { reset: None }, Reply::Failed][usize::from(said)];
                    if said == Reply::Ok {
                        said_ok += 1;
                    }
                    let given = limiter.on_reply(now, number, said);
                    prop_assert!(!(given.is_some() && *word), "a second word");
                    *word |= given.is_some();
                },
                Step::GiveUp(which) => if let Some(number) = pick(which) {
                    let given = limiter.on_timeout(now, number);
                    let Some((_, word, _)) = questions.get_mut(&number) else { continue };
                    prop_assert!(!(given.is_some() && *word), "a second word");
                    *word |= given.is_some();
                },
                Step::Leave(which) => if let Some(number) = pick(which) {
                    limiter.on_caller_cancelled(now, number);
                    if let Some((_, word, _)) = questions.get_mut(&number) {
                        *word = true;
                    }
                },
                Step::End(which, let_in) => if let Some(number) = pick(which) {
                    // Only of those that have their word.
                    if questions[&number].1 {
                        limiter.on_request_end(now, number, let_in);
                    }
                },
                Step::Lose(which) => if let Some(number) = pick(which) {
                    if questions[&number].1 && questions[&number].2 {
                        limiter.on_reply_lost(number);
                        questions.remove(&number);
                    }
                },
                Step::Wait(time) => now += time,
            }
            prop_assert!(limiter.usage().in_flight <= settings.max_in_flight);
            prop_assert!(used <= said_ok, "{used} passed by credits, and OK was said {said_ok} times");
        }
        for number in questions.keys().copied().collect::<Vec<_>>() {
            limiter.on_timeout(now, number);
            limiter.on_request_end(now, number, true);
            limiter.on_reply_lost(number);
        }
        let Usage { in_flight, queries, .. } = limiter.usage();
        prop_assert_eq!((in_flight, queries), (0, 0));
        now += 2 * settings.credit_ttl;
        limiter.start(now, now, 0);
        prop_assert_eq!(limiter.usage().credits, 0);
    }

    /// Where each request's end is told once, credits used are at most the OKs whose request was not let in.
    #[test]
    fn each_ok_serves_one_request(ends in prop::collection::vec((0..2u64, any::<bool>()), 1..100)) {
        let mut limiter = ExternalLimiter::new(settings(FallbackPolicy::OwnQuota), 9);
        let (mut passed, mut ok) = (0u64, 0u64);
        for (now, (about, let_in)) in ends.into_iter().enumerate() {
            let now = now as u64;
            match limiter.start(now, now + 1_000 * MS, about) {
                Start::Query { id: number, .. } => {
                    ok += 1;
                    limiter.on_reply(now, number, Reply::Ok);
                    limiter.on_request_end(now, number, let_in);
                    passed += u64::from(let_in);
                }
                Start::Credited { id: number } => {
                    limiter.on_request_end(now, number, let_in);
                    passed += u64::from(let_in);
                }
                Start::NoQuery(word) => prop_assert!(false, "{word:?}"),
            }
            prop_assert!(passed <= ok);
        }
    }
}
