//! The tally is shown decisions with one rule taken out at a time, and reports that rule.

mod common;

use common::{changed, with};
use violetyoke_decision::interface::Micros;
use violetyoke_lab::experiment::Experiment;
use violetyoke_lab::outcome::Outcome;
use violetyoke_lab::rule_checker::Violations;
use violetyoke_lab::world::{Policy, Sabotage, World};

/// Nodes go and come, some answer late or with an error, connections break, and the counter is silent for a while:
/// each rule has its occasion.
const TROUBLE: &str = r#"
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

fn play(experiment: &Experiment, sabotage: Option<Sabotage>) -> Outcome {
    let world = World::new(experiment, 3, Policy::Module);
    match sabotage {
        Some(sabotage) => world.sabotaged(sabotage).play(),
        None => world.play(),
    }
}

fn troubled() -> Experiment {
    with(TROUBLE)
}

#[test]
fn the_shipped_decisions_keep_all_rules_through_it() {
    let outcome = play(&troubled(), None);
    assert_eq!(outcome.violations, Violations::default());
    assert!(outcome.served.tries > 250, "{:?}", outcome.shares());
}

#[test]
fn each_rule_that_is_taken_out_is_reported_and_no_other_hides_it() {
    let experiment = troubled();
    let told = |sabotage| play(&experiment, Some(sabotage)).violations;
    assert!(told(Sabotage::Patience).unanswered > 0);
    assert!(told(Sabotage::AnswersTwice).answered_again > 0);
    assert!(told(Sabotage::SendsTwice).copies > 0);
    assert!(told(Sabotage::AllSafe).ran_twice > 0);
    assert!(told(Sabotage::BlindToDrains).after_drain > 0);
    assert!(told(Sabotage::NoCeilings).past_ceiling > 0.0);
}

#[test]
fn a_fleet_that_takes_cold_nodes_for_warm_pushes_them_over() {
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
    let own = play(&experiment, None).violations;
    let blind = play(&experiment, Some(Sabotage::BlindToCold)).violations;
    assert_eq!((own.pushed_over, blind.pushed_over > 0), (0, true), "{blind:?}");
}
