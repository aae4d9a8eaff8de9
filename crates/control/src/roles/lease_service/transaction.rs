//! The part of a holder's request that runs in a transaction of the store.

use crate::roles::lease_store::{put_newest_epoch, put_record, record};
use crate::store::{ReadView, Result, Writes};
use std::mem;
use violetyoke_ownership::{
    Claim, Epoch, LeaseManager, LeaseRecord, LossReason, RenewRequest, RenewResponse, Renewal, ShardId,
};

/// What a transaction has done. Unless it commits, none of it has happened.
#[derive(Default)]
pub(super) struct Outcome {
    pub(super) response: RenewResponse,
    pub(super) changed: Vec<LeaseRecord>,
    pub(super) writes: Writes,
}

/// Processes one holder's request on one state of the store.
pub(super) struct Transaction<'a> {
    pub(super) read: &'a dyn ReadView,
    pub(super) manager: &'a LeaseManager,
    pub(super) request: &'a RenewRequest,
    pub(super) wall_ms: u64,
    pub(super) outcome: Outcome,
}

impl Transaction<'_> {
    /// Renews and releases what the request asks for.
    pub(super) fn process_claims(&mut self) -> Result<()> {
        let request = self.request;
        for renewal in &request.renew {
            self.renew(renewal)?;
        }
        for claim in &request.release {
            let old = record(self.read, &claim.shard)?;
            let released = self.manager.release(old.as_ref(), &request.holder, claim);
            self.finish_release(claim, released)?;
        }
        for claim in &request.expired {
            let old = record(self.read, &claim.shard)?;
            let released = self.manager.release_expired(old.as_ref(), &request.holder, claim);
            self.finish_release(claim, released)?;
        }
        Ok(())
    }

    fn renew(&mut self, renewal: &Renewal) -> Result<()> {
        let old = record(self.read, &renewal.claim.shard)?;
        match self.manager.renew(old.as_ref(), &self.request.holder, renewal, self.wall_ms) {
            Ok((new, grant)) => {
                self.outcome.response.grants.push(grant);
                self.put(new)?;
            }
            Err(reason) => self.outcome.response.lost.push((renewal.claim.clone(), reason)),
        }
        Ok(())
    }

    fn finish_release(
        &mut self,
        claim: &Claim,
        released: std::result::Result<LeaseRecord, LossReason>,
    ) -> Result<()> {
        match released {
            Ok(new) => self.put(new)?,
            Err(reason) => self.outcome.response.lost.push((claim.clone(), reason)),
        }
        Ok(())
    }

    /// Grants a shard under this epoch, if the store's record allows it.
    pub(super) fn grant(&mut self, shard: &ShardId, epoch: Epoch) -> Result<()> {
        let old = record(self.read, shard)?.unwrap_or_else(|| LeaseRecord::new(shard.clone()));
        if let Some((new, grant)) = self.manager.grant(&old, &self.request.holder, epoch, self.wall_ms) {
            self.outcome.response.grants.push(grant);
            self.put(new)?;
        }
        Ok(())
    }

    pub(super) fn put_newest_epoch(&mut self, newest: Epoch) {
        self.outcome.writes = put_newest_epoch(mem::take(&mut self.outcome.writes), newest);
    }

    fn put(&mut self, record: LeaseRecord) -> Result<()> {
        self.outcome.writes = put_record(mem::take(&mut self.outcome.writes), &record)?;
        self.outcome.changed.push(record);
        Ok(())
    }
}
