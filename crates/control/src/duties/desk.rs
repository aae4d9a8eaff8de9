//! The desk where leases are given out: the grantor's decisions, each in one transaction of the store.

use super::epochs::Mark;
use super::kept::{self, newest, put, record, words, NEWEST};
use crate::store::{Author, Error, Result, Store, Writes};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use violetyoke_duties::clock::boottime;
use violetyoke_ownership::duty::{Duty, Who};
use violetyoke_ownership::epochs::Epochs;
use violetyoke_ownership::grantor::Grantor;
use violetyoke_ownership::{Answer, Ask, Claim, Epoch, Name, Record};

struct State {
    grantor: Grantor,
    epochs: Epochs,
}

pub struct Desk {
    state: Mutex<State>,
    mark: Mark,
    /// Goes up when there may be something to be had.
    stirs: watch::Sender<u64>,
}

impl Desk {
    /// `wall_ms`: Unix time, which is a floor for epochs and nothing else.
    pub fn open(store: &dyn Store, mark: Mark, wall_ms: u64) -> Result<Desk> {
        let (mut duties, mut newest_epoch) = (Vec::new(), 0);
        store.view(&mut |read| {
            duties = super::declared::read(read)?;
            newest_epoch = newest(read)?;
            Ok(())
        })?;
        let there = mark.read().map_err(|error| Error::Failed(error.to_string()))?;
        let fresh = newest_epoch == 0 && there.is_none();
        let grantor = Grantor::new(duties, fresh, boottime());
        let epochs = Epochs::start(newest_epoch, there.unwrap_or(0), wall_ms);
        let desk = Desk { state: Mutex::new(State { grantor, epochs }), mark, stirs: watch::Sender::new(0) };
        desk.pass(store, wall_ms)?;
        Ok(desk)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn stirs(&self) -> watch::Receiver<u64> {
        self.stirs.subscribe()
    }

    fn stir(&self) {
        self.stirs.send_modify(|count| *count += 1);
    }

    pub fn duties(&self) -> Vec<Duty> {
        self.lock().grantor.duties().cloned().collect()
    }

    pub fn candidates(&self, duty: &str) -> Vec<String> {
        self.lock().grantor.candidates(duty).into_iter().map(String::from).collect()
    }

    /// Whether there is something for a holder to ask for.
    pub fn has_for(&self, holder: &str) -> bool {
        !self.lock().grantor.wanted(holder, boottime()).is_empty()
    }

    /// One call of a holder that is an ingress or a control plane.
    pub fn ask(&self, store: &dyn Store, ask: &Ask, who: Who, wall_ms: u64) -> Result<Answer> {
        let now = boottime();
        let mut state = self.lock();
        let State { grantor, epochs } = &mut *state;
        let mut answer = Answer::default();
        let mut duties = Vec::new();
        for (number, name) in ask.duties.iter().enumerate() {
            let fault = match grantor.duties().find(|duty| duty.name == *name) {
                Some(duty) if duty.kind.who() == who => {
                    duties.push(name.clone());
                    continue;
                }
                Some(_) => "is no duty of such a process",
                None => "is no duty that is declared",
            };
            answer.faults.push((format!("duties[{number}]"), format!("{name:?} {fault}")));
        }
        let mut future = |field: String, epoch: Epoch, faults: &mut Vec<(String, String)>| {
            let plausible = epochs.plausible(epoch);
            if plausible {
                epochs.hear(epoch);
            } else {
                faults.push((field, format!("{epoch} is from the future")));
            }
            plausible
        };
        future("seen".into(), ask.seen, &mut answer.faults);
        let mut fit = |list: &str, number: usize, claim: &Claim, faults: &mut Vec<_>| {
            future(format!("{list}[{number}].epoch"), claim.epoch, faults)
        };
        let mut renew = Vec::new();
        for (number, renewal) in ask.renew.iter().enumerate() {
            if fit("renew", number, &renewal.claim, &mut answer.faults) {
                renew.push(renewal);
            }
        }
        let mut release = Vec::new();
        for (list, claims, ended) in [("release", &ask.release, true), ("gave_up", &ask.gave_up, false)] {
            for (number, claim) in claims.iter().enumerate() {
                if fit(list, number, claim, &mut answer.faults) {
                    release.push((claim, ended));
                }
            }
        }
        let ask = &Ask { duties, ..ask.clone() };
        grantor.heard(ask, now);
        let wanted = if ask.leaving { Vec::new() } else { grantor.wanted(&ask.holder, now) };
        let author = Author { who: "control".into(), at: wall_ms };
        let (mut changed, mut freed) = (Vec::new(), false);
        let faults = std::mem::take(&mut answer.faults);
        store.transact(&author, &mut |read| {
            (answer, changed, freed) = (Answer::default(), Vec::new(), false);
            let mut writes = Writes::default();
            for renewal in &renew {
                let old = record(read, &renewal.claim.name)?;
                match grantor.renew(old.as_ref(), &ask.holder, &renewal.claim, renewal.acts, wall_ms) {
                    Ok((new, given)) => {
                        answer.given.push(given);
                        writes = put(writes, &new)?;
                        changed.push(new);
                    }
                    Err(lost) => answer.lost.push((renewal.claim.clone(), lost)),
                }
            }
            for (claim, ended) in &release {
                let old = record(read, &claim.name)?;
                let freed_record = match ended {
                    true => grantor.release(old.as_ref(), &ask.holder, claim),
                    false => grantor.give_up(old.as_ref(), &ask.holder, claim),
                };
                match freed_record {
                    Ok(new) => {
                        writes = put(writes, &new)?;
                        changed.push(new);
                        freed = true;
                    }
                    Err(lost) => answer.lost.push((Claim::clone(claim), lost)),
                }
            }
            if !wanted.is_empty() {
                // Another process may have given some out on this store.
                epochs.hear(newest(read)?);
                for name in &wanted {
                    let old = record(read, name)?.unwrap_or_else(|| Record::new(name.clone()));
                    let Some((new, given)) = grantor.grant(&old, &ask.holder, epochs.draw(), wall_ms) else {
                        continue;
                    };
                    answer.given.push(given);
                    writes = put(writes, &new)?;
                    changed.push(new);
                }
                if let Some(mark) = epochs.to_reserve() {
                    self.mark.raise(mark).map_err(|error| Error::Failed(format!("epochs: {error}")))?;
                    epochs.reserved(mark);
                }
                writes = writes.put(NEWEST, epochs.newest().into());
            }
            Ok((writes != Writes::default()).then_some(writes))
        })?;
        // Later than any holder's sending: whoever counts from here waits longer than the holder does.
        let now = boottime();
        for record in &changed {
            grantor.observe(record, now);
            if record.holder.is_none() {
                tracing::info!(lease = %record.name, epoch = record.epoch, holder = ask.holder, "released");
            } else if record.beat == 0 {
                tracing::info!(lease = %record.name, epoch = record.epoch, holder = ask.holder, "granted");
            }
        }
        for (claim, why) in &answer.lost {
            tracing::warn!(lease = %claim.name, epoch = claim.epoch, holder = ask.holder, ?why, "not renewed");
        }
        (answer.faults, answer.newest) = (faults, epochs.newest());
        grantor.reply(&mut answer, ask, now);
        if freed || ask.leaving {
            self.stir();
        }
        Ok(answer)
    }

    /// Looks after all leases: takes up what other processes and operators have written, and takes from holders what
    /// has run out.
    pub fn pass(&self, store: &dyn Store, wall_ms: u64) -> Result<()> {
        let (mut duties, mut said, mut records) = (Vec::new(), BTreeMap::new(), Vec::new());
        let mut state = self.lock();
        store.view(&mut |read| {
            (duties, said) = (super::declared::read(read)?, words(read)?);
            records = kept::records(read, None)?;
            Ok(())
        })?;
        let now = boottime();
        let grantor = &mut state.grantor;
        let same = grantor.words_are(&said) && grantor.duties().eq(&duties);
        if !same {
            grantor.declare(duties.clone());
            grantor.words(said);
        }
        for name in duties.iter().flat_map(|duty| (0..duty.shards).map(|shard| Name::new(&duty.name, shard)))
        {
            if !grantor.knows(&name) {
                grantor.observe(&Record::new(name), now);
            }
        }
        for record in &records {
            grantor.observe(record, now);
        }
        grantor.forget(now);
        let out = grantor.run_out(now);
        let mut fallen = Vec::new();
        if !out.is_empty() {
            let author = Author { who: "control".into(), at: wall_ms };
            store.transact(&author, &mut |read| {
                fallen.clear();
                let mut writes = Writes::default();
                for name in &out {
                    let old = record(read, name)?;
                    if let Some(new) = old.and_then(|old| grantor.expire(&old, now)) {
                        writes = put(writes, &new)?;
                        fallen.push(new);
                    }
                }
                Ok((writes != Writes::default()).then_some(writes))
            })?;
        }
        for record in &fallen {
            grantor.observe(record, now);
            let holder = record.fallen.last().map_or("", String::as_str);
            tracing::warn!(lease = %record.name, epoch = record.epoch, holder, "ran out");
            if let Some(reason) = &record.held_back {
                tracing::error!(lease = %record.name, reason, "set aside: an operator is to let it go");
            }
        }
        if !fallen.is_empty() || !same || grantor.has_free() {
            self.stir();
        }
        Ok(())
    }
}
