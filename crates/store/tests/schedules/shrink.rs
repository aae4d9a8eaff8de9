//! The shortest part of a schedule found that still breaks the same rule, and its trace.

use super::runner::{run, RunResult};
use super::schedule::Schedule;

/// Leaves out each step without which the rule is still broken.
pub fn shrink(schedule: &Schedule, rule: &str) -> Schedule {
    let mut shortest = schedule.clone();
    for index in (0..schedule.steps.len()).rev() {
        let mut shorter = shortest.clone();
        let left_out = shorter.steps.remove(index);
        // What follows comes at the same time as before.
        if let Some(next) = shorter.steps.get_mut(index) {
            next.after += left_out.after;
        }
        if breaks(&run(&shorter), rule) {
            shortest = shorter;
        }
    }
    shortest
}

fn breaks(result: &RunResult, rule: &str) -> bool {
    result.violations.iter().any(|violation| violation.rule == rule)
}

/// A schedule, one step a line.
pub fn format_trace(schedule: &Schedule) -> String {
    let steps = schedule.steps.iter().map(|scheduled| {
        let during = scheduled.during.map_or(String::new(), |activity| format!(", during {activity:?}"));
        format!("\n      {} ms later{during}: {:?}", scheduled.after, scheduled.step)
    });
    format!("seed {}, {} machines:{}", schedule.seed, schedule.machines, steps.collect::<String>())
}
