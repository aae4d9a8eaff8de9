//! Transitions of a shard's record: each computes the next record from the one in the store.

use super::LeaseManager;
use crate::claim::{Claim, Renewal};
use crate::clock::Micros;
use crate::epoch::Epoch;
use crate::messages::{Grant, LossReason};
use crate::record::{LeaseRecord, FORGIVE_AFTER_RENEWALS};

impl LeaseManager {
    /// Grants a shard without a holder to its intended holder, under a new epoch. Returns `None` if the shard can't
    /// be granted to `holder`.
    pub fn grant(
        &self,
        record: &LeaseRecord,
        holder: &str,
        epoch: Epoch,
        wall_ms: u64,
    ) -> Option<(LeaseRecord, Grant)> {
        let role = self.role_of(&record.shard)?;
        let observed = self.observed.get(&record.shard)?;
        let is_free = record.holder.is_none() && record.suspension_reason.is_none() && epoch > record.epoch;
        if !is_free || self.intended_holder(&record.shard, observed) != Some(holder) {
            return None;
        }
        let record = LeaseRecord {
            holder: Some(holder.to_string()),
            epoch,
            renewals: 0,
            ttl_ms: role.ttl_ms,
            operations: 0,
            granted_at_ms: wall_ms,
            last_progress_ms: wall_ms,
            ..record.clone()
        };
        let grant = record.grant(false);
        Some((record, grant))
    }

    /// Renews a lease whose work makes progress. `record` is `None` if the store has no record.
    ///
    /// # Errors
    /// Why the holder does not have the lease.
    pub fn renew(
        &self,
        record: Option<&LeaseRecord>,
        holder: &str,
        renewal: &Renewal,
        wall_ms: u64,
    ) -> Result<(LeaseRecord, Grant), LossReason> {
        let mut record = self.verify_claim(record, holder, &renewal.claim)?.clone();
        record.renewals += 1;
        record.operations = renewal.operations;
        record.last_progress_ms = wall_ms;
        if renewal.operations > 0 {
            record.consecutive_failures = 0;
        }
        if record.renewals >= FORGIVE_AFTER_RENEWALS {
            record.failed_holders.clear();
        }
        let grant = record.grant(self.must_hand_over(&record));
        Ok((record, grant))
    }

    /// Releases a lease whose work has finished.
    ///
    /// # Errors
    /// Why the holder does not have the lease.
    pub fn release(
        &self,
        record: Option<&LeaseRecord>,
        holder: &str,
        claim: &Claim,
    ) -> Result<LeaseRecord, LossReason> {
        let record = self.verify_claim(record, holder, claim)?;
        Ok(LeaseRecord { holder: None, consecutive_failures: 0, ..record.clone() })
    }

    /// Revokes a lease that its holder reports as expired, before it expires by this manager's own clock.
    ///
    /// # Errors
    /// Why the holder does not have the lease.
    pub fn release_expired(
        &self,
        record: Option<&LeaseRecord>,
        holder: &str,
        claim: &Claim,
    ) -> Result<LeaseRecord, LossReason> {
        let mut record = self.verify_claim(record, holder, claim)?.clone();
        record.fail_holder();
        Ok(record)
    }

    fn verify_claim<'a>(
        &self,
        record: Option<&'a LeaseRecord>,
        holder: &str,
        claim: &Claim,
    ) -> Result<&'a LeaseRecord, LossReason> {
        if self.role_of(&claim.shard).is_none() {
            return Err(LossReason::Removed);
        }
        match record {
            Some(record) if record.is_granted_to(holder, claim.epoch) => Ok(record),
            Some(record) if record.epoch > claim.epoch => Err(LossReason::Superseded),
            Some(record) if record.epoch == claim.epoch => Err(LossReason::Expired),
            _ => Err(LossReason::Unknown),
        }
    }

    /// Revokes an expired lease. Returns `None` if the record differs from the observed one, or if the lease has not
    /// expired.
    pub fn expire(&self, record: &LeaseRecord, now: Micros) -> Option<LeaseRecord> {
        let observed = self.observed.get(&record.shard)?;
        let is_as_observed = record.is_granted_to(observed.holder.as_deref()?, observed.epoch)
            && record.renewals == observed.renewals;
        if !is_as_observed || !observed.is_expired(now) {
            return None;
        }
        let mut record = record.clone();
        record.fail_holder();
        Some(record)
    }
}
