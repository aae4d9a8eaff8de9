//! Checks documents against the schema files in `schema/`.

use jsonschema::Validator;
use serde_json::Value;

const SETTINGS: &str = include_str!("../schema/settings.schema.json");
const CONFIGURATION: &str = include_str!("../schema/configuration.schema.json");

/// Which schema a document is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Schema {
    /// The settings file of one process.
    Settings,
    /// The configuration of the whole system.
    Configuration,
}

/// Why a document has not passed.
#[derive(Debug, thiserror::Error)]
pub enum SchemaError {
    /// A schema file of this crate is not JSON.
    #[error("the schema file is not JSON")]
    NotJson(#[from] serde_json::Error),
    /// A schema file of this crate is not a schema; the text is the library's reason.
    #[error("the schema file is not a schema: {0}")]
    NotASchema(String),
    /// The document breaks the schema.
    #[error("{path}: {reason}")]
    Violation {
        /// Path of the field, such as `network.seeds`; `document` for the whole.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Checks documents of one kind; building it costs more than a check.
pub struct SchemaValidator(Validator);

impl SchemaValidator {
    /// Reads the schema file, which is part of the program.
    ///
    /// # Errors
    /// The file is not a schema; a test reads each.
    pub fn new(schema: Schema) -> Result<SchemaValidator, SchemaError> {
        let text = match schema {
            Schema::Settings => SETTINGS,
            Schema::Configuration => CONFIGURATION,
        };
        let schema: Value = serde_json::from_str(text)?;
        let validator = jsonschema::validator_for(&schema);
        validator.map(SchemaValidator).map_err(|error| SchemaError::NotASchema(error.to_string()))
    }

    /// Checks a document.
    ///
    /// # Errors
    /// The first violation.
    pub fn check(&self, document: &Value) -> Result<(), SchemaError> {
        match self.0.iter_errors(document).next() {
            None => Ok(()),
            Some(error) => Err(SchemaError::Violation {
                path: dotted(&error.instance_path().to_string()),
                reason: error.to_string(),
            }),
        }
    }
}

/// `/network/seeds` as `network.seeds`.
fn dotted(pointer: &str) -> String {
    let path = pointer.trim_start_matches('/').replace('/', ".");
    if path.is_empty() {
        "document".to_owned()
    } else {
        path
    }
}
