//! What an endpoint is, and who may call it.

use super::call::Call;
use super::reply::HandlerResult;
use crate::keys::KeyRole;

/// Who may call an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Anyone.
    Public,
    /// Operators.
    Operator,
    /// Operators and ingresses.
    Ingress,
    /// Operators, and a tenant's own keys for what is that tenant's.
    TenantReader,
    /// Operators, and the tenant's own administrators.
    TenantAdmin,
}

/// Whether a role may call an endpoint. To a tenant's key, what belongs to another tenant does not exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// It may.
    Granted,
    /// It may not.
    Forbidden,
    /// What the path names does not exist for the caller.
    NotFound,
}

impl Access {
    /// Whether a role may call an endpoint; `tenant` is the one that the path names.
    pub(crate) fn permission(self, role: &KeyRole, tenant: Option<&str>) -> Permission {
        let own = || match (role.tenant(), tenant) {
            (Some(own), Some(tenant)) if own == tenant => Permission::Granted,
            (Some(_), Some(_)) => Permission::NotFound,
            _ => Permission::Forbidden,
        };
        match (self, role) {
            (Access::Public, _) | (_, KeyRole::Operator) => Permission::Granted,
            (Access::Ingress, KeyRole::Ingress) => Permission::Granted,
            (Access::TenantReader, KeyRole::TenantAdmin { .. } | KeyRole::TenantReader { .. }) => own(),
            (Access::TenantAdmin, KeyRole::TenantAdmin { .. }) => own(),
            // Whether it exists for the caller is decided before what the caller may do with it.
            (Access::TenantAdmin, KeyRole::TenantReader { .. }) if own() == Permission::NotFound => {
                Permission::NotFound
            }
            _ => Permission::Forbidden,
        }
    }
}

/// One method on one path.
pub struct Endpoint {
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with `{tenant}`, `{name}`, `{key}`, `{duty}` and `{shard}` as parameters.
    pub path: &'static str,
    /// Who may call it.
    pub access: Access,
    /// One line for the OpenAPI page.
    pub summary: &'static str,
    /// The schema of the request's body; none: no body.
    pub request_schema: Option<&'static str>,
    /// The schema of the response's body; none: it has none, or no body.
    pub response_schema: Option<&'static str>,
    /// Handles a call.
    pub(crate) handler: fn(&Call<'_>) -> HandlerResult,
}
