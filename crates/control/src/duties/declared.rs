//! Which duties there are: declared in the operators' file, and kept in the store from the first start on, so that
//! what runs does not change because a file is away.

use crate::store::{Author, Read, Store, Writes};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_ownership::duty::{Duty, Kind};
use violetyoke_ownership::Record;

const PREFIX: &str = "duties/";

/// What is wrong with a declaration: the field, with the duty's number in the file, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub field: String,
    pub reason: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    duty: Vec<toml::Value>,
}

/// Reads a file. A duty that is wrong is left out, with what is wrong with it; the rest stands.
pub fn parse(text: &str) -> Result<(Vec<Duty>, Vec<Fault>), String> {
    let file: File = toml::from_str(text).map_err(|error| error.to_string())?;
    let (mut duties, mut faults, mut names) = (Vec::<Duty>::new(), Vec::new(), BTreeSet::new());
    for (number, value) in file.duty.into_iter().enumerate() {
        let mut fault = |field: &str, reason: String| {
            let field = if field.is_empty() { String::new() } else { format!(".{field}") };
            faults.push(Fault { field: format!("duty[{number}]{field}"), reason });
        };
        let read = serde_path_to_error::deserialize::<_, Duty>(value);
        let duty = match read {
            Ok(duty) => duty,
            Err(error) => {
                let path = error.path().to_string();
                fault(if path == "." { "" } else { &path }, error.into_inner().message().to_string());
                continue;
            }
        };
        let wrong = duty.check();
        for (field, reason) in &wrong {
            fault(field, reason.clone());
        }
        if !names.insert(duty.name.clone()) {
            fault("name", format!("{:?} is another duty's name too", duty.name));
        } else if wrong.is_empty() {
            duties.push(duty);
        }
    }
    Ok((duties, faults))
}

/// The duty that every control plane has, declared or not.
fn upkeep() -> Duty {
    Duty {
        name: "upkeep".into(),
        kind: Kind::Upkeep,
        shards: 1,
        length_ms: 3_000,
        most: 0,
        span_ms: 60_000,
        nodes: Vec::new(),
        every_ms: 1_000,
    }
}

/// Those that are in force.
pub fn read(read: &dyn Read) -> crate::store::Result<Vec<Duty>> {
    let mut duties = kept(read)?;
    if !duties.iter().any(|duty| duty.kind == Kind::Upkeep || duty.name == "upkeep") {
        duties.push(upkeep());
        duties.sort_by(|a, b| a.name.cmp(&b.name));
    }
    Ok(duties)
}

fn kept(read: &dyn Read) -> crate::store::Result<Vec<Duty>> {
    let mut duties = Vec::new();
    for document in read.list(PREFIX, "", usize::MAX)? {
        if document.path[PREFIX.len()..].contains('/') {
            continue;
        }
        let duty = serde_json::from_value(document.body);
        duties
            .push(duty.map_err(|error| crate::store::Error::Failed(format!("{}: {error}", document.path)))?);
    }
    Ok(duties)
}

/// Puts declared duties in force, each for itself: one whose shards would change in number while any is owned stays
/// as it was. `None`: no file is given, and what is in force stays.
pub fn declare(store: &dyn Store, declared: Option<Vec<Duty>>, at: u64) -> crate::store::Result<Vec<Fault>> {
    let mut faults = Vec::new();
    let author = Author { who: "control".into(), at };
    store.transact(&author, &mut |state| {
        faults.clear();
        let old: BTreeMap<String, Duty> =
            kept(state)?.into_iter().map(|duty| (duty.name.clone(), duty)).collect();
        let new: BTreeMap<String, Duty> = match &declared {
            Some(declared) => declared.iter().map(|duty| (duty.name.clone(), duty.clone())).collect(),
            None => old.clone(),
        };
        let mut writes = Writes::default();
        for (name, duty) in &new {
            match old.get(name) {
                Some(old) if old == duty => continue,
                Some(old) if old.shards != duty.shards && owned(state, name)? => {
                    let reason =
                        format!("cannot go from {} to {} while a shard is owned", old.shards, duty.shards);
                    faults.push(Fault { field: format!("duty {name:?}.shards"), reason });
                    continue;
                }
                _ => {}
            }
            let body =
                serde_json::to_value(duty).map_err(|error| crate::store::Error::Failed(error.to_string()))?;
            writes = writes.put(format!("{PREFIX}{name}"), body);
        }
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            // Its records stay: should it come back, epochs and marks go on from where they were.
            writes = writes.delete(format!("{PREFIX}{name}"));
        }
        Ok((writes != Writes::default()).then_some(writes))
    })?;
    Ok(faults)
}

fn owned(read: &dyn Read, duty: &str) -> crate::store::Result<bool> {
    let records = read.list(&format!("-lease/{duty}/"), "", usize::MAX)?;
    let held = |body| serde_json::from_value::<Record>(body).is_ok_and(|record| record.holder.is_some());
    Ok(records.into_iter().any(|document| held(document.body)))
}
