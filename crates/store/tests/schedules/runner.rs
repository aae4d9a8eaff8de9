//! Runs a schedule: operators send commands, and each step is carried out at its time, with no more machines lost at
//! once than the cluster tolerates.

use super::operators::{Operator, Workload};
use super::schedule::{Activity, Schedule, ScheduledStep, Step, ACTIVITIES};
use super::statistics::Statistics;
use crate::simulation::events::Scheduled;
use crate::simulation::linearizability::check;
use crate::simulation::{Cluster, Millis};
use std::collections::BTreeMap;

/// A machine that has come back or is new counts as lost for this long.
pub const CATCH_UP: Millis = 4_000;
/// The stores have to be available again this long after the last fault or its end.
const SETTLING_TIME: Millis = 1_000;
/// A step waits at most this long for its activity, and at most `LOSS_TIMEOUT` until one more loss is tolerated.
const ACTIVITY_TIMEOUT: Millis = 1_500;
const LOSS_TIMEOUT: Millis = 30_000;
/// By this time the first replica set is installed and newcomers can join.
const START_TIME: Millis = 5_000;
const READ_TIMEOUT: Millis = 20_000;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub rule: &'static str,
    pub detail: String,
}

/// A period in which machines or links were disturbed.
struct Disturbance {
    from: Millis,
    until: Millis,
}

/// The state of the operators and their workload.
#[derive(Default)]
pub struct OperatorState {
    pub operators: Vec<Operator>,
    /// The highest version sent so far.
    pub last_version: u64,
    /// Additional length of texts in bytes, and the number of commands that still follow without a pause.
    pub padding: usize,
    pub burst: u64,
    /// No operator starts another command.
    pub is_stopped: bool,
}

/// Which machines are lost, and which replace them.
#[derive(Default)]
pub struct Losses {
    /// For each machine, the time until which it counts as lost.
    pub lost_until: BTreeMap<usize, Millis>,
    /// The machine of the last loss or termination.
    pub last_target: usize,
    /// The machine that was added last.
    pub newcomer: Option<usize>,
    /// Added machines that have not replaced another machine yet.
    pub spares: Vec<usize>,
    disturbances: Vec<Disturbance>,
}

pub struct Runner {
    pub cluster: Cluster,
    pub operators: OperatorState,
    pub losses: Losses,
    pub statistics: Statistics,
    violations: Vec<Violation>,
    /// Number of machines at the start, to which the fault tolerance applies.
    machines: usize,
    fault_tolerance: usize,
}

/// The result of a schedule.
pub struct RunResult {
    pub statistics: Statistics,
    pub violations: Vec<Violation>,
}

pub fn run(schedule: &Schedule) -> RunResult {
    let mut runner = Runner::new(schedule);
    runner.run_for(START_TIME);
    for scheduled in &schedule.steps {
        runner.step(scheduled);
    }
    runner.finish()
}

impl Runner {
    fn new(schedule: &Schedule) -> Runner {
        let mut cluster = Cluster::new(schedule.seed, schedule.machines, schedule.fault_tolerance);
        let operators: Vec<Operator> = Workload::ALL.into_iter().map(Operator::new).collect();
        for operator in 0..operators.len() {
            cluster.schedule(100 + operator as Millis, Scheduled::OperatorTurn { operator });
        }
        Runner {
            cluster,
            operators: OperatorState { operators, ..OperatorState::default() },
            losses: Losses::default(),
            statistics: Statistics::for_one_schedule(),
            violations: Vec::new(),
            machines: schedule.machines,
            fault_tolerance: schedule.fault_tolerance as usize,
        }
    }

    pub fn report(&mut self, rule: &'static str, detail: &str) {
        let detail = format!("{} ms: {detail}", self.cluster.now);
        self.violations.push(Violation { rule, detail });
    }

    /// Runs the cluster for some time, and the operators whenever their turns are due.
    fn run_for(&mut self, span: Millis) {
        let end = self.cluster.now + span;
        while self.cluster.now < end {
            self.cluster.run_for(1);
            for operator in std::mem::take(&mut self.cluster.due_operators) {
                self.take_turn(operator);
            }
        }
    }

    fn step(&mut self, scheduled: &ScheduledStep) {
        self.run_for(scheduled.after);
        if !self.wait_for(LOSS_TIMEOUT, |runner| runner.is_tolerated(&scheduled.step)) {
            self.statistics.skipped += 1;
            return;
        }
        if let Some(activity) = scheduled.during {
            let is_newcomer = activity == Activity::NewcomerCaughtUp;
            let timeout = if is_newcomer { CATCH_UP * 2 } else { ACTIVITY_TIMEOUT };
            self.wait_for(timeout, |runner| runner.is_in_progress(activity));
        }
        let lacks_target = scheduled.step.lost_target().is_some_and(|target| self.resolve(target).is_none());
        if lacks_target || !self.is_tolerated(&scheduled.step) {
            self.statistics.skipped += 1;
            return;
        }
        let during: Vec<Activity> =
            ACTIVITIES.into_iter().filter(|activity| self.is_in_progress(*activity)).collect();
        self.statistics.on_step(scheduled.step.name(), &during);
        self.carry_out(&scheduled.step);
    }

    /// Runs until a condition holds, at most for the time-out. Returns whether it holds.
    fn wait_for(&mut self, timeout: Millis, condition: impl Fn(&Runner) -> bool) -> bool {
        let deadline = self.cluster.now + timeout;
        while !condition(self) && self.cluster.now < deadline {
            self.run_for(1);
        }
        condition(self)
    }

    /// Whether the cluster tolerates the losses after this step.
    fn is_tolerated(&self, step: &Step) -> bool {
        if let Step::Terminate { target } = step {
            return self.may_terminate(*target);
        }
        let Some(target) = step.lost_target().and_then(|target| self.resolve(target)) else { return true };
        let is_lost = |(n, until): &(&usize, &Millis)| **n != target && **until > self.cluster.now;
        self.losses.lost_until.iter().filter(is_lost).count() < self.fault_tolerance
    }

    /// Records a disturbance.
    pub fn disturb(&mut self, from: Millis, until: Millis) {
        self.losses.disturbances.push(Disturbance { from, until });
    }

    /// Whether more than half of the original number of machines run and are connected, with no recent disturbance.
    pub fn must_be_available(&self) -> bool {
        let now = self.cluster.now;
        let is_recent =
            |disturbance: &Disturbance| disturbance.from <= now && now < disturbance.until + SETTLING_TIME;
        if self.losses.disturbances.iter().any(is_recent) || !self.cluster.network.is_healthy() {
            return false;
        }
        let machines = &self.cluster.machines;
        let is_newcomer = |n: usize| n >= self.machines && now < machines[n].started_at + CATCH_UP;
        let is_running =
            |n: &usize| self.cluster.is_up(*n) && now >= machines[*n].frozen_until && !is_newcomer(*n);
        let running: Vec<usize> = (0..machines.len()).filter(is_running).collect();
        let connected =
            |n: &usize| running.iter().filter(|other| self.cluster.network.is_connected(*n, **other)).count();
        running.iter().map(connected).max().unwrap_or(0) * 2 > self.machines
    }

    /// Ends all faults, reads, and checks the history.
    fn finish(mut self) -> RunResult {
        self.run_for(2_000);
        let ends = self.losses.lost_until.values().copied().filter(|until| *until < Millis::MAX);
        let last = ends.max().unwrap_or(0);
        let now = self.cluster.now;
        self.run_for(last.saturating_sub(now).min(30_000));
        self.operators.is_stopped = true;
        self.run_for(1_000);
        if !self.cluster.read_until_answered(READ_TIMEOUT) {
            self.report("availability", "no store answers at the end");
        }
        self.check_history();
        RunResult { statistics: self.statistics, violations: self.violations }
    }

    fn check_history(&mut self) {
        for violation in std::mem::take(&mut self.cluster.violations) {
            self.report("stale or unknown", &violation);
        }
        for version in self.cluster.history.ambiguous_versions() {
            self.report("one text", &format!("two texts were confirmed or read under {version}"));
        }
        for version in self.cluster.history.rejected_though_acknowledged() {
            self.report("rejected", &format!("{version} was acknowledged and rejected"));
        }
        if let Err(error) = check(&self.cluster.history.operations) {
            let detail: String = format!("{error:?}").chars().take(300).collect();
            self.report("linearizability", &detail);
        }
    }
}
