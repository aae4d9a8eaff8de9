//! Merging of records from other stores and from the disk, and comparison of stores by digests.

use crate::entry::Entry;
use crate::precedence::Precedence;
use crate::table::OperationTable;
use crate::Millis;
use std::collections::{HashMap, HashSet};
use violetyoke_transport::messages::{BucketContents, BucketDigest, BucketId, OperationKey, OperationRecord};

impl OperationTable {
    /// Merges a record: the higher claim wins, and under the same claim the higher state. The result expires at the
    /// later of both expiries. Returns whether the claim or the state changed.
    pub fn merge(&mut self, now: Millis, record: OperationRecord) -> bool {
        self.expire(now);
        let (key, arriving) = Entry::from_record(now, record);
        if arriving.expires_at <= now {
            return false;
        }
        let Some(existing) = self.records.get(&key) else {
            self.records.put(key, arriving);
            return true;
        };
        let is_newer = arriving.precedence() > existing.precedence();
        let expires_at = existing.expires_at.max(arriving.expires_at);
        if is_newer {
            self.records.put(key, Entry { expires_at, ..arriving });
        } else {
            self.records.keep_until(&key, expires_at);
        }
        is_newer
    }

    /// Replaces a bucket with the contents of another store's bucket: drops all other records of this table in the
    /// bucket, also those with a higher claim or state, and merges the contents. Returns the records that changed.
    ///
    /// Only contents from the leader may be applied in this way, in the order in which the leader sent them and its new
    /// records.
    pub fn replace_bucket(&mut self, now: Millis, contents: BucketContents) -> Vec<OperationRecord> {
        self.expire(now);
        self.drop_others(&contents);
        let mut changed = Vec::new();
        for record in contents.records {
            let key = record.key.clone();
            if self.merge(now, record) {
                let entry = self.records.get(&key);
                changed.extend(entry.map(|entry| entry.to_record(now, &key)));
            }
        }
        changed
    }

    /// Drops the records of a bucket that are absent from these contents or have a higher precedence than there.
    fn drop_others(&mut self, contents: &BucketContents) {
        let theirs = contents.records.iter().map(|record| (&record.key, Precedence::of(record)));
        let theirs: HashMap<&OperationKey, Precedence> = theirs.collect();
        let ours = self.records.buckets().keys(contents.bucket);
        let dropped = ours.filter(|key| {
            let ours = self.records.get(key).map(Entry::precedence);
            theirs.get(key.as_ref()).copied() < ours
        });
        for key in dropped.cloned().collect::<Vec<_>>() {
            self.records.remove(&key);
        }
    }

    /// The digests of all buckets that contain records, in ascending order of their ids.
    #[must_use]
    pub fn digests(&self) -> Vec<BucketDigest> {
        self.records.buckets().digests().collect()
    }

    /// The buckets of `theirs` that differ in this table or are empty in it.
    #[must_use]
    pub fn differing(&self, theirs: &[BucketDigest]) -> Vec<BucketId> {
        let buckets = self.records.buckets();
        let differing =
            theirs.iter().filter(|offered| buckets.digest(offered.bucket) != Some(offered.digest));
        differing.map(|offered| offered.bucket).collect()
    }

    /// The buckets that contain records in this table and are absent from `theirs`.
    #[must_use]
    pub fn absent_in(&self, theirs: &[BucketDigest]) -> Vec<BucketId> {
        let theirs: HashSet<BucketId> = theirs.iter().map(|digest| digest.bucket).collect();
        let ours = self.records.buckets().digests().map(|digest| digest.bucket);
        ours.filter(|bucket| !theirs.contains(bucket)).collect()
    }

    /// The records of a bucket that have not expired, each with its remaining time.
    #[must_use]
    pub fn bucket(&self, now: Millis, bucket: BucketId) -> BucketContents {
        let keys = self.records.buckets().keys(bucket);
        let entries = keys.filter_map(|key| Some((key, self.records.get(key)?)));
        let current = entries.filter(|(_, entry)| entry.expires_at > now);
        let records = current.map(|(key, entry)| entry.to_record(now, key)).collect();
        BucketContents { bucket, records }
    }
}
