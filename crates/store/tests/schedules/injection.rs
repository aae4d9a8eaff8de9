//! Resolves the target of a step, detects activities, and injects the fault of each step.

use super::runner::{Runner, CATCH_UP};
use super::schedule::{Activity, Direction, Step, Target};
use crate::simulation::events::{Fault, Scheduled};
use crate::simulation::network::{MessageLoss, SlowLinks};
use crate::simulation::Millis;
use violetyoke_store::consensus::Replica;
use violetyoke_transport::messages::{Epoch, StoreId};

/// Until when a removed machine without a successor counts as lost.
const NEVER: Millis = Millis::MAX;

/// A connection without incoming data is closed after this time (`violetyoke_transport::connection::IDLE_TIMEOUT`).
const IDLE_TIMEOUT: Millis = 1_100;

impl Runner {
    /// The present machine that the target denotes; `None` if there is none.
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

    pub fn is_in_progress(&self, activity: Activity) -> bool {
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
            Activity::NewcomerCaughtUp => self.losses.newcomer.is_some_and(|n| {
                let caught_up_at = cluster.machines[n].started_at + CATCH_UP;
                (caught_up_at..caught_up_at + 500).contains(&now)
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
            Some(n) => self.carry_out_loss(n, step),
            None => self.carry_out_without_loss(step),
        }
    }

    /// Carries out a step that makes machine `n` count as lost.
    fn carry_out_loss(&mut self, n: usize, step: &Step) {
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
                    let ends_at = self.cluster.now + span;
                    self.cluster.schedule(ends_at, Scheduled::EndFault { to: n, fault: Fault::SlowDisk });
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
            // The target machine doesn't exist any more.
            _ => {}
        }
    }

    fn count_as_lost(&mut self, n: usize, until: Millis) {
        let lost_until = self.losses.lost_until.entry(n).or_insert(until);
        *lost_until = until.max(*lost_until);
    }

    fn end_after(&mut self, n: usize, fault: Fault, span: Millis) {
        let ends_at = self.cluster.now + span;
        self.cluster.schedule(ends_at, Scheduled::EndFault { to: n, fault });
        self.disturb(ends_at, ends_at);
    }

    /// Kills all running processes; one machine may lose its disk as well.
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

    /// Blocks links of a machine. A machine that receives nothing closes its connections after the idle time-out, so a
    /// partition of one direction becomes one of both directions.
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

    /// Removes a machine for good. It counts as lost until its successor has had time to catch up.
    fn remove(&mut self, n: usize) {
        self.cluster.kill(n, true);
        self.cluster.machines[n].is_removed = true;
        self.losses.last_target = n;
        // A spare machine takes over within the catch-up time.
        let spare = self.losses.spares.pop().map(|_| self.cluster.now + CATCH_UP);
        self.losses.lost_until.insert(n, spare.unwrap_or(NEVER));
    }

    fn add(&mut self) {
        let n = self.cluster.add_machine();
        self.losses.newcomer = Some(n);
        let caught_up_at = self.cluster.now + CATCH_UP;
        // It becomes the successor of a removed machine that has none, otherwise a spare.
        match self.losses.lost_until.values_mut().find(|until| **until == NEVER) {
            Some(until) => *until = caught_up_at,
            None => self.losses.spares.push(n),
        }
    }

    /// Sends SIGTERM to a machine that a spare replaces. The machine doesn't count as lost, because the spare has
    /// caught up.
    fn terminate(&mut self, target: Target) {
        let (Some(n), Some(_)) = (self.resolve(target), self.losses.spares.pop()) else { return };
        self.cluster.shut_down(n);
        self.losses.last_target = n;
        self.losses.lost_until.insert(n, 0);
    }

    /// Whether the machine runs and a spare that has caught up can replace it.
    pub fn may_terminate(&self, target: Target) -> bool {
        let (Some(n), Some(spare)) = (self.resolve(target), self.losses.spares.last()) else { return false };
        let machines = &self.cluster.machines;
        let has_caught_up = self.cluster.now >= machines[*spare].started_at + CATCH_UP;
        let is_running =
            |n: usize| self.losses.lost_until.get(&n).is_none_or(|until| *until <= self.cluster.now);
        has_caught_up
            && n != *spare
            && machines[n].shutdown_at.is_none()
            && is_running(n)
            && is_running(*spare)
    }

    /// Makes two operators send different texts under the next version.
    fn contest_version(&mut self) {
        self.operators.last_version += 1;
        for (operator, name) in ["of one", "of the other"].into_iter().enumerate() {
            let command = self.replacement(self.operators.last_version, name);
            self.operators.operators[operator].next = Some(command);
        }
    }
}
