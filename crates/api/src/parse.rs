//! Parses the configuration document that an operator sends.

use crate::configuration::{Configuration, Limits};
use crate::error::ValidationError;
use crate::table::decode_rows;
use crate::validation::validate;
use serde_json::Value;

impl Configuration {
    /// Parses and validates a configuration. Unknown fields are ignored, and null counts as absent.
    ///
    /// # Errors
    /// If any part of the document is invalid. The error names the first invalid field.
    pub fn parse(text: &[u8]) -> Result<Configuration, ValidationError> {
        let configuration = Configuration::decode(text)?;
        validate(&configuration)?;
        Ok(configuration)
    }

    /// Decodes a configuration that has been accepted, perhaps by an earlier build, which validated less. Unknown fields are
    /// ignored, and null counts as absent.
    ///
    /// # Errors
    /// If the document can't be decoded. The error names the first field.
    pub fn decode(text: &[u8]) -> Result<Configuration, ValidationError> {
        let document: Value =
            serde_json::from_slice(text).map_err(|error| ValidationError::new("document", error))?;
        let limits = parse_limits(&document)?;
        let version = document.get("version").and_then(Value::as_u64);
        Ok(Configuration {
            version: version.ok_or_else(|| ValidationError::new("version", "is no whole number"))?,
            routes: decode_rows(&document, "routes")?,
            services: decode_rows(&document, "services")?,
            tenants: decode_rows(&document, "tenants")?,
            limits,
        })
    }
}

fn parse_limits(document: &Value) -> Result<Limits, ValidationError> {
    match document.get("limits").filter(|limits| !limits.is_null()) {
        None => Ok(Limits::default()),
        Some(limits) => {
            serde_json::from_value(limits.clone()).map_err(|error| ValidationError::new("limits", error))
        }
    }
}
