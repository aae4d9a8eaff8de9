//! Draws the faults of a run from a seed: overlapping series for proxies, registries, stores and backends.

use super::fault::{PlannedFault, ProcessFault, Strike};
use crate::backend::Fault;
use crate::ProcessRef;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

/// The number of machines and backends of each kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct Machines {
    pub(super) cores: usize,
    pub(super) edges: usize,
    pub(super) backends: usize,
}

/// All faults of a run, ordered by their start.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    pub(super) faults: Vec<PlannedFault>,
}

/// No fault starts before this time, so that clients have sent their first requests.
const FIRST_FAULT: Duration = Duration::from_millis(500);
/// Pauses between the starts of two faults of a series (s). Those of stores are longest, because an election takes
/// about a second.
const PROXY_PAUSES: Range<f64> = 0.1..0.8;
const REGISTRY_PAUSES: Range<f64> = 0.5..2.0;
const STORE_PAUSES: Range<f64> = 1.5..4.0;
const BACKEND_PAUSES: Range<f64> = 0.3..1.5;
/// Pauses between two faults that kill all stores at once (s).
const HERD_PAUSES: Range<f64> = 7.0..12.0;
/// Pauses between two losses of a disk (s). Before each loss, stores have no faults for [`QUIET_BEFORE_DISK_LOSS`],
/// so that the store which lost its disk before has all records again: the system tolerates the loss of only one disk
/// at a time.
const DISK_LOSS_PAUSES: Range<f64> = 8.0..14.0;
const QUIET_BEFORE_DISK_LOSS: Duration = Duration::from_secs(5);
/// Durations of faults (s). Some pauses of a process outlast every claim, which lasts for the route's time-out and a
/// margin.
const KILLED: Range<f64> = 0.02..1.0;
const FROZEN: Range<f64> = 0.05..4.0;
const TERMINATED: Range<f64> = 0.5..3.0;
const BACKEND_FAULT: Range<f64> = 0.1..0.6;
/// Pauses between two spans of spoiled numbers, and their duration (s).
const SPOILED_PAUSES: Range<f64> = 1.0..3.0;
const SPOILED: Range<f64> = 0.5..2.0;
/// Distinguishes the seed of these spans from that of the other faults.
const SPOILED_SEED: u64 = 0x7370_6f69_6c65_6400;
/// For how long a store that is left behind misses claims (s), and how soon after its return the others are killed
/// (s).
const LEFT_BEHIND: Range<f64> = 0.8..2.0;
const CAUGHT_UP_FOR: Range<f64> = 0.0..0.2;
/// For how long both other stores are absent (s), less than the time to suspect them, before the store that continued
/// is killed; and for how long it stays killed (s).
const WENT_ON_ALONE: Range<f64> = 0.1..0.6;
const KILLED_AFTERWARDS: Range<f64> = 0.8..2.5;

impl Plan {
    /// Draws the faults for a seed.
    pub(super) fn draw(seed: u64, duration: Duration, machines: Machines) -> Plan {
        let mut draft = Draft {
            random: Pcg64Mcg::seed_from_u64(seed),
            end: duration,
            busy: HashMap::new(),
            faults: Vec::new(),
        };
        let stores: Vec<ProcessRef> = (0..machines.cores).map(ProcessRef::Store).collect();
        let registries: Vec<ProcessRef> = (0..machines.cores).map(ProcessRef::Registry).collect();
        let proxies: Vec<ProcessRef> = (0..machines.edges).map(ProcessRef::Proxy).collect();
        draft.draw_disk_losses(&stores);
        draft.draw_herds(&stores);
        draft.draw_store_faults(&stores);
        draft.draw_series(&registries, REGISTRY_PAUSES);
        draft.draw_series(&proxies, PROXY_PAUSES);
        draft.draw_backend_faults(machines.backends);
        // Drawn apart, so that a seed gives the same other faults.
        draft.random = Pcg64Mcg::seed_from_u64(seed ^ SPOILED_SEED);
        draft.draw_spoiled_numbers(machines.backends);
        draft.faults.sort_by_key(|fault| fault.at);
        Plan { faults: draft.faults }
    }

    /// The faults of stores, a line each.
    pub(super) fn store_faults(&self) -> Vec<String> {
        let line = |fault: &PlannedFault| match fault.strike {
            Strike::Process(process_ref @ ProcessRef::Store(_), what) => {
                Some(format!("{:?} {process_ref}: {what:?} for {:?}", fault.at, fault.lasts))
            }
            Strike::Process(..) | Strike::Backend(..) | Strike::SpoiledNumbers(..) => None,
        };
        self.faults.iter().filter_map(line).collect()
    }
}

struct Draft {
    random: Pcg64Mcg,
    end: Duration,
    /// The times of the faults of each process. Faults of one process do not overlap.
    busy: HashMap<ProcessRef, Vec<Range<Duration>>>,
    faults: Vec<PlannedFault>,
}

impl Draft {
    fn seconds(&mut self, range: Range<f64>) -> Duration {
        Duration::from_secs_f64(self.random.random_range(range))
    }

    /// The start times of the faults of a series.
    fn beginnings(&mut self, pauses: &Range<f64>) -> Vec<Duration> {
        let mut beginnings = Vec::new();
        let mut at = FIRST_FAULT + self.seconds(pauses.clone());
        while at < self.end {
            beginnings.push(at);
            at += self.seconds(pauses.clone());
        }
        beginnings
    }

    fn draw_disk_losses(&mut self, stores: &[ProcessRef]) {
        for at in self.beginnings(&DISK_LOSS_PAUSES) {
            for process_ref in stores {
                let quiet = at.saturating_sub(QUIET_BEFORE_DISK_LOSS)..at;
                self.busy.entry(*process_ref).or_default().push(quiet);
            }
            let process_ref = stores[self.random.random_range(0..stores.len())];
            let lasts = self.seconds(KILLED);
            self.add(process_ref, ProcessFault::DiskLost, at, lasts);
        }
    }

    fn draw_herds(&mut self, stores: &[ProcessRef]) {
        for at in self.beginnings(&HERD_PAUSES) {
            for process_ref in stores {
                let lasts = self.seconds(KILLED);
                self.add(*process_ref, ProcessFault::Killed, at, lasts);
            }
        }
    }

    fn draw_series(&mut self, process_refs: &[ProcessRef], pauses: Range<f64>) {
        for at in self.beginnings(&pauses) {
            let process_ref = process_refs[self.random.random_range(0..process_refs.len())];
            let (fault, lasts) = self.draw_process_fault();
            self.add(process_ref, fault, at, lasts);
        }
    }

    fn draw_store_faults(&mut self, stores: &[ProcessRef]) {
        for at in self.beginnings(&STORE_PAUSES) {
            let process_ref = stores[self.random.random_range(0..stores.len())];
            match self.random.random_range(0..3) {
                0 => self.draw_left_behind(stores, process_ref, at),
                1 => self.draw_went_on_alone(stores, process_ref, at),
                _ => {
                    let (fault, lasts) = self.draw_process_fault();
                    self.add(process_ref, fault, at, lasts);
                }
            }
        }
    }

    /// A store misses claims. Soon after it returns, the others, which have these claims, are killed before it has
    /// caught up.
    fn draw_left_behind(&mut self, stores: &[ProcessRef], left_behind: ProcessRef, at: Duration) {
        let lasts = self.seconds(LEFT_BEHIND);
        let fault = self.draw_absence();
        self.add(left_behind, fault, at, lasts);
        let killed_at = at + lasts + self.seconds(CAUGHT_UP_FOR);
        for process_ref in stores.iter().filter(|process_ref| **process_ref != left_behind) {
            let lasts = self.seconds(KILLED);
            self.add(*process_ref, ProcessFault::Killed, killed_at, lasts);
        }
    }

    /// A store continues alone, perhaps as the leader, and is killed at the moment when the others return.
    fn draw_went_on_alone(&mut self, stores: &[ProcessRef], alone: ProcessRef, at: Duration) {
        let lasts = self.seconds(WENT_ON_ALONE);
        let fault = self.draw_absence();
        for process_ref in stores.iter().filter(|process_ref| **process_ref != alone) {
            self.add(*process_ref, fault, at, lasts);
        }
        let killed_for = self.seconds(KILLED_AFTERWARDS);
        self.add(alone, ProcessFault::Killed, at + lasts, killed_for);
    }

    /// Chooses how a store is absent. A paused store finds in its sockets the messages that were sent meanwhile; a
    /// killed one does not.
    fn draw_absence(&mut self) -> ProcessFault {
        if self.random.random_bool(0.5) {
            ProcessFault::Killed
        } else {
            ProcessFault::Frozen
        }
    }

    fn draw_process_fault(&mut self) -> (ProcessFault, Duration) {
        match self.random.random_range(0..5) {
            0 | 1 => (ProcessFault::Killed, self.seconds(KILLED)),
            2 | 3 => (ProcessFault::Frozen, self.seconds(FROZEN)),
            _ => (ProcessFault::Terminated, self.seconds(TERMINATED)),
        }
    }

    /// Adds a fault, unless the process has another one at that time.
    fn add(&mut self, process_ref: ProcessRef, fault: ProcessFault, at: Duration, lasts: Duration) {
        let busy = self.busy.entry(process_ref).or_default();
        if busy.iter().any(|other| at < other.end && other.start < at + lasts) {
            return;
        }
        busy.push(at..at + lasts);
        self.faults.push(PlannedFault { strike: Strike::Process(process_ref, fault), at, lasts });
    }

    fn draw_backend_faults(&mut self, backends: usize) {
        let kinds = [Fault::DropsResponses, Fault::Rejects, Fault::TruncatesResponses, Fault::Hangs];
        for at in self.beginnings(&BACKEND_PAUSES) {
            let backend = self.random.random_range(0..backends);
            let fault = kinds[self.random.random_range(0..kinds.len())];
            let lasts = self.seconds(BACKEND_FAULT);
            self.faults.push(PlannedFault { strike: Strike::Backend(backend, fault), at, lasts });
        }
    }

    fn draw_spoiled_numbers(&mut self, backends: usize) {
        for at in self.beginnings(&SPOILED_PAUSES) {
            let strike = Strike::SpoiledNumbers(self.random.random_range(0..backends));
            let lasts = self.seconds(SPOILED);
            self.faults.push(PlannedFault { strike, at, lasts });
        }
    }
}
