//! Who calls, and so may have shards.

use crate::deal::Deal;
use crate::duty::Duty;
use crate::{Micros, Name};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Session {
    duties: BTreeSet<String>,
    last: Micros,
    /// Its calls come, and answers reach it in good time.
    hears: bool,
}

/// Candidates by their names, and what is dealt to them. Where something has changed it is to be dealt anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Candidates {
    sessions: BTreeMap<String, Session>,
    deals: BTreeMap<String, Deal>,
}

impl Candidates {
    pub fn deal(&mut self, duties: &BTreeMap<String, Duty>) {
        let deal = |duty: &Duty| Deal::new(duty, &self.of(&duty.name));
        self.deals = duties.values().map(|duty| (duty.name.clone(), deal(duty))).collect();
    }

    /// Whether that changes who is a candidate for what.
    pub fn calls(&mut self, holder: &str, duties: BTreeSet<String>, hears: bool, now: Micros) -> bool {
        let session = Session { duties: duties.clone(), last: now, hears };
        let before = self.sessions.insert(holder.to_string(), session);
        before.map_or(hears, |before| before.duties != duties || before.hears != hears)
    }

    pub fn hears(&self, holder: &str) -> bool {
        self.sessions.get(holder).is_some_and(|session| session.hears)
    }

    pub fn leaves(&mut self, holder: &str) -> bool {
        self.sessions.remove(holder).is_some()
    }

    /// Whether there was one that has not called for a length.
    pub fn forget(&mut self, duties: &BTreeMap<String, Duty>, now: Micros) -> bool {
        let before = self.sessions.len();
        self.sessions.retain(|_, session| {
            let lengths = session.duties.iter().filter_map(|duty| duties.get(duty));
            let length = lengths.map(|duty| duty.length_ms).max().unwrap_or(10_000) * 1_000;
            now.saturating_sub(session.last) < length
        });
        self.sessions.len() != before
    }

    pub fn of(&self, duty: &str) -> Vec<&str> {
        let of = |(_, session): &(&String, &Session)| session.hears && session.duties.contains(duty);
        self.sessions.iter().filter(of).map(|(name, _)| name.as_str()).collect()
    }

    /// The life of a process, by the process' name as operators use it, if it lives and has not fallen.
    pub fn named(&self, process: &str, duty: &str, fallen: &[String]) -> Option<&str> {
        let fit = |candidate: &&str| {
            let rest = candidate.strip_prefix(process);
            let its = rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('#'));
            its && !fallen.iter().any(|fallen| fallen == candidate)
        };
        self.of(duty).into_iter().find(fit)
    }

    /// Whom a shard is dealt to.
    pub fn owner(&self, name: &Name, fallen: &[String]) -> Option<&str> {
        self.deals.get(&name.duty)?.owner(name.shard, fallen)
    }
}
