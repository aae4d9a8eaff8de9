//! The rules, held by the emulator's own tally: what the decisions say of themselves does not count here.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_decision::interface::{Effect, Micros, RequestId};

/// How often each rule was broken, and by how many units.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Broken {
    /// Tries of a living ingress with no answer by their deadline and the slack, and with more than one.
    pub unanswered: u64,
    pub answered_again: u64,
    /// Unsafe tries that ran more than once, and attempts sent while another was out.
    pub ran_twice: u64,
    pub copies: u64,
    /// Attempts to a node after word of its drain and the grace.
    pub after_drain: u64,
    /// Cold nodes pushed over.
    pub pushed_over: u64,
    /// Units past a ceiling with its slack.
    pub past_ceiling: f64,
}

impl Broken {
    pub fn is_none(&self) -> bool {
        *self == Broken::default()
    }
}

/// What is watched of one try.
#[derive(Clone, Debug)]
struct Watched {
    effect: Effect,
    /// The last moment for an answer.
    until: Micros,
    answers: u32,
    runs: u32,
    out: BTreeSet<u64>,
}

#[derive(Debug, Default)]
pub struct Tally {
    pub broken: Broken,
    tries: BTreeMap<RequestId, Watched>,
    /// When an ingress was told that a node takes nothing new.
    drains: BTreeMap<(usize, usize), Micros>,
    grace: Micros,
}

impl Tally {
    pub fn new(grace: Micros) -> Tally {
        Tally { grace, ..Tally::default() }
    }

    /// An ingress has taken a try.
    pub fn taken(&mut self, request: RequestId, effect: Effect, until: Micros) {
        let watched = Watched { effect, until, answers: 0, runs: 0, out: BTreeSet::new() };
        self.tries.insert(request, watched);
    }

    pub fn answered(&mut self, now: Micros, request: RequestId) {
        let Some(watched) = self.tries.get_mut(&request) else { return };
        watched.answers += 1;
        if watched.answers > 1 {
            self.broken.answered_again += 1;
        } else if now > watched.until {
            self.broken.unanswered += 1;
        }
    }

    /// Its ingress has died: nobody can answer it any more.
    pub fn orphaned(&mut self, request: RequestId) {
        if let Some(watched) = self.tries.get_mut(&request) {
            watched.answers = watched.answers.max(1);
            watched.out.clear();
        }
    }

    /// An attempt is sent by an ingress to a node.
    pub fn sent(&mut self, now: Micros, request: RequestId, attempt: u64, ingress: usize, node: usize) {
        if let Some(watched) = self.tries.get_mut(&request) {
            self.broken.copies += u64::from(!watched.out.is_empty());
            watched.out.insert(attempt);
        }
        let told = self.drains.get(&(ingress, node));
        self.broken.after_drain += u64::from(told.is_some_and(|told| now > told + self.grace));
    }

    /// An attempt's end is known to its ingress, or its connection closed.
    pub fn ended(&mut self, request: RequestId, attempt: u64) {
        if let Some(watched) = self.tries.get_mut(&request) {
            watched.out.remove(&attempt);
        }
    }

    /// A node begins to work on a try.
    pub fn runs(&mut self, request: RequestId) {
        if let Some(watched) = self.tries.get_mut(&request) {
            watched.runs += 1;
            self.broken.ran_twice += u64::from(watched.effect == Effect::Unsafe && watched.runs > 1);
        }
    }

    /// An ingress is told how a node stands.
    pub fn told(&mut self, now: Micros, ingress: usize, node: usize, takes: bool) {
        if takes {
            self.drains.remove(&(ingress, node));
        } else {
            self.drains.entry((ingress, node)).or_insert(now);
        }
    }

    /// An ingress begins anew: it has been told nothing.
    pub fn begins(&mut self, ingress: usize) {
        self.drains.retain(|(of, _), _| *of != ingress);
    }

    pub fn pushed_over(&mut self) {
        self.broken.pushed_over += 1;
    }

    pub fn past_ceiling(&mut self, units: f64) {
        self.broken.past_ceiling += units;
    }

    /// Forgets a try that can do nothing any more; one that was never answered is noted.
    pub fn over(&mut self, now: Micros) {
        let broken = &mut self.broken;
        self.tries.retain(|_, watched| {
            let over = now > watched.until + 10_000_000;
            broken.unanswered += u64::from(over && watched.answers == 0);
            !over
        });
    }

    /// The run is over: whatever should have had its answer by now and has none is noted.
    pub fn end(&mut self, now: Micros) {
        let late = |watched: &&Watched| watched.answers == 0 && watched.until < now;
        self.broken.unanswered += self.tries.values().filter(late).count() as u64;
        self.tries.clear();
    }
}
