//! Duties and their leases on the wire: holders ask, operators look and say.

use super::{value, Answer, Call, Outcome, Problem, Wait};
use crate::duties::kept::{self, word_path};
use crate::duties::uses;
use crate::store::{Read, Writes};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use utoipa::ToSchema;
use violetyoke_ownership::duty::{Duty, Kind, Who};
use violetyoke_ownership::grantor::Word;
use violetyoke_ownership::{Ask, Claim, Name, Record};

/// Longest name of a holder, and most leases that one call may be about.
const LONGEST_NAME: usize = 128;
const MOST_LEASES: usize = 10_000;

fn plain(name: &str) -> bool {
    let fit = |c: char| c.is_ascii_alphanumeric() || "-_.#".contains(c);
    !name.is_empty() && name.len() <= LONGEST_NAME && name.chars().all(fit)
}

/// One call of a holder: what goes on, what has ended, and what it gets.
pub fn ask(call: &Call<'_>) -> Outcome {
    let ask: Ask = call.json()?;
    if !plain(&ask.holder) {
        return Err(Problem::field("holder", "must be 1 to 128 letters, digits, -, _, . or #"));
    }
    if ask.renew.len() + ask.release.len() + ask.gave_up.len() > MOST_LEASES {
        return Err(Problem::field("renew", format!("with release it must be {MOST_LEASES} at most")));
    }
    let answer = call.app.desk.ask(call.store(), &ask, Who::Ingress, call.now)?;
    Ok(Answer::ok(value(&answer)?))
}

/// Waits until there is something for a holder to ask for.
pub fn watch(call: &Call<'_>) -> Outcome {
    let holder = call.query.get("holder").filter(|holder| plain(holder));
    let holder = holder.ok_or_else(|| Problem::field("holder", "must be a holder's name"))?;
    match call.app.desk.has_for(holder) {
        true => Ok(Answer::ok(json!({}))),
        false => Ok(Answer { status: 304, wait: Wait::Stir, ..Answer::none() }),
    }
}

/// How far a shard's work has come.
#[derive(Debug, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    holder: String,
    duty: String,
    shard: u32,
    epoch: u64,
    mark: u64,
}

pub fn mark(call: &Call<'_>) -> Outcome {
    let Mark { holder, duty, shard, epoch, mark } = call.json()?;
    let claim = Claim { name: Name::new(duty, shard), epoch };
    match kept::mark(call.store(), &holder, &claim, mark, call.now)? {
        Ok(()) => Ok(Answer::none()),
        Err((Some(newest), _)) => Err(Problem::fenced(newest)),
        Err((None, there)) => Err(Problem::field("mark", format!("must not go back: it is {there}"))),
    }
}

fn declared(call: &Call<'_>) -> Result<Duty, Problem> {
    let duties = call.app.desk.duties();
    duties.into_iter().find(|duty| duty.name == call.param("duty")).ok_or_else(Problem::not_found)
}

pub fn duties(call: &Call<'_>) -> Outcome {
    let records = call.read(|read| Ok(kept::records(read, None)?))?;
    let mut items = Vec::new();
    for duty in call.app.desk.duties() {
        let of = |record: &&Record| record.name.duty == duty.name && record.name.shard < duty.shards;
        let owned = records.iter().filter(of).filter(|record| record.holder.is_some()).count();
        let aside = records.iter().filter(of).filter(|record| record.held_back.is_some()).count();
        let mut item = value(&duty)?;
        item["owned"] = owned.into();
        item["set_aside"] = aside.into();
        item["candidates"] = json!(call.app.desk.candidates(&duty.name));
        items.push(item);
    }
    Ok(Answer::ok(json!({ "items": items })))
}

/// A duty as it is declared, for those who do it.
pub fn duty(call: &Call<'_>) -> Outcome {
    Ok(Answer::ok(value(&declared(call)?)?))
}

/// One shard as operators see it.
fn shown(record: Option<Record>, word: Option<Word>, name: &Name) -> Result<serde_json::Value, Problem> {
    let mut shown = value(&record.unwrap_or_else(|| Record::new(name.clone())))?;
    let word = word.unwrap_or_default();
    shown["next"] = json!(word.next);
    if word.held_back.is_some() {
        shown["held_back"] = json!(word.held_back);
    }
    Ok(shown)
}

/// An operator's word on a shard, and its version; 0: none was said.
fn word(read: &dyn Read, name: &Name) -> Result<(Option<Word>, u64), Problem> {
    match read.get(&word_path(name))? {
        None => Ok((None, 0)),
        Some(document) => Ok((Some(super::stored(document.body)?), document.version)),
    }
}

pub fn shards(call: &Call<'_>) -> Outcome {
    let duty = declared(call)?;
    let (after, limit) = call.page()?;
    let from = match after.as_str() {
        "" => 0,
        text => text.parse::<u32>().map_err(|_| Problem::field("after", "must be a shard's number"))? + 1,
    };
    call.read(|read| {
        let mut records: BTreeMap<u32, Record> = kept::records(read, Some(&duty.name))?
            .into_iter()
            .map(|record| (record.name.shard, record))
            .collect();
        let mut items = Vec::new();
        for shard in (from..duty.shards).take(limit) {
            let name = Name::new(&duty.name, shard);
            items.push(shown(records.remove(&shard), word(read, &name)?.0, &name)?);
        }
        let last = from as usize + items.len();
        let next = (last < duty.shards as usize).then(|| (last - 1).to_string());
        Ok(Answer::ok(json!({ "items": items, "next": next })))
    })
}

fn shard(call: &Call<'_>) -> Result<Name, Problem> {
    let duty = declared(call)?;
    let shard = call.param("shard").parse().ok().filter(|shard| *shard < duty.shards);
    let shard = shard.ok_or_else(|| Problem::field("shard", format!("must be 0 to {}", duty.shards - 1)))?;
    Ok(Name::new(duty.name, shard))
}

pub fn read(call: &Call<'_>) -> Outcome {
    let name = shard(call)?;
    call.read(|read| {
        let records = kept::records(read, Some(&name.duty))?;
        let record = records.into_iter().find(|record| record.name == name);
        let (word, version) = word(read, &name)?;
        Ok(Answer::ok(shown(record, word, &name)?).at(version))
    })
}

/// Who is to have a shard, or that nobody is. Nothing said: its falls are forgiven too.
pub fn say(call: &Call<'_>) -> Outcome {
    let name = shard(call)?;
    let said: Word = call.json()?;
    if let Some(next) = &said.next {
        let life = |life: &String| *life == *next || life.starts_with(&format!("{next}#"));
        if !call.app.desk.candidates(&name.duty).iter().any(life) {
            return Err(Problem::field("next", format!("{next:?} does not call for this duty")));
        }
    }
    let answer = call.change(|read| {
        let (_, version) = word(read, &name)?;
        call.must_match(version)?;
        let body = value(&said)?;
        let mut writes = Writes::default();
        writes = match said == Word::default() {
            true => writes.delete(word_path(&name)),
            false => writes.put(word_path(&name), body.clone()),
        };
        if said.held_back.is_none() {
            if let Some(record) = kept::forgive(read, &name)? {
                writes = kept::put(writes, &record)?;
            }
        }
        Ok((writes, Answer::ok(body).at(version)))
    })?;
    // In force at once here; other control planes read it with their next pass.
    call.app.desk.pass(call.store(), call.now)?;
    Ok(answer)
}

/// What one process has counted.
#[derive(Debug, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct Use {
    /// Which life of which process.
    life: String,
    /// Of the batch; each is one more than the last.
    number: u64,
    tries: BTreeMap<String, u64>,
}

pub fn take_use(call: &Call<'_>) -> Outcome {
    let Use { life, number, tries } = call.json()?;
    if !plain(&life) {
        return Err(Problem::field("life", "must be 1 to 128 letters, digits, -, _, . or #"));
    }
    let new = uses::take(call.store(), &life, number, &tries, call.now)?;
    Ok(Answer::ok(json!({ "new": new })))
}

/// With `span`: its tries. With `after`: the span to be closed after that one, and when it is over.
pub fn read_use(call: &Call<'_>) -> Outcome {
    let (duty, name) = (declared(call)?, shard(call)?);
    if duty.kind != Kind::Report {
        return Err(Problem::not_found());
    }
    let number = |field: &str| match call.query.get(field).map(|text| text.parse::<u64>()) {
        None => Ok(None),
        Some(Ok(number)) => Ok(Some(number)),
        Some(Err(_)) => Err(Problem::field(field, "must be a whole number")),
    };
    match (number("span")?, number("after")?) {
        (Some(span), _) => {
            let tries = call.read(|read| Ok(uses::sum(read, &name, span)?))?;
            Ok(Answer::ok(json!({ "span": span, "span_ms": duty.span_ms, "tries": tries })))
        }
        (None, Some(after)) => {
            let (span, left) = call.read(|read| Ok(uses::next(read, &duty, &name, after, call.now)?))?;
            Ok(Answer::ok(json!({ "span": span, "left_ms": left })))
        }
        (None, None) => Err(Problem::field("span", "span or after is needed")),
    }
}
