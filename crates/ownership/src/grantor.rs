//! The grantor's side: who may have which shard, and until when.
//!
//! Records stand in a store that several grantors may share and that outlives each of them. What a grantor knows
//! beside them is in its memory: when, on its own clock, it has first seen a record as it is. A lease has run out
//! when its record has stood unchanged for a whole length; so a grantor that starts anew waits that long before it
//! takes anything from anybody, and one whose wall clock jumps does nothing wrong.
//!
//! All that changes a record is a function from the record to the next one, to be called in the store's transaction;
//! [`Grantor::observe`] is told once that is committed.

use crate::candidates::Candidates;
use crate::duty::Duty;
use crate::record::{Record, FORGIVEN};
pub use crate::seen::Word;
use crate::seen::{token, Seen};
use crate::{Answer, Ask, Claim, Epoch, Given, Lost, Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    began: Micros,
    /// No epoch was ever given out from this store: there is nobody to wait for.
    fresh: bool,
    duties: BTreeMap<String, Duty>,
    words: BTreeMap<Name, Word>,
    seen: BTreeMap<Name, Seen>,
    candidates: Candidates,
}

impl Grantor {
    pub fn new(duties: Vec<Duty>, fresh: bool, now: Micros) -> Grantor {
        let duties = duties.into_iter().map(|duty| (duty.name.clone(), duty)).collect();
        let (words, seen, candidates) = Default::default();
        let mut grantor = Grantor { began: now, fresh, duties, words, seen, candidates };
        grantor.candidates.deal(&grantor.duties);
        grantor
    }

    /// Other duties are in force. What is held of those that are gone is lost with its next renewal.
    pub fn declare(&mut self, duties: Vec<Duty>) {
        self.duties = duties.into_iter().map(|duty| (duty.name.clone(), duty)).collect();
        let duties = &self.duties;
        self.seen.retain(|name, _| duties.get(&name.duty).is_some_and(|duty| name.shard < duty.shards));
        self.candidates.deal(&self.duties);
    }

    pub fn duties(&self) -> impl Iterator<Item = &Duty> {
        self.duties.values()
    }

    fn duty(&self, name: &Name) -> Option<&Duty> {
        self.duties.get(&name.duty).filter(|duty| name.shard < duty.shards)
    }

    /// A holder has called: it is a candidate for a while, if an answer of the last length has reached it.
    /// Duties that are not declared are left out.
    pub fn heard(&mut self, ask: &Ask, now: Micros) {
        let known = |duty: &&String| self.duties.contains_key(*duty);
        let duties: BTreeSet<String> = ask.duties.iter().filter(known).cloned().collect();
        let lengths =
            duties.iter().filter_map(|duty| self.duties.get(duty)).map(|duty| duty.length_ms * 1_000);
        let length = lengths.min().unwrap_or(0);
        // A token of another clock, or of none, is one that was not heard.
        let hears = ask.echo > 0 && ask.echo <= token(now) && token(now) - ask.echo < length;
        let changed = match ask.leaving {
            true => self.candidates.leaves(&ask.holder),
            false => self.candidates.calls(&ask.holder, duties, hears, now),
        };
        if changed {
            self.candidates.deal(&self.duties);
        }
    }

    /// What goes with an answer, and the pause until the next call in milliseconds: three calls a length, and the
    /// second call of a holder soon, as nothing is given before it.
    pub fn reply(&self, answer: &mut Answer, ask: &Ask, now: Micros) {
        answer.token = token(now);
        let lengths = ask.duties.iter().filter_map(|duty| self.duties.get(duty)).map(|duty| duty.length_ms);
        let pace = lengths.min().unwrap_or(10_000) / 3;
        answer.again_ms = if self.candidates.hears(&ask.holder) || ask.echo > 0 { pace } else { 1 };
    }

    /// Who may have a duty's shards just now.
    pub fn candidates(&self, duty: &str) -> Vec<&str> {
        self.candidates.of(duty)
    }

    /// What operators have said, all of it.
    pub fn words(&mut self, words: BTreeMap<Name, Word>) {
        self.words = words;
    }

    pub fn words_are(&self, words: &BTreeMap<Name, Word>) -> bool {
        self.words == *words
    }

    pub fn knows(&self, name: &Name) -> bool {
        self.seen.contains_key(name)
    }

    /// Whether something waits for an owner that is there.
    pub fn has_free(&self) -> bool {
        self.seen.iter().any(|(name, seen)| seen.holder.is_none() && self.owner(name, seen).is_some())
    }

    /// A record as it stands in the store now.
    pub fn observe(&mut self, record: &Record, now: Micros) {
        let seen = Seen::new(record, self.seen.get(&record.name), now);
        self.seen.insert(record.name.clone(), seen);
    }

    /// Who is to have a shard, of those that live; none: nobody is there, or nobody is to have it.
    fn owner(&self, name: &Name, seen: &Seen) -> Option<&str> {
        let word = self.words.get(name);
        if seen.held_back || word.is_some_and(|word| word.held_back.is_some()) {
            return None;
        }
        let named =
            word.and_then(|word| self.candidates.named(word.next.as_deref()?, &name.duty, &seen.fallen));
        named.or_else(|| self.candidates.owner(name, &seen.fallen))
    }

    /// Shards that are nobody's, and that this holder is to have.
    pub fn wanted(&self, holder: &str, now: Micros) -> Vec<Name> {
        let free = |(name, seen): (&Name, &Seen)| {
            let length = self.duty(name)?.length_ms * 1_000;
            let waited = self.fresh || now.saturating_sub(self.began) >= length;
            let its = waited && seen.holder.is_none() && self.owner(name, seen) == Some(holder);
            its.then(|| name.clone())
        };
        self.seen.iter().filter_map(free).collect()
    }

    /// Whether somebody else is to have what this holder has.
    fn leaves(&self, record: &Record) -> bool {
        let Some(seen) = self.seen.get(&record.name) else { return false };
        let back = self.words.get(&record.name).is_some_and(|word| word.held_back.is_some());
        let owner = self.owner(&record.name, seen);
        back || owner.is_some_and(|owner| record.holder.as_deref() != Some(owner))
    }

    fn given(&self, record: &Record, hand_over: bool) -> Given {
        let claim = Claim { name: record.name.clone(), epoch: record.epoch };
        Given { claim, length_ms: record.length_ms, mark: record.mark, hand_over }
    }

    /// A free shard to a holder that is to have it, under a new epoch. None: it is not to be had.
    pub fn grant(
        &self,
        record: &Record,
        holder: &str,
        epoch: Epoch,
        wall_ms: u64,
    ) -> Option<(Record, Given)> {
        let duty = self.duty(&record.name)?;
        let seen = self.seen.get(&record.name)?;
        let its = record.holder.is_none()
            && record.held_back.is_none()
            && epoch > record.epoch
            && self.owner(&record.name, seen) == Some(holder);
        if !its {
            return None;
        }
        let record = Record {
            holder: Some(holder.to_string()),
            epoch,
            beat: 0,
            length_ms: duty.length_ms,
            acts: 0,
            since: wall_ms,
            worked: wall_ms,
            ..record.clone()
        };
        let given = self.given(&record, false);
        Some((record, given))
    }

    /// The work under a lease goes on. `None` of the record: the store has none.
    pub fn renew(
        &self,
        record: Option<&Record>,
        holder: &str,
        claim: &Claim,
        acts: u64,
        wall_ms: u64,
    ) -> Result<(Record, Given), Lost> {
        let record = self.held(record, holder, claim)?;
        let mut record = Record { beat: record.beat + 1, acts, worked: wall_ms, ..record.clone() };
        if acts > 0 {
            record.falls = 0;
        }
        if record.beat >= FORGIVEN {
            record.fallen.clear();
        }
        let given = self.given(&record, self.leaves(&record));
        Ok((record, given))
    }

    /// The work has ended as it should.
    pub fn release(&self, record: Option<&Record>, holder: &str, claim: &Claim) -> Result<Record, Lost> {
        let record = self.held(record, holder, claim)?;
        Ok(Record { holder: None, falls: 0, ..record.clone() })
    }

    /// The holder's own clock has ended it: nobody need wait for the grantor's.
    pub fn give_up(&self, record: Option<&Record>, holder: &str, claim: &Claim) -> Result<Record, Lost> {
        let mut record = self.held(record, holder, claim)?.clone();
        record.fall();
        Ok(record)
    }

    fn held<'a>(&self, record: Option<&'a Record>, holder: &str, claim: &Claim) -> Result<&'a Record, Lost> {
        if self.duty(&claim.name).is_none() {
            return Err(Lost::Gone);
        }
        match record {
            Some(record) if record.is(holder, claim.epoch) => Ok(record),
            Some(record) if record.epoch > claim.epoch => Err(Lost::Newer),
            Some(record) if record.epoch == claim.epoch => Err(Lost::RanOut),
            _ => Err(Lost::Unknown),
        }
    }

    /// Looks after one record: a lease that has run out is taken from its holder, who falls.
    pub fn expire(&self, record: &Record, now: Micros) -> Option<Record> {
        let seen = self.seen.get(&record.name)?;
        let same = record.is(seen.holder.as_deref()?, seen.epoch) && record.beat == seen.beat;
        if !same || now.saturating_sub(seen.at) < seen.length {
            return None;
        }
        let mut record = record.clone();
        record.fall();
        Some(record)
    }

    /// Names of leases that have run out, as far as has been seen.
    pub fn run_out(&self, now: Micros) -> Vec<Name> {
        let out = |seen: &Seen| seen.holder.is_some() && now.saturating_sub(seen.at) >= seen.length;
        self.seen.iter().filter(|(_, seen)| out(seen)).map(|(name, _)| name.clone()).collect()
    }

    /// Candidates that have not called for a length are none any more.
    pub fn forget(&mut self, now: Micros) {
        if self.candidates.forget(&self.duties, now) {
            self.candidates.deal(&self.duties);
        }
    }
}
