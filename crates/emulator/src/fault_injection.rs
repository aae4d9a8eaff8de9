//! Applies the events of a day to the simulation.

use crate::event::EventKind;
use crate::records::{Command, Millis};
use crate::simulation::Simulation;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// How long the platform's list still shows crashed backends (ms).
const CRASHED_LISTED_FOR: Millis = 2_500;

async fn pause(ms: Millis) {
    sleep(Duration::from_millis(ms)).await;
}

/// How machines fail.
#[derive(Clone, Copy)]
struct MachineLoss {
    is_power_lost: bool,
    is_wiped: bool,
    down: Millis,
}

impl Simulation {
    /// Applies an event, and waits for its end.
    pub(crate) async fn apply(self: &Rc<Self>, event: EventKind) {
        if let Some(span) = event.fault_span() {
            self.record_fault(span);
        }
        let affects_core = event.is_counted_loss(self.site.core_count());
        self.inject(event).await;
        if affects_core {
            self.workload.repeat_recent(|| self.random());
        }
    }

    async fn inject(self: &Rc<Self>, event: EventKind) {
        match event {
            EventKind::Kill { machines, is_power_lost, down } => {
                self.take_down(&machines, MachineLoss { is_power_lost, is_wiped: false, down }).await;
            }
            EventKind::Wipe { machine, down } => {
                self.take_down(&[machine], MachineLoss { is_power_lost: true, is_wiped: true, down }).await;
            }
            EventKind::KillAcknowledger { is_wiped, down } => self.kill_acknowledger(is_wiped, down).await,
            EventKind::LoseDisksAndPower { wiped, down } => self.lose_disks_and_power(&wiped, down).await,
            EventKind::SplitCore { half, span } => {
                self.set_core_split(&half, true);
                pause(span).await;
                self.set_core_split(&half, false);
            }
            EventKind::Freeze { machine, span } => {
                self.fleet.borrow().set_frozen(machine, true);
                pause(span).await;
                self.fleet.borrow().set_frozen(machine, false);
            }
            EventKind::Partition { machines, is_one_way, span } => {
                self.set_partitioned(&machines, is_one_way, true);
                pause(span).await;
                self.set_partitioned(&machines, is_one_way, false);
            }
            EventKind::StallDisk { machine, span } => {
                let ip = self.fleet.borrow().machines[machine].ip;
                self.net.disk_of(ip).stall(Duration::from_millis(span));
            }
            EventKind::LoseZone { zone, span } => self.lose_zone(zone, span).await,
            EventKind::ShutDown { machine } => self.fleet.borrow().shut_down(machine),
            command => self.apply_command(command).await,
        }
    }

    /// Applies an event of operators, clients or backends.
    async fn apply_command(&self, event: EventKind) {
        match event {
            EventKind::Change { moves_searches } => {
                self.moves_searches.set(moves_searches);
                self.send_configuration(&[]).await;
            }
            EventKind::ConcurrentChanges => self.send_two_versions().await,
            EventKind::InvalidChange => self.send_invalid().await,
            EventKind::AddTenant { name } => self.add_tenant(name).await,
            EventKind::AddRoutes { count } => {
                self.extra_routes.set(self.extra_routes.get() + count);
                self.send_configuration(&[]).await;
            }
            EventKind::RevokeKey { tenant } => {
                self.workload.revoked.borrow_mut().push(tenant);
                self.send_configuration(&[]).await;
            }
            EventKind::Evacuate { zone, span } => {
                self.send_command(Command::Evacuate { zone, is_begin: true }).await;
                pause(span).await;
                self.send_command(Command::Evacuate { zone, is_begin: false }).await;
            }
            EventKind::TenantBurst { tenant, factor, span } => {
                self.workload.burst.set(Some((tenant, factor)));
                pause(span).await;
                self.workload.burst.set(None);
            }
            EventKind::CrashBackends { service, count } => self.crash_backends(service, count).await,
            EventKind::ReplaceBackends { service, count } => self.replace_backends(service, count).await,
            EventKind::SpoilNumbers { part, span } => {
                self.backends.set_spoiled_part(part);
                pause(span).await;
                self.backends.set_spoiled_part(0.0);
            }
            EventKind::LoseResponses { part, span } => {
                self.backends.set_response_loss(part);
                pause(span).await;
                self.backends.set_response_loss(0.0);
            }
            // Faults of machines are handled by `inject`.
            _ => {}
        }
    }

    async fn take_down(&self, machines: &[usize], loss: MachineLoss) {
        for machine in machines {
            let is_torn = self.random().is_multiple_of(2);
            let fleet = &mut *self.fleet.borrow_mut();
            fleet.kill(*machine, loss.is_power_lost, is_torn);
            if loss.is_wiped {
                self.net.disk_of(fleet.machines[*machine].ip).wipe();
            }
        }
        pause(loss.down).await;
        for machine in machines {
            pause(self.random() % 40).await;
            self.fleet.borrow_mut().start(*machine);
        }
    }

    async fn kill_acknowledger(&self, is_wiped: bool, down: Millis) {
        let index = self.send_configuration(&[]).await;
        let registry = self.recorder.with(|records| records.commands[index].acknowledged_by);
        let machines =
            |control| self.fleet.borrow().machines.iter().position(|machine| machine.control() == control);
        if let Some(machine) = registry.and_then(machines) {
            pause(self.random() % 4).await;
            self.record_fault(down + 1_000);
            self.take_down(&[machine], MachineLoss { is_power_lost: true, is_wiped, down }).await;
        }
    }

    async fn lose_disks_and_power(&self, wiped: &[usize], down: Millis) {
        self.send_configuration(&[]).await;
        let others: Vec<usize> = {
            let machines = 0..self.fleet.borrow().machines.len();
            machines.filter(|machine| !wiped.contains(machine)).collect()
        };
        // `apply` has recorded a fault from the start of the event; the machines go down only now.
        self.record_fault(down + 2_000);
        tokio::join!(
            self.take_down(wiped, MachineLoss { is_power_lost: true, is_wiped: true, down }),
            self.take_down(&others, MachineLoss { is_power_lost: true, is_wiped: false, down }),
        );
    }

    /// Partitions the core machines of `half` from the other core machines, or ends the partition.
    fn set_core_split(&self, half: &[usize], is_partitioned: bool) {
        let fleet = self.fleet.borrow();
        for one in half.iter().filter_map(|index| fleet.machines.get(*index)) {
            for other in fleet.cores().filter(|core| half.iter().all(|n| fleet.machines[*n].ip != core.ip)) {
                self.net.set_partitioned(one.ip, other.ip, is_partitioned);
                self.net.set_partitioned(other.ip, one.ip, is_partitioned);
            }
        }
    }

    async fn lose_zone(&self, zone: usize, span: Millis) {
        self.backends.set_zone_power_lost(zone, true);
        let machines = self.fleet.borrow().in_zone(zone);
        self.take_down(&machines, MachineLoss { is_power_lost: true, is_wiped: false, down: span }).await;
        self.backends.set_zone_power_lost(zone, false);
    }

    fn set_partitioned(&self, machines: &[usize], is_one_way: bool, is_partitioned: bool) {
        let fleet = self.fleet.borrow();
        for machine in machines.iter().filter_map(|index| fleet.machines.get(*index)) {
            for other in fleet.machines.iter().filter(|other| other.ip != machine.ip) {
                self.net.set_partitioned(machine.ip, other.ip, is_partitioned);
                if !is_one_way {
                    self.net.set_partitioned(other.ip, machine.ip, is_partitioned);
                }
            }
        }
    }

    async fn crash_backends(&self, service: usize, count: usize) {
        let ids: Vec<String> = self.backends.ids_of_service(service).into_iter().take(count).collect();
        ids.iter().for_each(|id| self.backends.kill(id));
        pause(CRASHED_LISTED_FOR).await;
        for id in &ids {
            self.backends.remove_from_list(id);
            self.backends.start(service, self.random() as usize % self.site.zones.len(), true);
        }
    }

    async fn replace_backends(&self, service: usize, count: usize) {
        for id in self.backends.ids_of_service(service).into_iter().take(count) {
            self.backends.start(service, self.zone_of_backend(&id), true);
            self.backends.drain(&id);
            pause(self.site.bounds.drain_ms.to_millis() + 1_000).await;
            self.backends.kill(&id);
            self.backends.remove_from_list(&id);
        }
    }

    fn zone_of_backend(&self, id: &str) -> usize {
        self.recorder.with(|records| {
            records.incarnations.iter().find(|incarnation| incarnation.id == id).map_or(0, |it| it.zone)
        })
    }
}
