//! The operators' command line, `violetyoke-ctl`.
//!
//! - [`plan`]: what a change would do, from the configuration in force to another one. Plans are made by the code that the
//!   system itself validates and routes with.
//! - [`client`]: operators' calls to the registries, repeated until one of them answers conclusively.
//! - [`capacity`]: what edges report about each backend, summed up.
//! - [`store`]: a store's folder, inspected offline.
//! - [`command_line`] and [`commands`]: verbs and options, and what each verb prints; [`CommandError`]: why it
//!   was not carried out.
//!
//! Nothing is kept between two calls, and nothing here decides what a system accepts.

pub mod capacity;
pub mod client;
pub mod command_line;
pub mod commands;
mod error;
pub mod plan;
pub mod store;

pub use error::CommandError;
