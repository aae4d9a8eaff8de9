//! Handlers of a leader's messages. A store accepts records, and answers queries, only for the epoch that it has
//! promised.

use super::appends::AfterAppend;
use super::{NewestBatch, OperationReplica};
use violetyoke_transport::messages::{
    BucketContents, BucketDigest, BucketId, Epoch, OperationMessage, OperationRecord, StoreNode,
};

/// The maximum number of buckets requested in one message, some hundred records.
pub(super) const MAX_BUCKETS_PER_MESSAGE: usize = 8;

impl NewestBatch {
    fn record(&mut self, epoch: Epoch, batch: u64) {
        *self = if epoch > self.epoch {
            NewestBatch { epoch, batch }
        } else {
            NewestBatch { epoch: self.epoch, batch: self.batch.max(batch) }
        };
    }

    /// Whether a message that includes all batches up to `through` is no older than the newest batch received. If so,
    /// this store has acknowledged no record that the message lacks.
    fn covers_newest(self, epoch: Epoch, through: u64) -> bool {
        epoch != self.epoch || self.batch <= through
    }
}

impl OperationReplica {
    /// Whether a message of an epoch is accepted. The leader of a lower epoch gets a rejection.
    ///
    /// Invariant: a store that has promised an epoch accepts no records of a lower one, so that a superseded leader
    /// gets no majority.
    fn accepts_epoch(&mut self, leader: &StoreNode, epoch: Epoch) -> bool {
        let promised = self.view.promised;
        if epoch < promised {
            self.send(leader.ip, OperationMessage::Rejected { epoch, promised });
        }
        epoch == promised
    }

    pub(super) fn on_append(
        &mut self,
        from: &StoreNode,
        epoch: Epoch,
        batch: u64,
        records: Vec<OperationRecord>,
    ) {
        if !self.accepts_epoch(from, epoch) {
            return;
        }
        self.newest_batch.record(epoch, batch);
        for record in &records {
            self.table.merge(self.now, record.clone());
        }
        let message = OperationMessage::Appended { epoch, batch };
        self.append(records, Some(AfterAppend::Send { to: from.ip, message }));
    }

    pub(super) fn on_read_digests(&mut self, from: &StoreNode, epoch: Epoch) {
        if self.accepts_epoch(from, epoch) {
            let digests = self.table.digests();
            self.send(from.ip, OperationMessage::Digests { epoch, digests });
        }
    }

    pub(super) fn on_read_buckets(&mut self, from: &StoreNode, epoch: Epoch, buckets: &[BucketId]) {
        if self.accepts_epoch(from, epoch) {
            let contents = self.contents_of(buckets);
            self.send(from.ip, OperationMessage::Buckets { epoch, contents });
        }
    }

    /// Merges records into the table, and returns those that changed it.
    pub(super) fn merge_all(&mut self, records: Vec<OperationRecord>) -> Vec<OperationRecord> {
        let (now, table) = (self.now, &mut self.table);
        records.into_iter().filter(|record| table.merge(now, record.clone())).collect()
    }

    pub(super) fn contents_of(&self, buckets: &[BucketId]) -> Vec<BucketContents> {
        buckets.iter().map(|bucket| self.table.bucket(self.now, *bucket)).collect()
    }

    /// Requests the buckets that differ. If none does, confirms this once all records are on the disk.
    pub(super) fn on_offer(
        &mut self,
        from: &StoreNode,
        epoch: Epoch,
        through: u64,
        digests: &[BucketDigest],
    ) {
        if !self.accepts_epoch(from, epoch) || !self.newest_batch.covers_newest(epoch, through) {
            return;
        }
        // The leader has each granted claim: a record that it lacks has expired or belongs to no granted claim.
        for bucket in self.table.absent_in(digests) {
            self.table.replace_bucket(self.now, BucketContents { bucket, records: Vec::new() });
        }
        let mut buckets = self.table.differing(digests);
        if buckets.is_empty() {
            let message = OperationMessage::Synced { epoch, through };
            return self.after_appends(AfterAppend::Send { to: from.ip, message });
        }
        buckets.truncate(MAX_BUCKETS_PER_MESSAGE);
        self.send(from.ip, OperationMessage::Wanted { epoch, buckets });
    }

    pub(super) fn on_fill(
        &mut self,
        from: &StoreNode,
        epoch: Epoch,
        through: u64,
        contents: Vec<BucketContents>,
    ) {
        if !self.accepts_epoch(from, epoch) {
            return;
        }
        let may_replace = self.newest_batch.covers_newest(epoch, through);
        let mut changed = Vec::new();
        for bucket in contents {
            if !may_replace {
                changed.extend(self.merge_all(bucket.records));
                continue;
            }
            changed.extend(self.table.replace_bucket(self.now, bucket));
        }
        if !changed.is_empty() {
            self.append(changed, None);
        }
    }
}
