//! The configuration of a service: pools, each with its nodes, classes, plans and limits, and the routes to
//! them. One TOML file, read and checked whole: unknown keys are refused, and every error is told in one go
//! with its line and key. `docs/operators/configuration.md` lists the keys.
//!
//! Times in the file are milliseconds and end in `_ms`; in [`Service`] they are microseconds, as everywhere in
//! the decision module.

#![allow(
    clippy::too_many_lines,
    missing_docs,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod consult;
mod control;
mod duties;
mod error;
mod pool;
mod ratelimit;
mod section;
mod service;

pub use consult::Consult;
pub use control::Control;
pub use duties::Duties;
pub use error::Errors;
pub use pool::{only_once, plan, Class, Fields, Node, Nodes, Pool};
pub use ratelimit::RateLimit;
pub use section::{read, Section};
pub use service::{parse, Route, Service};
