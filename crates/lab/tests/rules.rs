//! The rule checker reports no violation of the production decisions, and each defect that is injected into them.

mod common;

use common::{changed, with};
use violetyoke_decision::interface::Micros;
use violetyoke_lab::experiment::Experiment;
use violetyoke_lab::outcome::Outcome;
use violetyoke_lab::rule_checker::Violations;
use violetyoke_lab::world::{InjectedDefect, Policy, World};

/// Nodes are replaced and killed, some answer late or with errors, and the counter doesn't answer for some time, so
/// that every rule can be violated.
const FAULTS: &str = r#"
[[fault]]
kind = "replace_nodes"
part = 0.5
at_seconds = 3
over_seconds = 3

[[fault]]
kind = "kill_nodes"
part = 0.6
at_seconds = 7
for_seconds = 0.5

[[fault]]
kind = "fail_nodes"
part = 0.5
by = 0.5
at_seconds = 5
for_seconds = 4

[[fault]]
kind = "silence_counter"
at_seconds = 4
for_seconds = 5

[[fault]]
kind = "slow_nodes"
part = 0.4
by = 30
at_seconds = 9
for_seconds = 3
"#;

fn simulate(experiment: &Experiment, defect: Option<InjectedDefect>) -> Outcome {
    let world = World::new(experiment, 3, Policy::Module);
    match defect {
        Some(defect) => world.with_defect(defect).run(),
        None => world.run(),
    }
}

fn experiment_with_faults() -> Experiment {
    with(FAULTS)
}

#[test]
fn production_decisions_violate_no_rule_during_faults() {
    let outcome = simulate(&experiment_with_faults(), None);
    assert_eq!(outcome.violations, Violations::default());
    assert!(outcome.served.tries > 250, "{:?}", outcome.shares());
}

#[test]
fn each_injected_defect_is_reported() {
    let experiment = experiment_with_faults();
    let violations_with = |defect| simulate(&experiment, Some(defect)).violations;
    assert!(violations_with(InjectedDefect::ExtendedDeadlines).unanswered > 0);
    assert!(violations_with(InjectedDefect::DuplicateAnswers).answered_again > 0);
    assert!(violations_with(InjectedDefect::DuplicateAttempts).copies > 0);
    assert!(violations_with(InjectedDefect::AllIdempotent).ran_twice > 0);
    assert!(violations_with(InjectedDefect::HiddenDrains).after_drain > 0);
    assert!(violations_with(InjectedDefect::NoHardLimits).past_ceiling > 0.0);
}

#[test]
fn nodes_in_slow_start_are_overloaded_only_without_slow_start_limits() {
    let seconds = |seconds: Micros| seconds * 1_000_000;
    let mut experiment = changed(
        &[
            ("tries_per_second = 260", "tries_per_second = 800"),
            ("accounts = 40", "accounts = 300"),
            ("calls_per_second = 400", "calls_per_second = 4000"),
        ],
        r#"
[[fault]]
kind = "kill_nodes"
part = 0.5
at_seconds = 5
for_seconds = 0.5
"#,
    );
    experiment.settings.safety.slow_start_share = 0.2;
    experiment.settings.safety.slow_start_time = seconds(8);
    experiment.settings.safety.overload_multiple = 1.2;
    let correct = simulate(&experiment, None).violations;
    let defective = simulate(&experiment, Some(InjectedDefect::NoSlowStart)).violations;
    assert_eq!((correct.pushed_over, defective.pushed_over > 0), (0, true), "{defective:?}");
}
