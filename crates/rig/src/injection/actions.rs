//! Faults in the middle of an owner's action.

use super::{has_refused, newer_effects, FaultInjector, Outcome};
use crate::link::Direction;
use crate::wait_until;
use std::io;
use std::time::Instant;

/// How many effects of the successor come before a delayed action is passed on.
const SUCCESSOR_EFFECTS: usize = 3;

impl FaultInjector<'_> {
    /// Pauses the owner's process between the check of its lease and the action, until a successor has acted.
    pub(super) fn pause_before_action(&mut self, shard: u32) -> io::Result<Outcome> {
        let shard = self.report_shard(shard);
        let Some(owner) = self.stop_before("send", &shard) else {
            return Ok(Outcome::not_injected("no action"));
        };
        let mut delayed_epochs = self.epochs_of(owner.ingress);
        delayed_epochs.insert(owner.epoch);
        let since = Instant::now();
        self.fleet.ingresses[owner.ingress].process.pause()?;
        // The byte that lets the worker go on waits in the paused process's socket.
        self.fleet.ingresses[owner.ingress].breakpoints.release();
        let recovered_after = self.recovery(&shard, owner.epoch, since);
        self.fleet.ingresses[owner.ingress].process.resume()?;
        let lease = self.settings.lease;
        let refused = self.fleet.wait_for_history(lease, |history| has_refused(history, &shard, owner.epoch));
        // Otherwise the old owner has seen that its lease had expired, and has given the action up.
        let line = format!("lost lease={shard} epoch={} cause=Expired", owner.epoch);
        let gave_up = self.fleet.ingresses[owner.ingress].process.count_lines(&line) > 0;
        let refused = (refused || !gave_up).then_some(refused);
        Ok(Outcome { hit: true, refused, recovered_after, delayed_epochs, not_injected: None })
    }

    /// Holds an action in the link to the sink and its owner's calls to the control plane, until the successor has acted.
    pub(super) fn hold_action(&mut self, shard: u32) -> Outcome {
        let shard = self.report_shard(shard);
        let Some(owner) = self.stop_before("send", &shard) else { return Outcome::not_injected("no action") };
        let mut delayed_epochs = self.epochs_of(owner.ingress);
        delayed_epochs.insert(owner.epoch);
        let since = Instant::now();
        let ingress = &self.fleet.ingresses[owner.ingress];
        let (sink_link, control_link) = (ingress.sink_link.clone(), ingress.control_link.clone());
        sink_link.hold(Direction::ToServer);
        control_link.hold(Direction::ToServer);
        ingress.breakpoints.release();
        let hit = wait_until(self.settings.lease, || sink_link.held_chunks(Direction::ToServer) > 0);
        let recovered_after = self.recovery(&shard, owner.epoch, since);
        let patience = self.patience();
        self.fleet.wait_for_history(patience, |history| {
            newer_effects(history, &shard, owner.epoch) >= SUCCESSOR_EFFECTS
        });
        sink_link.heal();
        let refused =
            self.fleet.wait_for_history(patience, |history| has_refused(history, &shard, owner.epoch));
        Outcome { hit, refused: Some(refused), recovered_after, delayed_epochs, not_injected: None }
    }

    /// Holds a write to the control plane's store, until the successor has acted.
    pub(super) fn hold_write(&mut self, shard: u32) -> Outcome {
        let shard = self.report_shard(shard);
        let Some(owner) = self.stop_before("close", &shard) else {
            return Outcome::not_injected("no action");
        };
        let since = Instant::now();
        let ingress = &self.fleet.ingresses[owner.ingress];
        let link = ingress.control_link.clone();
        let held_before = link.held_chunks(Direction::ToServer);
        link.hold(Direction::ToServer);
        ingress.breakpoints.release();
        let hit = wait_until(self.settings.lease, || link.held_chunks(Direction::ToServer) > held_before);
        let recovered_after = self.recovery(&shard, owner.epoch, since);
        let patience = self.patience();
        self.fleet.wait_for_history(patience, |history| {
            newer_effects(history, &shard, owner.epoch) >= SUCCESSOR_EFFECTS
        });
        let line = format!("a write is rejected by fencing lease={shard} epoch={}", owner.epoch);
        link.heal();
        let refused = self.fleet.control.wait_for_line(&line, 0, patience).is_some();
        let delayed_epochs = [owner.epoch].into();
        Outcome { hit, refused: Some(refused), recovered_after, delayed_epochs, not_injected: None }
    }

    /// A worker hangs while its process goes on: it stays at the breakpoint until a successor has acted.
    pub(super) fn hang_worker(&mut self, shard: u32) -> Outcome {
        let shard = self.report_shard(shard);
        let Some(owner) = self.stop_before("send", &shard) else { return Outcome::not_injected("no action") };
        let recovered_after = self.recovery(&shard, owner.epoch, Instant::now());
        Outcome { delayed_epochs: [owner.epoch].into(), ..Outcome::hit(recovered_after) }
    }
}
