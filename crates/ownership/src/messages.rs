//! Messages between lease holders and the lease manager, as JSON. The serialized names are those of the
//! administration API.

use crate::claim::{Claim, Renewal};
use crate::epoch::Epoch;
use serde::{Deserialize, Serialize};

/// One call of a holder. While it keeps calling, it is a candidate for the shards of the roles that it names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Ask", deny_unknown_fields)]
pub struct RenewRequest {
    /// The calling process; a restarted process is another holder.
    pub holder: String,
    /// Names of the roles that the process can run.
    #[serde(default, rename = "duties")]
    pub roles: Vec<String>,
    /// Leases whose work has made progress.
    #[serde(default)]
    pub renew: Vec<Renewal>,
    /// Leases whose work has finished.
    #[serde(default)]
    pub release: Vec<Claim>,
    /// Leases that expired by the holder's own clock.
    #[serde(default, rename = "gave_up")]
    pub expired: Vec<Claim>,
    /// The newest epoch that the holder has observed, from any source.
    #[serde(default, rename = "seen")]
    pub observed_epoch: Epoch,
    /// The token of the newest response that was received, 0 for none. A holder that receives no responses is granted
    /// nothing.
    #[serde(default)]
    pub echo: u64,
    /// The process is shutting down: it is granted nothing.
    #[serde(default, rename = "leaving")]
    pub is_leaving: bool,
}

/// A lease that is valid until `ttl_ms` after the holder sent the request which this answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "wire::Grant", into = "wire::Grant")]
pub struct Grant {
    /// The granted or renewed lease.
    pub claim: Claim,
    /// For how long it is granted, in milliseconds.
    pub ttl_ms: u64,
    /// The progress of the shard's work, as its owners have recorded it.
    pub watermark: u64,
    /// The holder is to finish its work and release the lease, because the shard is to pass to another holder or is
    /// suspended.
    pub must_hand_over: bool,
}

/// Why a holder does not have a lease that it claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum LossReason {
    /// The shard has been granted again since, to another holder or to the same one.
    #[serde(rename = "newer")]
    #[error("granted again since")]
    Superseded,
    /// The lease manager has no such grant on record.
    #[error("no such grant on record")]
    Unknown,
    /// The lease had expired before the renewal arrived.
    #[serde(rename = "ran_out")]
    #[error("expired before the renewal arrived")]
    Expired,
    /// The role, or this shard of it, no longer exists.
    #[serde(rename = "gone")]
    #[error("the role or shard no longer exists")]
    Removed,
}

/// The lease manager's response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RenewResponse {
    /// Leases that were renewed or granted.
    #[serde(rename = "given")]
    pub grants: Vec<Grant>,
    /// Claims that were not accepted.
    pub lost: Vec<(Claim, LossReason)>,
    /// The longest pause until the next call, in milliseconds.
    #[serde(rename = "again_ms")]
    pub next_call_ms: u64,
    /// The newest epoch.
    #[serde(rename = "newest")]
    pub newest_epoch: Epoch,
    /// The time of this response by the manager's clock, to be echoed in the next request.
    #[serde(default)]
    pub token: u64,
    /// Parts of the request that were ignored, as field and reason; the rest was processed.
    #[serde(default)]
    pub faults: Vec<(String, String)>,
}

/// The serialized form of a grant, as one flat object.
mod wire {
    use crate::claim::{Claim, ShardId};
    use crate::epoch::Epoch;
    use serde::{Deserialize, Serialize};

    #[derive(Serialize, Deserialize)]
    #[serde(rename = "Given")]
    pub(super) struct Grant {
        duty: String,
        shard: u32,
        epoch: Epoch,
        #[serde(rename = "length_ms")]
        ttl_ms: u64,
        #[serde(default, rename = "mark")]
        watermark: u64,
        #[serde(default, rename = "hand_over")]
        must_hand_over: bool,
    }

    impl From<Grant> for super::Grant {
        fn from(grant: Grant) -> Self {
            let Grant { duty, shard, epoch, ttl_ms, watermark, must_hand_over } = grant;
            let claim = Claim { shard: ShardId::new(duty, shard), epoch };
            super::Grant { claim, ttl_ms, watermark, must_hand_over }
        }
    }

    impl From<super::Grant> for Grant {
        fn from(grant: super::Grant) -> Self {
            let super::Grant { claim: Claim { shard, epoch }, ttl_ms, watermark, must_hand_over } = grant;
            Grant { duty: shard.role, shard: shard.index, epoch, ttl_ms, watermark, must_hand_over }
        }
    }
}
