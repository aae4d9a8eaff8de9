//! What is found in a change of voters, with and without the rules that keep it safe.

use crate::change::{Change, Start, Step, ACKNOWLEDGED, LOST};
use stateright::{Checker, Model};
use violetyoke_store::consensus::SafetyChecks;

/// What is found within so many steps, and how many states were looked at; a loss is printed step by step.
fn found(change: Change, depth: usize) -> (Vec<&'static str>, usize) {
    let checker = change.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("a change of voters: states={} depth={}", checker.unique_state_count(), checker.max_depth());
    let discoveries = checker.discoveries();
    for name in [LOST, "one store leads under an epoch"] {
        for (moment, step) in discoveries.get(name).into_iter().flat_map(|path| path.clone().into_vec()) {
            let Some(step) = step else { break };
            match step {
                Step::Deliver(place) => {
                    let (to, envelope) = &moment.envelopes[place];
                    println!("  {} to {to}: {:?}", envelope.from.ip, envelope.message);
                }
                other => println!("  {other:?}"),
            }
        }
    }
    let mut found: Vec<&str> = discoveries.into_keys().collect();
    found.sort_unstable();
    (found, checker.unique_state_count())
}

#[test]
fn a_change_of_voters_loses_nothing_whoever_dies_returns_or_takes_over() {
    let change = Change { checks: SafetyChecks::default(), start: Start::Accepted, deliveries: false };
    let (found, states) = found(change, 6);
    assert_eq!(found, [ACKNOWLEDGED]);
    assert!(states > 10_000, "{states}");
}

#[test]
fn a_change_of_voters_loses_nothing_in_any_order_of_its_messages() {
    let change = Change { checks: SafetyChecks::default(), start: Start::Offered, deliveries: true };
    let (found, states) = found(change, 9);
    assert_eq!(found, [ACKNOWLEDGED]);
    assert!(states > 2_000, "{states}");
}

#[test]
fn a_change_of_voters_loses_nothing_while_the_silent_one_takes_over() {
    let change = Change { checks: SafetyChecks::default(), start: Start::Returned, deliveries: true };
    let (found, states) = found(change, 10);
    assert_eq!(found, ["the one that returned leads"]);
    assert!(states > 1_000, "{states}");
}

#[test]
fn without_the_majority_of_the_voters_before_an_acknowledged_order_is_lost() {
    let checks = SafetyChecks { previous_majorities: false, ..SafetyChecks::default() };
    let (found, _) = found(Change { checks, start: Start::Returned, deliveries: true }, 10);
    assert!(found.contains(&LOST), "{found:?}");
}
