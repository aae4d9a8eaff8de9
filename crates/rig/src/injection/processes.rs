//! Ends and restarts of processes, and operators' commands.

use super::{FaultInjector, Outcome};
use crate::fleet::shard_path;
use crate::wait_until;
use serde_json::json;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

impl FaultInjector<'_> {
    /// Kills the owner in the middle of an action, and restarts it once a successor has acted.
    pub(super) fn kill_owner(&mut self, shard: u32) -> io::Result<Outcome> {
        let shard = self.report_shard(shard);
        let Some(owner) = self.stop_before("send", &shard) else {
            return Ok(Outcome::not_injected("no action"));
        };
        let since = Instant::now();
        self.fleet.ingresses[owner.ingress].process.kill()?;
        let recovered_after = self.recovery(&shard, owner.epoch, since);
        self.fleet.restart_ingress(owner.ingress)?;
        Ok(Outcome::hit(recovered_after))
    }

    /// Kills the owner in the middle of an action and the control plane with it; the control plane is restarted at once, the
    /// owner once a successor has acted.
    pub(super) fn kill_owner_and_control(&mut self, shard: u32) -> io::Result<Outcome> {
        let shard = self.report_shard(shard);
        let Some(owner) = self.stop_before("send", &shard) else {
            return Ok(Outcome::not_injected("no action"));
        };
        self.fleet.ingresses[owner.ingress].process.kill()?;
        self.fleet.control.kill()?;
        sleep(Duration::from_millis(300));
        self.fleet.restart_control()?;
        let recovered_after = self.recovery(&shard, owner.epoch, Instant::now());
        self.fleet.restart_ingress(owner.ingress)?;
        Ok(Outcome::hit(recovered_after))
    }

    /// Sends SIGTERM to the owner, and restarts it once it has ended.
    pub(super) fn drain_owner(&mut self, shard: u32) -> io::Result<Outcome> {
        let shard = self.report_shard(shard);
        let Some(owner) = self.fleet.owner(&shard) else { return Ok(Outcome::not_injected("no owner")) };
        let since = Instant::now();
        self.fleet.ingresses[owner.ingress].process.terminate()?;
        let recovered_after = self.recovery(&shard, owner.epoch, since);
        let patience = self.patience();
        let process = &mut self.fleet.ingresses[owner.ingress].process;
        let has_ended = wait_until(patience, || process.has_ended());
        self.fleet.restart_ingress(owner.ingress)?;
        let not_injected = (!has_ended).then_some("the process did not end");
        Ok(Outcome { not_injected, ..Outcome::hit(recovered_after) })
    }

    /// An operator moves the shard to another ingress, chosen by number among the others.
    pub(super) fn hand_over(&mut self, shard: u32, to: u32) -> io::Result<Outcome> {
        let shard = self.report_shard(shard);
        let Some(owner) = self.fleet.owner(&shard) else { return Ok(Outcome::not_injected("no owner")) };
        let others = self.fleet.ingresses.len() - 1;
        let successor = (owner.ingress + 1 + to as usize % others.max(1)) % (others + 1);
        let request = json!({ "next": self.fleet.ingresses[successor].name });
        let path = shard_path(&shard);
        let since = Instant::now();
        if self.fleet.call_api("PUT", &path, &request).is_err() {
            return Ok(Outcome::not_injected("the control plane does not accept the successor"));
        }
        let recovered_after = self.recovery(&shard, owner.epoch, since);
        let is_moved = self.fleet.owner(&shard).is_some_and(|owner| owner.ingress == successor);
        self.fleet.call_api("PUT", &path, &json!({}))?;
        let not_injected = (!is_moved).then_some("another ingress owns the shard");
        Ok(Outcome { not_injected, ..Outcome::hit(recovered_after) })
    }

    /// The control plane's wall clock is wrong from now on.
    pub(super) fn shift_clock(&mut self, offset_ms: i64) -> io::Result<Outcome> {
        self.fleet.set_clock_offset_ms(offset_ms)?;
        sleep(self.settings.lease);
        Ok(Outcome::hit(None))
    }

    /// The control plane is restarted with an old backup of its store.
    pub(super) fn restore_backup(&mut self) -> io::Result<Outcome> {
        let shard = self.report_shard(0);
        let Some(backup) = self.fleet.oldest_backup() else { return Ok(Outcome::not_injected("no backup")) };
        let epoch = self.fleet.owner(&shard).map_or(0, |owner| owner.epoch);
        self.fleet.restore_backup(&backup)?;
        Ok(Outcome::hit(self.recovery(&shard, epoch, Instant::now())))
    }
}
