//! Coverage of schedules: how often each step happened during each activity, and how long commands took.

use super::schedule::{Activity, ACTIVITIES};
use crate::simulation::Millis;
use std::collections::BTreeMap;
use std::fmt;

/// How often one kind of step happened.
#[derive(Clone, Debug, Default)]
struct StepCount {
    total: u64,
    during: BTreeMap<Activity, u64>,
}

/// Sums over several schedules.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    pub schedules: u64,
    /// Commands that operators gave up.
    pub given_up: u64,
    /// Steps that were skipped because they would have exceeded the tolerated losses or had no target.
    pub skipped: u64,
    steps: BTreeMap<String, StepCount>,
    /// Commands and reads that were answered, and the longest time until an answer.
    operations: u64,
    longest: Millis,
}

impl Statistics {
    pub fn for_one_schedule() -> Statistics {
        Statistics { schedules: 1, ..Statistics::default() }
    }

    pub fn on_answered(&mut self, took: Millis) {
        self.operations += 1;
        self.longest = self.longest.max(took);
    }

    pub fn on_step(&mut self, name: String, during: &[Activity]) {
        let count = self.steps.entry(name).or_default();
        count.total += 1;
        for activity in during {
            *count.during.entry(*activity).or_default() += 1;
        }
    }

    pub fn add(&mut self, other: &Statistics) {
        self.schedules += other.schedules;
        self.given_up += other.given_up;
        self.skipped += other.skipped;
        self.operations += other.operations;
        self.longest = self.longest.max(other.longest);
        for (name, other) in &other.steps {
            let count = self.steps.entry(name.clone()).or_default();
            count.total += other.total;
            for (activity, times) in &other.during {
                *count.during.entry(*activity).or_default() += times;
            }
        }
    }

    /// How often a step happened during an activity.
    pub fn count_during(&self, step: &str, activity: Activity) -> u64 {
        self.steps.get(step).and_then(|count| count.during.get(&activity)).copied().unwrap_or(0)
    }
}

impl fmt::Display for Statistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} schedules, {} commands and reads answered, ", self.schedules, self.operations)?;
        write!(f, "the longest after {} ms; {} given up; ", self.longest, self.given_up)?;
        writeln!(f, "{} steps skipped", self.skipped)?;
        write!(f, "    {:18} {:>7}", "step", "times")?;
        for activity in ACTIVITIES {
            write!(f, " {:>16}", format!("{activity:?}"))?;
        }
        for (name, count) in &self.steps {
            write!(f, "\n    {name:18} {:>7}", count.total)?;
            for activity in ACTIVITIES {
                write!(f, " {:>16}", count.during.get(&activity).copied().unwrap_or(0))?;
            }
        }
        Ok(())
    }
}
