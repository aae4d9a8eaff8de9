//! Which machine a step means, what is under way at a moment, and what each step does to the cluster.

use super::runner::{Runner, CATCH_UP};
use super::schedule::{Activity, Direction, Step, Target};
use crate::simulation::events::{Fault, Scheduled};
use crate::simulation::network::{MessageLoss, SlowLinks};
use crate::simulation::Millis;
use violetyoke_store::consensus::Replica;
use violetyoke_transport::messages::{Epoch, StoreId};

/// A machine that was removed counts as lost until its successor is there.
const NEVER: Millis = Millis::MAX;

/// Silence after which a connection is ended (`violetyoke_transport::connection::IDLE_TIMEOUT`).
const IDLE_TIMEOUT: Millis = 1_100;

impl Runner {
    /// The machine that is meant; `None` where there is none such.
    pub fn resolve(&self, target: Target) -> Option<usize> {
        let config = &self.cluster.newest_config;
        let machines = &self.cluster.machines;
        let by_id = |id: StoreId| {
            let voter = config.voters.iter().find(|voter| voter.id == id)?;
            machines.iter().position(|machine| machine.ip == voter.ip)
        };
        let present: Vec<usize> = (0..machines.len()).filter(|n| !machines[*n].is_removed).collect();
        let found = match target {
            Target::Leader => self.cluster.leader().or_else(|| by_id(*config.data_replicas.first()?)),
            Target::Backup => config.data_replicas.get(1).and_then(|id| by_id(*id)),
            Target::Witness => {
                let witness = config.voters.iter().find(|voter| !config.data_replicas.contains(&voter.id));
                witness.and_then(|voter| by_id(voter.id))
            }
            Target::Newcomer => self.losses.newcomer,
            Target::Last => Some(self.losses.last_target),
            Target::Any(index) => Some(present[index % present.len()]),
        };
        found.filter(|n| !machines[*n].is_removed)
    }

    pub fn is_under_way(&self, activity: Activity) -> bool {
        let (cluster, now) = (&self.cluster, self.cluster.now);
        let epoch_of =
            |n: usize| cluster.machines[n].replica.as_ref().map_or(Epoch::default(), Replica::epoch);
        match activity {
            Activity::CommandInFlight => cluster.has_command_in_flight(),
            Activity::JustAcknowledged => cluster.last_acknowledged_at.is_some_and(|at| now <= at + 4),
            Activity::Reconfiguring => cluster.is_reconfiguring(),
            Activity::TakingOver => {
                cluster.leader().is_none_or(|leader| epoch_of(leader) < cluster.newest_config.epoch)
            }
            Activity::DiskWriting => cluster.machines.iter().any(|machine| machine.disk.has_pending_writes()),
            Activity::CatchingUp => cluster.machines.iter().any(|machine| {
                machine.incarnation > 1 && machine.replica.is_some() && now < machine.started_at + CATCH_UP
            }),
            Activity::NewcomerCounts => self.losses.newcomer.is_some_and(|n| {
                let counts_from = cluster.machines[n].started_at + CATCH_UP;
                (counts_from..counts_from + 500).contains(&now)
            }),
        }
    }

    pub fn carry_out(&mut self, step: &Step) {
        let now = self.cluster.now;
        let lost = step.lost_target().and_then(|target| self.resolve(target));
        if let (Some(n), Some(span)) = (lost, step.span()) {
            self.count_as_lost(n, now + span + CATCH_UP);
            self.losses.last_target = n;
        }
        if !matches!(step, Step::Changes { .. } | Step::ContestVersion) {
            self.disturb(now, now);
        }
        match lost {
            Some(n) => self.lose(n, step),
            None => self.carry_out_without_loss(step),
        }
    }

    /// Carries out a step by which a machine is lost.
    fn lose(&mut self, n: usize, step: &Step) {
        let now = self.cluster.now;
        match step {
            Step::Kill { loses_power, down, .. } => {
                self.cluster.kill(n, *loses_power);
                self.end_after(n, Fault::ProcessDown, *down);
            }
            Step::Wipe { down, .. } => {
                self.cluster.wipe(n);
                self.end_after(n, Fault::ProcessDown, *down);
            }
            Step::WipeAndPowerLoss { down, .. } => self.kill_all(true, *down, Some(n)),
            Step::Partition { direction, span, .. } => self.partition(n, *direction, *span),
            Step::Freeze { span, .. } => {
                self.cluster.freeze(n, *span);
                self.disturb(now + span, now + span);
            }
            Step::StallDisk { span, .. } => self.cluster.machines[n].disk.stalled_until = now + span,
            Step::SlowLinks { delay, bytes_per_ms, span, .. } => {
                let links = SlowLinks { delay: *delay, bytes_per_ms: *bytes_per_ms };
                self.cluster.network.slow_down(n, links);
                self.end_after(n, Fault::SlowLinks, *span);
            }
            Step::Remove { .. } => self.remove(n),
            other => unreachable!("{other:?} loses no machine"),
        }
    }

    fn carry_out_without_loss(&mut self, step: &Step) {
        match step {
            Step::KillAll { loses_power, down } => self.kill_all(*loses_power, *down, None),
            Step::SlowDisk { target, factor, span } => {
                if let Some(n) = self.resolve(*target) {
                    self.cluster.machines[n].disk.slowness = *factor;
                    let at = self.cluster.now + span;
                    self.cluster.schedule(at, Scheduled::EndFault { to: n, fault: Fault::SlowDisk });
                }
            }
            Step::LoseMessages { kind, percent, span } => {
                self.cluster.network.loss = Some(MessageLoss { kind, percent: *percent });
                self.end_after(0, Fault::MessageLoss, *span);
            }
            Step::LoseReplies { percent, span } => {
                self.cluster.reply_loss_percent = *percent;
                self.end_after(0, Fault::ReplyLoss, *span);
            }
            Step::Add => self.add(),
            Step::Terminate { target } => self.terminate(*target),
            Step::Changes { count, padding } => {
                (self.operators.burst, self.operators.padding) = (*count, *padding);
            }
            Step::ContestVersion => self.contest_version(),
            Step::SkipSyncs => self.cluster.disks_skip_syncs = true,
            // The machine that was meant is gone.
            _ => {}
        }
    }

    fn count_as_lost(&mut self, n: usize, until: Millis) {
        let lost_until = self.losses.lost_until.entry(n).or_insert(until);
        *lost_until = until.max(*lost_until);
    }

    fn end_after(&mut self, n: usize, fault: Fault, span: Millis) {
        let at = self.cluster.now + span;
        self.cluster.schedule(at, Scheduled::EndFault { to: n, fault });
        self.disturb(at, at);
    }

    /// Kills all processes that run; one machine may lose its disk as well.
    fn kill_all(&mut self, loses_power: bool, down: Millis, wiped: Option<usize>) {
        for n in 0..self.cluster.machines.len() {
            if self.cluster.is_up(n) {
                let down = down + self.cluster.random.below(300);
                self.count_as_lost(n, self.cluster.now + down + CATCH_UP);
                if wiped == Some(n) {
                    self.cluster.wipe(n);
                } else {
                    self.cluster.kill(n, loses_power);
                }
                self.end_after(n, Fault::ProcessDown, down);
            }
        }
    }

    /// A machine that receives nothing ends its connections a little later, so that a partition of one direction becomes
    /// one of both.
    fn partition(&mut self, n: usize, direction: Direction, span: Millis) {
        if direction != Direction::Inbound {
            self.cluster.block_outbound(n);
        }
        if direction != Direction::Outbound {
            self.cluster.block_inbound(n);
        }
        let drops_at = self.cluster.now + IDLE_TIMEOUT + self.cluster.random.below(300);
        if direction != Direction::Both && drops_at < self.cluster.now + span {
            self.cluster.schedule(drops_at, Scheduled::DropConnections { machine: n });
        }
        self.end_after(n, Fault::LinksBlocked, span);
    }

    /// The machine counts as lost until its successor counts.
    fn remove(&mut self, n: usize) {
        self.cluster.kill(n, true);
        self.cluster.machines[n].is_removed = true;
        self.losses.last_target = n;
        // A spare takes its place, in the time that a successor has.
        let spare = self.losses.spares.pop().map(|_| self.cluster.now + CATCH_UP);
        self.losses.lost_until.insert(n, spare.unwrap_or(NEVER));
    }

    fn add(&mut self) {
        let n = self.cluster.add_machine();
        self.losses.newcomer = Some(n);
        let counts_from = self.cluster.now + CATCH_UP;
        // It is the successor of a machine that was removed, if there is one without.
        match self.losses.lost_until.values_mut().find(|until| **until == NEVER) {
            Some(until) => *until = counts_from,
            None => self.losses.spares.push(n),
        }
    }

    /// A machine whose successor came first and counts: it stops counting with the signal.
    fn terminate(&mut self, target: Target) {
        let (Some(n), Some(_)) = (self.resolve(target), self.losses.spares.pop()) else { return };
        self.cluster.shut_down(n);
        self.losses.last_target = n;
        self.losses.lost_until.insert(n, 0);
    }

    /// A machine may be terminated if it runs and another that counts can take its place.
    pub fn may_terminate(&self, target: Target) -> bool {
        let (Some(n), Some(spare)) = (self.resolve(target), self.losses.spares.last()) else { return false };
        let machines = &self.cluster.machines;
        let counts = self.cluster.now >= machines[*spare].started_at + CATCH_UP;
        let is_running =
            |n: usize| self.losses.lost_until.get(&n).is_none_or(|until| *until <= self.cluster.now);
        counts && n != *spare && machines[n].shutdown_at.is_none() && is_running(n) && is_running(*spare)
    }

    /// Two operators send different texts under the next version.
    fn contest_version(&mut self) {
        self.operators.last_version += 1;
        for (operator, name) in ["of one", "of the other"].into_iter().enumerate() {
            let command = self.replacement(self.operators.last_version, name);
            self.operators.operators[operator].next = Some(command);
        }
    }
}
