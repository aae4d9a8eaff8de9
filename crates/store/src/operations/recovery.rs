//! The start of a leader: it merges the records of the voters before it answers any request.

use super::batches::Batches;
use super::follower::MAX_BUCKETS_PER_MESSAGE;
use super::peers::PeerSync;
use super::{Active, OperationReplica, Role};
use crate::consensus::is_majority;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_idempotency::Millis;
use violetyoke_transport::messages::{
    BucketContents, BucketDigest, BucketId, Epoch, OperationMessage, StoreId, StoreNode,
};

/// A query that a voter has not answered is sent again after this time (ms).
const QUERY_RETRY_INTERVAL: Millis = 200;

/// How far the leader has read a voter's records.
#[derive(Clone, Debug)]
enum VoterRead {
    /// The voter's digests are requested.
    AwaitingDigests,
    /// The first of these buckets are requested; all of them are still to be merged.
    AwaitingBuckets(Vec<BucketId>),
    /// All records of the voter are merged.
    Done,
}

#[derive(Clone, Debug)]
struct Voter {
    ip: Ipv4Addr,
    read: VoterRead,
    queried_at: Millis,
}

/// The progress of a new leader in reading the voters' records.
#[derive(Clone, Debug)]
pub(super) struct Recovery {
    epoch: Epoch,
    /// The lists of voters. A majority of each has to be read.
    quorums: Vec<Vec<StoreNode>>,
    voters: BTreeMap<StoreId, Voter>,
}

impl Recovery {
    /// Invariant: recovery is complete only once the records of a majority of each list of voters are merged. Each
    /// claim that was granted under an earlier epoch is among these records.
    fn is_complete(&self, local: StoreId) -> bool {
        let is_read = |id: StoreId| {
            id == local || self.voters.get(&id).is_some_and(|voter| matches!(voter.read, VoterRead::Done))
        };
        self.quorums.iter().all(|voters| is_majority(voters, is_read))
    }
}

impl Voter {
    fn pending_query(&self, epoch: Epoch) -> Option<OperationMessage> {
        match &self.read {
            VoterRead::AwaitingDigests => Some(OperationMessage::ReadDigests { epoch }),
            VoterRead::AwaitingBuckets(buckets) => {
                let buckets = buckets.iter().take(MAX_BUCKETS_PER_MESSAGE).copied().collect();
                Some(OperationMessage::ReadBuckets { epoch, buckets })
            }
            VoterRead::Done => None,
        }
    }
}

impl OperationReplica {
    pub(super) fn start_recovery(&mut self) {
        let Some(leadership) = &self.view.leadership else { return };
        let epoch = leadership.epoch;
        let mut quorums = leadership.previous_voters.clone();
        if quorums.is_empty() {
            quorums.push(leadership.voters.clone());
        }
        let others: BTreeSet<&StoreNode> =
            quorums.iter().flatten().filter(|voter| voter.id != self.local.id).collect();
        let (read, now) = (|| VoterRead::AwaitingDigests, self.now);
        let voters =
            others.into_iter().map(|node| (node.id, Voter { ip: node.ip, read: read(), queried_at: now }));
        let voters: BTreeMap<StoreId, Voter> = voters.collect();
        let to: Vec<Ipv4Addr> = voters.values().map(|voter| voter.ip).collect();
        self.effects.push(super::Effect::Send { to, message: OperationMessage::ReadDigests { epoch } });
        self.role = Role::Recovering(Recovery { epoch, quorums, voters });
        self.finish_recovery();
    }

    /// Repeats queries whose answers are overdue.
    pub(super) fn continue_recovery(&mut self) {
        let Role::Recovering(recovery) = &mut self.role else { return };
        let mut queries = Vec::new();
        for voter in recovery.voters.values_mut() {
            if self.now < voter.queried_at + QUERY_RETRY_INTERVAL {
                continue;
            }
            voter.queried_at = self.now;
            queries.extend(voter.pending_query(recovery.epoch).map(|query| (voter.ip, query)));
        }
        for (ip, query) in queries {
            self.send(ip, query);
        }
    }

    pub(super) fn on_digests(&mut self, from: &StoreNode, epoch: Epoch, digests: &[BucketDigest]) {
        let buckets = self.table.differing(digests);
        let Some(voter) = self.voter_read(from, epoch) else { return };
        if matches!(voter.read, VoterRead::AwaitingDigests) {
            voter.read = VoterRead::AwaitingBuckets(buckets);
            self.read_next_buckets(from.id);
        }
    }

    pub(super) fn on_buckets(&mut self, from: &StoreNode, epoch: Epoch, contents: Vec<BucketContents>) {
        let Some(voter) = self.voter_read(from, epoch) else { return };
        let VoterRead::AwaitingBuckets(awaited) = &mut voter.read else { return };
        awaited.retain(|bucket| !contents.iter().any(|content| content.bucket == *bucket));
        let changed = self.merge_all(contents.into_iter().flat_map(|content| content.records).collect());
        if !changed.is_empty() {
            self.append(changed, None);
        }
        self.read_next_buckets(from.id);
    }

    fn voter_read(&mut self, from: &StoreNode, epoch: Epoch) -> Option<&mut Voter> {
        match &mut self.role {
            Role::Recovering(recovery) if recovery.epoch == epoch => recovery.voters.get_mut(&from.id),
            _ => None,
        }
    }

    fn read_next_buckets(&mut self, id: StoreId) {
        let now = self.now;
        let Role::Recovering(recovery) = &mut self.role else { return };
        let Some(voter) = recovery.voters.get_mut(&id) else { return };
        if matches!(&voter.read, VoterRead::AwaitingBuckets(buckets) if buckets.is_empty()) {
            voter.read = VoterRead::Done;
            return self.finish_recovery();
        }
        voter.queried_at = now;
        let (ip, query) = (voter.ip, voter.pending_query(recovery.epoch));
        if let Some(query) = query {
            self.send(ip, query);
        }
    }

    fn finish_recovery(&mut self) {
        let Role::Recovering(recovery) = &self.role else { return };
        if !recovery.is_complete(self.local.id) {
            return;
        }
        let active = Active { batches: Batches::new(recovery.epoch), peers: PeerSync::default() };
        self.role = Role::Active(active);
        self.sync_peers();
    }
}
