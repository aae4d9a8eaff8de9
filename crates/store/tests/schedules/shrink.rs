//! Shrinks a schedule to steps that still violate the same rule, and prints them.

use super::runner::{run, RunResult};
use super::schedule::Schedule;

/// Removes each step without which the schedule still violates the rule.
pub fn shrink(schedule: &Schedule, rule: &str) -> Schedule {
    let mut shortest = schedule.clone();
    for index in (0..schedule.steps.len()).rev() {
        let mut shorter = shortest.clone();
        let removed = shorter.steps.remove(index);
        // The following steps keep their times.
        if let Some(next) = shorter.steps.get_mut(index) {
            next.after += removed.after;
        }
        if violates(&run(&shorter), rule) {
            shortest = shorter;
        }
    }
    shortest
}

fn violates(result: &RunResult, rule: &str) -> bool {
    result.violations.iter().any(|violation| violation.rule == rule)
}

/// Formats a schedule with one step per line.
pub fn format_trace(schedule: &Schedule) -> String {
    let steps = schedule.steps.iter().map(|scheduled| {
        let during = scheduled.during.map_or(String::new(), |activity| format!(", during {activity:?}"));
        format!("\n      {} ms later{during}: {:?}", scheduled.after, scheduled.step)
    });
    format!("seed {}, {} machines:{}", schedule.seed, schedule.machines, steps.collect::<String>())
}
