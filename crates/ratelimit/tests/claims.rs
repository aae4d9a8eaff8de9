//! Claims, also in generated orders of events: an attempt is never admitted without being counted, and is counted more than
//! once only after losses.

use proptest::prelude::*;
use violetyoke_ratelimit::claim::{
    decode, increment, outcome, outcome_to_report, ClaimState, Source, Verdict,
};
use Source::{Query, Request};

#[test]
fn first_claim_is_counted_and_later_ones_adopt_its_outcome() {
    for first in [Query, Request] {
        assert_eq!(decode(first, Some(increment(first))), ClaimState::Fresh);
        assert_eq!(
            decode(Query, Some(increment(first) + outcome(true) + increment(Query))),
            ClaimState::Counted
        );
        for second in [Query, Request] {
            assert_eq!(
                decode(second, Some(increment(first) + outcome(false) + increment(second))),
                ClaimState::Rejected
            );
            // The first claimant has not decided yet, or has died.
            assert_eq!(decode(second, Some(increment(first) + increment(second))), ClaimState::Fresh);
        }
    }
    assert_eq!(
        decode(Request, Some(increment(Query) + outcome(true) + increment(Request))),
        ClaimState::Counted
    );
    assert_eq!(decode(Query, None), ClaimState::Fresh);
}

#[test]
fn one_name_admits_at_most_one_request_and_a_few_queries_uncounted() {
    let (mut total, mut uncounted) = (increment(Query) + outcome(true), 0);
    for _ in 0..50 {
        total += increment(Request);
        uncounted += u32::from(decode(Request, Some(total)) == ClaimState::Counted);
    }
    assert_eq!(uncounted, 1);
    let (mut total, mut uncounted) = (increment(Request) + outcome(true), 0);
    for _ in 0..5_000 {
        total += increment(Query);
        uncounted += u32::from(decode(Query, Some(total)) == ClaimState::Counted);
    }
    // Four at first, and four more after the digits of the queries have overflowed.
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

/// An ingress that claims the attempt.
#[derive(Clone, Debug)]
struct Claimant {
    is_query: bool,
    /// The reply to its claim is lost.
    claim_lost: bool,
    /// The call that reports its outcome is lost.
    outcome_lost: bool,
    /// The number of other claims before it decides.
    decides_after: usize,
    /// Its decision, if it has to decide.
    admits: bool,
    /// It dies before it decides.
    dies: bool,
}

fn claimants() -> impl Strategy<Value = Claimant> {
    (any::<bool>(), any::<bool>(), any::<bool>(), 0usize..4, any::<bool>(), prop::bool::weighted(0.2))
        .prop_map(|(is_query, claim_lost, outcome_lost, decides_after, admits, dies)| Claimant {
            is_query,
            claim_lost,
            outcome_lost,
            decides_after,
            admits,
            dies,
        })
}

proptest! {
    #[test]
    fn attempt_is_counted_once_more_for_each_loss_at_most(claimants in prop::collection::vec(claimants(), 1..12)) {
        let (mut total, mut counted, mut admitted) = (0.0, 0u32, 0u32);
        let mut requests_uncounted = 0;
        let mut losses = 0u32;
        // The claimants that have not decided yet, with the step in which they do.
        let mut undecided: Vec<(usize, Claimant)> = Vec::new();
        for (step, claimant) in claimants.iter().enumerate() {
            let due: Vec<Claimant> = undecided.iter().filter(|(due, _)| *due <= step).map(|(_, claimant)| claimant.clone()).collect();
            undecided.retain(|(due, _)| *due > step);
            for claimant in due {
                if claimant.dies {
                    continue;
                }
                if claimant.admits {
                    counted += 1;
                    admitted += 1;
                }
                if !claimant.outcome_lost {
                    total += outcome(claimant.admits);
                }
            }
            let source = if claimant.is_query { Query } else { Request };
            total += increment(source);
            losses += u32::from(claimant.claim_lost) + u32::from(claimant.outcome_lost) + u32::from(claimant.dies) + u32::from(claimant.decides_after > 0);
            match decode(source, (!claimant.claim_lost).then_some(total)) {
                ClaimState::Fresh => undecided.push((step + 1 + claimant.decides_after, claimant.clone())),
                // Passes uncounted, as it has been counted before.
                ClaimState::Counted => {
                    prop_assert!(counted > 0);
                    requests_uncounted += u32::from(!claimant.is_query);
                }
                ClaimState::Rejected => {}
            }
        }
        // Each admission by a decision was counted.
        prop_assert_eq!(counted, admitted);
        // Without losses, and with each decision before the next claim, the attempt is counted once at most.
        let (queries, requests) = claimants.iter().fold((0, 0), |(queries, requests), claimant| {
            (queries + u32::from(claimant.is_query), requests + u32::from(!claimant.is_query))
        });
        if losses == 0 && queries <= 4 && requests <= 1 {
            prop_assert!(counted <= 1, "{}", counted);
        }
        prop_assert!(requests_uncounted <= 1, "{}", requests_uncounted);
        // Each further count is due to a loss, a death or an undecided claim, or to too many claims with the same name.
        prop_assert!(counted <= 1 + losses + requests + queries.saturating_sub(4), "{} for {}", counted, losses);
    }
}

#[test]
fn only_rejections_by_quota_and_admissions_are_reported() {
    assert_eq!(outcome_to_report(Verdict::Admitted), Some(true));
    assert_eq!(outcome_to_report(Verdict::Rejected { was_forwarded: false, retry_after: 5 }), Some(false));
    assert_eq!(outcome_to_report(Verdict::Rejected { was_forwarded: false, retry_after: 0 }), None);
    assert_eq!(outcome_to_report(Verdict::Rejected { was_forwarded: true, retry_after: 5 }), None);
}
