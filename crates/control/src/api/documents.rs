//! Documents of the store as handlers see them.

use super::problem::Problem;
use crate::store::{ReadView, Revision};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use violetyoke_tenants::model::{Resource, StoredTenant, TenantState};

/// A resource that is valid on its own.
pub(super) fn validated<R: Resource>(resource: R) -> Result<R, Problem> {
    let faults = resource.validate();
    if faults.is_empty() {
        Ok(resource)
    } else {
        Err(Problem::invalid(faults))
    }
}

pub(super) fn to_json<T: Serialize>(value: &T) -> Result<Value, Problem> {
    serde_json::to_value(value).map_err(|error| Problem::internal(error.to_string()))
}

pub(super) fn from_stored<T: DeserializeOwned>(body: Value) -> Result<T, Problem> {
    serde_json::from_value(body)
        .map_err(|error| Problem::internal(format!("the store holds what is none: {error}")))
}

/// A tenant, and its version.
pub(super) fn find_tenant(read: &dyn ReadView, name: &str) -> Result<(StoredTenant, Revision), Problem> {
    let document = read.get(&format!("tenants/{name}"))?.ok_or_else(Problem::not_found)?;
    Ok((from_stored(document.body)?, document.version))
}

/// A tenant whose resources may be changed: it is not draining.
pub(super) fn find_active_tenant(read: &dyn ReadView, name: &str) -> Result<StoredTenant, Problem> {
    let (tenant, _) = find_tenant(read, name)?;
    match tenant.state {
        TenantState::Active => Ok(tenant),
        TenantState::Draining { .. } => {
            Err(Problem::new(409, "draining", "the tenant is draining: restore it first"))
        }
    }
}
