//! The processes that call the lease manager and may therefore be granted shards.

use crate::assignment::Assignment;
use crate::claim::ShardId;
use crate::clock::Micros;
use crate::role::SingletonRole;
use std::collections::{BTreeMap, BTreeSet};

/// How long a process without declared roles is remembered after its last call (ms).
const DEFAULT_TTL_MS: u64 = 10_000;

/// What is known about a process that calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Session {
    /// Names of the declared roles that it can run.
    pub(crate) roles: BTreeSet<String>,
    pub(crate) last_call: Micros,
    /// Whether responses reach the process in time. A process that receives none is no candidate.
    pub(crate) receives_responses: bool,
}

/// Sessions by holder, and the assignment of each role's shards to them. If a method returns that candidates have
/// changed, [`Candidates::reassign`] is to be called.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Candidates {
    sessions: BTreeMap<String, Session>,
    assignments: BTreeMap<String, Assignment>,
}

impl Candidates {
    /// Assigns all shards of these roles to the candidates.
    pub(crate) fn reassign(&mut self, roles: &BTreeMap<String, SingletonRole>) {
        let assign = |role: &SingletonRole| {
            let candidates = self.of_role(&role.name);
            Assignment::new(&role.name, role.shard_count, role.max_shards_per_process, &candidates)
        };
        self.assignments = roles.values().map(|role| (role.name.clone(), assign(role))).collect();
    }

    /// Records a call. Returns whether that changes the candidates of any role.
    pub(crate) fn record_call(&mut self, holder: &str, session: Session) -> bool {
        let has_changed = self.sessions.get(holder).map_or(session.receives_responses, |previous| {
            previous.roles != session.roles || previous.receives_responses != session.receives_responses
        });
        self.sessions.insert(holder.to_string(), session);
        has_changed
    }

    /// Whether responses reach this holder.
    pub(crate) fn receives_responses(&self, holder: &str) -> bool {
        self.sessions.get(holder).is_some_and(|session| session.receives_responses)
    }

    /// Removes a process that shuts down. Returns whether it was known.
    pub(crate) fn remove(&mut self, holder: &str) -> bool {
        self.sessions.remove(holder).is_some()
    }

    /// Removes processes that have not called for the longest lease duration of their roles. Returns whether there
    /// were any.
    pub(crate) fn remove_silent(&mut self, roles: &BTreeMap<String, SingletonRole>, now: Micros) -> bool {
        let count = self.sessions.len();
        self.sessions.retain(|_, session| {
            let declared = session.roles.iter().filter_map(|role| roles.get(role));
            let ttl_ms = declared.map(|role| role.ttl_ms).max().unwrap_or(DEFAULT_TTL_MS);
            now.saturating_sub(session.last_call) < ttl_ms * 1_000
        });
        self.sessions.len() != count
    }

    /// The candidates for a role, in order of their names.
    pub(crate) fn of_role(&self, role: &str) -> Vec<&str> {
        let is_candidate =
            |(_, session): &(&String, &Session)| session.receives_responses && session.roles.contains(role);
        self.sessions.iter().filter(is_candidate).map(|(holder, _)| holder.as_str()).collect()
    }

    /// The candidate that is the running incarnation of a process, by the process name that operators use, unless it
    /// has failed.
    pub(crate) fn of_process(&self, process: &str, role: &str, failed: &[String]) -> Option<&str> {
        let is_incarnation = |candidate: &&str| {
            candidate.strip_prefix(process).is_some_and(|rest| rest.is_empty() || rest.starts_with('#'))
        };
        let has_failed = |candidate: &str| failed.iter().any(|failed| failed == candidate);
        self.of_role(role).into_iter().find(|candidate| is_incarnation(candidate) && !has_failed(candidate))
    }

    /// The candidate that a shard is assigned to.
    pub(crate) fn assigned_to(&self, shard: &ShardId, failed: &[String]) -> Option<&str> {
        self.assignments.get(&shard.role)?.owner(shard.index, failed)
    }
}
