//! What can happen on a day.

use crate::records::Millis;
use std::fmt;

/// Something that happens. Machines are numbered as the fleet has them, cores first; times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// Processes are killed.
    Kill {
        /// The machines.
        machines: Vec<usize>,
        /// With the power, what is not synced is lost too.
        is_power_lost: bool,
        /// How long they are down.
        down: Millis,
    },
    /// A machine loses its power and its disk.
    Wipe {
        /// The machine.
        machine: usize,
        /// How long it is down.
        down: Millis,
    },
    /// A configuration is sent, and the machine that acknowledges it loses its power at once.
    KillAcknowledger {
        /// It loses its disk too.
        is_wiped: bool,
        /// How long it is down.
        down: Millis,
    },
    /// A configuration is sent; once it is acknowledged, some machines lose their disks, and all others, also those that
    /// have none, lose their power in the same moment.
    LoseDisksAndPower {
        /// The machines that lose their disks: no more than may be lost at once.
        wiped: Vec<usize>,
        /// How long all are down.
        down: Millis,
    },
    /// The core machines are cut into two halves, whatever may be lost at once; all others reach both.
    SplitCore {
        /// The machines of one half.
        half: Vec<usize>,
        /// For how long.
        span: Millis,
    },
    /// A machine's processes stand still.
    Freeze {
        /// The machine.
        machine: usize,
        /// For how long.
        span: Millis,
    },
    /// Machines are partitioned from all others of the system.
    Partition {
        /// The machines.
        machines: Vec<usize>,
        /// Nothing gets out, but everything in.
        is_one_way: bool,
        /// For how long.
        span: Millis,
    },
    /// A machine's disk completes no sync.
    StallDisk {
        /// The machine.
        machine: usize,
        /// For how long.
        span: Millis,
    },
    /// A zone loses its power, with its backends.
    LoseZone {
        /// The zone.
        zone: usize,
        /// For how long.
        span: Millis,
    },
    /// A machine's processes get a SIGTERM.
    ShutDown {
        /// The machine.
        machine: usize,
    },
    /// A new version of the configuration is sent.
    Change {
        /// Searches go to another service from then on.
        moves_searches: bool,
    },
    /// Two operators send two versions to two registries at once.
    ConcurrentChanges,
    /// A configuration is sent that can't be accepted.
    InvalidChange,
    /// A tenant is added.
    AddTenant {
        /// Its name.
        name: String,
    },
    /// Routes are added.
    AddRoutes {
        /// How many.
        count: usize,
    },
    /// A tenant's credential is taken away.
    RevokeKey {
        /// The tenant.
        tenant: usize,
    },
    /// A zone is evacuated, and restored later.
    Evacuate {
        /// The zone.
        zone: usize,
        /// For how long.
        span: Millis,
    },
    /// A tenant sends many times its usual.
    TenantBurst {
        /// The tenant.
        tenant: usize,
        /// How many times.
        factor: f64,
        /// For how long.
        span: Millis,
    },
    /// Backends of a service end without notice; the list shows them for a while.
    CrashBackends {
        /// The service.
        service: usize,
        /// How many backends.
        count: usize,
    },
    /// Backends of a service are replaced, one after the other.
    ReplaceBackends {
        /// The service.
        service: usize,
        /// How many backends.
        count: usize,
    },
    /// A part of all responses of backends is lost.
    LoseResponses {
        /// Which part.
        part: f64,
        /// For how long.
        span: Millis,
    },
}

/// Something at a time of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Since the traffic began.
    pub at: Millis,
    /// What happens.
    pub kind: EventKind,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s  {:?}", self.at as f64 / 1000.0, self.kind)
    }
}

impl EventKind {
    /// Whether it takes away a core machine, of which only so many may be lost at once.
    pub(crate) fn is_counted_loss(&self, cores: usize) -> bool {
        match self {
            EventKind::Kill { machines, .. } | EventKind::Partition { machines, .. } => {
                machines.iter().any(|machine| *machine < cores)
            }
            EventKind::Freeze { machine, .. } => *machine < cores,
            EventKind::Wipe { .. }
            | EventKind::LoseDisksAndPower { .. }
            | EventKind::SplitCore { .. }
            | EventKind::KillAcknowledger { .. }
            | EventKind::StallDisk { .. }
            | EventKind::LoseZone { .. } => true,
            _ => false,
        }
    }

    /// How long machines or links are faulty by it.
    pub(crate) fn fault_span(&self) -> Option<Millis> {
        match self {
            EventKind::Kill { down, .. }
            | EventKind::Wipe { down, .. }
            | EventKind::KillAcknowledger { down, .. } => Some(*down + 1_000),
            EventKind::LoseDisksAndPower { down, .. } => Some(*down + 2_000),
            EventKind::Freeze { span, .. }
            | EventKind::SplitCore { span, .. }
            | EventKind::Partition { span, .. }
            | EventKind::StallDisk { span, .. }
            | EventKind::LoseZone { span, .. } => Some(*span + 500),
            EventKind::ShutDown { .. } => Some(7_000),
            _ => None,
        }
    }
}
