//! What probes of nodes on behalf of all have found. One owner a shard writes it, under its epoch.

use super::call::Call;
use super::problem::Problem;
use super::reply::{HandlerResult, Reply};
use crate::roles::lease_store::{check_claim, ClaimCheck};
use crate::store::Writes;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use utoipa::ToSchema;
use violetyoke_ownership::{Claim, Epoch, ShardId};

/// Findings of one shard.
#[derive(Debug, Deserialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Findings {
    holder: String,
    epoch: u64,
    /// Nodes by their addresses: whether the last probe was answered.
    #[schema(value_type = BTreeMap<String, bool>)]
    nodes: BTreeMap<SocketAddr, bool>,
}

fn path(shard: &ShardId) -> String {
    format!("-finding/{}/{:05}", shard.role, shard.index)
}

pub(super) fn put(call: &Call<'_>) -> HandlerResult {
    let Findings { holder, epoch, nodes } = call.parse_body()?;
    let shard = call.param("shard").parse().map_err(|_| Problem::field("shard", "must be a whole number"))?;
    let claim = Claim { shard: ShardId::new(call.param("duty"), shard), epoch: Epoch(epoch) };
    let mut fenced = None;
    // Bookkeeping: nobody who waits for a change is woken by it.
    call.store().transact(&call.author(), &mut |read| {
        if let ClaimCheck::Fenced { newest } = check_claim(read, &holder, &claim)? {
            fenced = Some(newest);
            return Ok(None);
        }
        fenced = None;
        let body = json!({ "epoch": epoch, "at": call.now, "nodes": nodes });
        Ok(Some(Writes::default().put(path(&claim.shard), body)))
    })?;
    fenced.map_or(Ok(Reply::no_content()), |newest| Err(Problem::fenced(newest)))
}

pub(super) fn read(call: &Call<'_>) -> HandlerResult {
    let list =
        call.read(|read| Ok(read.list(&format!("-finding/{}/", call.param("duty")), "", usize::MAX)?))?;
    let mut nodes = Map::new();
    for document in list {
        let (epoch, at) = (document.body["epoch"].clone(), document.body["at"].clone());
        for (node, well) in document.body["nodes"].as_object().into_iter().flatten() {
            nodes.insert(node.clone(), json!({ "well": well, "epoch": epoch, "at": at }));
        }
    }
    Ok(Reply::ok(json!({ "nodes": Value::Object(nodes) })))
}
