//! What a lease manager knows about a shard in addition to the stored record: since when the record has been
//! unchanged, and the operators' override.

use crate::clock::Micros;
use crate::epoch::Epoch;
use crate::record::LeaseRecord;
use serde::{Deserialize, Serialize};

/// An operator's override for one shard, which takes precedence over the shard's assignment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Word", deny_unknown_fields)]
pub struct ShardOverride {
    /// The process that is to hold the shard while it is a candidate.
    #[serde(default, rename = "next")]
    pub preferred_process: Option<String>,
    /// Why the shard is suspended: no process is to hold it.
    #[serde(default, rename = "held_back")]
    pub suspension_reason: Option<String>,
}

/// A record as it was last observed, and since when it has been unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ObservedRecord {
    pub(crate) holder: Option<String>,
    pub(crate) epoch: Epoch,
    pub(crate) renewals: u64,
    pub(crate) failed_holders: Vec<String>,
    pub(crate) is_suspended: bool,
    pub(crate) ttl: Micros,
    pub(crate) unchanged_since: Micros,
}

impl ObservedRecord {
    /// Observes a record as it is now. If it is the same as in the previous observation, it counts as unchanged since
    /// then.
    pub(crate) fn new(
        record: &LeaseRecord,
        previous: Option<&ObservedRecord>,
        now: Micros,
    ) -> ObservedRecord {
        let is_unchanged = |previous: &&ObservedRecord| {
            previous.holder == record.holder
                && previous.epoch == record.epoch
                && previous.renewals == record.renewals
        };
        ObservedRecord {
            holder: record.holder.clone(),
            epoch: record.epoch,
            renewals: record.renewals,
            failed_holders: record.failed_holders.clone(),
            is_suspended: record.suspension_reason.is_some(),
            ttl: record.ttl_ms * 1_000,
            unchanged_since: previous.filter(is_unchanged).map_or(now, |previous| previous.unchanged_since),
        }
    }

    /// Whether a lease on this record has expired: it has been unchanged for its whole duration.
    pub(crate) fn is_expired(&self, now: Micros) -> bool {
        now.saturating_sub(self.unchanged_since) >= self.ttl
    }
}
