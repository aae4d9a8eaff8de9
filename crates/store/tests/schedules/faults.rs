//! What each step does to the cluster, which machine it means, and what is under way at a moment.

use super::player::{Player, CATCH_UP};
use super::steps::{Act, Direction, Step, Target};
use crate::simulation::events::{Restore, Scheduled};
use crate::simulation::network::Loss;
use crate::simulation::operators::primary;
use crate::simulation::Millis;

/// A machine that was removed counts as lost until its successor is there.
const NEVER: Millis = Millis::MAX;

/// Silence after which a connection is ended (`transport`).
const CONNECTION_ENDS: Millis = 1_100;

impl Player {
    /// The machine that is meant; nothing: there is none such.
    pub(super) fn resolve(&self, target: Target) -> Option<usize> {
        let config = &self.cluster.newest_config;
        let by_id = |id: u64| {
            let node = config.voters.iter().find(|node| node.id == id)?;
            self.cluster.machines.iter().position(|machine| machine.ip == node.ip)
        };
        let present: Vec<usize> =
            (0..self.cluster.machines.len()).filter(|n| !self.cluster.machines[*n].removed).collect();
        let found = match target {
            Target::Primary => primary(&self.cluster).or_else(|| by_id(*config.data_replicas.first()?)),
            Target::Backup => config.data_replicas.get(1).and_then(|id| by_id(*id)),
            Target::Witness => {
                let witness = config.voters.iter().find(|voter| !config.data_replicas.contains(&voter.id));
                witness.and_then(|voter| by_id(voter.id))
            }
            Target::Newcomer => self.newcomer,
            Target::Last => Some(self.last_target),
            Target::Any(place) => Some(present[place % present.len()]),
        };
        found.filter(|n| !self.cluster.machines[*n].removed)
    }

    /// Something is under way now.
    pub(super) fn inside(&self, act: Act) -> bool {
        let (cluster, now) = (&self.cluster, self.cluster.now);
        match act {
            Act::OrderPending => cluster.order_pending(),
            Act::JustAcknowledged => cluster.acknowledged_at.is_some_and(|at| now <= at + 4),
            Act::VotersChanging => cluster.voters_changing(),
            Act::TakingOver => primary(cluster).is_none_or(|n| {
                cluster.machines[n].replica.as_ref().map_or(0, |replica| replica.epoch())
                    < cluster.newest_config.epoch
            }),
            Act::DiskWriting => cluster.machines.iter().any(|machine| !machine.writing.is_empty()),
            Act::CatchingUp => cluster.machines.iter().any(|machine| {
                machine.life > 1 && machine.replica.is_some() && now < machine.started + CATCH_UP
            }),
            Act::NewcomerCounts => self.newcomer.is_some_and(|n| {
                let counts = cluster.machines[n].started + CATCH_UP;
                (counts..counts + 500).contains(&now)
            }),
        }
    }

    pub(super) fn happens(&mut self, step: &Step) {
        let now = self.cluster.now;
        let who = step.loses().and_then(|who| self.resolve(who));
        if let (Some(n), Some(span)) = (who, step.span()) {
            let counts = now + span + CATCH_UP;
            self.lost.entry(n).and_modify(|until| *until = counts.max(*until)).or_insert(counts);
            self.last_target = n;
        }
        if !matches!(step, Step::Changes { .. } | Step::SameNumber) {
            self.disturb(now, now);
        }
        match (step, who) {
            (Step::Kill { power, down, .. }, Some(n)) => self.end(n, *power, false, *down),
            (Step::Wipe { down, .. }, Some(n)) => self.end(n, true, true, *down),
            (Step::WipeAndPowerLoss { down, .. }, Some(n)) => {
                self.end_all(true, *down, Some(n));
            }
            (Step::KillAll { power, down }, _) => self.end_all(*power, *down, None),
            (Step::Cut { direction, span, .. }, Some(n)) => self.cut(n, *direction, *span),
            (Step::Freeze { span, .. }, Some(n)) => {
                self.cluster.machines[n].frozen_until = now + span;
                self.disturb(now + span, now + span);
            }
            (Step::StallDisk { span, .. }, Some(n)) => self.cluster.machines[n].stalled_until = now + span,
            (Step::SlowLinks { delay, bytes_per_ms, span, .. }, Some(n)) => {
                self.cluster.network.slow(n, *delay, *bytes_per_ms);
                self.restores(n, Restore::LinkSpeed, *span);
            }
            (Step::Remove { .. }, Some(n)) => self.remove(n),
            (Step::SlowDisk { who, times, span }, _) => {
                if let Some(n) = self.resolve(*who) {
                    self.cluster.machines[n].disk_slowness = *times;
                    self.cluster.at(now + span, Scheduled::Restore { to: n, what: Restore::DiskSpeed });
                }
            }
            (Step::LoseMessages { kind, percent, span }, _) => {
                self.cluster.network.loss = Some(Loss { kind, percent: *percent });
                self.restores(0, Restore::Messages, *span);
            }
            (Step::LoseAnswers { percent, span }, _) => {
                self.cluster.answers_lost = *percent;
                self.restores(0, Restore::Answers, *span);
            }
            (Step::Add, _) => self.add(),
            (Step::Terminate { who }, _) => self.terminate(*who),
            (Step::Changes { count, text }, _) => (self.burst, self.text) = (*count, *text),
            (Step::SameNumber, _) => self.same_number(),
            (Step::LieAboutSyncs, _) => self.cluster.lying_disks = true,
            // The machine that was meant is gone.
            (_, None) => {}
        }
    }

    fn restores(&mut self, n: usize, what: Restore, after: Millis) {
        let at = self.cluster.now + after;
        self.cluster.at(at, Scheduled::Restore { to: n, what });
        self.disturb(at, at);
    }

    fn end(&mut self, n: usize, power: bool, wipe: bool, down: Millis) {
        if wipe {
            self.cluster.wipe(n);
        } else {
            self.cluster.kill(n, power);
        }
        self.restores(n, Restore::Process, down);
    }

    fn end_all(&mut self, power: bool, down: Millis, wiped: Option<usize>) {
        for n in 0..self.cluster.machines.len() {
            if self.cluster.up(n) {
                let later = self.cluster.random.below(300);
                let counts = self.cluster.now + down + later + CATCH_UP;
                self.lost.entry(n).and_modify(|until| *until = counts.max(*until)).or_insert(counts);
                self.end(n, power, wiped == Some(n), down + later);
            }
        }
    }

    /// Whoever hears nothing ends the connection a little later, so that a cut of one direction becomes one of both.
    fn cut(&mut self, n: usize, direction: Direction, span: Millis) {
        if direction != Direction::Inbound {
            self.cluster.cut_from(n);
        }
        if direction != Direction::Outbound {
            self.cluster.cut_to(n);
        }
        let ends = self.cluster.now + CONNECTION_ENDS + self.cluster.random.below(300);
        if direction != Direction::Both && ends < self.cluster.now + span {
            self.cluster.at(ends, Scheduled::CutOff { machine: n });
        }
        self.restores(n, Restore::Links, span);
    }

    /// It counts as lost until its successor counts.
    fn remove(&mut self, n: usize) {
        self.cluster.kill(n, true);
        self.cluster.machines[n].removed = true;
        self.last_target = n;
        // A spare takes its place, in the time that a successor has.
        let spare = self.spares.pop().map(|_| self.cluster.now + CATCH_UP);
        self.lost.insert(n, spare.unwrap_or(NEVER));
    }

    fn add(&mut self) {
        let n = self.cluster.add_machine();
        self.newcomer = Some(n);
        let counts = self.cluster.now + CATCH_UP;
        // It is the successor of one that was removed, if there is one without.
        match self.lost.values_mut().find(|until| **until == NEVER) {
            Some(until) => *until = counts,
            None => self.spares.push(n),
        }
    }

    /// A machine whose successor came first and counts: it stops counting with the signal.
    fn terminate(&mut self, who: Target) {
        let (Some(n), Some(_)) = (self.resolve(who), self.spares.pop()) else { return };
        self.cluster.leave(n);
        self.last_target = n;
        self.lost.insert(n, 0);
    }

    /// A machine may be told to leave if it runs and another that counts can take its place.
    pub(super) fn may_leave(&self, who: Target) -> bool {
        let (Some(n), Some(spare)) = (self.resolve(who), self.spares.last()) else { return false };
        let counts = self.cluster.now >= self.cluster.machines[*spare].started + CATCH_UP;
        let runs = |n: usize| self.lost.get(&n).is_none_or(|until| *until <= self.cluster.now);
        counts && n != *spare && self.cluster.machines[n].leaves.is_none() && runs(n) && runs(*spare)
    }

    /// Two operators send different texts under the next number.
    fn same_number(&mut self) {
        self.version += 1;
        for (number, name) in [(0, "of one"), (1, "of the other")] {
            self.operators[number].next = Some(self.replacement(self.version, name));
        }
    }
}
