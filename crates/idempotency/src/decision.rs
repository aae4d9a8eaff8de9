//! Claims, and the decisions of a table on them.

use violetyoke_transport::messages::{ClaimHolder, OperationKey, OperationRecord};

/// A request that claims an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The operation.
    pub key: OperationKey,
    /// The request that claims the operation, and the incarnation of its process.
    pub holder: ClaimHolder,
    /// How long the holder may take to execute the operation, from now on (ms).
    pub timeout_ms: u32,
    /// The service deduplicates requests by key itself, so an operation with unknown outcome may be executed again.
    pub is_self_deduplicating: bool,
}

/// The decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The claim is granted: the holder may execute the operation once this record is replicated. The table already
    /// contains the record, which is that of a new claim or of the same holder's earlier one.
    Replicate(OperationRecord),
    /// Another holder has claimed the operation, and its timeout has not passed.
    InProgress {
        /// The remaining timeout of that claim (ms).
        retry_after_ms: u32,
    },
    /// The operation was executed and has a response.
    Executed {
        /// The request that received the response.
        holder: ClaimHolder,
    },
    /// The operation may have been executed: its claim ended without a response, or the timeout of another holder's
    /// claim has passed.
    Unknown,
    /// The holder has already released its claim, the id of the new claim is not the highest, or the table is full.
    Refused,
}
