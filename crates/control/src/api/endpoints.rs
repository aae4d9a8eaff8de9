//! The table of all that can be called, and who may.

use super::resources::{create, list, patch, read, remove, replace};
use super::{findings, keys, leases, openapi, snapshots, tenants, Answer, Call, Outcome};
use crate::keys::Role;
use violetyoke_tenants::model::{Account, Plan, Route};

/// Who may call an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Whoever.
    Public,
    Operator,
    /// Operators and ingresses.
    Ingress,
    /// Operators, and a tenant's own keys for what is that tenant's.
    TenantReader,
    /// Operators, and the tenant's own administrators.
    TenantAdmin,
}

/// Whether a role may; for a tenant's key, what is another tenant's is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    Granted,
    Forbidden,
    NotThere,
}

impl Access {
    /// `tenant`: the one that the path names.
    pub fn allows(self, role: &Role, tenant: Option<&str>) -> Permission {
        let own = || match (role.tenant(), tenant) {
            (Some(own), Some(tenant)) if own == tenant => Permission::Granted,
            (Some(_), Some(_)) => Permission::NotThere,
            _ => Permission::Forbidden,
        };
        match (self, role) {
            (Access::Public, _) | (_, Role::Operator) => Permission::Granted,
            (Access::Ingress, Role::Ingress) => Permission::Granted,
            (Access::TenantReader, Role::TenantAdmin { .. } | Role::TenantReader { .. }) => own(),
            (Access::TenantAdmin, Role::TenantAdmin { .. }) => own(),
            // Whose it is goes before what is done with it.
            (Access::TenantAdmin, Role::TenantReader { .. }) if own() == Permission::NotThere => {
                Permission::NotThere
            }
            _ => Permission::Forbidden,
        }
    }
}

/// One thing that can be called.
pub struct Endpoint {
    pub method: &'static str,
    /// With `{tenant}`, `{name}` and `{key}` for what varies.
    pub path: &'static str,
    pub access: Access,
    /// One line for the OpenAPI page.
    pub about: &'static str,
    /// Schemas of what is sent and of what is answered; none: no body.
    pub takes: Option<&'static str>,
    pub gives: Option<&'static str>,
    pub run: fn(&Call<'_>) -> Outcome,
}

macro_rules! endpoint {
    ($method:literal $path:literal $access:ident $about:literal, $takes:expr, $gives:expr, $run:expr) => {
        Endpoint {
            method: $method,
            path: $path,
            access: Access::$access,
            about: $about,
            takes: $takes,
            gives: $gives,
            run: $run,
        }
    };
}

const NONE: Option<&str> = None;

#[rustfmt::skip]
pub const ENDPOINTS: &[Endpoint] = &[
    endpoint!("GET" "/v1/openapi.json" Public "This page", NONE, NONE, |_| Ok(Answer::ok(openapi()))),
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
    endpoint!("POST" "/v1/leases" Ingress "Renews, releases and gets leases of duties", Some("Ask"), Some("Leases"), leases::ask),
    endpoint!("GET" "/v1/leases" Ingress "With Prefer: wait=SECONDS, once there is a lease for `holder` to ask for", NONE, NONE, leases::watch),
    endpoint!("POST" "/v1/leases/mark" Ingress "Notes how far a shard's work has come, under its newest epoch", Some("Mark"), NONE, leases::mark),
    endpoint!("POST" "/v1/use" Ingress "Tells what tenants have used, in numbered batches", Some("Use"), NONE, leases::take_use),
    endpoint!("GET" "/v1/use/{duty}/{shard}" Ingress "The use in `span`, or the span to be closed after `after`", NONE, NONE, leases::read_use),
    endpoint!("GET" "/v1/duties" Operator "Lists duties, with how many of their shards are owned", NONE, NONE, leases::duties),
    endpoint!("GET" "/v1/duties/{duty}" Ingress "Reads a duty as it is declared", NONE, NONE, leases::duty),
    endpoint!("PUT" "/v1/findings/{duty}/{shard}" Ingress "What a shard's probes have found, under its newest epoch", Some("Findings"), NONE, findings::put),
    endpoint!("GET" "/v1/findings/{duty}" Ingress "What a duty's probes have found", NONE, NONE, findings::read),
    endpoint!("GET" "/v1/duties/{duty}/shards" Operator "Lists a duty's shards and their owners", NONE, Some("Page"), leases::shards),
    endpoint!("GET" "/v1/duties/{duty}/shards/{shard}" Operator "Reads a shard and its owner", NONE, Some("Shard"), leases::read),
    endpoint!("PUT" "/v1/duties/{duty}/shards/{shard}" Operator "Says who is to have a shard, or that nobody is; nothing lets it go", Some("Word"), Some("Word"), leases::say),
    endpoint!("GET" "/v1/ingresses" Operator "What each ingress holds", NONE, Some("Ingresses"), snapshots::ingresses),
];

fn health(call: &Call<'_>) -> Outcome {
    let revision = call.read(|read| Ok(read.revision()?))?;
    Ok(Answer::ok(serde_json::json!({ "revision": revision })))
}
