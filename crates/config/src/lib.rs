//! The configuration file of an ingress in service: pools, each with its nodes, classes, plans and limits, and the routes
//! to them.
//!
//! The file is TOML. [`parse`] reads and validates all of it: unknown keys are errors, and [`Errors`] has every error with
//! its line and key, so that an operator can mend them in one go. `docs/operators/configuration.md` lists the keys. The
//! crate reads no files and decides nothing; the ingress puts a [`Service`] in force.
//!
//! Other files of the same form are read by [`read`] and [`Section`].
//!
//! Times in the file are milliseconds and end in `_ms`; in [`Service`] they are microseconds, as everywhere in the decision
//! module.
//!
//! ```
//! let errors = violetyoke_config::parse("[service]\nlisten = \"here\"\n").unwrap_err();
//! let error = errors.iter().find(|error| error.key == "service.listen").unwrap();
//! assert_eq!((error.line, error.reason.as_str()), (2, "\"here\" is not an address"));
//! ```

mod class;
mod control;
mod error;
mod external_limiter;
mod names;
mod nodes;
mod plan;
mod pool;
mod pool_settings;
mod ratelimit;
mod route;
mod section;
mod service;
mod singleton_roles;

pub use class::Class;
pub use control::Control;
pub use error::{ConfigError, Errors};
pub use external_limiter::ExternalLimiterConfig;
pub use names::reject_duplicates;
pub use nodes::{Node, Nodes};
pub use plan::read_plan;
pub use pool::{Pool, QuotaHeaders};
pub use ratelimit::RateLimit;
pub use route::Route;
pub use section::{read, Section};
pub use service::{parse, Service};
pub use singleton_roles::SingletonRoles;
