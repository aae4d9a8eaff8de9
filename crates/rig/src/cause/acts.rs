//! Faults in the middle of an act.

use super::{newer, stale, Causes, Outcome};
use crate::link::Direction;
use crate::until;
use std::io;
use std::time::Instant;

impl Causes<'_> {
    pub(super) fn stop_in_act(&mut self, shard: u32) -> io::Result<Outcome> {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.in_act("send", &lease) else { return Ok(Outcome::missed("no act")) };
        let mut provoked = self.epochs_of(owner);
        provoked.insert(epoch);
        let since = Instant::now();
        self.fleet.ingresses[owner].process.stop()?;
        // What lets it through waits in its socket.
        self.fleet.ingresses[owner].gate.open();
        let went_on_after = self.goes_on(&lease, epoch, since);
        self.fleet.ingresses[owner].process.go_on()?;
        let refused = self.fleet.noted(self.figures.length, |history| stale(history, &lease, epoch));
        // Or the old owner has seen that its time was over before it acted.
        let line = format!("lost lease={lease} epoch={epoch} cause=Expired");
        let left = self.fleet.ingresses[owner].process.count(&line) > 0;
        let refused = (refused || !left).then_some(refused);
        Ok(Outcome { landed: true, refused, went_on_after, provoked, missed: None })
    }

    pub(super) fn held_act(&mut self, shard: u32) -> Outcome {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.in_act("send", &lease) else { return Outcome::missed("no act") };
        let mut provoked = self.epochs_of(owner);
        provoked.insert(epoch);
        let since = Instant::now();
        let (link, control) =
            (self.fleet.ingresses[owner].to_sink.clone(), self.fleet.ingresses[owner].to_control.clone());
        link.hold(Direction::Up);
        control.hold(Direction::Up);
        self.fleet.ingresses[owner].gate.open();
        let landed = until(self.figures.length, || link.waiting(Direction::Up) > 0);
        let went_on_after = self.goes_on(&lease, epoch, since);
        let patience = self.patience();
        self.fleet.noted(patience, |history| newer(history, &lease, epoch) >= 3);
        link.heal();
        let refused = self.fleet.noted(patience, |history| stale(history, &lease, epoch));
        Outcome { landed, refused: Some(refused), went_on_after, provoked, missed: None }
    }

    pub(super) fn held_write(&mut self, shard: u32) -> Outcome {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.in_act("close", &lease) else { return Outcome::missed("no act") };
        let since = Instant::now();
        let link = self.fleet.ingresses[owner].to_control.clone();
        let before = link.waiting(Direction::Up);
        link.hold(Direction::Up);
        self.fleet.ingresses[owner].gate.open();
        let landed = until(self.figures.length, || link.waiting(Direction::Up) > before);
        let went_on_after = self.goes_on(&lease, epoch, since);
        let patience = self.patience();
        self.fleet.noted(patience, |history| newer(history, &lease, epoch) >= 3);
        let line = format!("a write is rejected by fencing lease={lease} epoch={epoch}");
        link.heal();
        let refused = self.fleet.control.wait_for(&line, 0, patience).is_some();
        Outcome { landed, refused: Some(refused), went_on_after, provoked: [epoch].into(), missed: None }
    }

    pub(super) fn hang(&mut self, shard: u32) -> Outcome {
        let lease = self.report(shard);
        let Some((_, epoch)) = self.in_act("send", &lease) else { return Outcome::missed("no act") };
        let since = Instant::now();
        // The gate stays shut until the work has gone on elsewhere.
        let went_on_after = self.goes_on(&lease, epoch, since);
        Outcome { landed: true, went_on_after, provoked: [epoch].into(), ..Outcome::default() }
    }
}
