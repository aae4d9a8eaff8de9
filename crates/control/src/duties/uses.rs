//! What tenants use, summed up by span until it is reported.
//!
//! Every process tells what it has counted in numbered batches. A batch counts once, in the span in which it comes,
//! or in the first that is not closed; so a span that has been closed never changes.

use super::kept;
use crate::store::{Author, Read, Result, Store, Writes};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use violetyoke_ownership::deal::shard_of;
use violetyoke_ownership::duty::{Duty, Kind};
use violetyoke_ownership::{Name, Record};

/// Spans that are kept after they were closed: whoever took the work over may send the last one again.
const KEPT: u64 = 8;

fn sums_of(name: &Name) -> String {
    format!("-use/{}/{:05}/", name.duty, name.shard)
}

fn sum_path(name: &Name, span: u64) -> String {
    format!("{}{span:020}", sums_of(name))
}

fn span_of(path: &str) -> Option<u64> {
    path.rsplit('/').next()?.parse().ok()
}

fn told_path(life: &str) -> String {
    format!("-use-told/{life}")
}

/// The span that use counts in now: the one of this time, or the first that is open.
fn open_span(duty: &Duty, mark: u64, now: u64) -> u64 {
    (now / duty.span_ms).max(mark + 1)
}

fn mark(read: &dyn Read, name: &Name) -> Result<u64> {
    let record = read.get(&kept::path(name))?;
    Ok(record.and_then(|document| serde_json::from_value::<Record>(document.body).ok()).map_or(0, |r| r.mark))
}

/// Takes a batch; whether it was new.
pub fn take(
    store: &dyn Store,
    life: &str,
    number: u64,
    tries: &BTreeMap<String, u64>,
    now: u64,
) -> Result<bool> {
    let mut new = false;
    store.transact(&Author { who: "control".into(), at: now }, &mut |read| {
        let told = read.get(&told_path(life))?.and_then(|document| document.body["number"].as_u64());
        new = told.is_none_or(|told| number > told);
        if !new {
            return Ok(None);
        }
        let mut writes = Writes::default().put(told_path(life), json!({ "number": number, "at": now }));
        for duty in super::declared::read(read)?.iter().filter(|duty| duty.kind == Kind::Report) {
            let mut shards: BTreeMap<u32, Vec<(&String, u64)>> = BTreeMap::new();
            for (tenant, count) in tries {
                shards.entry(shard_of(tenant, duty.shards)).or_default().push((tenant, *count));
            }
            for (shard, added) in shards {
                let name = Name::new(&duty.name, shard);
                let path = sum_path(&name, open_span(duty, mark(read, &name)?, now));
                let mut sum = read.get(&path)?.map_or_else(|| json!({}), |document| document.body);
                for (tenant, count) in added {
                    sum[tenant] = Value::from(sum[tenant].as_u64().unwrap_or(0) + count);
                }
                writes = writes.put(path, sum);
            }
        }
        Ok(Some(writes))
    })?;
    Ok(new)
}

/// The span to be closed after that one, and how long until it is over, in milliseconds.
pub fn next(read: &dyn Read, duty: &Duty, name: &Name, after: u64, now: u64) -> Result<(u64, u64)> {
    let span = match after {
        // Nothing was ever closed: it begins with the first use that was told, or with the last span that is over.
        0 => {
            let first = read.list(&sums_of(name), "", 1)?;
            let first = first.first().and_then(|document| span_of(&document.path));
            first.unwrap_or((now / duty.span_ms).saturating_sub(1)).max(1)
        }
        after => after + 1,
    };
    Ok((span, ((span + 1) * duty.span_ms).saturating_sub(now)))
}

/// The tries of one span. Of one that has not been closed it is not the last word.
pub fn sum(read: &dyn Read, name: &Name, span: u64) -> Result<Value> {
    Ok(read.get(&sum_path(name, span))?.map_or_else(|| json!({}), |document| document.body))
}

/// What nobody needs any more: sums long closed, and batch numbers of lives that are over.
pub fn stale(read: &dyn Read, duties: &[Duty], now: u64) -> Result<Writes> {
    let mut writes = Writes::default();
    for duty in duties.iter().filter(|duty| duty.kind == Kind::Report) {
        for shard in 0..duty.shards {
            let name = Name::new(&duty.name, shard);
            let last = mark(read, &name)?.saturating_sub(KEPT);
            for document in read.list(&sums_of(&name), "", 1_000)? {
                if span_of(&document.path).is_some_and(|span| span < last) {
                    writes = writes.delete(document.path);
                }
            }
        }
    }
    let day = 24 * 3_600 * 1_000;
    for document in read.list("-use-told/", "", 10_000)? {
        if document.body["at"].as_u64().is_none_or(|at| at + day < now) {
            writes = writes.delete(document.path);
        }
    }
    Ok(writes)
}
