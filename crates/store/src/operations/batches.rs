//! Replication of new and changed records in batches, and the replies that wait for them.

use super::appends::AfterAppend;
use super::{Effect, OperationReplica, Role};
use crate::consensus::{is_majority, ClientId};
use std::collections::{BTreeSet, VecDeque};
use violetyoke_idempotency::Millis;
use violetyoke_transport::messages::{
    ClaimId, Epoch, OperationKey, OperationMessage, OperationRecord, OperationReply, StoreId,
};

/// The next batch is sent when the previous one is committed, or at the latest after this time (ms).
const MAX_BATCH_WAIT: Millis = 50;

/// A reply that is sent once its record is committed.
#[derive(Clone, Debug)]
pub(super) struct PreparedReply {
    pub(super) client: ClientId,
    pub(super) reply: OperationReply,
}

/// Records that are being replicated.
#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    sent_at: Millis,
    /// Ids of the stores that have the batch on their disks.
    appended_by: BTreeSet<StoreId>,
    /// The keys of its records.
    keys: BTreeSet<OperationKey>,
    replies: Vec<PreparedReply>,
}

/// The batches of one epoch.
#[derive(Clone, Debug)]
pub(super) struct Batches {
    epoch: Epoch,
    last_claim: u64,
    last_batch: u64,
    in_flight: VecDeque<Batch>,
    queued_records: Vec<OperationRecord>,
    queued_replies: Vec<PreparedReply>,
}

impl Batches {
    pub(super) fn new(epoch: Epoch) -> Batches {
        Batches {
            epoch,
            last_claim: 0,
            last_batch: 0,
            in_flight: VecDeque::new(),
            queued_records: Vec::new(),
            queued_replies: Vec::new(),
        }
    }

    pub(super) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The number of the newest batch that was sent.
    pub(super) fn last_batch(&self) -> u64 {
        self.last_batch
    }

    /// The id for the next claim. An id that is not used is skipped.
    pub(super) fn next_claim(&mut self) -> ClaimId {
        self.last_claim += 1;
        ClaimId { epoch: self.epoch, sequence: self.last_claim }
    }

    pub(super) fn enqueue(&mut self, record: OperationRecord, reply: PreparedReply) {
        self.queued_records.push(record);
        self.queued_replies.push(reply);
    }

    /// Makes a reply wait for the newest uncommitted batch that has a record of an operation. Returns the reply if
    /// there is no such batch.
    pub(super) fn wait_for_record(
        &mut self,
        key: &OperationKey,
        reply: PreparedReply,
    ) -> Option<PreparedReply> {
        if self.queued_records.iter().any(|record| record.key == *key) {
            self.queued_replies.push(reply);
            return None;
        }
        match self.in_flight.iter_mut().rfind(|batch| batch.keys.contains(key)) {
            Some(batch) => batch.replies.push(reply),
            None => return Some(reply),
        }
        None
    }

    fn has_queued(&self) -> bool {
        !self.queued_records.is_empty()
    }

    fn is_next_due(&self, now: Millis) -> bool {
        let is_overdue = |batch: &Batch| now >= batch.sent_at + MAX_BATCH_WAIT;
        self.has_queued() && self.in_flight.back().is_none_or(is_overdue)
    }

    fn take_next(&mut self, now: Millis) -> (u64, Vec<OperationRecord>) {
        self.last_batch += 1;
        self.in_flight.push_back(Batch {
            number: self.last_batch,
            sent_at: now,
            appended_by: BTreeSet::new(),
            keys: self.queued_records.iter().map(|record| record.key.clone()).collect(),
            replies: std::mem::take(&mut self.queued_replies),
        });
        (self.last_batch, std::mem::take(&mut self.queued_records))
    }

    /// Records that a store has these batches, and returns the replies of the batches that are committed by it. Each
    /// batch is committed independently of the batches before it.
    fn on_appended(
        &mut self,
        id: StoreId,
        includes_batch: impl Fn(u64) -> bool,
        is_committed: impl Fn(&BTreeSet<StoreId>) -> bool,
    ) -> Vec<PreparedReply> {
        let mut replies = Vec::new();
        self.in_flight.retain_mut(|batch| {
            if includes_batch(batch.number) {
                batch.appended_by.insert(id);
            }
            let is_committed = is_committed(&batch.appended_by);
            if is_committed {
                replies.append(&mut batch.replies);
            }
            !is_committed
        });
        replies
    }

    /// Drops all batches, and returns the clients that wait for a reply.
    pub(super) fn into_clients(self) -> impl Iterator<Item = ClientId> {
        let sent = self.in_flight.into_iter().flat_map(|batch| batch.replies);
        sent.chain(self.queued_replies).map(|prepared| prepared.client)
    }
}

impl OperationReplica {
    /// Sends the queued records if no batch is in flight or the last one was sent long enough ago.
    pub(super) fn start_next_batch(&mut self) {
        if matches!(&self.role, Role::Active(active) if active.batches.is_next_due(self.now)) {
            self.flush();
        }
    }

    /// Sends the queued records as a batch.
    pub(super) fn flush(&mut self) {
        let Role::Active(active) = &mut self.role else { return };
        if !active.batches.has_queued() {
            return;
        }
        let epoch = active.batches.epoch();
        let (batch, records) = active.batches.take_next(self.now);
        if let Some(leadership) = &self.view.leadership {
            let to = leadership.live_peers.iter().map(|peer| peer.ip).collect();
            let message = OperationMessage::Append { epoch, batch, records: records.clone() };
            self.effects.push(Effect::Send { to, message });
        }
        self.append(records, Some(AfterAppend::OwnBatch { epoch, batch }));
    }

    /// A store (this one or another) has a batch on its disk.
    pub(super) fn on_batch_appended(&mut self, id: StoreId, epoch: Epoch, batch: u64) {
        let Role::Active(active) = &mut self.role else { return };
        if active.batches.epoch() == epoch {
            active.peers.on_appended(id, batch);
            self.commit(id, |number| number == batch);
        }
    }

    /// Records that a store has these batches, and replies to the clients of those that are committed by it.
    ///
    /// Invariant: a claim is granted only when a majority of the voters of the installed replica set has it on disk.
    pub(super) fn commit(&mut self, id: StoreId, includes_batch: impl Fn(u64) -> bool) {
        let (Role::Active(active), Some(leadership)) = (&mut self.role, &self.view.leadership) else {
            return;
        };
        let voters = &leadership.voters;
        let is_committed =
            |appended_by: &BTreeSet<StoreId>| is_majority(voters, |id| appended_by.contains(&id));
        let replies = active.batches.on_appended(id, includes_batch, is_committed);
        for PreparedReply { client, reply } in replies {
            self.effects.push(Effect::Reply { client, reply });
        }
        self.start_next_batch();
    }
}
