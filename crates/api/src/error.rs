//! Errors of documents that operators send.

use std::fmt;

/// An invalid field of a document.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct ValidationError {
    /// The path of the field in the document, such as `routes.rows[0].timeout-ms`.
    pub field: String,
    /// Why the field is invalid, as the continuation of a sentence that starts with the field.
    pub reason: String,
}

impl ValidationError {
    /// Creates an error of `field`.
    pub fn new(field: impl Into<String>, reason: impl fmt::Display) -> ValidationError {
        ValidationError { field: field.into(), reason: reason.to_string() }
    }

    /// Prepends `parent` to the path of the field.
    pub(crate) fn within(self, parent: impl fmt::Display) -> ValidationError {
        ValidationError { field: format!("{parent}.{}", self.field), ..self }
    }
}
