//! Runs schedules of faults and planned work, drawn by named generators, on simulated stores, and checks the history of
//! the operators' commands.
//!
//! A normal test runs a few hundred. To run more and print how often each fault happened during each activity:
//! `SCHEDULES=20000 cargo test --profile proof -p violetyoke-store --test schedules -- --nocapture`

#![cfg(test)]
#![allow(unreachable_pub, reason = "support modules are public to the tests")]

mod generators;
mod injection;
mod operators;
mod random_steps;
mod runner;
mod schedule;
mod shrink;
#[path = "../simulation/mod.rs"]
mod simulation;
mod statistics;

use generators::{schedule, GENERATORS};
use runner::{run, Violation};
use schedule::{Activity, Schedule, ScheduledStep, Step};
use shrink::{format_trace, shrink};
use statistics::Statistics;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Number of schedules in a normal test.
const DEFAULT_SCHEDULES: u64 = 264;
const THREADS: u64 = 3;

/// A number from an environment variable, with a default.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// A schedule and the index of its generator.
struct NumberedSchedule {
    generator: usize,
    schedule: Schedule,
}

/// The schedule with this number: cycles through the generators, then through three and five machines, first with one
/// generator and then with two combined.
fn schedule_by_number(number: u64) -> NumberedSchedule {
    let generator = (number % GENERATORS.len() as u64) as usize;
    let round = number / GENERATORS.len() as u64;
    let machines = if round.is_multiple_of(2) { 3 } else { 5 };
    NumberedSchedule { generator, schedule: schedule(generator, number, machines, round % 4 >= 2) }
}

/// A schedule that violated a rule.
struct FailedSchedule {
    generator: usize,
    schedule: Schedule,
    violations: Vec<Violation>,
}

/// The results of several schedules.
struct Results {
    /// Indexed by generator.
    statistics: Vec<Statistics>,
    failed: Vec<FailedSchedule>,
}

/// Runs `count` schedules from number `first` on several threads; only those of the wanted generators.
fn run_all(first: u64, count: u64, is_wanted: impl Fn(usize) -> bool + Sync) -> Results {
    let next = AtomicU64::new(first);
    let results =
        Mutex::new(Results { statistics: vec![Statistics::default(); GENERATORS.len()], failed: Vec::new() });
    std::thread::scope(|scope| {
        for _ in 0..setting("THREADS", THREADS) {
            scope.spawn(|| loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= first + count {
                    return;
                }
                let NumberedSchedule { generator, schedule } = schedule_by_number(number);
                if !is_wanted(generator) {
                    continue;
                }
                let result = run(&schedule);
                let mut results = results.lock().expect("no panic");
                results.statistics[generator].add(&result.statistics);
                if !result.violations.is_empty() {
                    results.failed.push(FailedSchedule {
                        generator,
                        schedule,
                        violations: result.violations,
                    });
                }
            });
        }
    });
    results.into_inner().expect("no panic")
}

/// Prints statistics and the shortened traces of failed schedules, and asserts that no schedule violated a rule.
fn assert_no_violations(results: Results) {
    let Results { statistics, mut failed } = results;
    for ((name, _), statistics) in GENERATORS.iter().zip(&statistics).filter(|(_, it)| it.schedules > 0) {
        println!("{name}: {statistics}");
    }
    failed.sort_by_key(|failed| failed.schedule.seed);
    for FailedSchedule { generator, schedule, violations } in
        failed.iter().take(setting("TRACES", 6) as usize)
    {
        let shortest = shrink(schedule, violations[0].rule);
        println!("{}: VIOLATED {violations:?}\n    {}", GENERATORS[*generator].0, format_trace(&shortest));
    }
    let mut rules: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for FailedSchedule { generator, violations, .. } in &failed {
        *rules.entry((GENERATORS[*generator].0, violations[0].rule)).or_default() += 1;
    }
    let count: u64 = statistics.iter().map(|statistics| statistics.schedules).sum();
    assert!(failed.is_empty(), "{} of {count} schedules violated a rule: {rules:?}", failed.len());
}

/// Whether an environment variable lists this value (separated by commas) or is not set.
fn is_selected(variable: &str, value: &str) -> bool {
    std::env::var(variable).ok().is_none_or(|selected| selected.split(',').any(|item| item == value))
}

#[test]
fn schedules_of_all_generators_violate_no_rule() {
    let (first, count) = (setting("FIRST", 0), setting("SCHEDULES", DEFAULT_SCHEDULES));
    let results = run_all(first, count, |generator| is_selected("GENERATOR", GENERATORS[generator].0));
    assert_no_violations(results);
}

/// Seeds of schedules that once violated a rule, by cause.
const REGRESSION_SEEDS: [(&str, &[u64]); 9] = [
    ("a returned voter led without a vote", &[353, 969, 1695]),
    ("a store shut down before it was replaced as a voter", &[49, 137, 821]),
    ("an unreachable voter was replaced too late", &[242, 248, 865, 1172, 1354, 1529, 1834]),
    ("a partitioned leader confirmed what it had not committed", &[2931]),
    ("voters were never replaced while commands were in flight", &[10103, 12478, 18068, 22822, 23345]),
    ("candidates preempted each other because of a slow disk", &[19040, 23300]),
    ("a restarted store knew only the seeds", &[10024]),
    ("a new voter abandoned each election because of its own older configuration", &[117, 161]),
    ("a backup became a candidate while its leader's slow disk delayed the next epoch", &[17141]),
];

#[test]
fn schedules_that_once_violated_a_rule_violate_none() {
    for (cause, seeds) in REGRESSION_SEEDS {
        for seed in seeds {
            let violations = run(&schedule_by_number(*seed).schedule).violations;
            assert_eq!(violations, [], "seed {seed}: {cause}");
        }
    }
}

/// A fault that a generator has to inject during an activity.
struct Coverage {
    generator: &'static str,
    step: &'static str,
    during: Activity,
}

const COVERAGE: [Coverage; 8] = [
    Coverage { generator: "partition", step: "Partition", during: Activity::CommandInFlight },
    Coverage { generator: "contested-versions", step: "ContestVersion", during: Activity::CommandInFlight },
    Coverage { generator: "second-loss-after-replacement", step: "Kill", during: Activity::NewcomerCaughtUp },
    Coverage { generator: "second-loss-after-replacement", step: "Wipe", during: Activity::NewcomerCaughtUp },
    Coverage { generator: "planned-replacement", step: "Terminate", during: Activity::NewcomerCaughtUp },
    Coverage { generator: "shutdown-during-takeover", step: "Terminate", during: Activity::TakingOver },
    Coverage { generator: "slow-and-stalled-disks", step: "KillAll", during: Activity::DiskWriting },
    Coverage { generator: "all-down", step: "KillAll", during: Activity::CommandInFlight },
];

#[test]
fn generators_inject_faults_during_the_intended_activities() {
    let Results { statistics, .. } = run_all(0, DEFAULT_SCHEDULES, |_| true);
    for Coverage { generator, step, during } in COVERAGE {
        let index = GENERATORS.iter().position(|(name, _)| *name == generator).expect("a generator");
        let times = statistics[index].count_during(step, during);
        assert!(
            times >= 3,
            "{generator}: {step} happened during {during:?} {times} times in {DEFAULT_SCHEDULES}"
        );
    }
}

#[test]
fn history_check_detects_losses_caused_by_skipped_syncs() {
    let mut found = 0;
    for seed in 0..20 {
        let power_loss = Step::KillAll { loses_power: true, down: 400 };
        // A loss is not visible if a higher version replaces the lost one before a read, so power is lost several
        // times.
        let steps = vec![ScheduledStep::new(3_000, None, power_loss); 6];
        let schedule = Schedule { seed, machines: 3, fault_tolerance: 1, steps };
        assert_eq!(run(&schedule).violations, [], "seed {seed}: with disks that sync");
        let mut skipping = schedule.clone();
        skipping.steps.insert(0, ScheduledStep::new(500, None, Step::SkipSyncs));
        let violations = run(&skipping).violations;
        found += usize::from(violations.iter().any(|violation| violation.rule == "linearizability"));
    }
    assert_eq!(found, 20, "negative control: some losses went undetected");
}
