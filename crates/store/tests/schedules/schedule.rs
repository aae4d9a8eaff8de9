//! A schedule: faults and planned work in their order, each with the moment that it waits for.

use crate::simulation::Millis;

/// Which machine; resolved when the step is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Leader,
    Backup,
    Witness,
    /// The machine that was added last.
    Newcomer,
    /// The machine that was last removed, partitioned or frozen.
    Last,
    /// One of the present machines, by its index.
    Any(usize),
}

/// Which direction of a machine's links is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    Both,
    /// It receives nothing.
    Inbound,
    /// Nothing that it sends arrives.
    Outbound,
}

/// A fault, or work that operators do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The process dies, perhaps because the machine loses its power.
    Kill { target: Target, loses_power: bool, down: Millis },
    /// The machine loses its power and its disk.
    Wipe { target: Target, down: Millis },
    /// The machine loses its disk while all others lose power.
    WipeAndPowerLoss { target: Target, down: Millis },
    /// All processes die.
    KillAll { loses_power: bool, down: Millis },
    /// Links of the machine are blocked.
    Partition { target: Target, direction: Direction, span: Millis },
    /// The process does nothing for a while.
    Freeze { target: Target, span: Millis },
    /// The disk completes no write for a while.
    StallDisk { target: Target, span: Millis },
    /// Writes take longer by a factor.
    SlowDisk { target: Target, factor: u64, span: Millis },
    /// Links of the machine have a delay and a limited rate.
    SlowLinks { target: Target, delay: Millis, bytes_per_ms: u64, span: Millis },
    /// Messages of one kind are lost on all links.
    LoseMessages { kind: &'static str, percent: u64, span: Millis },
    /// Replies to operators are lost.
    LoseReplies { percent: u64, span: Millis },
    /// The machine is gone for good, without notice.
    Remove { target: Target },
    /// An empty machine comes at another address.
    Add,
    /// SIGTERM; the process does not come back.
    Terminate { target: Target },
    /// Operators send this many changes without a pause, with texts that are longer by `padding` bytes.
    Changes { count: u64, padding: usize },
    /// Two operators send different texts under one version.
    ContestVersion,
    /// Disks report writes as synced that they have skipped: the negative control.
    SkipSyncs,
}

/// What a step waits for, so that it happens during it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Activity {
    /// A command is on its way.
    CommandInFlight,
    /// A change was acknowledged a moment ago.
    JustAcknowledged,
    /// The voters change.
    Reconfiguring,
    /// A store is about to lead under a new epoch.
    TakingOver,
    /// A disk has writes to complete.
    DiskWriting,
    /// A machine that came back, or is new, does not count yet.
    CatchingUp,
    /// The machine that was added last has just begun to count.
    NewcomerCounts,
}

pub const ACTIVITIES: [Activity; 7] = [
    Activity::CommandInFlight,
    Activity::JustAcknowledged,
    Activity::Reconfiguring,
    Activity::TakingOver,
    Activity::DiskWriting,
    Activity::CatchingUp,
    Activity::NewcomerCounts,
];

/// A step and when it is carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledStep {
    /// This long after the step before it.
    pub after: Millis,
    /// Then as soon as this is under way.
    pub during: Option<Activity>,
    pub step: Step,
}

impl ScheduledStep {
    pub fn new(after: Millis, during: Option<Activity>, step: Step) -> ScheduledStep {
        ScheduledStep { after, during, step }
    }
}

/// Steps for a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    pub seed: u64,
    pub machines: usize,
    pub fault_tolerance: u32,
    pub steps: Vec<ScheduledStep>,
}

impl Step {
    /// The name of its variant.
    pub fn name(&self) -> String {
        format!("{self:?}").chars().take_while(char::is_ascii_alphanumeric).collect()
    }

    /// The machine that counts as lost by it, if one does.
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

    /// How long it lasts; `None` where it has no end.
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
