//! What the operators and the platform tell the system: the settings of a process, the configuration, the calls. All
//! of it is checked here, once, against the schema files in `schema/` and then for what no schema can say.

#![allow(clippy::expect_used, missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

pub mod calls;
pub mod change;
pub mod configuration;
pub mod execution;
pub mod routing;
pub mod schema;
pub mod settings;
mod table;
mod validation;

pub use configuration::{Configuration, ValidationError};
pub use execution::Execution;
pub use settings::Settings;
