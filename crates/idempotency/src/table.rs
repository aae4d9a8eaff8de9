//! Claims of operations and their outcomes, as the leader decides on them.

use crate::decision::{ClaimRequest, Decision};
use crate::entry::{saturating_u32, Entry};
use crate::precedence::Rank;
use crate::records::Records;
use crate::totals::{record_bytes, StateCounts};
use crate::Millis;
use violetyoke_transport::messages::{ClaimHolder, ClaimId, OperationKey, OperationRecord, OperationState};

/// Added to the window and the claim's timeout in the expiry of a record. Covers the time that a holder's request may
/// take to reach a backend, and clocks that run at slightly different speeds.
pub const EXPIRY_SLACK_MS: Millis = 10_000;

/// Limits on the age and the size of a table's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// How long after the start of the first execution no second one may start (ms).
    pub window_ms: Millis,
    /// The size above which new claims are refused (bytes).
    pub max_bytes: usize,
}

/// The records of operations in one store.
#[derive(Clone, Debug)]
pub struct OperationTable {
    pub(crate) options: TableOptions,
    pub(crate) records: Records,
}

impl OperationTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: TableOptions) -> OperationTable {
        OperationTable { options, records: Records::default() }
    }

    /// Decides on a claim. A new claim gets the id `next`, which must be higher than all ids that were used before.
    pub fn claim(&mut self, now: Millis, next: ClaimId, request: &ClaimRequest) -> Decision {
        self.expire(now);
        let existing = self.records.get(&request.key);
        if let Some(decision) = existing.and_then(|entry| self.decide(now, entry, request)) {
            return decision;
        }
        let is_stale = existing.is_some_and(|entry| entry.claim >= next);
        if is_stale || !self.has_space_for(&request.key) {
            return Decision::Refused;
        }
        let entry = Entry {
            claim: next,
            holder: request.holder,
            timeout_ms: request.timeout_ms,
            expires_at: self.expiry(now, request.timeout_ms),
            state: OperationState::Claimed,
        };
        let record = entry.to_record(now, &request.key);
        self.records.put(request.key.clone(), entry);
        Decision::Replicate(record)
    }

    /// The decision that follows from an existing record; `None`: the operation may be claimed again.
    fn decide(&self, now: Millis, entry: &Entry, request: &ClaimRequest) -> Option<Decision> {
        let is_holder = entry.holder == request.holder;
        let may_run_again = request.is_self_deduplicating && !is_holder;
        match entry.state {
            OperationState::Executed => Some(Decision::Executed { holder: entry.holder }),
            OperationState::Released if is_holder => Some(Decision::Refused),
            OperationState::Claimed if is_holder => {
                Some(Decision::Replicate(entry.to_record(now, &request.key)))
            }
            OperationState::Claimed if now < self.overdue_at(entry) => {
                let retry_after_ms = saturating_u32(self.overdue_at(entry) - now);
                Some(Decision::InProgress { retry_after_ms })
            }
            OperationState::Claimed | OperationState::Unknown if !may_run_again => Some(Decision::Unknown),
            OperationState::Claimed | OperationState::Unknown | OperationState::Released => None,
        }
    }

    /// Records that the holder has executed the operation and has a response. Returns the record to be replicated if it
    /// changed: only the holder of the newest claim can change it, and a repeated call changes nothing.
    pub fn complete(
        &mut self,
        now: Millis,
        key: &OperationKey,
        holder: ClaimHolder,
    ) -> Option<OperationRecord> {
        self.expire(now);
        self.set_outcome(now, key, holder, OperationState::Executed)
    }

    /// Records that the holder may have executed the operation and there is no response. Returns the record to be
    /// replicated if it changed, as [`Self::complete`] does.
    pub fn abandon(
        &mut self,
        now: Millis,
        key: &OperationKey,
        holder: ClaimHolder,
    ) -> Option<OperationRecord> {
        self.expire(now);
        self.set_outcome(now, key, holder, OperationState::Unknown)
    }

    /// Records that the holder has not executed the operation and never will. Returns the record to be replicated if it
    /// changed.
    ///
    /// If the release arrives before its claim, a record with the id `next` is stored so that the claim is refused
    /// when it arrives, unless the table is full.
    pub fn release(
        &mut self,
        now: Millis,
        next: ClaimId,
        key: &OperationKey,
        holder: ClaimHolder,
    ) -> Option<OperationRecord> {
        self.expire(now);
        if self.records.get(key).is_some() {
            return self.set_outcome(now, key, holder, OperationState::Released);
        }
        if !self.has_space_for(key) {
            return None;
        }
        let state = OperationState::Released;
        let expires_at = self.expiry(now, 0);
        let entry = Entry { claim: next, holder, timeout_ms: 0, expires_at, state };
        let record = entry.to_record(now, key);
        self.records.put(key.clone(), entry);
        Some(record)
    }

    /// Records the outcome of a holder's claim. A state replaces only a lower one.
    fn set_outcome(
        &mut self,
        now: Millis,
        key: &OperationKey,
        holder: ClaimHolder,
        state: OperationState,
    ) -> Option<OperationRecord> {
        let entry = self.records.get(key)?;
        if entry.holder != holder || Rank::of(entry.state) >= Rank::of(state) {
            return None;
        }
        let entry = Entry { state, ..entry.clone() };
        let record = entry.to_record(now, key);
        self.records.put(key.clone(), entry);
        Some(record)
    }

    /// Removes the records that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.records.expire(now);
    }

    /// The state of an operation.
    #[must_use]
    pub fn get(&self, key: &OperationKey) -> Option<OperationState> {
        self.records.get(key).map(|entry| entry.state)
    }

    /// The number of operations in each state.
    #[must_use]
    pub fn counts(&self) -> StateCounts {
        self.records.totals().counts
    }

    /// The number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The size of the records (bytes): their keys, and an estimate of the overhead of each record.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.records.totals().bytes
    }

    /// The expiry of a claim that is made at `now`. Its holder may start the execution at the very end of its timeout.
    fn expiry(&self, now: Millis, timeout_ms: u32) -> Millis {
        now + self.options.window_ms + Millis::from(timeout_ms) + EXPIRY_SLACK_MS
    }

    /// When the timeout of a claim ends. It is computed from the expiry, so that a record that was read from disk,
    /// whose age is not known, gets its full timeout again.
    fn overdue_at(&self, entry: &Entry) -> Millis {
        entry.expires_at.saturating_sub(self.options.window_ms + EXPIRY_SLACK_MS)
    }

    /// Whether another claim of this operation stays within the maximum size.
    fn has_space_for(&self, key: &OperationKey) -> bool {
        let added = if self.records.get(key).is_some() { 0 } else { record_bytes(key) };
        self.bytes() + added <= self.options.max_bytes
    }
}
