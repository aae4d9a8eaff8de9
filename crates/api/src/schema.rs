//! The schema files, and what of a document breaks them.

use jsonschema::Validator;
use serde_json::Value;

const SETTINGS: &str = include_str!("../schema/settings.schema.json");
const CONFIGURATION: &str = include_str!("../schema/configuration.schema.json");

/// Which schema a document is held against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Schema {
    Settings,
    Configuration,
}

/// Checks documents of one kind; built once.
pub struct SchemaValidator(Validator);

impl SchemaValidator {
    /// # Panics
    /// Where a schema file of this crate is no schema: a test builds each.
    pub fn new(schema: Schema) -> SchemaValidator {
        let text = match schema {
            Schema::Settings => SETTINGS,
            Schema::Configuration => CONFIGURATION,
        };
        let schema: Value = serde_json::from_str(text).expect("the schema file is JSON");
        SchemaValidator(jsonschema::validator_for(&schema).expect("the schema file is a schema"))
    }

    /// The first thing that breaks the schema, with its path (`network.seeds`).
    pub fn check(&self, document: &Value) -> Result<(), String> {
        match self.0.iter_errors(document).next() {
            None => Ok(()),
            Some(error) => {
                let path = error.instance_path().to_string();
                let path = path.trim_start_matches('/').replace('/', ".");
                let place = if path.is_empty() { "document".into() } else { path };
                Err(format!("{place}: {error}"))
            }
        }
    }
}
