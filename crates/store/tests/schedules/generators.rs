//! Named generators of schedules: at least one for each of the five points of docs/design/control-safety.md, and one
//! for each other kind of fault.

use super::random_steps::{activity, direction, machine_fault, target, MESSAGE_KINDS};
use super::schedule::{Activity, Schedule, ScheduledStep, Step, Target};
use crate::simulation::random::Random;
use crate::simulation::Millis;

/// Draws the steps of one schedule.
type Generator = fn(&mut Random) -> Vec<ScheduledStep>;

pub const GENERATORS: [(&str, Generator); 11] = [
    ("partition", partition),
    ("partition-and-replacement", partition_and_replacement),
    ("contested-versions", contested_versions),
    ("second-loss-after-replacement", second_loss_after_replacement),
    ("planned-replacement", planned_replacement),
    ("shutdown-during-takeover", shutdown_during_takeover),
    ("many-changes", many_changes),
    ("lost-messages", lost_messages),
    ("slow-and-stalled-disks", slow_and_stalled_disks),
    ("slow-links", slow_links),
    ("all-down", all_down),
];

/// Draws a schedule of a generator. If `is_combined`, the steps of a second generator are inserted at random positions.
pub fn schedule(generator: usize, seed: u64, machines: usize, is_combined: bool) -> Schedule {
    let mut random = Random(seed.wrapping_mul(31).wrapping_add(generator as u64));
    let mut steps = GENERATORS[generator].1(&mut random);
    if is_combined {
        let other = random.below(GENERATORS.len() as u64) as usize;
        let other_steps = GENERATORS[other].1(&mut random);
        for step in other_steps {
            let index = random.below(steps.len() as u64 + 1) as usize;
            steps.insert(index, step);
        }
    }
    Schedule { seed, machines, fault_tolerance: (machines as u32 - 1) / 2, steps }
}

/// Point 1: a machine is partitioned from the other stores for 20 s while clients still reach it.
fn partition(random: &mut Random) -> Vec<ScheduledStep> {
    let (first, direction) = (target(random), direction(random));
    let partition = Step::Partition { target: first, direction, span: 20_000 };
    let mut steps = vec![ScheduledStep::new(random.below(500), activity(random), partition)];
    let (other, delay, span) = (target(random), random.within(500..18_000), random.within(500..4_000));
    let all = Step::KillAll { loses_power: random.one_in(2), down: 300 + random.below(1_000) };
    let meanwhile = if random.one_in(3) { all } else { machine_fault(random, other, span) };
    steps.push(ScheduledStep::new(delay, activity(random), meanwhile));
    // The partitioned machine is lost shortly after its return.
    let returned = machine_fault(random, Target::Last, 1_500);
    steps.push(ScheduledStep::new(random.within(1..4_000), activity(random), returned));
    steps
}

/// A partitioned machine is replaced as a voter and returns afterwards.
fn partition_and_replacement(random: &mut Random) -> Vec<ScheduledStep> {
    let old = target(random);
    let span = random.within(14_000..24_000);
    let direction = direction(random);
    let after = machine_fault(random, Target::Newcomer, 2_000);
    let third = target(random);
    let third = machine_fault(random, third, 2_000);
    vec![
        ScheduledStep::new(0, None, Step::Add),
        ScheduledStep::new(
            random.below(6_000),
            activity(random),
            Step::Partition { target: old, direction, span },
        ),
        ScheduledStep::new(span + random.within(10..1_000), activity(random), after),
        ScheduledStep::new(random.below(3_000), activity(random), third),
    ]
}

/// Point 2: two texts under one version, lost replies, and commands that are repeated after a change of leader.
fn contested_versions(random: &mut Random) -> Vec<ScheduledStep> {
    let mut steps = Vec::new();
    for _ in 0..4 {
        let pending = Some(Activity::CommandInFlight);
        let span = random.within(300..3_000);
        let lost = machine_fault(random, Target::Leader, span);
        let fault = match random.below(4) {
            0 => Step::KillAll { loses_power: random.one_in(2), down: 400 },
            1 => Step::LoseReplies { percent: 70, span: 3_000 },
            _ => lost,
        };
        steps.push(ScheduledStep::new(random.below(1_500), None, Step::ContestVersion));
        steps.push(ScheduledStep::new(random.below(8), pending, fault));
    }
    steps
}

/// Point 3: a machine is replaced without notice, and another is lost as soon as the newcomer has had time to catch up.
fn second_loss_after_replacement(random: &mut Random) -> Vec<ScheduledStep> {
    let (first, second) = (target(random), target(random));
    let span = random.within(3_000..16_000);
    let second = machine_fault(random, second, span);
    let third = machine_fault(random, Target::Leader, 3_000);
    vec![
        ScheduledStep::new(random.below(1_000), activity(random), Step::Remove { target: first }),
        ScheduledStep::new(random.within(300..1_500), None, Step::Add),
        ScheduledStep::new(0, Some(Activity::NewcomerCaughtUp), second),
        ScheduledStep::new(OBSERVATION_TIME, activity(random), third),
    ]
}

/// Long enough for operators to notice whether commands are acknowledged.
const OBSERVATION_TIME: Millis = 6_000;

/// Point 3: the new machine is added first, then the old one, which may lead or hold data, receives SIGTERM.
fn planned_replacement(random: &mut Random) -> Vec<ScheduledStep> {
    let (leaving, other) = (target(random), target(random));
    let span = random.within(1_000..10_000);
    let second = machine_fault(random, other, span);
    let delay = random.below(3_000);
    let third = machine_fault(random, Target::Newcomer, 2_000);
    vec![
        ScheduledStep::new(random.below(1_000), None, Step::Add),
        ScheduledStep::new(0, Some(Activity::NewcomerCaughtUp), Step::Terminate { target: leaving }),
        ScheduledStep::new(delay, activity(random), second),
        ScheduledStep::new(OBSERVATION_TIME, activity(random), third),
    ]
}

/// A store receives SIGTERM while another store takes over.
fn shutdown_during_takeover(random: &mut Random) -> Vec<ScheduledStep> {
    let leaving = target(random);
    let span = random.within(500..3_000);
    let first = machine_fault(random, Target::Leader, span);
    let third = target(random);
    let third = machine_fault(random, third, 2_000);
    vec![
        ScheduledStep::new(0, None, Step::Add),
        ScheduledStep::new(4_100, activity(random), first),
        ScheduledStep::new(
            random.below(900),
            Some(Activity::TakingOver),
            Step::Terminate { target: leaving },
        ),
        ScheduledStep::new(random.below(2_500), activity(random), third),
    ]
}

/// Point 4: hundreds of changes while a machine is lost or slow. Once that machine has caught up, another is lost.
fn many_changes(random: &mut Random) -> Vec<ScheduledStep> {
    let victim = target(random);
    let span = random.within(3_000..12_000);
    let padding = if random.one_in(3) { random.within(1_000..40_000) as usize } else { 0 };
    let fault = match random.below(6) {
        0 => Step::SlowLinks { target: victim, delay: 40, bytes_per_ms: 250, span },
        1 => Step::SlowDisk { target: victim, factor: 30, span },
        _ => machine_fault(random, victim, span),
    };
    let second = target(random);
    let second = machine_fault(random, second, 3_000);
    let count = random.within(100..400);
    vec![
        ScheduledStep::new(random.below(500), activity(random), fault),
        ScheduledStep::new(0, None, Step::Changes { count, padding }),
        ScheduledStep::new(span + 4_000, Some(Activity::CommandInFlight), second),
        ScheduledStep::new(100, None, Step::Changes { count: count / 2, padding }),
        ScheduledStep::new(3_000, activity(random), Step::KillAll { loses_power: true, down: 300 }),
    ]
}

/// Point 5, for messages between stores: messages of one kind are lost while epochs change.
fn lost_messages(random: &mut Random) -> Vec<ScheduledStep> {
    let mut steps = Vec::new();
    for _ in 0..3 {
        let kind = MESSAGE_KINDS[random.below(MESSAGE_KINDS.len() as u64) as usize];
        let percent = [30, 60, 100][random.below(3) as usize];
        let span = random.within(300..2_500);
        let victim = target(random);
        let lost = machine_fault(random, victim, 1_500);
        steps.push(ScheduledStep::new(
            random.below(800),
            activity(random),
            Step::LoseMessages { kind, percent, span },
        ));
        steps.push(ScheduledStep::new(random.below(200), activity(random), lost));
        steps.push(ScheduledStep::new(random.below(2_500), None, Step::Changes { count: 20, padding: 0 }));
    }
    steps
}

/// One disk is slow and another stalls; machines are lost while writes are pending.
fn slow_and_stalled_disks(random: &mut Random) -> Vec<ScheduledStep> {
    let (slow, other, third) = (target(random), target(random), target(random));
    let stall = Step::StallDisk { target: other, span: random.within(300..5_000) };
    let third = machine_fault(random, third, 2_000);
    vec![
        ScheduledStep::new(0, activity(random), Step::SlowDisk { target: slow, factor: 30, span: 12_000 }),
        ScheduledStep::new(random.below(2_000), activity(random), stall),
        ScheduledStep::new(random.below(3_000), Some(Activity::DiskWriting), third),
        ScheduledStep::new(
            random.below(3_000),
            Some(Activity::DiskWriting),
            Step::KillAll { loses_power: true, down: 500 },
        ),
    ]
}

/// The links of one machine are slow while large texts are sent and all processes are killed.
fn slow_links(random: &mut Random) -> Vec<ScheduledStep> {
    let (slow, other) = (target(random), target(random));
    let span = random.within(4_000..15_000);
    let links = Step::SlowLinks { target: slow, delay: random.within(20..400), bytes_per_ms: 250, span };
    let second = machine_fault(random, other, 2_000);
    vec![
        ScheduledStep::new(0, activity(random), links),
        ScheduledStep::new(200, None, Step::Changes { count: 50, padding: 20_000 }),
        ScheduledStep::new(
            span / 2,
            activity(random),
            Step::KillAll { loses_power: random.one_in(2), down: 400 },
        ),
        ScheduledStep::new(span + 4_000, activity(random), second),
    ]
}

/// All processes are killed, or all machines lose power, during some activity.
fn all_down(random: &mut Random) -> Vec<ScheduledStep> {
    let mut steps = Vec::new();
    for _ in 0..3 {
        let victim = target(random);
        let all = match random.below(3) {
            0 => Step::WipeAndPowerLoss { target: victim, down: 400 },
            kind => Step::KillAll { loses_power: kind == 1, down: random.within(200..1_200) },
        };
        steps.push(ScheduledStep::new(random.below(2_000), activity(random), all));
        let one = machine_fault(random, victim, 1_000);
        steps.push(ScheduledStep::new(random.within(100..3_000), activity(random), one));
    }
    steps
}
