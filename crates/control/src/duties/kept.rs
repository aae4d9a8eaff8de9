//! Leases as they stand in the store, and the fence round what an owner writes there.

use crate::store::{Author, Error, Read, Result, Store, Writes};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::BTreeMap;
use violetyoke_ownership::grantor::Word;
use violetyoke_ownership::{Claim, Epoch, Name, Record};

/// Where the newest epoch stands.
pub(super) const NEWEST: &str = "-epoch";

pub fn path(name: &Name) -> String {
    format!("-lease/{}/{:05}", name.duty, name.shard)
}

/// Where an operator's word on a shard stands: a path of the audit.
pub fn word_path(name: &Name) -> String {
    format!("duties/{}/{:05}", name.duty, name.shard)
}

fn parsed<T: DeserializeOwned>(path: &str, body: Value) -> Result<T> {
    serde_json::from_value(body).map_err(|error| Error::Failed(format!("{path}: {error}")))
}

pub fn record(read: &dyn Read, name: &Name) -> Result<Option<Record>> {
    let path = path(name);
    read.get(&path)?.map(|document| parsed(&path, document.body)).transpose()
}

pub fn put(writes: Writes, record: &Record) -> Result<Writes> {
    let body = serde_json::to_value(record).map_err(|error| Error::Failed(error.to_string()))?;
    Ok(writes.put(path(&record.name), body))
}

pub(super) fn newest(read: &dyn Read) -> Result<Epoch> {
    Ok(read.get(NEWEST)?.and_then(|document| document.body.as_u64()).unwrap_or(0))
}

pub(super) fn words(read: &dyn Read) -> Result<BTreeMap<Name, Word>> {
    let mut words = BTreeMap::new();
    for document in read.list("duties/", "", usize::MAX)? {
        let mut parts = document.path.split('/').skip(1);
        let (Some(duty), Some(shard)) = (parts.next(), parts.next()) else { continue };
        if let Ok(shard) = shard.parse() {
            words.insert(Name::new(duty, shard), parsed(&document.path, document.body)?);
        }
    }
    Ok(words)
}

/// A write of an owner: refused in the same transaction where its claim is not the newest grant.
pub fn fenced(read: &dyn Read, holder: &str, claim: &Claim) -> Result<std::result::Result<Record, Epoch>> {
    Ok(match record(read, &claim.name)? {
        Some(record) if record.is(holder, claim.epoch) => Ok(record),
        Some(record) => Err(record.epoch),
        None => Err(0),
    })
}

/// How far a shard's work has come: refused with the newest epoch where the claim is an older one, or with none
/// where the mark would go back.
pub fn mark(
    store: &dyn Store,
    holder: &str,
    claim: &Claim,
    mark: u64,
    wall_ms: u64,
) -> Result<std::result::Result<(), (Option<Epoch>, u64)>> {
    let author = Author { who: "control".into(), at: wall_ms };
    let mut outcome = Ok(());
    store.transact(&author, &mut |read| {
        outcome = Ok(());
        match fenced(read, holder, claim)? {
            Ok(old) if mark < old.mark => outcome = Err((None, old.mark)),
            Ok(old) => return Ok(Some(put(Writes::default(), &Record { mark, ..old })?)),
            Err(newest) => outcome = Err((Some(newest), 0)),
        }
        Ok(None)
    })?;
    if let Err((Some(newest), _)) = outcome {
        tracing::warn!(lease = %claim.name, epoch = claim.epoch, holder, newest, "a write is refused by its fence");
    }
    Ok(outcome)
}

/// All records of a duty, or of all.
pub fn records(read: &dyn Read, duty: Option<&str>) -> Result<Vec<Record>> {
    let prefix = duty.map_or("-lease/".to_string(), |duty| format!("-lease/{duty}/"));
    let list = read.list(&prefix, "", usize::MAX)?;
    list.into_iter().map(|document| parsed(&document.path, document.body)).collect()
}

/// An operator lets a shard go that its owners' falls have set aside.
pub fn forgive(read: &dyn Read, name: &Name) -> Result<Option<Record>> {
    let old = record(read, name)?.filter(|record| record.held_back.is_some() || !record.fallen.is_empty());
    Ok(old.map(|old| Record { held_back: None, fallen: Vec::new(), falls: 0, ..old }))
}
