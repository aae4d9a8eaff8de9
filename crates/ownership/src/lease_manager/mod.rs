//! The lease manager: decides which process has the lease of which shard, and until when.
//!
//! Records are in a store that several lease managers may share and that outlives them. In addition, a manager
//! remembers when it first observed a record in its present form, by its own clock. A lease has expired once its
//! record has been unchanged for the lease's full duration. A manager that has just started therefore waits that long
//! before it revokes a lease, and jumps of its wall clock have no effect.
//!
//! Each change of a record is a function from the record to its successor (in `transitions`), to be called in a
//! transaction of the store. [`LeaseManager::observe`] is to be called once the transaction is committed.

mod transitions;

use crate::candidates::{Candidates, Session};
use crate::claim::ShardId;
use crate::clock::Micros;
use crate::messages::{RenewRequest, RenewResponse};
use crate::observed::{ObservedRecord, ShardOverride};
use crate::record::LeaseRecord;
use crate::role::SingletonRole;
use std::collections::{BTreeMap, BTreeSet};

/// Number of calls that a holder makes in the duration of a lease.
const CALLS_PER_TTL: u64 = 3;
/// Lease duration that paces the calls of a process without declared roles.
const DEFAULT_TTL_MS: u64 = 10_000;

/// The state of a lease manager that is not in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseManager {
    started_at: Micros,
    /// Whether no epoch was ever allocated in this store, so that there are no holders to wait for.
    is_new_store: bool,
    roles: BTreeMap<String, SingletonRole>,
    overrides: BTreeMap<ShardId, ShardOverride>,
    observed: BTreeMap<ShardId, ObservedRecord>,
    candidates: Candidates,
}

/// The manager's time as a token. It is never 0, which stands for no token.
fn response_token(now: Micros) -> u64 {
    now + 1
}

impl LeaseManager {
    /// A lease manager that starts now. `is_new_store`: whether no epoch was ever allocated in this store.
    pub fn new(roles: Vec<SingletonRole>, is_new_store: bool, now: Micros) -> LeaseManager {
        let mut manager = LeaseManager {
            started_at: now,
            is_new_store,
            roles: BTreeMap::new(),
            overrides: BTreeMap::new(),
            observed: BTreeMap::new(),
            candidates: Candidates::default(),
        };
        manager.set_roles(roles);
        manager
    }

    /// Replaces the declared roles. Leases of removed roles are lost with their next renewal.
    pub fn set_roles(&mut self, roles: Vec<SingletonRole>) {
        self.roles = roles.into_iter().map(|role| (role.name.clone(), role)).collect();
        let roles = &self.roles;
        self.observed
            .retain(|shard, _| roles.get(&shard.role).is_some_and(|role| shard.index < role.shard_count));
        self.candidates.reassign(&self.roles);
    }

    /// The declared roles, in order of their names.
    pub fn roles(&self) -> impl Iterator<Item = &SingletonRole> {
        self.roles.values()
    }

    fn role_of(&self, shard: &ShardId) -> Option<&SingletonRole> {
        self.roles.get(&shard.role).filter(|role| shard.index < role.shard_count)
    }

    /// Records a holder's call. The holder is a candidate until it has not called for a while, if it has received a
    /// response that was sent within the last lease duration. Roles that are not declared are ignored.
    pub fn record_call(&mut self, request: &RenewRequest, now: Micros) {
        let declared = || request.roles.iter().filter_map(|role| self.roles.get(role));
        let roles: BTreeSet<String> = declared().map(|role| role.name.clone()).collect();
        let ttl = declared().map(|role| role.ttl_ms * 1_000).min().unwrap_or(0);
        // The token of a manager that ran before this one counts as not received.
        let token = response_token(now);
        let receives_responses = request.echo > 0 && request.echo <= token && token - request.echo < ttl;
        let has_changed = if request.is_leaving {
            self.candidates.remove(&request.holder)
        } else {
            let session = Session { roles, last_call: now, receives_responses };
            self.candidates.record_call(&request.holder, session)
        };
        if has_changed {
            self.candidates.reassign(&self.roles);
        }
    }

    /// Completes a response with its token and the pause until the next call. Holders call three times in a lease
    /// duration. The second call of a new holder is due at once, because nothing is granted before it.
    pub fn complete_response(&self, response: &mut RenewResponse, request: &RenewRequest, now: Micros) {
        response.token = response_token(now);
        let declared = request.roles.iter().filter_map(|role| self.roles.get(role));
        let ttl_ms = declared.map(|role| role.ttl_ms).min().unwrap_or(DEFAULT_TTL_MS);
        let is_first_call = request.echo == 0 && !self.candidates.receives_responses(&request.holder);
        response.next_call_ms = if is_first_call { 1 } else { ttl_ms / CALLS_PER_TTL };
    }

    /// The candidates for a role's shards, in order of their names.
    pub fn candidates(&self, role: &str) -> Vec<&str> {
        self.candidates.of_role(role)
    }

    /// Replaces the operators' overrides.
    pub fn set_overrides(&mut self, overrides: BTreeMap<ShardId, ShardOverride>) {
        self.overrides = overrides;
    }

    /// The operators' overrides in force.
    pub fn overrides(&self) -> &BTreeMap<ShardId, ShardOverride> {
        &self.overrides
    }

    /// Whether a record of this shard was observed.
    pub fn has_observed(&self, shard: &ShardId) -> bool {
        self.observed.contains_key(shard)
    }

    /// Whether any shard without a holder can be granted to a candidate.
    pub fn has_assignable_shard(&self) -> bool {
        self.observed.iter().any(|(shard, observed)| {
            observed.holder.is_none() && self.intended_holder(shard, observed).is_some()
        })
    }

    /// Observes a record as it is in the store now.
    pub fn observe(&mut self, record: &LeaseRecord, now: Micros) {
        let observed = ObservedRecord::new(record, self.observed.get(&record.shard), now);
        self.observed.insert(record.shard.clone(), observed);
    }

    fn is_suspended_by_operator(&self, shard: &ShardId) -> bool {
        self.overrides.get(shard).is_some_and(|decision| decision.suspension_reason.is_some())
    }

    /// The candidate that is to hold a shard; `None` if there is no candidate or the shard is suspended.
    fn intended_holder(&self, shard: &ShardId, observed: &ObservedRecord) -> Option<&str> {
        if observed.is_suspended || self.is_suspended_by_operator(shard) {
            return None;
        }
        let failed = &observed.failed_holders;
        let preferred_process =
            self.overrides.get(shard).and_then(|decision| decision.preferred_process.as_deref());
        preferred_process
            .and_then(|process| self.candidates.of_process(process, &shard.role, failed))
            .or_else(|| self.candidates.assigned_to(shard, failed))
    }

    /// The shards without a holder that can be granted to this holder.
    pub fn grantable_to(&self, holder: &str, now: Micros) -> Vec<ShardId> {
        let is_grantable = |shard: &ShardId, observed: &ObservedRecord| {
            let Some(role) = self.role_of(shard) else { return false };
            let has_waited = self.is_new_store || now.saturating_sub(self.started_at) >= role.ttl_ms * 1_000;
            has_waited && observed.holder.is_none() && self.intended_holder(shard, observed) == Some(holder)
        };
        let grantable = self.observed.iter().filter(|(shard, observed)| is_grantable(shard, observed));
        grantable.map(|(shard, _)| shard.clone()).collect()
    }

    /// Whether the record's holder has to hand over the shard, because another process is to hold it or an operator
    /// has suspended it.
    fn must_hand_over(&self, record: &LeaseRecord) -> bool {
        let Some(observed) = self.observed.get(&record.shard) else { return false };
        let intended = self.intended_holder(&record.shard, observed);
        self.is_suspended_by_operator(&record.shard)
            || intended.is_some_and(|intended| record.holder.as_deref() != Some(intended))
    }

    /// The shards whose leases have expired, according to the records that were observed.
    pub fn expired_shards(&self, now: Micros) -> Vec<ShardId> {
        let is_expired = |observed: &ObservedRecord| observed.holder.is_some() && observed.is_expired(now);
        let expired = self.observed.iter().filter(|(_, observed)| is_expired(observed));
        expired.map(|(shard, _)| shard.clone()).collect()
    }

    /// Removes candidates that have not called for a lease duration.
    pub fn remove_silent_candidates(&mut self, now: Micros) {
        if self.candidates.remove_silent(&self.roles, now) {
            self.candidates.reassign(&self.roles);
        }
    }
}
