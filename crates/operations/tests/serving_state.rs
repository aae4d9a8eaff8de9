//! What an ingress's state means for its clients' connections.

use proptest::prelude::*;
use violetyoke_operations::{IdlePolicy, ServingState};

#[test]
fn a_draining_ingress_serves_until_clients_have_noticed() {
    let mut state = ServingState::default();
    assert!(state.is_ready() && state.keeps_connections());
    state.drain(1_000_000);
    assert!(!state.is_ready() && !state.keeps_connections() && state.accepts_connections(1_000_000));
    assert_eq!(state.idle_policy(1_399_999), IdlePolicy::Keep);
    assert_eq!(state.idle_policy(1_400_000), IdlePolicy::CloseWithoutInput);
    // A second call does not begin anew.
    state.drain(1_300_000);
    assert_eq!(state.idle_policy(1_400_000), IdlePolicy::CloseWithoutInput);
    state.resume();
    assert_eq!(state, ServingState::Serving);
}

#[test]
fn an_ingress_that_was_taken_over_accepts_nothing_and_drops_no_connection() {
    let mut state = ServingState::default();
    state.on_taken_over();
    assert!(!state.accepts_connections(0) && !state.keeps_connections() && state.is_ready());
    assert_eq!(state.idle_policy(u64::MAX), IdlePolicy::Keep);
    // Neither call is for it any more.
    state.drain(5);
    state.resume();
    assert_eq!(state, ServingState::TakenOver);
    state.shut_down(10_000_000);
    assert_eq!(state.idle_policy(10_499_999), IdlePolicy::Keep);
    assert_eq!(state.idle_policy(10_500_000), IdlePolicy::CloseAll);
    assert_eq!(state.closes_at(), Some(10_500_000));
}

#[test]
fn an_ingress_without_successor_accepts_connections_a_while_after_sigterm() {
    let mut state = ServingState::default();
    state.shut_down(1_000_000);
    assert_eq!(state.idle_policy(1_000_000), IdlePolicy::CloseAll);
    assert!(state.accepts_connections(1_699_999) && !state.accepts_connections(1_700_000));
    state.shut_down(1_500_000);
    assert_eq!(state.closes_at(), Some(1_700_000));
}

proptest! {
    #[test]
    fn a_shutdown_is_final_whatever_is_called_after(calls in prop::collection::vec(0u8..4, 0..20)) {
        let mut state = ServingState::default();
        let (mut now, mut ended) = (0, None);
        for call in calls {
            now += 100_000;
            match call {
                0 => state.drain(now),
                1 => state.resume(),
                2 => state.on_taken_over(),
                _ => { state.shut_down(now); ended = ended.or(Some(now)); }
            }
            prop_assert_eq!(state.is_shutting_down(), ended.is_some());
            prop_assert!(!state.keeps_connections() || state.is_ready());
            if let (ServingState::Ending { since, .. }, Some(at)) = (state, ended) {
                prop_assert_eq!(since, at);
            }
        }
    }
}
