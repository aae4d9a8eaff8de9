//! Ends of processes, and what operators do.

use super::{Causes, Outcome};
use crate::until;
use serde_json::json;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

impl Causes<'_> {
    pub(super) fn kill(&mut self, shard: u32, both: bool) -> io::Result<Outcome> {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.in_act("send", &lease) else { return Ok(Outcome::missed("no act")) };
        let mut since = Instant::now();
        self.fleet.ingresses[owner].process.kill()?;
        if both {
            self.fleet.control.kill()?;
            sleep(Duration::from_millis(300));
            self.fleet.restart_control()?;
            since = Instant::now();
        }
        let went_on_after = self.goes_on(&lease, epoch, since);
        self.fleet.restart(owner)?;
        Ok(Outcome { landed: true, went_on_after, ..Outcome::default() })
    }

    pub(super) fn drain(&mut self, shard: u32) -> io::Result<Outcome> {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.fleet.owner(&lease) else { return Ok(Outcome::missed("no owner")) };
        let since = Instant::now();
        self.fleet.ingresses[owner].process.terminate()?;
        let went_on_after = self.goes_on(&lease, epoch, since);
        let patience = self.patience();
        let process = &mut self.fleet.ingresses[owner].process;
        let ended = until(patience, || process.has_ended());
        self.fleet.restart(owner)?;
        let missed = (!ended).then_some("the process did not end");
        Ok(Outcome { landed: true, went_on_after, missed, ..Outcome::default() })
    }

    pub(super) fn hand_over(&mut self, shard: u32, to: u32) -> io::Result<Outcome> {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.fleet.owner(&lease) else { return Ok(Outcome::missed("no owner")) };
        let others = self.fleet.ingresses.len() - 1;
        let to = (owner + 1 + to as usize % others.max(1)) % (others + 1);
        let name = self.fleet.ingresses[to].name.clone();
        let path = format!("/v1/duties/{}/shards/{}", lease.role, lease.index);
        let since = Instant::now();
        if self.fleet.api("PUT", &path, json!({ "next": name })).is_err() {
            return Ok(Outcome::missed("it does not call"));
        }
        let went_on_after = self.goes_on(&lease, epoch, since);
        let there = self.fleet.owner(&lease).is_some_and(|(owner, _)| owner == to);
        self.fleet.api("PUT", &path, json!({}))?;
        let missed = (!there).then_some("another has it");
        Ok(Outcome { landed: true, went_on_after, missed, ..Outcome::default() })
    }

    pub(super) fn put_back(&mut self) -> io::Result<Outcome> {
        let lease = self.report(0);
        let Some(backup) = self.fleet.oldest_backup() else { return Ok(Outcome::missed("no backup")) };
        let epoch = self.fleet.owner(&lease).map_or(0, |(_, epoch)| epoch);
        self.fleet.put_back(&backup)?;
        let went_on_after = self.goes_on(&lease, epoch, Instant::now());
        Ok(Outcome { landed: true, went_on_after, ..Outcome::default() })
    }
}
