//! The settings object that the platform provides to an ingress.
//!
//! [`parse_settings`] parses the JSON object into the decision module's [`Settings`], with a default for each absent key.
//! Times are in microseconds. Unknown keys are ignored, as the platform may provide settings that an ingress does not use.
//!
//! Settings can be replaced while requests are open. [`missing_key`] checks that the new object is complete, and
//! [`StableIndices`] keeps the indices of classes and plans valid for open requests. The ingress itself reads the file, and
//! the names in the object that the decision module does not need.
//!
//! The system with stores and registries has another settings file, which `violetyoke_api::settings` reads. The two have no
//! keys in common: that file names machines, ports and time-outs and must conform to a JSON schema; this object is defined
//! by the platform and may have unknown keys.
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
