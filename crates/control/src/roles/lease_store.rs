//! Leases in the store, and the fencing of what their holders write there.

use crate::store::{Author, Error, ReadView, Result, Store, Writes};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;
use violetyoke_ownership::{Claim, Epoch, LeaseRecord, ShardId, ShardOverride};

/// The path of the newest epoch.
const NEWEST_EPOCH_PATH: &str = "-epoch";

/// Whether a claim is the newest grant of its shard.
pub(crate) enum ClaimCheck {
    /// It is, and this is the shard's record.
    Current(LeaseRecord),
    /// It is not; the newest epoch of the shard, 0 if there was none.
    Fenced { newest: Epoch },
}

/// What became of a watermark that a holder recorded.
pub(crate) enum WatermarkOutcome {
    Recorded,
    /// The holder's claim is not the newest grant.
    Fenced {
        newest: Epoch,
    },
    /// A watermark never decreases.
    WouldDecrease {
        current: u64,
    },
}

/// The path of a shard's record.
pub(crate) fn record_path(shard: &ShardId) -> String {
    format!("-lease/{}/{:05}", shard.role, shard.index)
}

/// The path of an operator's override. Unlike records, overrides are audited.
pub(crate) fn override_path(shard: &ShardId) -> String {
    format!("duties/{}/{:05}", shard.role, shard.index)
}

fn parse<T: DeserializeOwned>(path: &str, body: Value) -> Result<T> {
    serde_json::from_value(body).map_err(|source| Error::Document { path: path.to_string(), source })
}

/// A shard's record; none if the shard was never granted.
pub(crate) fn record(read: &dyn ReadView, shard: &ShardId) -> Result<Option<LeaseRecord>> {
    let path = record_path(shard);
    read.get(&path)?.map(|document| parse(&path, document.body)).transpose()
}

/// The records of a role, or of all roles.
pub(crate) fn records(read: &dyn ReadView, role: Option<&str>) -> Result<Vec<LeaseRecord>> {
    let prefix = role.map_or_else(|| "-lease/".to_string(), |role| format!("-lease/{role}/"));
    let documents = read.list(&prefix, "", usize::MAX)?;
    documents.into_iter().map(|document| parse(&document.path, document.body)).collect()
}

/// Adds a record to the writes.
pub(crate) fn put_record(writes: Writes, record: &LeaseRecord) -> Result<Writes> {
    let path = record_path(&record.shard);
    match serde_json::to_value(record) {
        Ok(body) => Ok(writes.put(path, body)),
        Err(source) => Err(Error::Document { path, source }),
    }
}

/// The newest epoch in the store; 0: none yet.
pub(crate) fn newest_epoch(read: &dyn ReadView) -> Result<Epoch> {
    let stored = read.get(NEWEST_EPOCH_PATH)?.and_then(|document| document.body.as_u64());
    Ok(stored.map(Epoch).unwrap_or_default())
}

/// Adds the newest epoch to the writes.
pub(crate) fn put_newest_epoch(writes: Writes, newest: Epoch) -> Writes {
    writes.put(NEWEST_EPOCH_PATH, newest.0.into())
}

/// The operators' overrides.
pub(crate) fn overrides(read: &dyn ReadView) -> Result<BTreeMap<ShardId, ShardOverride>> {
    let mut overrides = BTreeMap::new();
    for document in read.list("duties/", "", usize::MAX)? {
        let mut segments = document.path.split('/').skip(1);
        let (Some(role), Some(index)) = (segments.next(), segments.next()) else { continue };
        if let Ok(index) = index.parse() {
            overrides.insert(ShardId::new(role, index), parse(&document.path, document.body)?);
        }
    }
    Ok(overrides)
}

/// Checks a claim in the transaction that a holder writes in.
pub(crate) fn check_claim(read: &dyn ReadView, holder: &str, claim: &Claim) -> Result<ClaimCheck> {
    Ok(match record(read, &claim.shard)? {
        Some(record) if record.is_granted_to(holder, claim.epoch) => ClaimCheck::Current(record),
        Some(record) => ClaimCheck::Fenced { newest: record.epoch },
        None => ClaimCheck::Fenced { newest: Epoch::default() },
    })
}

/// Records how far a shard's work has come, under a claim.
pub(crate) fn record_watermark(
    store: &dyn Store,
    holder: &str,
    claim: &Claim,
    watermark: u64,
    wall_ms: u64,
) -> Result<WatermarkOutcome> {
    let mut outcome = WatermarkOutcome::Recorded;
    store.transact(&Author::control(wall_ms), &mut |read| {
        let record = match check_claim(read, holder, claim)? {
            ClaimCheck::Current(record) => record,
            ClaimCheck::Fenced { newest } => {
                outcome = WatermarkOutcome::Fenced { newest };
                return Ok(None);
            }
        };
        if watermark < record.watermark {
            outcome = WatermarkOutcome::WouldDecrease { current: record.watermark };
            return Ok(None);
        }
        outcome = WatermarkOutcome::Recorded;
        Ok(Some(put_record(Writes::default(), &LeaseRecord { watermark, ..record })?))
    })?;
    if let WatermarkOutcome::Fenced { newest } = outcome {
        tracing::warn!(lease = %claim.shard, epoch = %claim.epoch, holder, %newest, "a write is rejected by fencing");
    }
    Ok(outcome)
}

/// The record of a shard whose owners failed, with the failures forgiven; none if there were none.
pub(crate) fn forgive_failures(read: &dyn ReadView, shard: &ShardId) -> Result<Option<LeaseRecord>> {
    let has_failures =
        |record: &LeaseRecord| record.suspension_reason.is_some() || !record.failed_holders.is_empty();
    Ok(record(read, shard)?.filter(has_failures).map(|record| LeaseRecord {
        suspension_reason: None,
        failed_holders: Vec::new(),
        consecutive_failures: 0,
        ..record
    }))
}
