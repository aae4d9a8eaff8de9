//! How the serving state of an ingress determines the treatment of its clients' connections.

use proptest::prelude::*;
use violetyoke_operations::{IdlePolicy, ServingState};

#[test]
fn a_draining_ingress_keeps_idle_connections_until_the_load_balancer_has_noticed() {
    let mut state = ServingState::default();
    assert!(state.is_ready() && state.keeps_connections());
    state.drain(1_000_000);
    assert!(!state.is_ready() && !state.keeps_connections() && state.accepts_connections(1_000_000));
    assert_eq!(state.idle_policy(1_399_999), IdlePolicy::Keep);
    assert_eq!(state.idle_policy(1_400_000), IdlePolicy::CloseWithoutInput);
    // A second drain does not restart the time.
    state.drain(1_300_000);
    assert_eq!(state.idle_policy(1_400_000), IdlePolicy::CloseWithoutInput);
    state.resume();
    assert_eq!(state, ServingState::Serving);
}

#[test]
fn an_ingress_that_was_taken_over_accepts_no_connections_and_closes_none() {
    let mut state = ServingState::default();
    state.on_taken_over();
    assert!(!state.accepts_connections(0) && !state.keeps_connections() && state.is_ready());
    assert_eq!(state.idle_policy(u64::MAX), IdlePolicy::Keep);
    // Calls of operators have no effect in this state.
    state.drain(5);
    state.resume();
    assert_eq!(state, ServingState::TakenOver);
    state.shut_down(10_000_000);
    assert_eq!(state.idle_policy(10_499_999), IdlePolicy::Keep);
    assert_eq!(state.idle_policy(10_500_000), IdlePolicy::CloseAll);
    assert_eq!(state.closes_at(), Some(10_500_000));
}

#[test]
fn an_ingress_that_was_not_taken_over_accepts_connections_for_a_while_after_sigterm() {
    let mut state = ServingState::default();
    state.shut_down(1_000_000);
    assert_eq!(state.idle_policy(1_000_000), IdlePolicy::CloseAll);
    assert!(state.accepts_connections(1_699_999) && !state.accepts_connections(1_700_000));
    state.shut_down(1_500_000);
    assert_eq!(state.closes_at(), Some(1_700_000));
}

proptest! {
    #[test]
    fn no_call_after_sigterm_ends_the_shutdown(calls in prop::collection::vec(0u8..4, 0..20)) {
        let mut state = ServingState::default();
        let (mut now, mut sigterm_at) = (0, None);
        for call in calls {
            now += 100_000;
            match call {
                0 => state.drain(now),
                1 => state.resume(),
                2 => state.on_taken_over(),
                _ => { state.shut_down(now); sigterm_at = sigterm_at.or(Some(now)); }
            }
            prop_assert_eq!(state.is_shutting_down(), sigterm_at.is_some());
            prop_assert!(!state.keeps_connections() || state.is_ready());
            if let (ServingState::Ending { since, .. }, Some(expected)) = (state, sigterm_at) {
                prop_assert_eq!(since, expected);
            }
        }
    }
}
