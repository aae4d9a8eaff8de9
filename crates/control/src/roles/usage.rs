//! What tenants use, summed up by time span until it is reported.
//!
//! Every ingress publishes its counts in numbered batches. A batch counts once, in the span in which it arrives, or in
//! the first span that is not closed; so a closed span never changes.

use super::{declarations, lease_store};
use crate::store::{Author, ReadView, Result, Store, Writes};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use violetyoke_ownership::{shard_of, LeaseRecord, RoleKind, ShardId, SingletonRole};

/// Closed spans that are kept: a new owner may send the last one again.
const KEPT_SPANS: u64 = 8;
/// For how long the number of a process's last batch is kept.
const BATCH_NUMBER_TTL_MS: u64 = 24 * 3_600 * 1_000;
const BATCH_NUMBERS: &str = "-use-told/";

/// The span to be closed next.
pub(crate) struct NextSpan {
    pub(crate) span: u64,
    /// How long until it is over, in milliseconds.
    pub(crate) left_ms: u64,
}

/// Attempts of one process's tenants.
pub(crate) struct UsageBatch {
    /// The process, and its incarnation.
    pub(crate) holder: String,
    /// One more than that of the process's last batch.
    pub(crate) number: u64,
    /// Attempts by tenant.
    pub(crate) attempts: BTreeMap<String, u64>,
}

fn sums_prefix(shard: &ShardId) -> String {
    format!("-use/{}/{:05}/", shard.role, shard.index)
}

fn sum_path(shard: &ShardId, span: u64) -> String {
    format!("{}{span:020}", sums_prefix(shard))
}

fn span_of(path: &str) -> Option<u64> {
    path.rsplit('/').next()?.parse().ok()
}

fn watermark(read: &dyn ReadView, shard: &ShardId) -> Result<u64> {
    let document = read.get(&lease_store::record_path(shard))?;
    let record = document.and_then(|document| serde_json::from_value::<LeaseRecord>(document.body).ok());
    Ok(record.map_or(0, |record| record.watermark))
}

/// The span that usage counts in now: that of the present time, or the first one that is not closed.
fn open_span(role: &SingletonRole, last_closed: u64, now_ms: u64) -> u64 {
    (now_ms / role.report_span_ms).max(last_closed + 1)
}

/// Adds a batch to the open spans. Returns whether it was new.
pub(crate) fn record_batch(store: &dyn Store, batch: &UsageBatch, now_ms: u64) -> Result<bool> {
    let number_path = format!("{BATCH_NUMBERS}{}", batch.holder);
    let mut is_new = false;
    store.transact(&Author::control(now_ms), &mut |read| {
        let last = read.get(&number_path)?.and_then(|document| document.body["number"].as_u64());
        is_new = last.is_none_or(|last| batch.number > last);
        if !is_new {
            return Ok(None);
        }
        let number = json!({ "number": batch.number, "at": now_ms });
        let mut writes = Writes::default().put(number_path.clone(), number);
        for role in declarations::in_force(read)?.iter().filter(|role| role.kind == RoleKind::Report) {
            writes = add_attempts(read, writes, role, &batch.attempts, now_ms)?;
        }
        Ok(Some(writes))
    })?;
    Ok(is_new)
}

/// Adds attempts to the open spans of a role's shards.
fn add_attempts(
    read: &dyn ReadView,
    mut writes: Writes,
    role: &SingletonRole,
    attempts: &BTreeMap<String, u64>,
    now_ms: u64,
) -> Result<Writes> {
    let mut by_shard: BTreeMap<u32, Vec<(&String, u64)>> = BTreeMap::new();
    for (tenant, count) in attempts {
        by_shard.entry(shard_of(tenant, role.shard_count)).or_default().push((tenant, *count));
    }
    for (index, added) in by_shard {
        let shard = ShardId::new(&role.name, index);
        let path = sum_path(&shard, open_span(role, watermark(read, &shard)?, now_ms));
        let mut sum = read.get(&path)?.map_or_else(|| json!({}), |document| document.body);
        for (tenant, count) in added {
            sum[tenant] = Value::from(sum[tenant].as_u64().unwrap_or(0) + count);
        }
        writes = writes.put(path, sum);
    }
    Ok(writes)
}

/// The span to be closed after span `after`; 0: none was closed yet.
pub(crate) fn next_span(
    read: &dyn ReadView,
    role: &SingletonRole,
    shard: &ShardId,
    after: u64,
    now_ms: u64,
) -> Result<NextSpan> {
    let span = if after == 0 {
        // The first span is that of the first usage, or else the last one that is over.
        let first = read.list(&sums_prefix(shard), "", 1)?;
        let first = first.first().and_then(|document| span_of(&document.path));
        first.unwrap_or((now_ms / role.report_span_ms).saturating_sub(1)).max(1)
    } else {
        after + 1
    };
    Ok(NextSpan { span, left_ms: ((span + 1) * role.report_span_ms).saturating_sub(now_ms) })
}

/// The attempts of one span by tenant. They are final once the span is closed.
pub(crate) fn attempts_in(read: &dyn ReadView, shard: &ShardId, span: u64) -> Result<Value> {
    Ok(read.get(&sum_path(shard, span))?.map_or_else(|| json!({}), |document| document.body))
}

/// Deletes what is no longer needed: sums of spans closed long ago, and batch numbers of processes that have ended.
pub(crate) fn delete_obsolete(read: &dyn ReadView, roles: &[SingletonRole], now_ms: u64) -> Result<Writes> {
    let mut writes = Writes::default();
    for role in roles.iter().filter(|role| role.kind == RoleKind::Report) {
        for index in 0..role.shard_count {
            let shard = ShardId::new(&role.name, index);
            let first_kept = watermark(read, &shard)?.saturating_sub(KEPT_SPANS);
            for document in read.list(&sums_prefix(&shard), "", 1_000)? {
                if span_of(&document.path).is_some_and(|span| span < first_kept) {
                    writes = writes.delete(document.path);
                }
            }
        }
    }
    for document in read.list(BATCH_NUMBERS, "", 10_000)? {
        if document.body["at"].as_u64().is_none_or(|at| at + BATCH_NUMBER_TTL_MS < now_ms) {
            writes = writes.delete(document.path);
        }
    }
    Ok(writes)
}
