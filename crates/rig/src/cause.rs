//! How each fault is caused, and what is to be seen when it is over: it ends only once the receiver has noted that
//! the work goes on, and tells whether it landed where it was meant to.

use crate::fleet::Fleet;
use crate::link::{Direction, Way};
use crate::schedule::Fault;
use crate::until;
use serde_json::json;
use std::collections::BTreeSet;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};
use violetyoke_ownership::Name;
use violetyoke_standin::sink::{Noted, Verdict};

/// The figures of the duties under test.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub length: Duration,
    pub span: Duration,
    pub report_shards: u32,
    pub probe_shards: u32,
}

/// What came of a fault.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// It fell into the middle of an owner's act.
    pub landed: bool,
    /// What it kept back came late and was refused, as it has to be. None: nothing was kept back, or its sender
    /// has left it undone by itself.
    pub refused: Option<bool>,
    /// From the fault, or from when the grantor could be reached again, until the work went on elsewhere.
    pub went_on_after: Option<Duration>,
    /// Epochs whose acts were kept back: their refusal is no wonder.
    pub provoked: BTreeSet<u64>,
    /// It could not be caused as meant.
    pub missed: Option<&'static str>,
}

impl Outcome {
    fn missed(why: &'static str) -> Outcome {
        Outcome { missed: Some(why), ..Outcome::default() }
    }
}

/// An effect of a newer epoch was let through.
fn newer(history: &[Noted], lease: &Name, epoch: u64) -> usize {
    let of = |noted: &&Noted| noted.lease == *lease && noted.epoch > epoch && noted.verdict != Verdict::Stale;
    history.iter().filter(of).count()
}

fn stale(history: &[Noted], lease: &Name, epoch: u64) -> bool {
    history
        .iter()
        .any(|noted| noted.lease == *lease && noted.epoch == epoch && noted.verdict == Verdict::Stale)
}

pub struct Causes<'a> {
    pub fleet: &'a mut Fleet,
    pub figures: Figures,
}

impl Causes<'_> {
    /// How long the work may rest before it is taken for stuck.
    fn patience(&self) -> Duration {
        self.figures.length * 3 + self.figures.span * 3 + Duration::from_secs(3)
    }

    fn report(&self, shard: u32) -> Name {
        Name::new("report", shard % self.figures.report_shards)
    }

    fn probe(&self, shard: u32) -> Name {
        Name::new("probe", shard % self.figures.probe_shards)
    }

    fn goes_on(&mut self, lease: &Name, epoch: u64, since: Instant) -> Option<Duration> {
        let patience = self.patience();
        self.fleet.noted(patience, |history| newer(history, lease, epoch) > 0).then(|| since.elapsed())
    }

    /// An owner that is about to act: its number and its epoch.
    fn in_act(&mut self, act: &str, lease: &Name) -> Option<(usize, u64)> {
        let end = Instant::now() + self.patience();
        while Instant::now() < end {
            let Some((owner, _)) = self.fleet.owner(lease) else {
                sleep(Duration::from_millis(50));
                continue;
            };
            let gate = self.fleet.ingresses[owner].gate.clone();
            gate.arm(&format!("checked {act} {lease} "));
            if let Some(point) = gate.held(self.figures.length) {
                let epoch = point.rsplit(' ').next().and_then(|epoch| epoch.parse().ok());
                return epoch.map(|epoch| (owner, epoch));
            }
            gate.open();
        }
        None
    }

    pub fn cause(&mut self, fault: Fault) -> io::Result<Outcome> {
        let outcome = match fault {
            Fault::StopInAct { shard } => self.stop_in_act(shard)?,
            Fault::HeldAct { shard } => self.held_act(shard),
            Fault::HeldWrite { shard } => self.held_write(shard),
            Fault::Hang { shard } => self.hang(shard),
            Fault::SilentUp { shard } => self.silent(shard, Direction::Up),
            Fault::SilentDown { shard } => self.silent(shard, Direction::Down),
            Fault::LateAnswers { shard } => self.late_answers(shard),
            Fault::Slow { shard } => self.slow(shard),
            Fault::Kill { shard } => self.kill(shard, false)?,
            Fault::KillBoth { shard } => self.kill(shard, true)?,
            Fault::Drain { shard } => self.drain(shard)?,
            Fault::HandOver { shard, to } => self.hand_over(shard, to)?,
            Fault::Clock { by } => {
                self.fleet.set_clock(by)?;
                sleep(self.figures.length);
                Outcome { landed: true, ..Outcome::default() }
            }
            Fault::PutBack => self.put_back()?,
            Fault::AllCut => self.all_cut(),
        };
        for ingress in &self.fleet.ingresses {
            ingress.gate.open();
            ingress.to_control.heal();
            ingress.to_sink.heal();
        }
        Ok(outcome)
    }

    fn stop_in_act(&mut self, shard: u32) -> io::Result<Outcome> {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.in_act("send", &lease) else { return Ok(Outcome::missed("no act")) };
        let since = Instant::now();
        self.fleet.ingresses[owner].process.stop()?;
        // What lets it through waits in its socket.
        self.fleet.ingresses[owner].gate.open();
        let went_on_after = self.goes_on(&lease, epoch, since);
        self.fleet.ingresses[owner].process.go_on()?;
        let patience = self.patience();
        let refused = self.fleet.noted(patience, |history| stale(history, &lease, epoch));
        Ok(Outcome {
            landed: true,
            refused: Some(refused),
            went_on_after,
            provoked: [epoch].into(),
            missed: None,
        })
    }

    fn held_act(&mut self, shard: u32) -> Outcome {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.in_act("send", &lease) else { return Outcome::missed("no act") };
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
        Outcome { landed, refused: Some(refused), went_on_after, provoked: [epoch].into(), missed: None }
    }

    fn held_write(&mut self, shard: u32) -> Outcome {
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
        let line = format!("a write is refused by its fence lease={lease} epoch={epoch}");
        link.heal();
        let refused = self.fleet.control.wait_for(&line, 0, patience).is_some();
        Outcome { landed, refused: Some(refused), went_on_after, provoked: [epoch].into(), missed: None }
    }

    fn hang(&mut self, shard: u32) -> Outcome {
        let lease = self.report(shard);
        let Some((_, epoch)) = self.in_act("send", &lease) else { return Outcome::missed("no act") };
        let since = Instant::now();
        // The gate stays shut until the work has gone on elsewhere.
        let went_on_after = self.goes_on(&lease, epoch, since);
        Outcome { landed: true, went_on_after, provoked: [epoch].into(), ..Outcome::default() }
    }

    fn silent(&mut self, shard: u32, direction: Direction) -> Outcome {
        let lease = self.probe(shard);
        let Some((owner, epoch)) = self.fleet.owner(&lease) else { return Outcome::missed("no owner") };
        let since = Instant::now();
        self.fleet.ingresses[owner].to_control.hold(direction);
        let went_on_after = self.goes_on(&lease, epoch, since);
        Outcome { landed: true, went_on_after, ..Outcome::default() }
    }

    /// Answers wait while asks still come through for a third of a length; then nothing comes through, and the
    /// answers come together, shortly before the lease is over.
    fn late_answers(&mut self, shard: u32) -> Outcome {
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

    fn slow(&mut self, shard: u32) -> Outcome {
        let lease = self.probe(shard);
        let Some((owner, _)) = self.fleet.owner(&lease) else { return Outcome::missed("no owner") };
        let way = Way { delay: self.figures.length.mul_f64(0.45), ..Way::default() };
        self.fleet.ingresses[owner].to_control.set(Direction::Up, way);
        self.fleet.ingresses[owner].to_control.set(Direction::Down, way);
        sleep(self.figures.length * 3);
        Outcome { landed: true, ..Outcome::default() }
    }

    fn kill(&mut self, shard: u32, both: bool) -> io::Result<Outcome> {
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

    fn drain(&mut self, shard: u32) -> io::Result<Outcome> {
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

    fn hand_over(&mut self, shard: u32, to: u32) -> io::Result<Outcome> {
        let lease = self.report(shard);
        let Some((owner, epoch)) = self.fleet.owner(&lease) else { return Ok(Outcome::missed("no owner")) };
        let others = self.fleet.ingresses.len() - 1;
        let to = (owner + 1 + to as usize % others.max(1)) % (others + 1);
        let name = self.fleet.ingresses[to].name.clone();
        let path = format!("/v1/duties/{}/shards/{}", lease.duty, lease.shard);
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

    fn put_back(&mut self) -> io::Result<Outcome> {
        let lease = self.report(0);
        let Some(backup) = self.fleet.oldest_backup() else { return Ok(Outcome::missed("no backup")) };
        let epoch = self.fleet.owner(&lease).map_or(0, |(_, epoch)| epoch);
        self.fleet.put_back(&backup)?;
        let went_on_after = self.goes_on(&lease, epoch, Instant::now());
        Ok(Outcome { landed: true, went_on_after, ..Outcome::default() })
    }

    fn all_cut(&mut self) -> Outcome {
        let lease = self.report(0);
        let Some((_, epoch)) = self.fleet.owner(&lease) else { return Outcome::missed("no owner") };
        self.fleet.ingresses.iter().for_each(|ingress| ingress.to_control.cut(true));
        sleep(self.figures.length * 2);
        self.fleet.ingresses.iter().for_each(|ingress| ingress.to_control.cut(false));
        let went_on_after = self.goes_on(&lease, epoch, Instant::now());
        Outcome { landed: true, went_on_after, ..Outcome::default() }
    }
}
