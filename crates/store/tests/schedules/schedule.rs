//! A schedule: an ordered list of faults and planned work, each with the condition that it waits for.

use crate::simulation::Millis;

/// The machine that a step affects; resolved when the step is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Leader,
    Backup,
    Witness,
    /// The machine that was added last.
    Newcomer,
    /// The machine of the last loss or termination.
    Last,
    /// One of the present machines, by its index.
    Any(usize),
}

/// Which direction of a machine's links is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    /// The machine receives nothing.
    Inbound,
    /// Nothing that the machine sends arrives.
    Outbound,
}

/// A fault or an action of operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The process dies; the machine may lose power.
    Kill { target: Target, loses_power: bool, down: Millis },
    /// The machine loses power and its disk.
    Wipe { target: Target, down: Millis },
    /// The machine loses its disk while all others lose power.
    WipeAndPowerLoss { target: Target, down: Millis },
    /// All processes die.
    KillAll { loses_power: bool, down: Millis },
    /// Links of the machine are blocked.
    Partition { target: Target, direction: Direction, span: Millis },
    /// The process is frozen for some time.
    Freeze { target: Target, span: Millis },
    /// The disk completes no write for some time.
    StallDisk { target: Target, span: Millis },
    /// Writes take `factor` times as long.
    SlowDisk { target: Target, factor: u64, span: Millis },
    /// Links of the machine have a delay and a limited rate.
    SlowLinks { target: Target, delay: Millis, bytes_per_ms: u64, span: Millis },
    /// Messages of one kind are lost on all links.
    LoseMessages { kind: &'static str, percent: u64, span: Millis },
    /// Replies to operators are lost.
    LoseReplies { percent: u64, span: Millis },
    /// The machine is removed for good, without notice.
    Remove { target: Target },
    /// An empty machine is added at another address.
    Add,
    /// The process receives SIGTERM and is not restarted.
    Terminate { target: Target },
    /// Operators send this many changes without a pause, with texts that are longer by `padding` bytes.
    Changes { count: u64, padding: usize },
    /// Two operators send different texts under one version.
    ContestVersion,
    /// Disks report writes as synced that they have dropped (negative control).
    SkipSyncs,
}

/// An activity that a step waits for, so that it happens during the activity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// A command is in flight.
    CommandInFlight,
    /// A change was acknowledged in the last few milliseconds.
    JustAcknowledged,
    /// A change of voters is in progress.
    Reconfiguring,
    /// A new epoch has no leader yet.
    TakingOver,
    /// A disk has pending writes.
    DiskWriting,
    /// A machine that has come back or is new is still catching up.
    CatchingUp,
    /// The machine that was added last has just had its time to catch up.
    NewcomerCaughtUp,
}

pub const ACTIVITIES: [Activity; 7] = [
    Activity::CommandInFlight,
    Activity::JustAcknowledged,
    Activity::Reconfiguring,
    Activity::TakingOver,
    Activity::DiskWriting,
    Activity::CatchingUp,
    Activity::NewcomerCaughtUp,
];

/// A step and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledStep {
    /// Delay after the previous step.
    pub after: Millis,
    /// After the delay, the step waits for this activity.
    pub during: Option<Activity>,
    pub step: Step,
}

impl ScheduledStep {
    pub fn new(after: Millis, during: Option<Activity>, step: Step) -> ScheduledStep {
        ScheduledStep { after, during, step }
    }
}

/// A cluster and the steps to carry out on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    pub seed: u64,
    pub machines: usize,
    pub fault_tolerance: u32,
    pub steps: Vec<ScheduledStep>,
}

impl Step {
    /// The name of the variant.
    pub fn name(&self) -> String {
        format!("{self:?}").chars().take_while(char::is_ascii_alphanumeric).collect()
    }

    /// The machine that counts as lost after the step, if any.
    pub fn lost_target(&self) -> Option<Target> {
        match self {
            Step::Kill { target, .. }
            | Step::Wipe { target, .. }
            | Step::WipeAndPowerLoss { target, .. }
            | Step::Partition { target, .. }
            | Step::Freeze { target, .. }
            | Step::StallDisk { target, .. }
            | Step::SlowLinks { target, .. }
            | Step::Remove { target } => Some(*target),
            _ => None,
        }
    }

    /// The duration of the fault; `None` if it doesn't end by itself.
    pub fn span(&self) -> Option<Millis> {
        match self {
            Step::Kill { down, .. }
            | Step::Wipe { down, .. }
            | Step::WipeAndPowerLoss { down, .. }
            | Step::KillAll { down, .. } => Some(*down),
            Step::Partition { span, .. }
            | Step::Freeze { span, .. }
            | Step::StallDisk { span, .. }
            | Step::SlowDisk { span, .. }
            | Step::SlowLinks { span, .. }
            | Step::LoseMessages { span, .. }
            | Step::LoseReplies { span, .. } => Some(*span),
            _ => None,
        }
    }
}
