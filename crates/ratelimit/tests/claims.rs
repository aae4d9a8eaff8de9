//! Claims over generated orders of events: an attempt is never admitted uncounted, and counted more than once only for
//! what was lost.

use proptest::prelude::*;
use violetyoke_ratelimit::claim::{
    decode, increment, outcome, outcome_to_report, ClaimState, Source, Verdict,
};
use Source::{Query, Request};

#[test]
fn first_claim_counts_and_later_ones_adopt_its_outcome() {
    for first in [Query, Request] {
        assert_eq!(decode(first, Some(increment(first))), ClaimState::Fresh);
        assert_eq!(
            decode(Query, Some(increment(first) + outcome(true) + increment(Query))),
            ClaimState::Counted
        );
        for again in [Query, Request] {
            assert_eq!(
                decode(again, Some(increment(first) + outcome(false) + increment(again))),
                ClaimState::Rejected
            );
            // The first has not decided yet, or died.
            assert_eq!(decode(again, Some(increment(first) + increment(again))), ClaimState::Fresh);
        }
    }
    assert_eq!(
        decode(Request, Some(increment(Query) + outcome(true) + increment(Request))),
        ClaimState::Counted
    );
    assert_eq!(decode(Query, None), ClaimState::Fresh);
}

#[test]
fn one_name_admits_one_request_and_a_few_queries_uncounted() {
    let (mut number, mut uncounted) = (increment(Query) + outcome(true), 0);
    for _ in 0..50 {
        number += increment(Request);
        uncounted += u32::from(decode(Request, Some(number)) == ClaimState::Counted);
    }
    assert_eq!(uncounted, 1);
    let (mut number, mut uncounted) = (increment(Request) + outcome(true), 0);
    for _ in 0..5_000 {
        number += increment(Query);
        uncounted += u32::from(decode(Query, Some(number)) == ClaimState::Counted);
    }
    // Four while the digits are as they should be, and four once they have run over.
    assert!(uncounted <= 8, "{uncounted}");
}

#[test]
fn invalid_total_leaves_the_claim_fresh() {
    for total in [-1.0, 0.0, 0.5, f64::NAN, f64::INFINITY, 1e9, 10_000.0, 1e7 + 1.0] {
        for source in [Query, Request] {
            assert_eq!(decode(source, Some(total)), ClaimState::Fresh, "{total}");
        }
    }
}

/// One that claims the attempt: whether its claim's answer is lost, whether its outcome's call is lost, and after how
/// many other steps it decides.
#[derive(Clone, Debug)]
struct Claimant {
    asks: bool,
    claim_lost: bool,
    outcome_lost: bool,
    decides_after: usize,
    has_room: bool,
    dies: bool,
}

fn claimants() -> impl Strategy<Value = Claimant> {
    (any::<bool>(), any::<bool>(), any::<bool>(), 0usize..4, any::<bool>(), prop::bool::weighted(0.2))
        .prop_map(|(asks, claim_lost, outcome_lost, decides_after, has_room, dies)| Claimant {
            asks,
            claim_lost,
            outcome_lost,
            decides_after,
            has_room,
            dies,
        })
}

proptest! {
    #[test]
    fn attempt_is_counted_once_but_for_losses(all in prop::collection::vec(claimants(), 1..12)) {
        let (mut number, mut counted, mut let_in) = (0.0, 0u32, 0u32);
        let mut requests_uncounted = 0;
        let mut losses = 0u32;
        // Who has claimed and not decided: when it does, and what.
        let mut open: Vec<(usize, Claimant)> = Vec::new();
        for (step, one) in all.iter().enumerate() {
            let due: Vec<Claimant> = open.iter().filter(|(at, _)| *at <= step).map(|(_, one)| one.clone()).collect();
            open.retain(|(at, _)| *at > step);
            for one in due {
                if one.dies {
                    continue;
                }
                if one.has_room {
                    counted += 1;
                    let_in += 1;
                }
                if !one.outcome_lost {
                    number += outcome(one.has_room);
                }
            }
            let source = if one.asks { Query } else { Request };
            number += increment(source);
            losses += u32::from(one.claim_lost) + u32::from(one.outcome_lost) + u32::from(one.dies) + u32::from(one.decides_after > 0);
            match decode(source, (!one.claim_lost).then_some(number)) {
                ClaimState::Fresh => open.push((step + 1 + one.decides_after, one.clone())),
                // Passes uncounted, as it stands counted already.
                ClaimState::Counted => {
                    prop_assert!(counted > 0);
                    requests_uncounted += u32::from(!one.asks);
                }
                ClaimState::Rejected => {}
            }
        }
        // Whoever let it in itself counted it.
        prop_assert_eq!(counted, let_in);
        // Without a loss, and each decided before the next comes, it is counted once at most.
        let (asked, requests) = all.iter().fold((0, 0), |(a, r), one| (a + u32::from(one.asks), r + u32::from(!one.asks)));
        if losses == 0 && asked <= 4 && requests <= 1 {
            prop_assert!(counted <= 1, "{}", counted);
        }
        prop_assert!(requests_uncounted <= 1, "{}", requests_uncounted);
        // Each further count has a loss, a death or an undecided claim to account for it, or comes too often.
        prop_assert!(counted <= 1 + losses + requests + asked.saturating_sub(4), "{} for {}", counted, losses);
    }
}

#[test]
fn only_rejections_by_quota_and_admissions_are_reported() {
    assert_eq!(outcome_to_report(Verdict::Admitted), Some(true));
    assert_eq!(outcome_to_report(Verdict::Rejected { was_forwarded: false, retry_after: 5 }), Some(false));
    assert_eq!(outcome_to_report(Verdict::Rejected { was_forwarded: false, retry_after: 0 }), None);
    assert_eq!(outcome_to_report(Verdict::Rejected { was_forwarded: true, retry_after: 5 }), None);
}
