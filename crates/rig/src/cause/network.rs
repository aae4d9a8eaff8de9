//! Faults of the network between an owner and the grantor.

use super::{Causes, Outcome};
use crate::link::{Direction, Way};
use std::thread::sleep;
use std::time::Instant;

impl Causes<'_> {
    pub(super) fn silent(&mut self, shard: u32, direction: Direction) -> Outcome {
        let lease = self.probe(shard);
        let Some((owner, epoch)) = self.fleet.owner(&lease) else { return Outcome::missed("no owner") };
        let since = Instant::now();
        self.fleet.ingresses[owner].to_control.hold(direction);
        let went_on_after = self.goes_on(&lease, epoch, since);
        Outcome { landed: true, went_on_after, ..Outcome::default() }
    }

    /// Answers wait while asks still come through for a third of a length; then nothing comes through, and the
    /// answers come together, shortly before the lease is over.
    pub(super) fn late_answers(&mut self, shard: u32) -> Outcome {
        let lease = self.probe(shard);
        let Some((owner, epoch)) = self.fleet.owner(&lease) else { return Outcome::missed("no owner") };
        let link = self.fleet.ingresses[owner].to_control.clone();
        let since = Instant::now();
        link.hold(Direction::Down);
        sleep(self.figures.length.mul_f64(0.35));
        let landed = link.waiting(Direction::Down) > 0;
        link.hold(Direction::Up);
        sleep(self.figures.length.mul_f64(0.25));
        link.set(Direction::Down, Way::default());
        let went_on_after = self.goes_on(&lease, epoch, since);
        // For as long as one would go on that counts from the answers.
        sleep(self.figures.length);
        Outcome { landed, went_on_after, ..Outcome::default() }
    }

    pub(super) fn slow(&mut self, shard: u32) -> Outcome {
        let lease = self.probe(shard);
        let Some((owner, _)) = self.fleet.owner(&lease) else { return Outcome::missed("no owner") };
        let way = Way { delay: self.figures.length.mul_f64(0.45), ..Way::default() };
        self.fleet.ingresses[owner].to_control.set(Direction::Up, way);
        self.fleet.ingresses[owner].to_control.set(Direction::Down, way);
        sleep(self.figures.length * 3);
        Outcome { landed: true, ..Outcome::default() }
    }

    pub(super) fn all_cut(&mut self) -> Outcome {
        let lease = self.report(0);
        let Some((_, epoch)) = self.fleet.owner(&lease) else { return Outcome::missed("no owner") };
        self.fleet.ingresses.iter().for_each(|ingress| ingress.to_control.cut(true));
        sleep(self.figures.length * 2);
        self.fleet.ingresses.iter().for_each(|ingress| ingress.to_control.cut(false));
        let went_on_after = self.goes_on(&lease, epoch, Instant::now());
        Outcome { landed: true, went_on_after, ..Outcome::default() }
    }
}
