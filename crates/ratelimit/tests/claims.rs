//! Claims over generated orders of events: a try is never let in uncounted, and counted more than once only for
//! what was lost.

use proptest::prelude::*;
use violetyoke_ratelimit::claim::{outcome, read, Standing, CLAIM};

#[test]
fn the_first_counts_and_the_others_take_over_what_came_of_it() {
    assert_eq!(read(Some(1.0)), Standing::Fresh);
    assert_eq!(read(Some(1.0 + outcome(true) + CLAIM)), Standing::Counted);
    assert_eq!(read(Some(1.0 + outcome(false) + CLAIM)), Standing::Refused);
    // The first has not decided yet, or died.
    assert_eq!(read(Some(2.0)), Standing::Fresh);
    assert_eq!(read(None), Standing::Fresh);
}

#[test]
fn a_number_that_makes_no_sense_says_nothing() {
    for total in [-1.0, 0.0, 0.5, f64::NAN, f64::INFINITY, 1e9, 1000.0, 10_001.0 + 1e7] {
        assert_eq!(read(Some(total)), Standing::Fresh, "{total}");
    }
}

/// One that meets the try: whether its claim's answer is lost, whether its outcome's call is lost, and after how
/// many other steps it decides.
#[derive(Clone, Debug)]
struct Meets {
    claim_lost: bool,
    outcome_lost: bool,
    decides_after: usize,
    has_room: bool,
    dies: bool,
}

fn meets() -> impl Strategy<Value = Meets> {
    (any::<bool>(), any::<bool>(), 0usize..4, any::<bool>(), prop::bool::weighted(0.2)).prop_map(
        |(claim_lost, outcome_lost, decides_after, has_room, dies)| Meets {
            claim_lost,
            outcome_lost,
            decides_after,
            has_room,
            dies,
        },
    )
}

proptest! {
    #[test]
    fn a_try_is_counted_for_each_that_lets_it_in_unless_it_was_counted_before(all in prop::collection::vec(meets(), 1..12)) {
        let (mut number, mut counted, mut let_in) = (0.0, 0u32, 0u32);
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
            number += CLAIM;
            losses += u32::from(one.claim_lost) + u32::from(one.outcome_lost) + u32::from(one.dies) + u32::from(one.decides_after > 0);
            match read((!one.claim_lost).then_some(number)) {
                Standing::Fresh => open.push((step + 1 + one.decides_after, one.clone())),
                // Passes uncounted, as it stands counted already.
                Standing::Counted => prop_assert!(counted > 0),
                Standing::Refused => {}
            }
        }
        // Whoever let it in itself counted it.
        prop_assert_eq!(counted, let_in);
        // Without a loss, and each decided before the next comes, it is counted once at most.
        if losses == 0 {
            prop_assert!(counted <= 1, "{}", counted);
        }
        // Each further count has a loss, a death or an undecided claim of its own to account for it.
        prop_assert!(counted <= 1 + losses, "{} for {}", counted, losses);
    }
}
