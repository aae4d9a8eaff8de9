//! Proxies' requests at the leader: the table decides on them, and they are answered once their records are committed.

use super::batches::PreparedReply;
use super::{Effect, OperationReplica, Role};
use crate::consensus::{ClientId, EpochRejection};
use violetyoke_idempotency::{ClaimRequest, Decision};
use violetyoke_transport::messages::{
    Epoch, OperationKey, OperationRecord, OperationReply, OperationRequest,
};

impl OperationReplica {
    pub(super) fn on_request(&mut self, client: ClientId, request: OperationRequest) {
        if !matches!(&self.role, Role::Active(active) if !active.peers.is_sealed()) {
            return self.reply(client, OperationReply::Unavailable);
        }
        match request {
            OperationRequest::Claim { key, holder, timeout_ms, is_self_deduplicating } => {
                let request = ClaimRequest { key, holder, timeout_ms, is_self_deduplicating };
                self.on_claim(client, &request);
            }
            OperationRequest::Complete { key, holder } => {
                let record = self.table.complete(self.now, &key, holder);
                self.replicate_outcome(client, &key, record);
            }
            OperationRequest::Abandon { key, holder } => {
                let record = self.table.abandon(self.now, &key, holder);
                self.replicate_outcome(client, &key, record);
            }
            OperationRequest::Release { key, holder } => {
                let Role::Active(active) = &mut self.role else { return };
                let next = active.batches.next_claim();
                let record = self.table.release(self.now, next, &key, holder);
                self.replicate_outcome(client, &key, record);
            }
        }
    }

    /// Ends this store's leadership. Waiting clients are told that it is unavailable: this store doesn't learn whether
    /// their records are committed.
    pub(super) fn stop_leading(&mut self) {
        if let Role::Active(active) = std::mem::replace(&mut self.role, Role::Follower) {
            for client in active.batches.into_clients() {
                self.reply(client, OperationReply::Unavailable);
            }
        }
    }

    /// Another store has promised a higher epoch: the records of the led epoch may not reach a majority any more.
    pub(super) fn on_rejected(&mut self, epoch: Epoch, promised: Epoch) {
        let known_promise = self.rejection.map_or(epoch, |rejection| rejection.promised);
        if self.led_epoch() == Some(epoch) && promised > known_promise {
            self.rejection = Some(EpochRejection { epoch, promised });
        }
    }

    fn on_claim(&mut self, client: ClientId, request: &ClaimRequest) {
        let Role::Active(active) = &mut self.role else { return };
        let next = active.batches.next_claim();
        match self.table.claim(self.now, next, request) {
            Decision::Replicate(record) => {
                let grant = OperationReply::Granted { store_regions: self.voter_regions() };
                self.replicate(client, record, grant);
            }
            Decision::InProgress { retry_after_ms } => {
                self.reply(client, OperationReply::InProgress { retry_after_ms });
            }
            Decision::Executed { holder } => self.reply(client, OperationReply::Executed { holder }),
            Decision::Unknown => self.reply(client, OperationReply::Unknown),
            Decision::Refused => self.reply(client, OperationReply::Unavailable),
        }
    }

    /// The regions of the voters, any of which may lead next. Responses reach the proxies of repeated requests by way
    /// of the machines in these regions.
    fn voter_regions(&self) -> Vec<String> {
        self.view.leadership.as_ref().map(|leadership| leadership.voter_regions.clone()).unwrap_or_default()
    }

    /// Replicates the outcome of an operation, and confirms it once its record is committed.
    fn replicate_outcome(&mut self, client: ClientId, key: &OperationKey, record: Option<OperationRecord>) {
        match record {
            Some(record) => self.replicate(client, record, OperationReply::Recorded),
            None => self.confirm_repeated(client, key),
        }
    }

    /// Confirms a report that changes no record, once the existing record is committed.
    fn confirm_repeated(&mut self, client: ClientId, key: &OperationKey) {
        let Role::Active(active) = &mut self.role else { return };
        let prepared = PreparedReply { client, reply: OperationReply::Recorded };
        if let Some(PreparedReply { client, reply }) = active.batches.wait_for_record(key, prepared) {
            self.reply(client, reply);
        }
    }

    fn replicate(&mut self, client: ClientId, record: OperationRecord, reply: OperationReply) {
        let Role::Active(active) = &mut self.role else { return };
        active.batches.enqueue(record, PreparedReply { client, reply });
        self.start_next_batch();
    }

    fn reply(&mut self, client: ClientId, reply: OperationReply) {
        self.effects.push(Effect::Reply { client, reply });
    }
}
