//! The configuration file of an ingress with several pools: the pools, each with its nodes, classes, plans and limits, and
//! the routes to them.
//!
//! The file is in TOML. [`parse`] parses and validates the complete file. Unknown keys are errors, and [`Errors`] contains
//! every error with its line and key, so that operators can correct all of them at once. `docs/operators/configuration.md`
//! lists the keys. The crate does no I/O; the ingress reads the file and puts the [`Service`] in force.
//!
//! [`read`] and [`Section`] can also be used for other TOML files.
//!
//! Times in the file are in milliseconds, with keys that end in `_ms`. In [`Service`] they are in microseconds, as in the
//! decision module.
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
