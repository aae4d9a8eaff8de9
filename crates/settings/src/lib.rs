//! The settings object that the platform gives an ingress.
//!
//! [`parse_settings`] reads it from JSON into the decision module's [`Settings`], with a default for each absent key.
//! Times are microseconds. Unknown keys are ignored: the platform may state more than an ingress uses.
//!
//! Settings can be replaced while requests are open. [`missing_key`] finds out whether the new object is complete, and
//! [`StableIndices`] keeps the indices of classes and plans valid for requests in flight. Reading files, and the names
//! in the object that the decision module doesn't need, belong to the ingress.
//!
//! The system with stores and registries has a settings file of its own, which `violetyoke_api::settings` reads. The two
//! have no key in common: that one names machines, ports and time-outs and is held to a JSON schema, this one is the
//! platform's and open to unknown keys.
//!
//! ```
//! use violetyoke_settings::parse_settings;
//!
//! let settings = parse_settings(br#"{"categories": [{"aim-us": 500000}], "tariffs": [{}], "balancers": 2}"#).unwrap();
//! assert_eq!((settings.gateways, settings.classes[0].deadline), (2, 500_000));
//! let error = parse_settings(br#"{"categories": [{"aim-us": 0}], "tariffs": [{}]}"#).unwrap_err();
//! assert_eq!(error.to_string(), "settings: categories[0] has no aim within its deadline");
//! ```
//!
//! [`Settings`]: violetyoke_decision::interface::Settings

mod completeness;
mod error;
mod field;
mod indices;
mod parse;
mod validation;

pub use completeness::missing_key;
pub use error::{Problem, SettingsError};
pub use indices::{IndexedSettings, StableIndices};
pub use parse::parse_settings;
