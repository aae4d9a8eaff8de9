//! Explores the replication of commands with and without the epoch check of receivers.

use crate::explore::{explore, Exploration};
use crate::replication::{Replication, ACKNOWLEDGED, LEADER_HAS_ACKNOWLEDGED, SECOND_EPOCH};

fn explore_replication(model: Replication, depth: usize) -> Exploration {
    explore(model, depth, &[LEADER_HAS_ACKNOWLEDGED])
}

#[test]
fn no_acknowledged_command_is_lost_after_a_replica_set_is_installed() {
    let Exploration { discoveries, states } = explore_replication(Replication::default(), 7);
    assert_eq!(discoveries, [ACKNOWLEDGED]);
    assert!(states > 10_000, "{states}");
}

#[test]
fn no_acknowledged_command_is_lost_while_another_store_takes_over() {
    let model = Replication { starts_in_takeover: true, skips_epoch_check: false };
    let Exploration { discoveries, states } = explore_replication(model, 6);
    assert_eq!(discoveries, [SECOND_EPOCH, ACKNOWLEDGED]);
    assert!(states > 10_000, "{states}");
}

#[test]
fn without_check_of_epochs_an_acknowledged_command_is_lost() {
    let model = Replication { starts_in_takeover: true, skips_epoch_check: true };
    let Exploration { discoveries, .. } = explore_replication(model, 9);
    assert!(discoveries.contains(&LEADER_HAS_ACKNOWLEDGED), "{discoveries:?}");
}
