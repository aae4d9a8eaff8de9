//! The resources, as administrators write them and as the control plane stores them.

use super::field_error::FieldError;
use serde::{Deserialize, Serialize};

/// A resource that administrators create, read, update and delete by its name: a tenant, or a resource of a tenant.
pub trait Resource: Clone + Serialize + for<'de> Deserialize<'de> {
    /// The name of the collection in paths of the API: `plans` in `/v1/tenants/acme/plans`.
    const COLLECTION: &'static str;

    /// The name of the resource, which is unique in its collection.
    fn name(&self) -> &str;

    /// Validates this resource without regard to others. Returns an error for each invalid field.
    fn validate(&self) -> Vec<FieldError>;
}

/// A tenant, as administrators write it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// 1 to 40 letters, digits, - or _.
    pub name: String,
    /// Its share of the processor relative to other tenants: 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    #[serde(default)]
    pub limits: Limits,
    /// Hosts that its routes may match: names, or `*.` and a domain. A host belongs to one tenant only.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Pools of the ingresses to which its routes may forward requests.
    #[serde(default)]
    pub pools: Vec<String>,
}

/// The resources that are guaranteed to a tenant, and the most that it may use while capacity is available. A maximum of 0
/// means no limit for the tenant.
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

/// The state of a tenant. Only the control plane writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "schema", schema(as = State))]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum TenantState {
    Active,
    /// Its new requests are rejected. At `gone_at` (Unix time in milliseconds), the tenant and its resources are removed.
    Draining {
        #[serde(rename = "gone_at")]
        removed_at: u64,
    },
}

/// A tenant, as the control plane stores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct StoredTenant {
    #[serde(flatten)]
    pub tenant: Tenant,
    /// The revision at which the tenant was created. A tenant that is created again under the same name has another epoch,
    /// and so its accounts have other numbers and new counters.
    pub epoch: u64,
    #[serde(flatten)]
    pub state: TenantState,
}

/// A plan: the quotas of each account that has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// Units per second; 0 means no quota.
    pub rate: f64,
    /// Units that may be used at once.
    #[serde(default)]
    pub burst: f64,
    /// The maximum number of requests in flight to nodes; 0 means no limit.
    #[serde(default, rename = "open")]
    pub max_in_flight: u32,
    /// The value of requests relative to other plans when not all requests can be served.
    #[serde(default = "default_value", rename = "worth")]
    pub value: f64,
    /// A hard limit in units per second, which holds even while the counter service does not answer; 0 means none.
    #[serde(default, rename = "ceiling_rate")]
    pub hard_limit_rate: f64,
    #[serde(default, rename = "ceiling_burst")]
    pub hard_limit_burst: f64,
}

/// An account, with a name that the tenant chooses.
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
    /// As in the settings file of an ingress: an exact path, `/prefix/*` or a template.
    #[serde(default = "all_paths")]
    pub path: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub method: Option<String>,
    /// One of the tenant's pools.
    pub pool: String,
    /// The class of requests without a class header.
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
