//! The table of all endpoints. Router, access checks and the OpenAPI page are made from it.

use super::call::Call;
use super::endpoint::{Access, Endpoint};
use super::openapi::document;
use super::problem::Problem;
use super::reply::{HandlerResult, Reply};
use super::resources::{create, list, patch, read, remove, replace};
use super::{findings, keys, leases, roles, snapshots, tenants, usage};
use serde_json::Value;
use violetyoke_tenants::model::{Account, Plan, Route};

macro_rules! endpoint {
    ($method:literal $path:literal $access:ident $summary:literal, $request:expr, $response:expr, $handler:expr) => {
        Endpoint {
            method: $method,
            path: $path,
            access: Access::$access,
            summary: $summary,
            request_schema: $request,
            response_schema: $response,
            handler: $handler,
        }
    };
}

const NONE: Option<&str> = None;

/// All endpoints.
#[rustfmt::skip]
pub const ENDPOINTS: &[Endpoint] = &[
    endpoint!("GET" "/v1/openapi.json" Public "This page", NONE, NONE, openapi_page),
    endpoint!("GET" "/v1/health" Public "Whether the store can be read", NONE, NONE, health),
    endpoint!("GET" "/v1/tenants" Operator "Lists tenants", NONE, Some("Page"), tenants::list),
    endpoint!("POST" "/v1/tenants" Operator "Makes a tenant", Some("Tenant"), Some("StoredTenant"), tenants::create),
    endpoint!("GET" "/v1/tenants/{tenant}" TenantReader "Reads a tenant; with If-None-Match and Prefer: wait=SECONDS, once it has changed", NONE, Some("StoredTenant"), tenants::read),
    endpoint!("PUT" "/v1/tenants/{tenant}" Operator "Replaces a tenant", Some("Tenant"), Some("StoredTenant"), tenants::replace),
    endpoint!("PATCH" "/v1/tenants/{tenant}" Operator "Changes a tenant (JSON merge patch)", Some("Tenant"), Some("StoredTenant"), tenants::patch),
    endpoint!("DELETE" "/v1/tenants/{tenant}" Operator "Drains a tenant, which then goes", NONE, Some("StoredTenant"), tenants::remove),
    endpoint!("POST" "/v1/tenants/{tenant}/restore" Operator "Ends a tenant's draining", NONE, Some("StoredTenant"), tenants::restore),
    endpoint!("GET" "/v1/tenants/{tenant}/plans" TenantReader "Lists plans", NONE, Some("Page"), list::<Plan>),
    endpoint!("POST" "/v1/tenants/{tenant}/plans" TenantAdmin "Makes a plan", Some("Plan"), Some("Plan"), create::<Plan>),
    endpoint!("GET" "/v1/tenants/{tenant}/plans/{name}" TenantReader "Reads a plan", NONE, Some("Plan"), read::<Plan>),
    endpoint!("PUT" "/v1/tenants/{tenant}/plans/{name}" TenantAdmin "Replaces a plan", Some("Plan"), Some("Plan"), replace::<Plan>),
    endpoint!("PATCH" "/v1/tenants/{tenant}/plans/{name}" TenantAdmin "Changes a plan", Some("Plan"), Some("Plan"), patch::<Plan>),
    endpoint!("DELETE" "/v1/tenants/{tenant}/plans/{name}" TenantAdmin "Deletes a plan that no account has", NONE, NONE, remove::<Plan>),
    endpoint!("GET" "/v1/tenants/{tenant}/accounts" TenantReader "Lists accounts", NONE, Some("Page"), list::<Account>),
    endpoint!("POST" "/v1/tenants/{tenant}/accounts" TenantAdmin "Makes an account", Some("Account"), Some("Account"), create::<Account>),
    endpoint!("GET" "/v1/tenants/{tenant}/accounts/{name}" TenantReader "Reads an account", NONE, Some("Account"), read::<Account>),
    endpoint!("PUT" "/v1/tenants/{tenant}/accounts/{name}" TenantAdmin "Replaces an account", Some("Account"), Some("Account"), replace::<Account>),
    endpoint!("PATCH" "/v1/tenants/{tenant}/accounts/{name}" TenantAdmin "Changes an account", Some("Account"), Some("Account"), patch::<Account>),
    endpoint!("DELETE" "/v1/tenants/{tenant}/accounts/{name}" TenantAdmin "Deletes an account", NONE, NONE, remove::<Account>),
    endpoint!("GET" "/v1/tenants/{tenant}/routes" TenantReader "Lists routes", NONE, Some("Page"), list::<Route>),
    endpoint!("POST" "/v1/tenants/{tenant}/routes" TenantAdmin "Makes a route", Some("Route"), Some("Route"), create::<Route>),
    endpoint!("GET" "/v1/tenants/{tenant}/routes/{name}" TenantReader "Reads a route", NONE, Some("Route"), read::<Route>),
    endpoint!("PUT" "/v1/tenants/{tenant}/routes/{name}" TenantAdmin "Replaces a route", Some("Route"), Some("Route"), replace::<Route>),
    endpoint!("PATCH" "/v1/tenants/{tenant}/routes/{name}" TenantAdmin "Changes a route", Some("Route"), Some("Route"), patch::<Route>),
    endpoint!("DELETE" "/v1/tenants/{tenant}/routes/{name}" TenantAdmin "Deletes a route", NONE, NONE, remove::<Route>),
    endpoint!("GET" "/v1/tenants/{tenant}/keys" TenantAdmin "Lists the tenant's keys", NONE, Some("Page"), keys::list),
    endpoint!("POST" "/v1/tenants/{tenant}/keys" TenantAdmin "Makes a key; its secret is in this answer only", Some("NewKey"), Some("ShownKey"), keys::create),
    endpoint!("GET" "/v1/tenants/{tenant}/keys/{key}" TenantAdmin "Reads a key", NONE, Some("ShownKey"), keys::read),
    endpoint!("POST" "/v1/tenants/{tenant}/keys/{key}/rotate" TenantAdmin "Exchanges a key; both are good for a while", Some("Rotation"), Some("ShownKey"), keys::rotate),
    endpoint!("DELETE" "/v1/tenants/{tenant}/keys/{key}" TenantAdmin "Withdraws a key", NONE, NONE, keys::remove),
    endpoint!("GET" "/v1/tenants/{tenant}/audit" TenantReader "Who changed what of the tenant", NONE, Some("AuditPage"), snapshots::audit),
    endpoint!("GET" "/v1/keys" Operator "Lists keys that are no tenant's", NONE, Some("Page"), keys::list),
    endpoint!("POST" "/v1/keys" Operator "Makes an operator's or an ingress's key", Some("NewKey"), Some("ShownKey"), keys::create),
    endpoint!("GET" "/v1/keys/{key}" Operator "Reads a key", NONE, Some("ShownKey"), keys::read),
    endpoint!("POST" "/v1/keys/{key}/rotate" Operator "Exchanges a key; both are good for a while", Some("Rotation"), Some("ShownKey"), keys::rotate),
    endpoint!("DELETE" "/v1/keys/{key}" Operator "Withdraws a key", NONE, NONE, keys::remove),
    endpoint!("GET" "/v1/audit" Operator "Who changed what", NONE, Some("AuditPage"), snapshots::audit),
    endpoint!("GET" "/v1/snapshot" Ingress "All tenants, or what has changed since `held`; with Prefer: wait=SECONDS, once something has", NONE, Some("Snapshot"), snapshots::snapshot),
    endpoint!("POST" "/v1/leases" Ingress "Renews, releases and gets leases of duties", Some("Ask"), Some("Leases"), leases::renew),
    endpoint!("GET" "/v1/leases" Ingress "With Prefer: wait=SECONDS, once there is a lease for `holder` to ask for", NONE, NONE, leases::wait_for_lease),
    endpoint!("POST" "/v1/leases/mark" Ingress "Notes how far a shard's work has come, under its newest epoch", Some("Mark"), NONE, leases::record_watermark),
    endpoint!("POST" "/v1/use" Ingress "Tells what tenants have used, in numbered batches", Some("Use"), NONE, usage::record),
    endpoint!("GET" "/v1/use/{duty}/{shard}" Ingress "The use in `span`, or the span to be closed after `after`", NONE, NONE, usage::read),
    endpoint!("GET" "/v1/duties" Operator "Lists duties, with how many of their shards are owned", NONE, NONE, roles::list),
    endpoint!("GET" "/v1/duties/{duty}" Ingress "Reads a duty as it is declared", NONE, NONE, roles::read),
    endpoint!("PUT" "/v1/findings/{duty}/{shard}" Ingress "What a shard's probes have found, under its newest epoch", Some("Findings"), NONE, findings::put),
    endpoint!("GET" "/v1/findings/{duty}" Ingress "What a duty's probes have found", NONE, NONE, findings::read),
    endpoint!("GET" "/v1/duties/{duty}/shards" Operator "Lists a duty's shards and their owners", NONE, Some("Page"), roles::list_shards),
    endpoint!("GET" "/v1/duties/{duty}/shards/{shard}" Operator "Reads a shard and its owner", NONE, Some("Shard"), roles::read_shard),
    endpoint!("PUT" "/v1/duties/{duty}/shards/{shard}" Operator "Says who is to have a shard, or that nobody is; nothing lets it go", Some("Word"), Some("Word"), roles::override_shard),
    endpoint!("GET" "/v1/ingresses" Operator "What each ingress holds", NONE, Some("Ingresses"), snapshots::ingresses),
];

fn health(call: &Call<'_>) -> HandlerResult {
    let revision = call.read(|read| Ok(read.revision()?))?;
    Ok(Reply::ok(serde_json::json!({ "revision": revision })))
}

/// The OpenAPI page of all endpoints.
///
/// # Errors
/// If the schemas cannot be written as JSON.
pub fn openapi() -> Result<Value, serde_json::Error> {
    document(ENDPOINTS)
}

fn openapi_page(_: &Call<'_>) -> HandlerResult {
    let page = openapi().map_err(|error| Problem::internal(error.to_string()))?;
    Ok(Reply::ok(page))
}
