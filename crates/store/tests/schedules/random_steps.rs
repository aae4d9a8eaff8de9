//! What generators draw: machines, activities, losses.
//!
//! Seeds of schedules that once broke a rule are kept (`FORMERLY_BROKEN` in `main.rs`): the draws and their order must not
//! change.

use super::schedule::{Activity, Direction, Step, Target};
use crate::simulation::random::Random;
use crate::simulation::Millis;

/// The kinds of messages between stores that are lost in turn. "Installed" and "Learn" were kinds of an earlier protocol:
/// without them other kinds would be drawn from the seeds that are kept.
pub const MESSAGE_KINDS: [&str; 12] = [
    "Heartbeat",
    "Prepare",
    "Promise",
    "Refuse",
    "Accept",
    "Accepted",
    "Installed",
    "Write",
    "Written",
    "Confirm",
    "Confirmed",
    "Learn",
];

pub fn target(random: &mut Random) -> Target {
    match random.below(5) {
        0 => Target::Leader,
        1 => Target::Backup,
        2 => Target::Witness,
        _ => Target::Any(random.below(5) as usize),
    }
}

pub fn activity(random: &mut Random) -> Option<Activity> {
    let activities = [
        Activity::CommandInFlight,
        Activity::JustAcknowledged,
        Activity::Reconfiguring,
        Activity::TakingOver,
        Activity::DiskWriting,
    ];
    activities.get(random.below(activities.len() as u64 + 2) as usize).copied()
}

pub fn direction(random: &mut Random) -> Direction {
    [Direction::Both, Direction::Both, Direction::Inbound, Direction::Outbound][random.below(4) as usize]
}

/// A loss of one machine for a time.
pub fn loss(random: &mut Random, target: Target, span: Millis) -> Step {
    match random.below(8) {
        0 | 1 => Step::Kill { target, loses_power: true, down: span },
        2 => Step::Kill { target, loses_power: false, down: span },
        3 | 4 => Step::Wipe { target, down: span },
        5 => Step::Freeze { target, span },
        6 => Step::WipeAndPowerLoss { target, down: 500 + random.below(1_000) },
        _ => Step::Partition { target, direction: direction(random), span },
    }
}
