//! The external interfaces of the system: the settings of a process, the configuration of the system, and the table of HTTP
//! calls.
//!
//! All input is validated in this crate: against the schema files in `schema/`, and by further checks that a schema can't
//! express. Other crates rely on the types of this crate being valid. Only [`Settings::read`] does I/O.
//!
//! - [`Settings`]: the file that the platform provides to a process.
//! - [`Configuration`]: routes, services and tenants, as operators send them. [`ValidationError`] names an invalid field.
//! - [`change::ConfigurationChange`]: the difference between two configurations, verified with [`digest::digest`].
//! - [`quantity`]: times and sizes that are stated as numbers, bounded where they are used.
//! - [`routing::RoutingTable`]: a configuration, indexed for the lookup of requests.
//! - [`Execution`]: whether a request may have been executed, and the resulting status.
//! - [`calls::Call`]: the HTTP calls, and the headers of requests.

mod bounded_settings;
pub mod calls;
pub mod change;
pub mod configuration;
pub mod digest;
mod error;
pub mod execution;
mod parse;
pub mod quantity;
pub mod routing;
pub mod schema;
pub mod settings;
mod table;
mod validation;

pub use configuration::Configuration;
pub use error::ValidationError;
pub use execution::Execution;
pub use settings::Settings;
