//! The faults that a soak injects.

use crate::backend::Fault;
use crate::ProcessRef;
use std::time::Duration;

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ProcessFault {
    /// SIGKILL; the process is started again at the end of the fault.
    Killed,
    /// SIGSTOP, and SIGCONT at the end of the fault.
    Frozen,
    /// SIGTERM; the process is started again at the end of the fault, and killed first if it has not ended by then.
    Terminated,
    /// SIGKILL, and the store's files are removed; the process is started again at the end of the fault.
    DiskLost,
}

/// The target of a fault, and its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Strike {
    Process(ProcessRef, ProcessFault),
    Backend(usize, Fault),
    /// A backend's responses and its list entry state numbers that are out of range.
    SpoiledNumbers(usize),
}

/// One fault: its target, its start in the run, and its duration.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlannedFault {
    pub(super) strike: Strike,
    pub(super) at: Duration,
    pub(super) lasts: Duration,
}
