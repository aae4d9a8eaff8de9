//! Messages about operations: requests with an idempotency key, which are executed at most once, no matter how often they
//! are sent.
//!
//! A proxy claims an operation before it sends the request to a backend, and reports the end of the operation. Registries
//! forward claims to the leading store, which replies once a majority of the voting stores has written the claim to disk.
//! The proxy that received the response keeps it; a proxy that receives a repeat reads it through a registry.

use super::Epoch;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies an operation. Requests of the same tenant with the same key are one operation, even on different routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OperationKey {
    /// The tenant's name; empty if the request needs no tenant.
    pub tenant: String,
    /// The value of the operation key header of the request.
    pub key: String,
}

/// The holder of a claim: one request at one incarnation of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimHolder {
    /// The random incarnation of the proxy's process.
    pub incarnation: u64,
    /// The number of the request among the claims of that process.
    pub request: u64,
}

/// Orders claims: a later claim of the same operation has a higher id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The epoch of the leading store that granted the claim.
    pub epoch: Epoch,
    /// The number of the claim within the epoch.
    pub sequence: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}

/// A backend's response, recorded for repeats of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// The status code.
    pub status: u16,
    /// The forwarded header fields, without the id of the attempt.
    pub headers: Vec<RecordedField>,
    /// The complete body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A header field of a recorded response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordedField {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// The state of an operation. Under the same claim, a state is replaced only by one that is listed after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OperationState {
    /// The holder of the claim may execute the operation.
    Claimed,
    /// The holder has not executed the operation and never will. The operation may be claimed again.
    Released,
    /// The operation may have been executed, and there is no response.
    Unknown,
    /// The operation was executed completely. The holder may have the response.
    Executed,
}

/// A store's record of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationRecord {
    /// The key of the operation.
    pub key: OperationKey,
    /// The newest claim of the operation.
    pub claim: ClaimId,
    /// The holder of that claim.
    pub holder: ClaimHolder,
    /// The time-out of the claim (ms).
    pub timeout_ms: u32,
    /// The remaining time for which the record is kept (ms).
    pub keep_ms: u32,
    /// The state of the operation.
    pub state: OperationState,
}

/// A request from a proxy, which a registry forwards to the leading store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationRequest {
    /// Claims an operation. The same claim of the same holder may be sent again.
    Claim {
        /// The key of the operation.
        key: OperationKey,
        /// The holder of the claim.
        holder: ClaimHolder,
        /// The time-out of the claim from now on (ms).
        timeout_ms: u32,
        /// Whether the service keeps its own record of keys, so that an operation of unknown outcome may be executed again.
        is_self_deduplicating: bool,
    },
    /// The holder has executed the operation completely. May be sent again.
    Complete {
        /// The key of the operation.
        key: OperationKey,
        /// The holder of the claim.
        holder: ClaimHolder,
    },
    /// The holder may have executed the operation, and there is no response. May be sent again.
    Abandon {
        /// The key of the operation.
        key: OperationKey,
        /// The holder of the claim.
        holder: ClaimHolder,
    },
    /// The holder has not executed the operation and never will. May be sent again, and may arrive before the claim.
    Release {
        /// The key of the operation.
        key: OperationKey,
        /// The holder of the claim.
        holder: ClaimHolder,
    },
}

/// The reply to an [`OperationRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationReply {
    /// The holder, and no other, may execute the operation: a majority of the stores has the claim on disk.
    Granted {
        /// The regions of the core machines, through which a response reaches a proxy that receives a repeat. The name is
        /// empty if a region is unknown.
        store_regions: Vec<String>,
    },
    /// Another holder is executing the operation.
    InProgress {
        /// The time after which the other claim has certainly ended (ms).
        retry_after_ms: u32,
    },
    /// The operation was executed by an earlier holder, which received the response.
    Executed {
        /// The earlier holder.
        holder: ClaimHolder,
    },
    /// The operation may have been executed before, and there is no response.
    Unknown,
    /// The end of an operation has been recorded.
    Recorded,
    /// There is no decision, because there is no leading store or no space for another record.
    Unavailable,
}
