//! The entry of one operation in a table.

use crate::precedence::{Precedence, Rank};
use crate::Millis;
use violetyoke_transport::messages::{ClaimHolder, ClaimId, OperationKey, OperationRecord, OperationState};

/// The record of an operation without its key, with an absolute time of expiry in place of the remaining time.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) claim: ClaimId,
    pub(crate) holder: ClaimHolder,
    pub(crate) timeout_ms: u32,
    pub(crate) expires_at: Millis,
    pub(crate) state: OperationState,
}

impl Entry {
    /// Splits a record that is received at `now` into its key and its entry.
    pub(crate) fn from_record(now: Millis, record: OperationRecord) -> (OperationKey, Entry) {
        let entry = Entry {
            claim: record.claim,
            holder: record.holder,
            timeout_ms: record.timeout_ms,
            expires_at: now.saturating_add(record.keep_ms.into()),
            state: record.state,
        };
        (record.key, entry)
    }

    /// The record as it is sent at `now`.
    pub(crate) fn to_record(&self, now: Millis, key: &OperationKey) -> OperationRecord {
        OperationRecord {
            key: key.clone(),
            claim: self.claim,
            holder: self.holder,
            timeout_ms: self.timeout_ms,
            keep_ms: saturating_u32(self.expires_at.saturating_sub(now)),
            state: self.state,
        }
    }

    /// The precedence, by which one of two entries of an operation replaces the other.
    pub(crate) fn precedence(&self) -> Precedence {
        Precedence { claim: self.claim, rank: Rank::of(self.state) }
    }
}

pub(crate) fn saturating_u32(millis: Millis) -> u32 {
    u32::try_from(millis).unwrap_or(u32::MAX)
}
