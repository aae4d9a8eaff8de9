//! What comes to the system from outside: the settings of a process, the configuration of the whole system, and the
//! table of HTTP calls.
//!
//! Everything is checked here, once: against the schema files in `schema/`, and for what a schema can't express. Other
//! crates take the types of this crate for valid. Nothing here does I/O but [`Settings::read`], and nothing decides
//! about requests or stores a configuration.
//!
//! - [`Settings`]: the file that the platform hands to a process.
//! - [`Configuration`]: routes, services and tenants as operators send them; [`ValidationError`] names a wrong field.
//! - [`change::ConfigurationChange`]: the difference between two configurations, checked by [`digest::digest`].
//! - [`routing::RoutingTable`]: a configuration prepared for looking up requests.
//! - [`Execution`]: whether a request may have been executed, and the status that follows.
//! - [`calls::Call`]: the HTTP calls, and the headers of requests.

pub mod calls;
pub mod change;
pub mod configuration;
pub mod digest;
mod error;
pub mod execution;
mod list_interval;
mod parse;
pub mod routing;
pub mod schema;
pub mod settings;
mod table;
mod validation;

pub use configuration::Configuration;
pub use error::ValidationError;
pub use execution::Execution;
pub use settings::Settings;
