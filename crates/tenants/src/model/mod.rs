//! Resources of the administration API: tenants, and the plans, accounts and routes of each.
//!
//! Doc comments of types and fields that have a schema stand in the API's published description, and so does their
//! absence. They change together with `docs/api.json` only.

#![expect(missing_docs, reason = "comments of fields would change docs/api.json")]

mod field_error;
mod resource;
mod validation;

pub use field_error::FieldError;
pub use resource::{
    Account, Limits, Plan, Resource, ResourceBounds, Route, StoredTenant, Tenant, TenantState,
};
pub use validation::{validate_routes, RouteError};
