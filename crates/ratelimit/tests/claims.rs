//! Claims over generated orders of events: a try is never let in uncounted, and counted more than once only for
//! what was lost.

use proptest::prelude::*;
use violetyoke_ratelimit::claim::{add, outcome, read, Standing, Way};
use Way::{Question, Request};

#[test]
fn the_first_counts_and_the_others_take_over_what_came_of_it() {
    for first in [Question, Request] {
        assert_eq!(read(first, Some(add(first))), Standing::Fresh);
        assert_eq!(read(Question, Some(add(first) + outcome(true) + add(Question))), Standing::Counted);
        for again in [Question, Request] {
            assert_eq!(read(again, Some(add(first) + outcome(false) + add(again))), Standing::Refused);
            // The first has not decided yet, or died.
            assert_eq!(read(again, Some(add(first) + add(again))), Standing::Fresh);
        }
    }
    assert_eq!(read(Request, Some(add(Question) + outcome(true) + add(Request))), Standing::Counted);
    assert_eq!(read(Question, None), Standing::Fresh);
}

#[test]
fn one_name_lets_through_one_request_uncounted_and_a_few_questions() {
    let (mut number, mut uncounted) = (add(Question) + outcome(true), 0);
    for _ in 0..50 {
        number += add(Request);
        uncounted += u32::from(read(Request, Some(number)) == Standing::Counted);
    }
    assert_eq!(uncounted, 1);
    let (mut number, mut uncounted) = (add(Request) + outcome(true), 0);
    for _ in 0..5_000 {
        number += add(Question);
        uncounted += u32::from(read(Question, Some(number)) == Standing::Counted);
    }
    // Four while the digits are as they should be, and four once they have run over.
    assert!(uncounted <= 8, "{uncounted}");
}

#[test]
fn a_number_that_makes_no_sense_says_nothing() {
    for total in [-1.0, 0.0, 0.5, f64::NAN, f64::INFINITY, 1e9, 10_000.0, 1e7 + 1.0] {
        for way in [Question, Request] {
            assert_eq!(read(way, Some(total)), Standing::Fresh, "{total}");
        }
    }
}

/// One that meets the try: whether its claim's answer is lost, whether its outcome's call is lost, and after how
/// many other steps it decides.
#[derive(Clone, Debug)]
struct Meets {
    asks: bool,
    claim_lost: bool,
    outcome_lost: bool,
    decides_after: usize,
    has_room: bool,
    dies: bool,
}

fn meets() -> impl Strategy<Value = Meets> {
    (any::<bool>(), any::<bool>(), any::<bool>(), 0usize..4, any::<bool>(), prop::bool::weighted(0.2))
        .prop_map(|(asks, claim_lost, outcome_lost, decides_after, has_room, dies)| Meets {
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
    fn a_try_is_counted_for_each_that_lets_it_in_unless_it_was_counted_before(all in prop::collection::vec(meets(), 1..12)) {
        let (mut number, mut counted, mut let_in) = (0.0, 0u32, 0u32);
        let mut requests_uncounted = 0;
        let mut losses = 0u32;
        // Who has claimed and not decided: when it does, and what.
        let mut open: Vec<(usize, Meets)> = Vec::new();
        for (step, one) in all.iter().enumerate() {
            let due: Vec<Meets> = open.iter().filter(|(at, _)| *at <= step).map(|(_, one)| one.clone()).collect();
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
            let way = if one.asks { Question } else { Request };
            number += add(way);
            losses += u32::from(one.claim_lost) + u32::from(one.outcome_lost) + u32::from(one.dies) + u32::from(one.decides_after > 0);
            match read(way, (!one.claim_lost).then_some(number)) {
                Standing::Fresh => open.push((step + 1 + one.decides_after, one.clone())),
                // Passes uncounted, as it stands counted already.
                Standing::Counted => {
                    prop_assert!(counted > 0);
                    requests_uncounted += u32::from(!one.asks);
                }
                Standing::Refused => {}
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
