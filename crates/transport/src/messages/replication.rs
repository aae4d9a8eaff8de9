//! Messages between stores about records of operations.

use super::{Epoch, OperationRecord};
use serde::{Deserialize, Serialize};

/// Identifies a group of records with successive claims.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BucketId {
    /// The epoch of the claims.
    pub epoch: Epoch,
    /// The number of the group within the epoch.
    pub number: u64,
}

/// The digest of a bucket at a store. Buckets with equal records have equal digests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketDigest {
    /// The bucket.
    pub bucket: BucketId,
    /// A digest of its records, independent of their order.
    pub digest: u64,
}

/// All records of a bucket.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketContents {
    /// The bucket.
    pub bucket: BucketId,
    /// Its records.
    pub records: Vec<OperationRecord>,
}

/// A message from one store to another about operations. Receivers ignore messages of an epoch other than the one that they
/// have promised.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OperationMessage {
    /// The leader replicates new and changed records.
    Append {
        /// The leader's epoch.
        epoch: Epoch,
        /// The number of the batch within the epoch, starting with 1.
        batch: u64,
        /// The records.
        records: Vec<OperationRecord>,
    },
    /// The receiver has written a batch to its disk.
    Appended {
        /// The epoch of the batch.
        epoch: Epoch,
        /// The number of the batch.
        batch: u64,
    },
    /// A new leader requests the digests of a voter.
    ReadDigests {
        /// The leader's epoch.
        epoch: Epoch,
    },
    /// The digests of a voter, which from now on accepts no batches of lower epochs.
    Digests {
        /// The leader's epoch.
        epoch: Epoch,
        /// All buckets that have records.
        digests: Vec<BucketDigest>,
    },
    /// A new leader requests records of a voter.
    ReadBuckets {
        /// The leader's epoch.
        epoch: Epoch,
        /// The buckets.
        buckets: Vec<BucketId>,
    },
    /// The records that a new leader has requested.
    Buckets {
        /// The leader's epoch.
        epoch: Epoch,
        /// The buckets.
        contents: Vec<BucketContents>,
    },
    /// The leader sends its digests to a store, so that the store can request the buckets that differ.
    Offer {
        /// The leader's epoch.
        epoch: Epoch,
        /// The newest batch that is included.
        through: u64,
        /// All buckets that have records.
        digests: Vec<BucketDigest>,
    },
    /// A store requests buckets that differ from the leader's.
    Wanted {
        /// The leader's epoch.
        epoch: Epoch,
        /// Some of the buckets that differ.
        buckets: Vec<BucketId>,
    },
    /// The leader's records in the requested buckets. The receiver drops all other records in them, unless they are from a newer
    /// batch.
    Fill {
        /// The leader's epoch.
        epoch: Epoch,
        /// The newest batch that is included.
        through: u64,
        /// The buckets.
        contents: Vec<BucketContents>,
    },
    /// A store has all offered records on its disk.
    Synced {
        /// The leader's epoch.
        epoch: Epoch,
        /// The newest batch of the offer.
        through: u64,
    },
    /// A store rejects the messages of a leader, because it has promised a higher epoch.
    Rejected {
        /// The leader's epoch.
        epoch: Epoch,
        /// The epoch that the store has promised.
        promised: Epoch,
    },
}
