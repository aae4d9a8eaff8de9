//! What the operators and the platform tell the system: the settings of a process, the configuration, the calls. All
//! of it is checked here, once, against the schema files in `schema/` and then for what no schema can say.

#![allow(clippy::expect_used, missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

pub mod calls;
pub mod change;
mod columns;
pub mod configuration;
pub mod routing;
pub mod schema;
pub mod settings;
mod sound;
pub mod verdict;

pub use configuration::{Configuration, Invalid};
pub use settings::Settings;
pub use verdict::Verdict;
