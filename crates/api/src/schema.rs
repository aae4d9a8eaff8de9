//! Validates documents against the schema files in `schema/`.

use jsonschema::Validator;
use serde_json::Value;

const SETTINGS: &str = include_str!("../schema/settings.schema.json");
const CONFIGURATION: &str = include_str!("../schema/configuration.schema.json");

/// The schema of a kind of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Schema {
    /// The settings file of one process.
    Settings,
    /// The configuration of the system.
    Configuration,
}

/// Why a document can't be validated, or is invalid.
#[derive(Debug, thiserror::Error)]
pub enum SchemaError {
    /// A schema file of this crate is not JSON.
    #[error("the schema file is not JSON")]
    NotJson(#[from] serde_json::Error),
    /// A schema file of this crate is not a schema; the text is the library's reason.
    #[error("the schema file is not a schema: {0}")]
    NotASchema(String),
    /// The document violates the schema.
    #[error("{path}: {reason}")]
    Violation {
        /// The path of the field, such as `network.seeds`; `document` for the root.
        path: String,
        /// Why the field is invalid.
        reason: String,
    },
}

/// Validates documents of one kind. Its construction takes more time than a validation.
pub struct SchemaValidator(Validator);

impl SchemaValidator {
    /// Compiles the schema file, which is embedded in the program.
    ///
    /// # Errors
    /// If the file is not a valid schema. A test checks all schema files.
    pub fn new(schema: Schema) -> Result<SchemaValidator, SchemaError> {
        let text = match schema {
            Schema::Settings => SETTINGS,
            Schema::Configuration => CONFIGURATION,
        };
        let schema: Value = serde_json::from_str(text)?;
        let validator = jsonschema::validator_for(&schema);
        validator.map(SchemaValidator).map_err(|error| SchemaError::NotASchema(error.to_string()))
    }

    /// Validates a document.
    ///
    /// # Errors
    /// Returns the first violation.
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

/// Converts a JSON pointer such as `/network/seeds` to `network.seeds`.
fn dotted(pointer: &str) -> String {
    let path = pointer.trim_start_matches('/').replace('/', ".");
    if path.is_empty() {
        "document".to_owned()
    } else {
        path
    }
}
