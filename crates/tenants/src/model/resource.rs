//! The resources as they are written and stored.

use super::field_error::FieldError;
use serde::{Deserialize, Serialize};

/// Something that administrators create, read, update and delete by its name: a tenant, or what belongs to one.
pub trait Resource: Clone + Serialize + for<'de> Deserialize<'de> {
    /// The collection of these in paths of the API: `/v1/tenants/acme/plans`.
    const COLLECTION: &'static str;

    /// Its name, which is unique in its collection.
    fn name(&self) -> &str;

    /// Checks what can be told from this resource alone. Returns an error for each field that is not valid.
    fn validate(&self) -> Vec<FieldError>;
}

/// A tenant as administrators write it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// 1 to 40 letters, digits, - or _.
    pub name: String,
    /// Its part of the core against other tenants': 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    #[serde(default)]
    pub limits: Limits,
    /// Hosts that its routes may be for, exact or `*.` and a domain. No two tenants have the same.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Pools of the ingresses that its routes may lead to.
    #[serde(default)]
    pub pools: Vec<String>,
}

/// What is kept for a tenant, and what it may use at most while others leave room. 0 at most: no bound of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub open_requests: ResourceBounds,
    pub descriptors: ResourceBounds,
    pub buffered_bytes: ResourceBounds,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "schema", schema(as = Part))]
#[serde(deny_unknown_fields, default)]
pub struct ResourceBounds {
    pub guaranteed: u64,
    #[serde(rename = "most")]
    pub max: u64,
}

/// Where a tenant stands. Only the control plane writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "schema", schema(as = State))]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum TenantState {
    Active,
    /// Nothing new is taken for it; at `gone_at` (Unix time in milliseconds) it and all that is its own goes.
    Draining {
        #[serde(rename = "gone_at")]
        removed_at: u64,
    },
}

/// A tenant as it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct StoredTenant {
    #[serde(flatten)]
    pub tenant: Tenant,
    /// The revision at which it was made. A tenant made anew under the name has another, and so its accounts have
    /// other numbers: nothing is inherited.
    pub epoch: u64,
    #[serde(flatten)]
    pub state: TenantState,
}

/// A plan: quotas of each account that has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Units a second; 0: no quota.
    pub rate: f64,
    /// Units at once.
    #[serde(default)]
    pub burst: f64,
    /// Requests on their way to nodes at once; 0: no bound.
    #[serde(default, rename = "open")]
    pub max_in_flight: u32,
    /// Worth against other plans where not all can be served.
    #[serde(default = "default_value", rename = "worth")]
    pub value: f64,
    /// Held even while the counter does not answer; 0: none.
    #[serde(default, rename = "ceiling_rate")]
    pub hard_limit_rate: f64,
    #[serde(default, rename = "ceiling_burst")]
    pub hard_limit_burst: f64,
}

/// An account, by any name that its tenant gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// 1 to 128 characters.
    pub name: String,
    /// One of the tenant's plans.
    pub plan: String,
}

/// A route to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Route {
    pub name: String,
    /// One of the tenant's hosts.
    pub host: String,
    /// As in the file of a service: exact, `/prefix/*` or a template.
    #[serde(default = "all_paths")]
    pub path: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// The pool, one of the tenant's.
    pub pool: String,
    /// Class of requests that state none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_class: Option<String>,
}

fn default_weight() -> u32 {
    1
}

fn default_value() -> f64 {
    1.0
}

fn all_paths() -> String {
    "/*".into()
}
