//! Explores reconfigurations with and without the checks that make them safe.

use crate::explore::{explore, Exploration};
use crate::reconfiguration::{
    Reconfiguration, StartPoint, Steps, ACKNOWLEDGED, LEADER_HAS_ACKNOWLEDGED, ONE_LEADER, RETURNED_LEADS,
};
use violetyoke_store::consensus::SafetyChecks;

fn explore_reconfiguration(model: Reconfiguration, depth: usize) -> Exploration {
    explore(model, depth, &[LEADER_HAS_ACKNOWLEDGED, ONE_LEADER])
}

fn with_all_checks(start: StartPoint, steps: Steps) -> Reconfiguration {
    Reconfiguration { checks: SafetyChecks::default(), start, steps }
}

#[test]
fn reconfiguration_loses_no_command_whichever_store_dies_shuts_down_or_takes_over() {
    let model = with_all_checks(StartPoint::Accepted, Steps::All);
    let Exploration { discoveries, states } = explore_reconfiguration(model, 6);
    assert_eq!(discoveries, [ACKNOWLEDGED]);
    assert!(states > 10_000, "{states}");
}

#[test]
fn reconfiguration_loses_no_command_in_any_order_of_its_messages() {
    let model = with_all_checks(StartPoint::Proposed, Steps::DeliveriesOnly);
    let Exploration { discoveries, states } = explore_reconfiguration(model, 9);
    assert_eq!(discoveries, [ACKNOWLEDGED]);
    assert!(states > 2_000, "{states}");
}

#[test]
fn reconfiguration_loses_no_command_while_the_replaced_voter_takes_over() {
    let model = with_all_checks(StartPoint::Returned, Steps::DeliveriesOnly);
    let Exploration { discoveries, states } = explore_reconfiguration(model, 10);
    assert_eq!(discoveries, [RETURNED_LEADS]);
    assert!(states > 1_000, "{states}");
}

#[test]
fn without_majority_of_previous_voters_an_acknowledged_command_is_lost() {
    let checks = SafetyChecks { previous_majorities: false, ..SafetyChecks::default() };
    let start = StartPoint::Returned;
    let model = Reconfiguration { checks, start, steps: Steps::DeliveriesOnly };
    let Exploration { discoveries, .. } = explore_reconfiguration(model, 10);
    assert!(discoveries.contains(&LEADER_HAS_ACKNOWLEDGED), "{discoveries:?}");
}
