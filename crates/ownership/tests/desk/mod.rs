//! A grantor and its store in virtual time, and calls to it without delay.

#![allow(clippy::needless_pass_by_value, reason = "not yet revised for readers: see docs/ROADMAP.md")]
#![allow(dead_code, unreachable_pub, reason = "each file of tests uses its own part")]

use violetyoke_ownership::duty::{Duty, Kind};
use violetyoke_ownership::grantor::Grantor;
use violetyoke_ownership::holder::{Change, Holder};
use violetyoke_ownership::{Answer, Ask, Claim, Epoch, Micros, Name, Record};

use std::collections::BTreeMap;

pub const LENGTH: Micros = 1_000_000;

pub fn duty(shards: u32) -> Duty {
    Duty {
        name: "report".into(),
        kind: Kind::Report,
        shards,
        length_ms: LENGTH / 1_000,
        most: 0,
        span_ms: 60_000,
        nodes: Vec::new(),
        every_ms: 1_000,
    }
}

pub fn duties() -> Vec<String> {
    vec!["report".to_string()]
}

/// A grantor and its store.
pub struct Desk {
    pub grantor: Grantor,
    pub store: BTreeMap<Name, Record>,
    pub epoch: Epoch,
}

impl Desk {
    pub fn new(shards: u32) -> Desk {
        let mut grantor = Grantor::new(vec![duty(shards)], true, 0);
        for shard in 0..shards {
            grantor.observe(&Record::new(Name::new("report", shard)), 0);
        }
        Desk { grantor, store: BTreeMap::new(), epoch: 0 }
    }

    /// The same store under a grantor that starts anew.
    pub fn restart(&mut self, now: Micros) {
        let shards = self.grantor.duties().next().unwrap().shards;
        self.grantor = Grantor::new(vec![duty(shards)], false, now);
        for shard in 0..shards {
            let name = Name::new("report", shard);
            let record = self.store.get(&name).cloned().unwrap_or_else(|| Record::new(name));
            self.grantor.observe(&record, now);
        }
    }

    pub fn put(&mut self, record: Record, now: Micros) {
        self.grantor.observe(&record, now);
        self.store.insert(record.name.clone(), record);
    }

    pub fn ask(&mut self, ask: Ask, now: Micros) -> Answer {
        let mut answer = Answer::default();
        self.grantor.heard(&ask, now);
        self.grantor.reply(&mut answer, &ask, now);
        for renewal in ask.renew.clone() {
            let old = self.store.get(&renewal.claim.name);
            match self.grantor.renew(old, &ask.holder, &renewal.claim, renewal.acts, 0) {
                Ok((record, given)) => {
                    answer.given.push(given);
                    self.put(record, now);
                }
                Err(lost) => answer.lost.push((renewal.claim, lost)),
            }
        }
        for claim in ask.release.clone() {
            match self.grantor.release(self.store.get(&claim.name), &ask.holder, &claim) {
                Ok(record) => self.put(record, now),
                Err(lost) => answer.lost.push((claim, lost)),
            }
        }
        for claim in ask.gave_up.clone() {
            if let Ok(record) = self.grantor.give_up(self.store.get(&claim.name), &ask.holder, &claim) {
                self.put(record, now);
            }
        }
        if !ask.leaving {
            for name in self.grantor.wanted(&ask.holder, now) {
                let old = self.store.get(&name).cloned().unwrap_or_else(|| Record::new(name));
                self.epoch += 1;
                if let Some((record, given)) = self.grantor.grant(&old, &ask.holder, self.epoch, 0) {
                    answer.given.push(given);
                    self.put(record, now);
                }
            }
        }
        answer.newest = self.epoch;
        answer
    }

    pub fn pass(&mut self, now: Micros) {
        self.grantor.forget(now);
        for name in self.grantor.run_out(now) {
            if let Some(record) = self.grantor.expire(&self.store[&name], now) {
                self.put(record, now);
            }
        }
    }
}

/// One call without delay, and where the holder has heard nothing lately the next one too: nothing is given before it.
pub fn call(desk: &mut Desk, holder: &mut Holder, now: Micros) -> Vec<Change> {
    let mut changes = Vec::new();
    loop {
        let (number, ask) = holder.ask(now);
        let heard = ask.echo > 0 && now + 1 - ask.echo < LENGTH;
        let answer = desk.ask(ask, now);
        changes.extend(holder.answer(number, answer, now));
        if heard {
            return changes;
        }
    }
}

pub fn gained(changes: &[Change]) -> Vec<Claim> {
    let claim = |change: &Change| match change {
        Change::Gained { claim, .. } => Some(claim.clone()),
        _ => None,
    };
    changes.iter().filter_map(claim).collect()
}

pub fn one(desk: &mut Desk, holder: &mut Holder, now: Micros) -> Claim {
    let gained = gained(&call(desk, holder, now));
    assert_eq!(gained.len(), 1, "one lease is to be had");
    gained[0].clone()
}

pub fn handed_over(changes: &[Change]) -> Vec<Claim> {
    let claim = |change: &Change| match change {
        Change::HandOver(claim) => Some(claim.clone()),
        _ => None,
    };
    changes.iter().filter_map(claim).collect()
}
