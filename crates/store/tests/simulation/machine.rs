//! A machine with its process and disks, and the faults of machines.

use super::disk::{Disk, TornWrite};
use super::events::Scheduled;
use super::operation_log::OperationLog;
use super::{Cluster, Millis};
use std::net::Ipv4Addr;
use violetyoke_store::consensus::{DurableState, Event, Replica, ReplicaOptions, WriteNumber};
use violetyoke_store::operations::{self, OperationReplica};
use violetyoke_transport::messages::StoreId;

/// A simulated machine.
pub struct Machine {
    pub ip: Ipv4Addr,
    zone: String,
    seeds: Vec<Ipv4Addr>,
    /// `None` while the process is down.
    pub replica: Option<Replica>,
    pub disk: Disk,
    /// The process handles no event before this time.
    pub frozen_until: Millis,
    /// Events that arrived while the process was frozen.
    pub(super) deferred_events: Vec<Event>,
    /// `None` while the process is down, or where the cluster doesn't replicate operations.
    pub operations: Option<OperationReplica>,
    pub operation_log: OperationLog,
    /// Operation events that arrived while the process was frozen.
    pub(super) deferred_operations: Vec<operations::Event>,
    /// The number of processes that have started on this machine.
    pub incarnation: u64,
    pub started_at: Millis,
    /// When the process received SIGTERM.
    pub shutdown_at: Option<Millis>,
    /// The machine never comes back.
    pub is_removed: bool,
}

impl Machine {
    fn new(n: usize, seeds: Vec<Ipv4Addr>) -> Machine {
        Machine {
            ip: address(n),
            zone: if n % 3 == 1 { "b" } else { "a" }.into(),
            seeds,
            replica: None,
            disk: Disk::empty(),
            frozen_until: 0,
            deferred_events: Vec::new(),
            operations: None,
            operation_log: OperationLog::default(),
            deferred_operations: Vec::new(),
            incarnation: 0,
            started_at: 0,
            shutdown_at: None,
            is_removed: false,
        }
    }

    /// Ends the process. If the machine loses power as well, the slot that is being written may be torn.
    fn kill(&mut self, loses_power: bool, draw: u64) {
        self.replica = None;
        self.deferred_events.clear();
        self.operations = None;
        self.deferred_operations.clear();
        self.operation_log.lose_pending(draw);
        self.shutdown_at = None;
        self.disk.lose_pending_writes(match (draw, loses_power) {
            (0, _) => TornWrite::Nothing,
            (1, true) => TornWrite::Half,
            // Written bytes survive when only the process dies.
            _ => TornWrite::All,
        });
    }
}

fn address(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

impl Cluster {
    /// Starts the first machines of the cluster; the first three are the seeds.
    pub(super) fn start_all(&mut self, count: usize) {
        let seeds: Vec<_> = (0..count.min(3)).map(address).collect();
        for n in 0..count {
            self.machines.push(Machine::new(n, seeds.clone()));
        }
        for n in 0..count {
            self.start(n, true);
            self.schedule(1 + n as u64, Scheduled::Tick { to: n });
        }
    }

    fn start(&mut self, n: usize, is_bootstrap: bool) {
        let new_disk_id = StoreId(self.random.below(u64::MAX - 1) + 1);
        let (now, fault_tolerance) = (self.now, self.fault_tolerance);
        let machine = &mut self.machines[n];
        let options = ReplicaOptions {
            ip: machine.ip,
            zone: machine.zone.clone(),
            seeds: machine.seeds.clone(),
            fault_tolerance,
            durable: machine.disk.recover().unwrap_or_default(),
            new_disk_id,
            is_bootstrap,
        };
        machine.incarnation += 1;
        machine.started_at = now;
        machine.replica = Some(Replica::new(options, now));
        self.start_operations(n);
    }

    /// Handles a store's request to persist a state.
    pub(super) fn persist(&mut self, n: usize, number: WriteNumber, state: DurableState) {
        if state.config.epoch >= self.newest_config.epoch {
            self.newest_config = state.config.clone();
        }
        let machine = &mut self.machines[n];
        machine.disk.request(number, state, self.now);
        let incarnation = machine.incarnation;
        if self.disks_skip_syncs {
            machine.disk.skip_writes();
            self.schedule(self.now + 1, Scheduled::SyncSkipped { to: n, incarnation, number });
        } else {
            self.begin_write(n);
        }
    }

    /// Starts the newest pending write if the disk is idle.
    fn begin_write(&mut self, n: usize) {
        let machine = &mut self.machines[n];
        let (incarnation, slowness) = (machine.incarnation, machine.disk.slowness);
        let Some(number) = machine.disk.begin_write() else { return };
        let drawn = (1 + self.random.below(6)) * slowness;
        let duration = self.fixed_sync_time.unwrap_or(drawn);
        self.schedule(self.now + duration, Scheduled::Synced { to: n, incarnation, number });
    }

    pub(super) fn on_synced(&mut self, n: usize, incarnation: u64, number: WriteNumber) {
        let machine = &mut self.machines[n];
        if machine.incarnation != incarnation || machine.replica.is_none() {
            return;
        }
        if self.now < machine.disk.stalled_until {
            let at = machine.disk.stalled_until + 1;
            return self.schedule(at, Scheduled::Synced { to: n, incarnation, number });
        }
        if machine.disk.complete(number) {
            self.handle(n, Event::Persisted(number));
            self.begin_write(n);
        }
    }

    pub(super) fn on_sync_skipped(&mut self, n: usize, incarnation: u64, number: WriteNumber) {
        if self.machines[n].incarnation == incarnation {
            self.handle(n, Event::Persisted(number));
        }
    }

    /// Kills the process, or cuts the power of the machine.
    pub fn kill(&mut self, n: usize, loses_power: bool) {
        let draw = self.random.below(3);
        self.machines[n].kill(loses_power, draw);
    }

    /// Cuts the power of a machine and erases its disk.
    pub fn wipe(&mut self, n: usize) {
        self.kill(n, true);
        self.machines[n].disk.wipe();
        self.machines[n].operation_log.wipe();
    }

    /// Starts the process of a machine unless it runs or the machine was removed.
    pub fn restart(&mut self, n: usize) {
        if self.machines[n].replica.is_none() && !self.machines[n].is_removed {
            self.start(n, false);
        }
    }

    pub fn restart_all(&mut self) {
        (0..self.machines.len()).for_each(|n| self.restart(n));
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.machines[n].replica.is_some()
    }

    /// Freezes a process for some time; events that arrive meanwhile are handled after it.
    pub fn freeze(&mut self, n: usize, span: Millis) {
        self.machines[n].frozen_until = self.now + span;
    }

    /// Sends SIGTERM: the process ends once others have taken over or after `HANDOVER_TIMEOUT`, and is not restarted.
    pub fn shut_down(&mut self, n: usize) {
        self.machines[n].shutdown_at = Some(self.now);
        self.handle(n, Event::Shutdown);
    }

    /// Adds an empty machine at a new address and returns its index.
    pub fn add_machine(&mut self) -> usize {
        let n = self.machines.len();
        let present = self.machines.iter().filter(|machine| !machine.is_removed);
        let seeds = present.map(|machine| machine.ip).take(3).collect();
        self.machines.push(Machine::new(n, seeds));
        self.start(n, false);
        self.schedule(self.now + 1, Scheduled::Tick { to: n });
        n
    }
}
