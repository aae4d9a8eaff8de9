//! The stored record of one shard.

use crate::claim::{Claim, ShardId};
use crate::epoch::Epoch;
use crate::messages::Grant;
use serde::{Deserialize, Serialize};

/// Number of owners in a row whose leases expire before they complete an operation, after which the shard is
/// suspended.
pub const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Number of renewals after which holders that failed before are treated like other candidates again: about ten lease
/// durations.
pub const FORGIVE_AFTER_RENEWALS: u64 = 30;
/// Maximum number of failed holders in a record.
const MAX_FAILED_HOLDERS: usize = 8;

/// The lease of one shard. The record is kept while its role exists, because the watermark passes from owner to
/// owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The leased shard.
    #[serde(flatten)]
    pub shard: ShardId,
    /// The holder of the lease; `None` if there is none.
    pub holder: Option<String>,
    /// Epoch of the newest grant; 0: none yet.
    pub epoch: Epoch,
    /// Number of renewals of this grant. Other lease managers on the same store see from its increase that the holder
    /// is alive.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Duration of the grant in milliseconds.
    #[serde(rename = "length_ms")]
    pub ttl_ms: u64,
    /// The progress of the work, as owners have recorded it. It never decreases.
    #[serde(rename = "mark")]
    pub watermark: u64,
    /// Number of operations completed under this epoch.
    #[serde(rename = "acts")]
    pub operations: u64,
    /// Holders whose lease expired, the most recent last. They are granted the shard only if there is no other
    /// candidate, until one owner has kept it for [`FORGIVE_AFTER_RENEWALS`].
    #[serde(rename = "fallen")]
    pub failed_holders: Vec<String>,
    /// Number of holders in a row whose lease expired before they completed an operation.
    #[serde(rename = "falls")]
    pub consecutive_failures: u32,
    /// Why the shard is suspended, if its owners keep failing. Suspensions by operators are stored separately.
    #[serde(rename = "held_back")]
    pub suspension_reason: Option<String>,
    /// Time of the grant, Unix time in milliseconds; for display only.
    #[serde(rename = "since")]
    pub granted_at_ms: u64,
    /// Time of the last progress, Unix time in milliseconds; for display only.
    #[serde(rename = "worked")]
    pub last_progress_ms: u64,
}

impl LeaseRecord {
    /// The record of a shard that was never granted.
    pub fn new(shard: ShardId) -> LeaseRecord {
        LeaseRecord {
            shard,
            holder: None,
            epoch: Epoch::default(),
            renewals: 0,
            ttl_ms: 0,
            watermark: 0,
            operations: 0,
            failed_holders: Vec::new(),
            consecutive_failures: 0,
            suspension_reason: None,
            granted_at_ms: 0,
            last_progress_ms: 0,
        }
    }

    /// Whether the newest grant is this holder's, of this epoch, and still in force.
    pub fn is_granted_to(&self, holder: &str, epoch: Epoch) -> bool {
        self.epoch == epoch && self.holder.as_deref() == Some(holder)
    }

    /// The grant of this record, as it is sent to its holder.
    pub(crate) fn grant(&self, must_hand_over: bool) -> Grant {
        let claim = Claim { shard: self.shard.clone(), epoch: self.epoch };
        Grant { claim, ttl_ms: self.ttl_ms, watermark: self.watermark, must_hand_over }
    }

    /// Revokes the lease of a holder that let it expire.
    pub(crate) fn fail_holder(&mut self) {
        if let Some(holder) = self.holder.take() {
            self.failed_holders.retain(|failed| *failed != holder);
            self.failed_holders.push(holder);
            let excess = self.failed_holders.len().saturating_sub(MAX_FAILED_HOLDERS);
            self.failed_holders.drain(..excess);
        }
        self.consecutive_failures = if self.operations > 0 { 0 } else { self.consecutive_failures + 1 };
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES && self.suspension_reason.is_none() {
            self.suspension_reason =
                Some(format!("{MAX_CONSECUTIVE_FAILURES} owners in a row fell before anything was done"));
        }
    }
}
