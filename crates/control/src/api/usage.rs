//! Endpoints of what tenants use: batches from ingresses, and sums for the report.

use super::call::Call;
use super::leases::is_holder_name;
use super::problem::Problem;
use super::reply::{HandlerResult, Reply};
use super::roles::{named_role, named_shard};
use crate::roles::usage::{self, UsageBatch};
use serde::Deserialize;
use serde_json::json;
use std::collections::BTreeMap;
use utoipa::ToSchema;
use violetyoke_ownership::RoleKind;

/// What one process has counted.
#[derive(Debug, Deserialize, ToSchema)]
#[serde(rename = "Use", deny_unknown_fields)]
#[schema(as = Use)]
pub(super) struct UsageBody {
    /// Which life of which process.
    life: String,
    /// Of the batch; each is one more than the last.
    number: u64,
    tries: BTreeMap<String, u64>,
}

/// Adds a batch, unless it was added before.
pub(super) fn record(call: &Call<'_>) -> HandlerResult {
    let UsageBody { life, number, tries } = call.parse_body()?;
    if !is_holder_name(&life) {
        return Err(Problem::field("life", "must be 1 to 128 letters, digits, -, _, . or #"));
    }
    let batch = UsageBatch { holder: life, number, attempts: tries };
    let is_new = usage::record_batch(call.store(), &batch, call.now)?;
    Ok(Reply::ok(json!({ "new": is_new })))
}

/// With `span`: the attempts in it. With `after`: the span to be closed after that one, and when it is over.
pub(super) fn read(call: &Call<'_>) -> HandlerResult {
    let role = named_role(call)?;
    let shard = named_shard(call, &role)?;
    if role.kind != RoleKind::Report {
        return Err(Problem::not_found());
    }
    let (span, after) = (call.number_in_query("span")?, call.number_in_query("after")?);
    if let Some(span) = span {
        let attempts = call.read(|read| Ok(usage::attempts_in(read, &shard, span)?))?;
        return Ok(Reply::ok(json!({ "span": span, "span_ms": role.report_span_ms, "tries": attempts })));
    }
    if let Some(after) = after {
        let next = call.read(|read| Ok(usage::next_span(read, &role, &shard, after, call.now)?))?;
        return Ok(Reply::ok(json!({ "span": next.span, "left_ms": next.left_ms })));
    }
    Err(Problem::field("span", "span or after is needed"))
}
