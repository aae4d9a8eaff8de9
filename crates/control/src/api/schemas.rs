//! Schemas of the OpenAPI page. Names and comments here are part of the page (`docs/api.json`): they say what clients
//! send and get, not how this program calls it.

use super::findings::Findings;
use super::ingress_state::IngressState;
use super::keys::{NewKey, Rotation};
use super::leases::Watermark;
use super::problem::Problem;
use super::usage::UsageBody;
use crate::keys::{KeyRole, ShownKey};
use crate::store::AuditEntry;
use serde_json::Value;
use utoipa::OpenApi;
use violetyoke_tenants::model::{
    Account, FieldError, Limits, Plan, ResourceBounds, Route, StoredTenant, Tenant, TenantState,
};
use violetyoke_tenants::snapshot::{Snapshot, TenantView};

/// A page of a list.
#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
struct Page {
    /// Each with its `version`.
    items: Vec<Value>,
    /// What `after` has to be for the next page; none: this was the last.
    next: Option<String>,
}

#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
struct AuditPage {
    items: Vec<AuditEntry>,
    next: Option<u64>,
}

#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
struct Ingresses {
    /// The newest that was told: bookkeeping (leases, marks) does not count.
    revision: u64,
    /// By their names.
    items: std::collections::BTreeMap<String, IngressState>,
}

/// A lease as it is claimed.
#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
struct Claim {
    duty: String,
    shard: u32,
    epoch: u64,
}

/// One call of a holder, which is a candidate for those duties' shards while it calls.
#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
#[schema(as = Ask)]
struct RenewRequestBody {
    /// Of one life of a process: `NAME#LIFE`.
    holder: String,
    duties: Vec<String>,
    /// With `acts`, how many were done under the epoch; only where the work has gone on.
    renew: Vec<Claim>,
    /// Work that has ended.
    release: Vec<Claim>,
    /// Work left where it was, its time being over.
    gave_up: Vec<Claim>,
    /// The newest epoch that it has heard of.
    seen: u64,
    /// The token of the newest answer that has come: who hears none is given nothing.
    echo: u64,
    /// It ends: nothing is to be given to it.
    leaving: bool,
}

/// What a holder gets: leases that are good for `length_ms` from before the call was sent.
#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
#[schema(as = Leases)]
struct RenewResponseBody {
    /// Each with `length_ms`, `mark` and `hand_over`.
    given: Vec<Claim>,
    /// Claims that are none, each with why.
    lost: Vec<Value>,
    /// When to call again, in milliseconds.
    again_ms: u64,
    newest: u64,
    /// To be sent back with the next call.
    token: u64,
    /// What was left out of the call: field and reason.
    faults: Vec<Vec<String>>,
}

/// A shard and its owner. Times are Unix times in milliseconds.
#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
struct Shard {
    duty: String,
    shard: u32,
    holder: Option<String>,
    epoch: u64,
    since: u64,
    /// The last sign that its work goes on.
    worked: u64,
    mark: u64,
    /// Who is to have it, by an operator's word.
    next: Option<String>,
    held_back: Option<String>,
    /// Owners whose lease ran out in their hands, one after the other.
    fallen: Vec<String>,
}

/// An operator's word on a shard.
#[derive(utoipa::ToSchema)]
#[allow(dead_code, reason = "only its schema is used")]
#[schema(as = Word)]
struct ShardOverrideBody {
    next: Option<String>,
    held_back: Option<String>,
}

#[derive(OpenApi)]
#[openapi(
    info(title = "violetyoke administration", version = "1", description = "Tenants of a hosted ingress"),
    components(schemas(
        Account,
        AuditEntry,
        RenewRequestBody,
        AuditPage,
        FieldError,
        Findings,
        IngressState,
        Ingresses,
        RenewResponseBody,
        Limits,
        Watermark,
        NewKey,
        Page,
        ResourceBounds,
        Plan,
        Problem,
        KeyRole,
        Rotation,
        Route,
        Shard,
        ShownKey,
        Snapshot,
        TenantState,
        StoredTenant,
        Tenant,
        TenantView,
        UsageBody,
        ShardOverrideBody
    ))
)]
pub(super) struct Schemas;
