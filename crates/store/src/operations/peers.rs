//! How the leader brings other stores up to date (anti-entropy): it offers its digests, a store requests the buckets
//! that differ, and confirms when it has all records.

use super::{Active, ConsensusView, Effect, OperationReplica, Role};
use std::collections::BTreeMap;
use violetyoke_idempotency::Millis;
use violetyoke_transport::messages::{BucketId, Epoch, OperationMessage, StoreId, StoreNode};

/// The leader repeats its offer to a store that is not up to date after this time (ms).
const OFFER_INTERVAL: Millis = 500;
/// The same while claims are refused for learners (ms).
const SEALED_OFFER_INTERVAL: Millis = 100;
/// The maximum time for which claims are refused so that learners can get all records (ms).
const MAX_SEAL: Millis = 1_000;
/// The minimum time for which claims are granted between two such periods (ms).
const MIN_UNSEALED: Millis = 500;

/// Which records of the leader another store has.
#[derive(Clone, Copy, Debug, Default)]
struct PeerProgress {
    /// The store has all records that the leader had when it sent this batch; `None` if no such batch is known.
    complete_through: Option<u64>,
    offered_at: Option<Millis>,
}

/// Whether claims are refused so that learners can get all records before a change of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seal {
    Open { since: Millis },
    Sealed { since: Millis },
}

/// The progress of all other live stores, by id.
#[derive(Clone, Debug)]
pub(super) struct PeerSync {
    progress: BTreeMap<StoreId, PeerProgress>,
    seal: Seal,
}

impl Default for PeerSync {
    fn default() -> PeerSync {
        PeerSync { progress: BTreeMap::new(), seal: Seal::Open { since: 0 } }
    }
}

impl PeerSync {
    pub(super) fn is_sealed(&self) -> bool {
        matches!(self.seal, Seal::Sealed { .. })
    }

    /// A store has a batch. If it lacks an earlier batch, its progress is reset, so that it gets an offer again.
    pub(super) fn on_appended(&mut self, id: StoreId, batch: u64) {
        let Some(through) =
            self.progress.get_mut(&id).and_then(|progress| progress.complete_through.as_mut())
        else {
            return;
        };
        if batch == *through + 1 {
            *through = batch;
        } else if batch > *through {
            self.progress.remove(&id);
        }
    }

    fn on_synced(&mut self, id: StoreId, through: u64) {
        let complete = &mut self.progress.entry(id).or_default().complete_through;
        *complete = (*complete).max(Some(through));
    }

    /// Whether to send an offer to a store now.
    fn is_offer_due(&self, id: StoreId, last_batch: u64, now: Millis) -> bool {
        let progress = self.progress.get(&id).copied().unwrap_or_default();
        let is_behind = match progress.complete_through {
            None => true,
            Some(through) => self.is_sealed() && through < last_batch,
        };
        let interval = if self.is_sealed() { SEALED_OFFER_INTERVAL } else { OFFER_INTERVAL };
        is_behind && progress.offered_at.is_none_or(|offered_at| now >= offered_at + interval)
    }

    fn mark_offered(&mut self, id: StoreId, now: Millis) {
        self.progress.entry(id).or_default().offered_at = Some(now);
    }

    /// Removes stores that are not alive: when they return, they may lack batches that were sent meanwhile.
    fn retain(&mut self, live_peers: &[StoreNode]) {
        self.progress.retain(|id, _| live_peers.iter().any(|peer| peer.id == *id));
    }

    fn is_known_complete(&self, id: StoreId) -> bool {
        self.progress.get(&id).is_some_and(|progress| progress.complete_through.is_some())
    }

    /// Refuses claims while all awaited learners are known to be nearly up to date, for `MAX_SEAL` at most.
    fn update_seal(&mut self, awaited: &[StoreId], now: Millis) {
        let can_complete = !awaited.is_empty() && awaited.iter().all(|id| self.is_known_complete(*id));
        self.seal = match self.seal {
            Seal::Open { since } if can_complete && now >= since + MIN_UNSEALED => {
                Seal::Sealed { since: now }
            }
            Seal::Sealed { since } if !can_complete || now >= since + MAX_SEAL => Seal::Open { since: now },
            unchanged => unchanged,
        };
    }
}

impl Active {
    /// The awaited learners, if all of them have all records and no claim is granted; otherwise none.
    pub(super) fn complete_learners(&self, view: &ConsensusView) -> Vec<StoreId> {
        let Some(leadership) = &view.leadership else { return Vec::new() };
        let last_batch = self.batches.last_batch();
        let is_complete = |id: &StoreId| {
            let progress = self.peers.progress.get(id);
            progress.is_some_and(|progress| progress.complete_through == Some(last_batch))
        };
        // Batches that are not committed don't matter: their claims were not granted, and this leader won't grant them
        // in the next epoch.
        if self.peers.is_sealed() && leadership.awaited_learners.iter().all(is_complete) {
            leadership.awaited_learners.clone()
        } else {
            Vec::new()
        }
    }
}

impl OperationReplica {
    /// Sends the offers that are due.
    pub(super) fn sync_peers(&mut self) {
        let now = self.now;
        let (Role::Active(active), Some(leadership)) = (&mut self.role, &self.view.leadership) else {
            return;
        };
        active.peers.retain(&leadership.live_peers);
        active.peers.update_seal(&leadership.awaited_learners, now);
        let last_batch = active.batches.last_batch();
        let is_due = |peer: &&StoreNode| active.peers.is_offer_due(peer.id, last_batch, now);
        let due: Vec<StoreNode> = leadership.live_peers.iter().filter(is_due).cloned().collect();
        self.offer(&due);
    }

    fn offer(&mut self, peers: &[StoreNode]) {
        if peers.is_empty() {
            return;
        }
        // The digests include the queued records, which therefore have to be sent before the offer: otherwise a store
        // would lack them when it compares the digests.
        self.flush();
        let Role::Active(active) = &mut self.role else { return };
        for peer in peers {
            active.peers.mark_offered(peer.id, self.now);
        }
        let (epoch, through) = (active.batches.epoch(), active.batches.last_batch());
        let message = OperationMessage::Offer { epoch, through, digests: self.table.digests() };
        self.effects.push(Effect::Send { to: peers.iter().map(|peer| peer.ip).collect(), message });
    }

    /// A store requests buckets: sends them, and another offer.
    pub(super) fn on_wanted(&mut self, from: &StoreNode, epoch: Epoch, buckets: &[BucketId]) {
        let Role::Active(active) = &self.role else { return };
        if active.batches.epoch() != epoch {
            return;
        }
        let through = active.batches.last_batch();
        let contents = self.contents_of(buckets);
        self.send(from.ip, OperationMessage::Fill { epoch, through, contents });
        self.offer(std::slice::from_ref(from));
    }

    /// A store has all records that were offered, and so all batches up to `through`.
    pub(super) fn on_synced(&mut self, id: StoreId, epoch: Epoch, through: u64) {
        let Role::Active(active) = &mut self.role else { return };
        if active.batches.epoch() == epoch {
            active.peers.on_synced(id, through);
            self.commit(id, |number| number <= through);
        }
    }
}
