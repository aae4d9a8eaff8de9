//! Endpoints of lease holders: renewing leases, waiting for one, and recording a watermark.

use super::call::Call;
use super::documents::to_json;
use super::problem::Problem;
use super::reply::{HandlerResult, Reply, WaitFor};
use crate::roles::lease_store::{self, WatermarkOutcome};
use serde::Deserialize;
use serde_json::json;
use utoipa::ToSchema;
use violetyoke_ownership::{Claim, Epoch, ProcessKind, RenewRequest, ShardId};

/// Longest name of a holder, in characters.
const MAX_NAME_LENGTH: usize = 128;
/// Most leases that one request may be about.
const MAX_LEASES: usize = 10_000;

/// Whether this can be the name of a lease holder.
pub(super) fn is_holder_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.#".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}

/// Renews, releases and grants leases.
pub(super) fn renew(call: &Call<'_>) -> HandlerResult {
    let request: RenewRequest = call.parse_body()?;
    if !is_holder_name(&request.holder) {
        return Err(Problem::field("holder", "must be 1 to 128 letters, digits, -, _, . or #"));
    }
    if request.renew.len() + request.release.len() + request.expired.len() > MAX_LEASES {
        return Err(Problem::field("renew", format!("with release it must be {MAX_LEASES} at most")));
    }
    let response = call.app.leases.process(call.store(), request, ProcessKind::Ingress, call.now)?;
    Ok(Reply::ok(to_json(&response)?))
}

/// Waits until there is a lease for a holder to request.
pub(super) fn wait_for_lease(call: &Call<'_>) -> HandlerResult {
    let holder = call.query.get("holder").filter(|holder| is_holder_name(holder));
    let holder = holder.ok_or_else(|| Problem::field("holder", "must be a holder's name"))?;
    if call.app.leases.has_lease_for(holder) {
        Ok(Reply::ok(json!({})))
    } else {
        Ok(Reply::not_modified(WaitFor::Lease))
    }
}

/// How far a shard's work has come.
#[derive(Debug, Deserialize, ToSchema)]
#[serde(rename = "Mark", deny_unknown_fields)]
#[schema(as = Mark)]
pub(super) struct Watermark {
    holder: String,
    duty: String,
    shard: u32,
    epoch: u64,
    mark: u64,
}

/// Records how far a shard's work has come.
pub(super) fn record_watermark(call: &Call<'_>) -> HandlerResult {
    let Watermark { holder, duty, shard, epoch, mark } = call.parse_body()?;
    let claim = Claim { shard: ShardId::new(duty, shard), epoch: Epoch(epoch) };
    match lease_store::record_watermark(call.store(), &holder, &claim, mark, call.now)? {
        WatermarkOutcome::Recorded => Ok(Reply::no_content()),
        WatermarkOutcome::Fenced { newest } => Err(Problem::fenced(newest)),
        WatermarkOutcome::WouldDecrease { current } => {
            Err(Problem::field("mark", format!("must not go back: it is {current}")))
        }
    }
}
