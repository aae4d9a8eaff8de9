//! Random targets, activities and losses for the generators.
//!
//! The random draws and their order must not change, because tests keep the seeds of schedules that once violated a
//! rule (`REGRESSION_SEEDS` in `main.rs`).

use super::schedule::{Activity, Direction, Step, Target};
use crate::simulation::random::Random;
use crate::simulation::Millis;

/// Kinds of messages between stores that generators may lose. "Installed" and "Learn" belong to an earlier protocol;
/// they stay so that the kept seeds draw the same kinds.
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

/// A temporary fault of one machine: a crash, a wiped disk, a freeze or a partition.
pub fn machine_fault(random: &mut Random, target: Target, span: Millis) -> Step {
    match random.below(8) {
        0 | 1 => Step::Kill { target, loses_power: true, down: span },
        2 => Step::Kill { target, loses_power: false, down: span },
        3 | 4 => Step::Wipe { target, down: span },
        5 => Step::Freeze { target, span },
        6 => Step::WipeAndPowerLoss { target, down: 500 + random.below(1_000) },
        _ => Step::Partition { target, direction: direction(random), span },
    }
}
