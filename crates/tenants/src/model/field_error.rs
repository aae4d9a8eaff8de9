//! Validation errors of the fields of resources.

use serde::{Deserialize, Serialize};

/// A validation error of a field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "schema", schema(as = Fault))]
pub struct FieldError {
    /// The path of the field, with dots and brackets: `limits.open_requests`.
    pub field: String,
    pub reason: String,
}

impl FieldError {
    /// Creates an error. `reason` continues a sentence that starts with the field: "must be 1 or more".
    pub fn new(field: impl Into<String>, reason: impl Into<String>) -> FieldError {
        FieldError { field: field.into(), reason: reason.into() }
    }
}
