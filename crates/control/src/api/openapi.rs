//! The OpenAPI page, from the table of endpoints and the types' own schemas.

use super::endpoint::{Access, Endpoint};
use super::findings::Findings;
use super::keys::{NewKey, Rotation};
use super::leases::Watermark;
use super::snapshots::IngressState;
use super::usage::UsageBody;
use super::Problem;
use crate::keys::{Role, ShownKey};
use crate::store::AuditEntry;
use serde_json::{json, Map, Value};
use utoipa::OpenApi;
use violetyoke_tenants::model::{Account, Fault, Limits, Part, Plan, Route, State, StoredTenant, Tenant};
use violetyoke_tenants::snapshot::{Snapshot, TenantView};

/// A page of a list.
#[derive(utoipa::ToSchema)]
#[allow(dead_code)] // It only has a shape.
struct Page {
    /// Each with its `version`.
    items: Vec<Value>,
    /// What `after` has to be for the next page; none: this was the last.
    next: Option<String>,
}

#[derive(utoipa::ToSchema)]
#[allow(dead_code)]
struct AuditPage {
    items: Vec<AuditEntry>,
    next: Option<u64>,
}

#[derive(utoipa::ToSchema)]
#[allow(dead_code)]
struct Ingresses {
    /// The newest that was told: bookkeeping (leases, marks) does not count.
    revision: u64,
    /// By their names.
    items: std::collections::BTreeMap<String, IngressState>,
}

/// A lease as it is claimed.
#[derive(utoipa::ToSchema)]
#[allow(dead_code)]
struct Claim {
    duty: String,
    shard: u32,
    epoch: u64,
}

/// One call of a holder, which is a candidate for those duties' shards while it calls.
#[derive(utoipa::ToSchema)]
#[allow(dead_code)]
struct Ask {
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
#[allow(dead_code)]
struct Leases {
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
#[allow(dead_code)]
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
#[allow(dead_code)]
struct Word {
    next: Option<String>,
    held_back: Option<String>,
}

#[derive(OpenApi)]
#[openapi(
    info(title = "violetyoke administration", version = "1", description = "Tenants of a hosted ingress"),
    components(schemas(
        Account,
        AuditEntry,
        Ask,
        AuditPage,
        Fault,
        Findings,
        IngressState,
        Ingresses,
        Leases,
        Limits,
        Watermark,
        NewKey,
        Page,
        Part,
        Plan,
        Problem,
        Role,
        Rotation,
        Route,
        Shard,
        ShownKey,
        Snapshot,
        State,
        StoredTenant,
        Tenant,
        TenantView,
        UsageBody,
        Word
    ))
)]
struct Schemas;

/// The OpenAPI page of these endpoints.
pub(super) fn document(endpoints: &[Endpoint]) -> Value {
    let mut page = serde_json::to_value(Schemas::openapi()).unwrap_or_default();
    let mut paths: Map<String, Value> = Map::new();
    for endpoint in endpoints {
        let path = paths.entry(endpoint.path).or_insert_with(|| json!({}));
        path[endpoint.method.to_lowercase()] = operation(endpoint);
    }
    page["paths"] = Value::Object(paths);
    page["components"]["securitySchemes"] = json!({ "key": { "type": "http", "scheme": "bearer" } });
    page
}

fn operation(endpoint: &Endpoint) -> Value {
    let content = |kind: &str, name: &str| json!({ kind: { "schema": { "$ref": format!("#/components/schemas/{name}") } } });
    let in_path =
        |name: &str| json!({ "name": name, "in": "path", "required": true, "schema": { "type": "string" } });
    let header = |name: &str, about: &str| json!({ "name": name, "in": "header", "required": false, "description": about, "schema": { "type": "string" } });
    let mut parameters: Vec<Value> = ["tenant", "name", "key", "duty", "shard"]
        .into_iter()
        .filter(|name| endpoint.path.contains(&format!("{{{name}}}")))
        .map(in_path)
        .collect();
    let changes =
        ["PUT", "PATCH", "DELETE"].contains(&endpoint.method) || endpoint.path.ends_with("/restore");
    let changes = changes && endpoint.access != Access::Ingress;
    if changes {
        parameters.push(header("If-Match", "the ETag that was read, or *"));
    } else if endpoint.method == "POST"
        && endpoint.access != Access::Ingress
        && !endpoint.path.ends_with("/rotate")
    {
        parameters
            .push(header("Idempotency-Key", "sent again with the same body, the first answer comes again"));
    }
    let success = match (endpoint.method, endpoint.path) {
        ("POST", "/v1/leases/mark") | ("PUT", "/v1/findings/{duty}/{shard}") => "204",
        ("POST", path) if endpoint.access != Access::Ingress && !path.ends_with("/restore") => "201",
        ("DELETE", "/v1/tenants/{tenant}") => "202",
        ("DELETE", _) => "204",
        _ => "200",
    };
    let mut answer = json!({ "description": endpoint.summary });
    if let Some(name) = endpoint.response_schema {
        answer["content"] = content("application/json", name);
    }
    let problem = json!({ "description": "What went wrong", "content": content("application/problem+json", "Problem") });
    let mut operation = json!({
        "summary": endpoint.summary,
        "parameters": parameters,
        "responses": { success: answer, "default": problem },
    });
    if let Some(name) = endpoint.request_schema {
        let kind =
            if endpoint.method == "PATCH" { "application/merge-patch+json" } else { "application/json" };
        operation["requestBody"] = json!({ "required": true, "content": content(kind, name) });
    }
    if endpoint.access != Access::Public {
        operation["security"] = json!([{ "key": [] }]);
        operation["x-access"] = json!(format!("{:?}", endpoint.access));
    }
    operation
}
