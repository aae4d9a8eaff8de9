//! The grantor's side: who may have which shard, and until when.
//!
//! Records stand in a store that several grantors may share and that outlives each of them. What a grantor knows
//! beside them is in its memory: when, on its own clock, it has first seen a record as it is. A lease has run out
//! when its record has stood unchanged for a whole length; so a grantor that starts anew waits that long before it
//! takes anything from anybody, and one whose wall clock jumps does nothing wrong.
//!
//! All that changes a record is a function from the record to the next one, to be called in the store's transaction;
//! [`Grantor::observe`] is told once that is committed.

use crate::deal::Deal;
use crate::duty::Duty;
use crate::record::{Record, FORGIVEN};
use crate::{Claim, Epoch, Given, Lost, Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

/// An operator's word on one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Word {
    /// Who is to have it while it lives.
    #[serde(default)]
    pub next: Option<String>,
    /// Why nobody is to have it.
    #[serde(default)]
    pub held_back: Option<String>,
}

/// A record as it was last seen, and since when it has been like that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    holder: Option<String>,
    epoch: Epoch,
    beat: u64,
    fallen: Vec<String>,
    held_back: bool,
    length: Micros,
    at: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Session {
    duties: BTreeSet<String>,
    last: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    began: Micros,
    /// No epoch was ever given out from this store: there is nobody to wait for.
    fresh: bool,
    duties: BTreeMap<String, Duty>,
    words: BTreeMap<Name, Word>,
    seen: BTreeMap<Name, Seen>,
    sessions: BTreeMap<String, Session>,
    deals: BTreeMap<String, Deal>,
}

impl Grantor {
    pub fn new(duties: Vec<Duty>, fresh: bool, now: Micros) -> Grantor {
        let duties = duties.into_iter().map(|duty| (duty.name.clone(), duty)).collect();
        let (words, seen, sessions, deals) = Default::default();
        let mut grantor = Grantor { began: now, fresh, duties, words, seen, sessions, deals };
        grantor.deal();
        grantor
    }

    /// Other duties are in force. What is held of those that are gone is lost with its next renewal.
    pub fn declare(&mut self, duties: Vec<Duty>) {
        self.duties = duties.into_iter().map(|duty| (duty.name.clone(), duty)).collect();
        let duties = &self.duties;
        self.seen.retain(|name, _| duties.get(&name.duty).is_some_and(|duty| name.shard < duty.shards));
        self.deal();
    }

    pub fn duties(&self) -> impl Iterator<Item = &Duty> {
        self.duties.values()
    }

    fn duty(&self, name: &Name) -> Option<&Duty> {
        self.duties.get(&name.duty).filter(|duty| name.shard < duty.shards)
    }

    fn deal(&mut self) {
        let deal = |duty: &Duty| {
            let may = |session: &Session| session.duties.contains(&duty.name);
            let candidates: Vec<&str> = self
                .sessions
                .iter()
                .filter(|(_, session)| may(session))
                .map(|(name, _)| name.as_str())
                .collect();
            Deal::new(duty, &candidates)
        };
        self.deals = self.duties.values().map(|duty| (duty.name.clone(), deal(duty))).collect();
    }

    /// A holder has called: it is a candidate for a while. Duties that are not declared are left out.
    pub fn heard(&mut self, holder: &str, duties: &[String], leaving: bool, now: Micros) {
        if leaving {
            if self.sessions.remove(holder).is_some() {
                self.deal();
            }
            return;
        }
        let known = |duty: &&String| self.duties.contains_key(*duty);
        let duties: BTreeSet<String> = duties.iter().filter(known).cloned().collect();
        let before = self.sessions.insert(holder.to_string(), Session { duties: duties.clone(), last: now });
        if before.is_none_or(|before| before.duties != duties) {
            self.deal();
        }
    }

    /// Who may have a duty's shards just now.
    pub fn candidates(&self, duty: &str) -> Vec<&str> {
        let of = |(_, session): &(&String, &Session)| session.duties.contains(duty);
        self.sessions.iter().filter(of).map(|(name, _)| name.as_str()).collect()
    }

    /// How soon a candidate for those duties has to call again, in milliseconds: three calls a length.
    pub fn pace_ms(&self, duties: &[String]) -> u64 {
        let lengths = duties.iter().filter_map(|duty| self.duties.get(duty)).map(|duty| duty.length_ms);
        lengths.min().unwrap_or(10_000) / 3
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
        let known = self.seen.get(&record.name);
        let same = |seen: &&Seen| {
            (&seen.holder, seen.epoch, seen.beat) == (&record.holder, record.epoch, record.beat)
        };
        let at = known.filter(same).map_or(now, |seen| seen.at);
        let seen = Seen {
            holder: record.holder.clone(),
            epoch: record.epoch,
            beat: record.beat,
            fallen: record.fallen.clone(),
            held_back: record.held_back.is_some(),
            length: record.length_ms * 1_000,
            at,
        };
        self.seen.insert(record.name.clone(), seen);
    }

    /// Who is to have a shard, of those that live; none: nobody is there, or nobody is to have it.
    fn owner(&self, name: &Name, seen: &Seen) -> Option<&str> {
        let word = self.words.get(name);
        if seen.held_back || word.is_some_and(|word| word.held_back.is_some()) {
            return None;
        }
        // An operator names a process as it is called, not one of its lives.
        let named = word.and_then(|word| word.next.as_deref()).and_then(|next| {
            let fit = |candidate: &&str| {
                let life =
                    candidate.strip_prefix(next).is_some_and(|rest| rest.is_empty() || rest.starts_with('#'));
                life && !seen.fallen.iter().any(|fallen| fallen == candidate)
            };
            self.candidates(&name.duty).into_iter().find(fit)
        });
        named.or_else(|| self.deals.get(&name.duty)?.owner(name.shard, &seen.fallen))
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
        let before = self.sessions.len();
        let duties = &self.duties;
        self.sessions.retain(|_, session| {
            let lengths = session.duties.iter().filter_map(|duty| duties.get(duty));
            let length = lengths.map(|duty| duty.length_ms).max().unwrap_or(10_000) * 1_000;
            now.saturating_sub(session.last) < length
        });
        if self.sessions.len() != before {
            self.deal();
        }
    }
}
