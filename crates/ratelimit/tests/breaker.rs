//! When the breaker grants calls.

#![cfg(test)]

use violetyoke_ratelimit::breaker::{Breaker, BreakerSettings, Permit};

#[test]
fn breaker_opens_after_failures_and_closes_after_a_successful_trial() {
    let settings = BreakerSettings { failures: 3, pause: 1_000, max_pause: 3_000 };
    let mut breaker = Breaker::new(settings, 5);
    let ask = |breaker: &mut Breaker, now| match breaker.acquire(now) {
        Permit::Granted { epoch } => epoch,
        denied @ Permit::Denied { .. } => panic!("{denied:?}"),
    };
    let early = ask(&mut breaker, 0);
    assert!(!breaker.on_failure(0, early) && !breaker.on_failure(0, early));
    // A success between them begins anew.
    breaker.on_success(early);
    assert!(!breaker.on_failure(0, early) && !breaker.on_failure(0, early) && breaker.on_failure(0, early));
    assert!(
        matches!(breaker.acquire(1), Permit::Denied { retry_after } if (799..1_000).contains(&retry_after))
    );
    // Success of what was asked before says nothing.
    breaker.on_success(early);
    assert!(!breaker.is_closed());
    let trial = ask(&mut breaker, 1_000);
    assert!(matches!(breaker.acquire(1_000), Permit::Denied { .. }));
    // The trial fails, and the pause doubles; the next one's asker leaves, and another takes its place.
    assert!(breaker.on_failure(1_000, trial));
    assert!(matches!(breaker.acquire(2_500), Permit::Denied { .. }));
    let trial = ask(&mut breaker, 3_000);
    breaker.on_abandoned(3_000, trial);
    let trial = ask(&mut breaker, 3_000);
    breaker.on_success(trial);
    assert!(breaker.is_closed());
    // The pauses are at most the longest, and begin short again after a success.
    let epoch = ask(&mut breaker, 4_000);
    assert!(
        !breaker.on_failure(4_000, epoch)
            && !breaker.on_failure(4_000, epoch)
            && breaker.on_failure(4_000, epoch)
    );
    ask(&mut breaker, 5_000);
}

#[test]
fn pauses_of_different_ingresses_end_apart() {
    let settings = BreakerSettings { failures: 1, pause: 1_000_000, max_pause: 8_000_000 };
    let mut ends: Vec<u64> = (0..8)
        .map(|seed| {
            let mut breaker = Breaker::new(settings, seed);
            breaker.on_failure(0, 0);
            match breaker.acquire(0) {
                Permit::Denied { retry_after } => retry_after,
                Permit::Granted { .. } => 0,
            }
        })
        .collect();
    ends.sort();
    ends.dedup();
    assert!(ends.len() >= 6, "{ends:?}");
}
