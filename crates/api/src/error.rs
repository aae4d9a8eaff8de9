//! The error of a document that an operator sent.

use std::fmt;

/// What is wrong with a document, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct ValidationError {
    /// Path of the field in the document, such as `routes.rows[0].timeout-ms`.
    pub field: String,
    /// What is wrong with it, in words that follow the field's name.
    pub reason: String,
}

impl ValidationError {
    /// An error in `field`; `reason` is often the error of a parser.
    pub fn new(field: impl Into<String>, reason: impl fmt::Display) -> ValidationError {
        ValidationError { field: field.into(), reason: reason.to_string() }
    }

    /// The same error in a field of `parent`.
    pub(crate) fn within(self, parent: impl fmt::Display) -> ValidationError {
        ValidationError { field: format!("{parent}.{}", self.field), ..self }
    }
}
