//! What is wrong with a field of a resource.

use serde::{Deserialize, Serialize};

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "schema", schema(as = Fault))]
pub struct FieldError {
    /// The field, with dots and brackets: `limits.open_requests`.
    pub field: String,
    pub reason: String,
}

impl FieldError {
    /// An error of this field; `reason` goes on from its name: "must be 1 or more".
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError { field: field.into(), reason: reason.into() }
    }
}
