//! How each fault is caused, and what is to be seen when it is over: it ends only once the receiver has noted that
//! the work goes on, and tells whether it landed where it was meant to.

mod acts;
mod network;
mod processes;

use crate::fleet::Fleet;
use crate::link::Direction;
use crate::schedule::Fault;
use std::collections::BTreeSet;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};
use violetyoke_ownership::ShardId;
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
fn newer(history: &[Noted], lease: &ShardId, epoch: u64) -> usize {
    let of = |noted: &&Noted| noted.lease == *lease && noted.epoch > epoch && noted.verdict != Verdict::Stale;
    history.iter().filter(of).count()
}

fn stale(history: &[Noted], lease: &ShardId, epoch: u64) -> bool {
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

    fn report(&self, shard: u32) -> ShardId {
        ShardId::new("report", shard % self.figures.report_shards)
    }

    fn probe(&self, shard: u32) -> ShardId {
        ShardId::new("probe", shard % self.figures.probe_shards)
    }

    /// The epochs of all that an ingress owns: a stop, or a link that holds one act of its, holds all of them.
    fn epochs_of(&self, owner: usize) -> BTreeSet<u64> {
        let reports = (0..self.figures.report_shards).map(|shard| ShardId::new("report", shard));
        let probes = (0..self.figures.probe_shards).map(|shard| ShardId::new("probe", shard));
        let its =
            reports.chain(probes).filter_map(|lease| self.fleet.owner(&lease)).filter(|(of, _)| *of == owner);
        its.map(|(_, epoch)| epoch).collect()
    }

    fn goes_on(&mut self, lease: &ShardId, epoch: u64, since: Instant) -> Option<Duration> {
        let patience = self.patience();
        self.fleet.noted(patience, |history| newer(history, lease, epoch) > 0).then(|| since.elapsed())
    }

    /// An owner that is about to act: its number and its epoch.
    fn in_act(&mut self, act: &str, lease: &ShardId) -> Option<(usize, u64)> {
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
}
