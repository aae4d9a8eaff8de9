//! Injects faults into a fleet. Each fault ends once the sink has received newer effects of the shard or the fleet's
//! patience is over, and reports whether it hit what it was meant for.

mod actions;
mod network;
mod processes;

use crate::fleet::{Fleet, ShardOwner};
use crate::link::Direction;
use crate::schedule::Fault;
use std::collections::BTreeSet;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};
use violetyoke_ownership::ShardId;
use violetyoke_standin::sink::{ReceivedEffect, Verdict};

/// Settings of the duties under test.
#[derive(Clone, Copy, Debug)]
pub struct DutySettings {
    /// The duration of a lease.
    pub lease: Duration,
    /// The interval that one span of the report covers.
    pub span: Duration,
    /// How many shards the report has.
    pub report_shards: u32,
    /// How many shards the probes have.
    pub probe_shards: u32,
}

/// The result of one injected fault.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// It hit an owner in the middle of an action.
    pub hit: bool,
    /// Whether the delayed action arrived late and was refused, as it must be. None: no action was delayed, or its owner
    /// has given it up by itself.
    pub refused: Option<bool>,
    /// From the fault, or from when the control plane was reachable again, until a newer owner acted; none: nobody did.
    pub recovered_after: Option<Duration>,
    /// Epochs whose actions were delayed: their refusal is expected.
    pub delayed_epochs: BTreeSet<u64>,
    /// Why the fault could not be injected as meant.
    pub not_injected: Option<&'static str>,
}

impl Outcome {
    fn not_injected(reason: &'static str) -> Outcome {
        Outcome { not_injected: Some(reason), ..Outcome::default() }
    }

    fn hit(recovered_after: Option<Duration>) -> Outcome {
        Outcome { hit: true, recovered_after, ..Outcome::default() }
    }
}

/// Injects one fault after the other, and heals the fleet after each.
pub struct FaultInjector<'a> {
    /// The fleet under test.
    pub fleet: &'a mut Fleet,
    /// Settings of its duties.
    pub settings: DutySettings,
}

impl FaultInjector<'_> {
    /// Injects a fault and waits until its shard has recovered, then heals all links and releases all breakpoints.
    ///
    /// # Errors
    /// When a process cannot be paused, killed or restarted, or an operator's call fails that must not.
    pub fn inject(&mut self, fault: Fault) -> io::Result<Outcome> {
        let outcome = match fault {
            Fault::StopInAct { shard } => self.pause_before_action(shard)?,
            Fault::HeldAct { shard } => self.hold_action(shard),
            Fault::HeldWrite { shard } => self.hold_write(shard),
            Fault::Hang { shard } => self.hang_worker(shard),
            Fault::SilentUp { shard } => self.hold_control_link(shard, Direction::ToServer),
            Fault::SilentDown { shard } => self.hold_control_link(shard, Direction::ToClient),
            Fault::LateAnswers { shard } => self.delay_responses(shard),
            Fault::Slow { shard } => self.slow_control_link(shard),
            Fault::Kill { shard } => self.kill_owner(shard)?,
            Fault::KillBoth { shard } => self.kill_owner_and_control(shard)?,
            Fault::Drain { shard } => self.drain_owner(shard)?,
            Fault::HandOver { shard, to } => self.hand_over(shard, to)?,
            Fault::Clock { by } => self.shift_clock(by)?,
            Fault::PutBack => self.restore_backup()?,
            Fault::AllCut => self.cut_all(),
        };
        for ingress in &self.fleet.ingresses {
            ingress.breakpoints.release();
            ingress.control_link.heal();
            ingress.sink_link.heal();
        }
        Ok(outcome)
    }

    /// How long a shard may be without effects before it counts as stuck.
    fn patience(&self) -> Duration {
        self.settings.lease * 3 + self.settings.span * 3 + Duration::from_secs(3)
    }

    fn report_shard(&self, number: u32) -> ShardId {
        ShardId::new("report", number % self.settings.report_shards)
    }

    fn probe_shard(&self, number: u32) -> ShardId {
        ShardId::new("probe", number % self.settings.probe_shards)
    }

    /// The epochs of all shards of an ingress: a pause of its process, or a link that holds one action, delays all of them.
    fn epochs_of(&self, ingress: usize) -> BTreeSet<u64> {
        let reports = (0..self.settings.report_shards).map(|shard| ShardId::new("report", shard));
        let probes = (0..self.settings.probe_shards).map(|shard| ShardId::new("probe", shard));
        let owners = reports.chain(probes).filter_map(|shard| self.fleet.owner(&shard));
        owners.filter(|owner| owner.ingress == ingress).map(|owner| owner.epoch).collect()
    }

    /// Waits until a newer owner has acted; how long that was after `since`.
    fn recovery(&mut self, shard: &ShardId, epoch: u64, since: Instant) -> Option<Duration> {
        let patience = self.patience();
        self.fleet
            .wait_for_history(patience, |history| newer_effects(history, shard, epoch) > 0)
            .then(|| since.elapsed())
    }

    /// Stops an owner of the shard at a breakpoint before this kind of action.
    fn stop_before(&mut self, action: &str, shard: &ShardId) -> Option<ShardOwner> {
        let deadline = Instant::now() + self.patience();
        while Instant::now() < deadline {
            let Some(owner) = self.fleet.owner(shard) else {
                sleep(Duration::from_millis(50));
                continue;
            };
            let breakpoints = self.fleet.ingresses[owner.ingress].breakpoints.clone();
            breakpoints.arm(&format!("checked {action} {shard} "));
            if let Some(point) = breakpoints.wait_for_hit(self.settings.lease) {
                let epoch = point.rsplit(' ').next().and_then(|epoch| epoch.parse().ok());
                return epoch.map(|epoch| ShardOwner { epoch, ..owner });
            }
            breakpoints.release();
        }
        None
    }
}

/// How many effects of newer epochs the sink has let through.
fn newer_effects(history: &[ReceivedEffect], shard: &ShardId, epoch: u64) -> usize {
    let is_newer = |effect: &&ReceivedEffect| {
        effect.shard == *shard && effect.epoch > epoch && effect.verdict != Verdict::Stale
    };
    history.iter().filter(is_newer).count()
}

/// Whether the sink has refused an effect of this epoch.
fn has_refused(history: &[ReceivedEffect], shard: &ShardId, epoch: u64) -> bool {
    history
        .iter()
        .any(|effect| effect.shard == *shard && effect.epoch == epoch && effect.verdict == Verdict::Stale)
}
