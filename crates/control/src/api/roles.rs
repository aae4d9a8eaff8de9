//! Endpoints about singleton roles: their declarations, and for operators their shards.

use super::call::{Call, PageQuery};
use super::documents::{from_stored, to_json};
use super::problem::Problem;
use super::reply::{HandlerResult, Reply};
use crate::roles::lease_store::{self, override_path};
use crate::store::{ReadView, Revision, Writes};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use violetyoke_ownership::{LeaseRecord, ShardId, ShardOverride, SingletonRole};

/// The role that the path names.
pub(super) fn named_role(call: &Call<'_>) -> Result<SingletonRole, Problem> {
    let roles = call.app.leases.roles();
    roles.into_iter().find(|role| role.name == call.param("duty")).ok_or_else(Problem::not_found)
}

/// The shard of this role that the path names.
pub(super) fn named_shard(call: &Call<'_>, role: &SingletonRole) -> Result<ShardId, Problem> {
    let index = call.param("shard").parse().ok().filter(|index| *index < role.shard_count);
    let last = role.shard_count - 1;
    let index = index.ok_or_else(|| Problem::field("shard", format!("must be 0 to {last}")))?;
    Ok(ShardId::new(&role.name, index))
}

/// Lists the roles, with the state of their shards.
pub(super) fn list(call: &Call<'_>) -> HandlerResult {
    let records = call.read(|read| Ok(lease_store::records(read, None)?))?;
    let mut items = Vec::new();
    for role in call.app.leases.roles() {
        let is_of_role =
            |record: &&LeaseRecord| record.shard.role == role.name && record.shard.index < role.shard_count;
        let owned = records.iter().filter(is_of_role).filter(|record| record.holder.is_some()).count();
        let suspended =
            records.iter().filter(is_of_role).filter(|record| record.suspension_reason.is_some()).count();
        let mut item = to_json(&role)?;
        item["owned"] = owned.into();
        item["set_aside"] = suspended.into();
        item["candidates"] = json!(call.app.leases.candidates(&role.name));
        items.push(item);
    }
    Ok(Reply::ok(json!({ "items": items })))
}

/// Reads a role's declaration.
pub(super) fn read(call: &Call<'_>) -> HandlerResult {
    Ok(Reply::ok(to_json(&named_role(call)?)?))
}

/// One shard as operators see it.
fn shard_body(
    shard: &ShardId,
    record: Option<LeaseRecord>,
    decision: Option<ShardOverride>,
) -> Result<Value, Problem> {
    let mut body = to_json(&record.unwrap_or_else(|| LeaseRecord::new(shard.clone())))?;
    let decision = decision.unwrap_or_default();
    body["next"] = json!(decision.preferred_process);
    if decision.suspension_reason.is_some() {
        body["held_back"] = json!(decision.suspension_reason);
    }
    Ok(body)
}

/// The operators' override of a shard, and its version; 0 if there is none.
fn shard_override(
    read: &dyn ReadView,
    shard: &ShardId,
) -> Result<(Option<ShardOverride>, Revision), Problem> {
    match read.get(&override_path(shard))? {
        None => Ok((None, 0)),
        Some(document) => Ok((Some(from_stored(document.body)?), document.version)),
    }
}

/// Lists a role's shards.
pub(super) fn list_shards(call: &Call<'_>) -> HandlerResult {
    let role = named_role(call)?;
    let PageQuery { after, limit } = call.page()?;
    let first = match after.as_str() {
        "" => 0,
        text => text.parse::<u32>().map_err(|_| Problem::field("after", "must be a shard's number"))? + 1,
    };
    call.read(|read| {
        let records = lease_store::records(read, Some(&role.name))?;
        let mut records: BTreeMap<u32, LeaseRecord> =
            records.into_iter().map(|record| (record.shard.index, record)).collect();
        let mut items = Vec::new();
        for index in (first..role.shard_count).take(limit) {
            let shard = ShardId::new(&role.name, index);
            let (decision, _) = shard_override(read, &shard)?;
            items.push(shard_body(&shard, records.remove(&index), decision)?);
        }
        let end = first as usize + items.len();
        let next = (end < role.shard_count as usize).then(|| (end - 1).to_string());
        Ok(Reply::ok(json!({ "items": items, "next": next })))
    })
}

/// Reads a shard.
pub(super) fn read_shard(call: &Call<'_>) -> HandlerResult {
    let shard = named_shard(call, &named_role(call)?)?;
    call.read(|read| {
        let record = lease_store::record(read, &shard)?;
        let (decision, version) = shard_override(read, &shard)?;
        Ok(Reply::ok(shard_body(&shard, record, decision)?).with_version(version))
    })
}

/// Sets or removes the override of a shard. Unless it suspends the shard, failures of its owners are forgiven.
pub(super) fn override_shard(call: &Call<'_>) -> HandlerResult {
    let shard = named_shard(call, &named_role(call)?)?;
    let decision: ShardOverride = call.parse_body()?;
    if let Some(process) = &decision.preferred_process {
        let is_incarnation =
            |holder: &String| holder == process || holder.starts_with(&format!("{process}#"));
        if !call.app.leases.candidates(&shard.role).iter().any(is_incarnation) {
            return Err(Problem::field("next", format!("{process:?} does not call for this duty")));
        }
    }
    let answer = call.transact(|read| {
        let (_, version) = shard_override(read, &shard)?;
        call.require_if_match(version)?;
        let body = to_json(&decision)?;
        let path = override_path(&shard);
        let mut writes = if decision == ShardOverride::default() {
            Writes::default().delete(path)
        } else {
            Writes::default().put(path, body.clone())
        };
        if decision.suspension_reason.is_none() {
            if let Some(record) = lease_store::forgive_failures(read, &shard)? {
                writes = lease_store::put_record(writes, &record)?;
            }
        }
        Ok((writes, Reply::ok(body).with_version(version)))
    })?;
    // In force at once in this process; other control planes read it with their next refresh.
    call.app.leases.refresh(call.store(), call.now)?;
    Ok(answer)
}
