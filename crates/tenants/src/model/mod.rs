//! Resources of the administration API: tenants, and the plans, accounts and routes of each.
//!
//! The doc comments of types and fields with a schema are published in the API's description, `docs/api.json`. To add,
//! change or remove one, update that file in the same commit.

#![expect(missing_docs, reason = "comments of fields would change docs/api.json")]

mod field_error;
mod resource;
mod validation;

pub use field_error::FieldError;
pub use resource::{
    Account, Limits, Plan, Resource, ResourceBounds, Route, StoredTenant, Tenant, TenantState,
};
pub use validation::{validate_routes, RouteError};
