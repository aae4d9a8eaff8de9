//! The events of a day.

use crate::records::Millis;
use std::fmt;

/// A kind of event with its parameters. Machines are indices in the fleet, core machines first; times are in
/// milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// Processes are killed.
    Kill {
        /// The machines.
        machines: Vec<usize>,
        /// Whether the machines lose power, and so all data that is not synced.
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
    /// A configuration is sent, and the machine that acknowledges it loses its power immediately.
    KillAcknowledger {
        /// Whether the machine loses its disk too.
        is_wiped: bool,
        /// How long it is down.
        down: Millis,
    },
    /// A configuration is sent. When it is acknowledged, all machines lose power at the same time, and some of them
    /// also lose their disks.
    LoseDisksAndPower {
        /// The machines that lose their disks: no more than the deployment tolerates.
        wiped: Vec<usize>,
        /// How long all machines are down.
        down: Millis,
    },
    /// The core machines are partitioned into two halves, whatever the tolerance; all other machines reach both.
    SplitCore {
        /// The machines of one half.
        half: Vec<usize>,
        /// For how long.
        span: Millis,
    },
    /// A machine's processes are suspended.
    Freeze {
        /// The machine.
        machine: usize,
        /// For how long.
        span: Millis,
    },
    /// Machines are partitioned from all other machines of the system.
    Partition {
        /// The machines.
        machines: Vec<usize>,
        /// Whether only the outgoing direction is blocked.
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
    /// All machines and backends of a zone lose power.
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
        /// Whether the new version routes searches to another service.
        moves_searches: bool,
    },
    /// Two operators send different versions to two registries at the same time.
    ConcurrentChanges,
    /// An invalid configuration is sent.
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
    /// A tenant's credential is revoked.
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
    /// A tenant sends more than usual.
    TenantBurst {
        /// The tenant.
        tenant: usize,
        /// The multiple of the tenant's usual rate.
        factor: f64,
        /// For how long.
        span: Millis,
    },
    /// Backends of a service crash; the platform's list still shows them for a while.
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
    /// A fraction of all responses of backends, and of all entries of the platform's list, states numbers that are out of
    /// range. Entries state at least the slow start that the backend has.
    SpoilNumbers {
        /// The fraction.
        part: f64,
        /// For how long.
        span: Millis,
    },
    /// A fraction of all responses of backends is lost.
    LoseResponses {
        /// The fraction.
        part: f64,
        /// For how long.
        span: Millis,
    },
}

/// An event at a time of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Milliseconds since the start of the traffic.
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
    /// Whether the event counts towards the number of core machines that may be lost at the same time.
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

    /// How long machines or links are faulty because of the event.
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
