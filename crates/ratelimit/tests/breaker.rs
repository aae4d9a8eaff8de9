//! When the circuit breaker grants calls.

#![cfg(test)]

use violetyoke_ratelimit::breaker::{Breaker, BreakerSettings, Permit};

#[test]
fn breaker_opens_after_failures_and_closes_after_a_successful_trial() {
    let settings = BreakerSettings { failures: 3, pause: 1_000, max_pause: 3_000 };
    let mut breaker = Breaker::new(settings, 5);
    let granted_epoch = |breaker: &mut Breaker, now| match breaker.acquire(now) {
        Permit::Granted { epoch } => epoch,
        denied @ Permit::Denied { .. } => panic!("{denied:?}"),
    };
    let closed = granted_epoch(&mut breaker, 0);
    assert!(!breaker.on_failure(0, closed) && !breaker.on_failure(0, closed));
    // A success resets the number of failures.
    breaker.on_success(closed);
    assert!(
        !breaker.on_failure(0, closed) && !breaker.on_failure(0, closed) && breaker.on_failure(0, closed)
    );
    assert!(
        matches!(breaker.acquire(1), Permit::Denied { retry_after } if (799..1_000).contains(&retry_after))
    );
    // The success of a call from an earlier epoch is ignored.
    breaker.on_success(closed);
    assert!(!breaker.is_closed());
    let trial = granted_epoch(&mut breaker, 1_000);
    assert!(matches!(breaker.acquire(1_000), Permit::Denied { .. }));
    // The trial fails, and the pause doubles. The next trial is abandoned, and another one is granted at once.
    assert!(breaker.on_failure(1_000, trial));
    assert!(matches!(breaker.acquire(2_500), Permit::Denied { .. }));
    let trial = granted_epoch(&mut breaker, 3_000);
    breaker.on_abandoned(3_000, trial);
    let trial = granted_epoch(&mut breaker, 3_000);
    breaker.on_success(trial);
    assert!(breaker.is_closed());
    // After a success, the next pause is short again.
    let epoch = granted_epoch(&mut breaker, 4_000);
    assert!(
        !breaker.on_failure(4_000, epoch)
            && !breaker.on_failure(4_000, epoch)
            && breaker.on_failure(4_000, epoch)
    );
    granted_epoch(&mut breaker, 5_000);
}

#[test]
fn pauses_of_different_ingresses_end_at_different_times() {
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
