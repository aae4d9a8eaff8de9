//! The holder's side: what is this process's, and until when.
//!
//! A lease is good for its length from *before the call was sent* that brought it, less what clocks may differ by: by
//! then the grantor, who counts from when it got the call, still keeps it. An answer is taken once, and counts from its
//! own call in whatever order answers come, so nothing that comes late or twice makes a lease longer. A renewal is
//! asked for only where the work has gone on since the last one: a worker that hangs loses its lease while the rest of
//! its process lives.

pub use crate::change::{Change, Why};
pub use crate::weakness::Weakness;
use crate::{Answer, Ask, Claim, Epoch, Lost, Micros, Name, Renewal, DRIFT};
use std::collections::BTreeMap;

/// Calls whose answers are still waited for; an older one is given up.
pub const MOST_CALLS: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Own {
    epoch: Epoch,
    until: Micros,
    acts: u64,
    /// Whether the work has gone on since the last renewal was sent.
    moved: bool,
    /// It is to be handed over: no more work is begun.
    ending: bool,
    /// The work has ended: to be released.
    ended: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    sent: Micros,
    renews: Vec<Claim>,
    releases: Vec<Claim>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    name: String,
    duties: Vec<String>,
    owns: BTreeMap<Name, Own>,
    /// Whose time was over here before the grantor has taken them back: it may, and need not wait.
    gave_up: Vec<Claim>,
    /// The newest epoch of each shard that was ever held here: one that is over never comes back.
    had: BTreeMap<Name, Epoch>,
    /// Calls by their numbers.
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    seen: Epoch,
    echo: u64,
    leaving: bool,
    weakness: Weakness,
}

impl Holder {
    pub fn new(name: impl Into<String>, duties: Vec<String>) -> Holder {
        Holder {
            name: name.into(),
            duties,
            owns: BTreeMap::new(),
            gave_up: Vec::new(),
            had: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 1,
            seen: 0,
            echo: 0,
            leaving: false,
            weakness: Weakness::default(),
        }
    }

    pub fn weakened(self, weakness: Weakness) -> Holder {
        Holder { weakness, ..self }
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// A call to be sent now, and its number.
    pub fn ask(&mut self, now: Micros) -> (u64, Ask) {
        let number = self.next_call;
        self.next_call += 1;
        while self.calls.len() >= MOST_CALLS {
            self.calls.pop_first();
        }
        let (mut renew, mut release) = (Vec::new(), Vec::new());
        for (name, own) in &mut self.owns {
            let claim = Claim { name: name.clone(), epoch: own.epoch };
            if own.ended {
                release.push(claim);
            } else if own.moved || self.weakness.by_timer {
                own.moved = false;
                renew.push(Renewal { claim, acts: own.acts });
            }
        }
        let gave_up = self.gave_up.clone();
        let renews = renew.iter().map(|renewal: &Renewal| renewal.claim.clone()).collect();
        self.calls.insert(
            number,
            Call { sent: now, renews, releases: [release.clone(), gave_up.clone()].concat() },
        );
        let (holder, duties) = (self.name.clone(), self.duties.clone());
        let (seen, echo, leaving) = (self.seen, self.echo, self.leaving);
        (number, Ask { holder, duties, renew, release, gave_up, seen, echo, leaving })
    }

    /// A call's answer has come.
    pub fn answer(&mut self, number: u64, answer: Answer, now: Micros) -> Vec<Change> {
        let Some(Call { sent, releases, .. }) = self.calls.remove(&number) else { return Vec::new() };
        self.hear(answer.newest);
        self.echo = self.echo.max(answer.token);
        let mut changes = Vec::new();
        for claim in releases {
            // Whether it was taken back or had been lost: it is not held any more.
            self.gave_up.retain(|gave_up| *gave_up != claim);
            self.drop_claim(&claim, Why::OverTime, &mut changes);
        }
        let from = if self.weakness.from_answer { now } else { sent };
        for given in answer.given {
            let length = given.length_ms * 1_000;
            let until = from + length - length / DRIFT;
            if now >= until {
                // Over before it came.
                continue;
            }
            let Claim { name, epoch } = given.claim.clone();
            self.hear(epoch);
            match self.owns.get_mut(&name) {
                Some(own) if own.epoch == epoch => {
                    own.until = own.until.max(until);
                    if given.hand_over && !own.ending {
                        own.ending = true;
                        changes.push(Change::HandOver(given.claim));
                    }
                }
                Some(own) if own.epoch > epoch => {}
                // A late answer brings nothing back that was over.
                _ if self.had.get(&name).is_some_and(|had| *had >= epoch) => {}
                _ if !given.hand_over && !self.leaving => {
                    self.had.insert(name.clone(), epoch);
                    let own = Own { epoch, until, acts: 0, moved: true, ending: false, ended: false };
                    if let Some(old) = self.owns.insert(name.clone(), own) {
                        let claim = Claim { name, epoch: old.epoch };
                        changes.push(Change::Lost { claim, why: Why::Told(Lost::Newer) });
                    }
                    changes.push(Change::Gained { claim: given.claim, mark: given.mark });
                }
                _ => {}
            }
        }
        for (claim, lost) in answer.lost {
            self.drop_claim(&claim, Why::Told(lost), &mut changes);
        }
        changes
    }

    /// A call that is known to bring no answer.
    pub fn unanswered(&mut self, number: u64) {
        let Some(call) = self.calls.remove(&number) else { return };
        // What it was to renew is renewed by the next: the work had gone on.
        for claim in call.renews {
            if let Some(own) = self.owns.get_mut(&claim.name).filter(|own| own.epoch == claim.epoch) {
                own.moved = true;
            }
        }
    }

    fn drop_claim(&mut self, claim: &Claim, why: Why, changes: &mut Vec<Change>) {
        let there = self.owns.get(&claim.name).filter(|own| own.epoch == claim.epoch);
        let Some(own) = there else { return };
        let ended = own.ended;
        self.owns.remove(&claim.name);
        if !ended {
            changes.push(Change::Lost { claim: claim.clone(), why });
        }
    }

    fn hear(&mut self, epoch: Epoch) {
        self.seen = self.seen.max(epoch);
    }

    /// Leases whose time is over. To be called before anything else is done at a time.
    pub fn lapse(&mut self, now: Micros) -> Vec<Change> {
        let over: Vec<Claim> = (self.owns.iter().filter(|(_, own)| own.until <= now))
            .map(|(name, own)| Claim { name: name.clone(), epoch: own.epoch })
            .collect();
        let mut changes = Vec::new();
        for claim in over {
            self.drop_claim(&claim, Why::OverTime, &mut changes);
            self.gave_up.push(claim);
        }
        changes
    }

    /// Whether an effect may be begun now. To be asked directly before each.
    pub fn may(&self, claim: &Claim, now: Micros) -> bool {
        let own = self.owns.get(&claim.name).filter(|own| own.epoch == claim.epoch);
        own.is_some_and(|own| now < own.until && !own.ended)
    }

    /// The work has gone on: an act was done, or there was nothing to do.
    pub fn moved(&mut self, claim: &Claim, acts: u64) {
        if let Some(own) = self.owns.get_mut(&claim.name).filter(|own| own.epoch == claim.epoch) {
            own.moved = true;
            own.acts += acts;
        }
    }

    /// The work has ended in order: the lease goes back with the next call.
    pub fn ended(&mut self, claim: &Claim) {
        if let Some(own) = self.owns.get_mut(&claim.name).filter(|own| own.epoch == claim.epoch) {
            own.ended = true;
        }
    }

    /// A receiver has refused an effect: a newer owner has been there.
    pub fn fenced(&mut self, claim: &Claim, newest: Epoch) -> Vec<Change> {
        let mut changes = Vec::new();
        self.hear(newest);
        self.drop_claim(claim, Why::Fenced { newest }, &mut changes);
        changes
    }

    /// The process ends: what it has is handed over, and nothing more is taken.
    pub fn leave(&mut self) -> Vec<Change> {
        self.leaving = true;
        let mut changes = Vec::new();
        for (name, own) in self.owns.iter_mut().filter(|(_, own)| !own.ending) {
            own.ending = true;
            changes.push(Change::HandOver(Claim { name: name.clone(), epoch: own.epoch }));
        }
        changes
    }

    /// Whether there is something to tell at once: work that has ended.
    pub fn urgent(&self) -> bool {
        !self.gave_up.is_empty() || self.owns.values().any(|own| own.ended)
    }

    pub fn owned(&self) -> impl Iterator<Item = Claim> + '_ {
        self.owns.iter().map(|(name, own)| Claim { name: name.clone(), epoch: own.epoch })
    }
}
