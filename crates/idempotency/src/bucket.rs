//! Buckets of records with successive claims. Stores compare the digests of buckets to find the records that differ.

use crate::entry::Entry;
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::sync::Arc;
use violetyoke_transport::messages::{BucketDigest, BucketId, ClaimId, OperationKey};

/// Number of successive claims that a bucket covers. Part of the protocol: all stores must use the same value.
const CLAIMS_PER_BUCKET: u64 = 64;

/// The bucket that contains the record with this claim.
#[must_use]
pub fn bucket_of(claim: ClaimId) -> BucketId {
    BucketId { epoch: claim.epoch, number: claim.sequence / CLAIMS_PER_BUCKET }
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    /// The wrapping sum of the hashes of the records, so that their order makes no difference.
    digest: u64,
    keys: BTreeSet<Arc<OperationKey>>,
}

/// The keys of a table's operations by bucket, with a digest for each bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct BucketIndex(BTreeMap<BucketId, Bucket>);

impl BucketIndex {
    pub(crate) fn insert(&mut self, key: &Arc<OperationKey>, entry: &Entry) {
        let bucket = self.0.entry(bucket_of(entry.claim)).or_default();
        bucket.digest = bucket.digest.wrapping_add(record_hash(key, entry));
        bucket.keys.insert(Arc::clone(key));
    }

    pub(crate) fn remove(&mut self, key: &OperationKey, entry: &Entry) {
        let id = bucket_of(entry.claim);
        let Some(bucket) = self.0.get_mut(&id) else { return };
        bucket.digest = bucket.digest.wrapping_sub(record_hash(key, entry));
        bucket.keys.remove(key);
        if bucket.keys.is_empty() {
            self.0.remove(&id);
        }
    }

    /// The digests of all buckets, in ascending order of their ids.
    pub(crate) fn digests(&self) -> impl Iterator<Item = BucketDigest> + '_ {
        self.0.iter().map(|(id, bucket)| BucketDigest { bucket: *id, digest: bucket.digest })
    }

    /// The digest of a bucket; `None`: the bucket is empty.
    pub(crate) fn digest(&self, id: BucketId) -> Option<u64> {
        self.0.get(&id).map(|bucket| bucket.digest)
    }

    /// The keys of the operations in a bucket.
    pub(crate) fn keys(&self, id: BucketId) -> impl Iterator<Item = &Arc<OperationKey>> {
        self.0.get(&id).into_iter().flat_map(|bucket| &bucket.keys)
    }
}

/// A hash of the fields of a record on which stores have to agree. Part of the protocol, like the size of a bucket.
fn record_hash(key: &OperationKey, entry: &Entry) -> u64 {
    let mut hasher = SipHasher13::new();
    for text in [&key.tenant, &key.key] {
        hasher.write(&(text.len() as u64).to_le_bytes());
        hasher.write(text.as_bytes());
    }
    hasher.write(&entry.claim.epoch.0.to_le_bytes());
    hasher.write(&entry.claim.sequence.to_le_bytes());
    hasher.write(&[entry.precedence().rank as u8]);
    hasher.finish()
}
