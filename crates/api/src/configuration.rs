//! A whole configuration, as an operator sends it: read, and checked whole or refused whole.
//!
//! ```
//! use violetyoke_api::Configuration;
//!
//! let text = r#"{"version": 7,
//!   "routes": {"columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "service"],
//!              "rows": [["r-1", "rooms.example", "/search/", "idempotent", 1000, "finder"]]},
//!   "services": {"columns": ["name"], "rows": [["finder"]]}}"#;
//! assert_eq!(Configuration::parse(text.as_bytes()).unwrap().version, 7);
//!
//! let error = Configuration::parse(text.replace("/search/", "search/").as_bytes()).unwrap_err();
//! assert_eq!(error.to_string(), "routes.rows[0].path-prefix: begins with no slash");
//! ```

use crate::table::rows;
use crate::validation;
use serde::{Deserialize, Serialize};
use std::fmt;

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    pub field: String,
    pub reason: String,
}

impl ValidationError {
    pub fn new(field: impl Into<String>, why: impl fmt::Display) -> ValidationError {
        ValidationError { field: field.into(), reason: why.to_string() }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl std::error::Error for ValidationError {}

#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub tenants: Vec<Tenant>,
    pub limits: Limits,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    Idempotent,
    Nonidempotent,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub route_kind: RouteKind,
    /// The longest that the operator wants a request held (ms).
    pub timeout_ms: f64,
    /// An answer within this time earns its whole worth (ms).
    #[serde(default)]
    pub target_ms: Option<f64>,
    /// 0 is the highest.
    #[serde(default)]
    pub priority: i64,
    #[serde(default)]
    pub split: Option<Vec<WeightedService>>,
    /// The most backends that one try may be sent to.
    #[serde(default = "one")]
    pub attempts: u32,
    #[serde(default)]
    pub public: bool,
    #[serde(default)]
    pub home_regions: Vec<String>,
    #[serde(default)]
    pub service: Option<String>,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct WeightedService {
    pub service: String,
    pub weight: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    pub name: String,
    #[serde(default)]
    pub health_path: Option<String>,
    /// Connections that a backend takes from all callers together.
    #[serde(default)]
    pub max_conns: Option<f64>,
    #[serde(default)]
    pub cold_s: f64,
    #[serde(default)]
    pub cold_rate_s: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Tenant {
    pub name: String,
    #[serde(default)]
    pub api_keys: Vec<String>,
    #[serde(default)]
    pub priority: Option<i64>,
    /// 0: no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    #[serde(default)]
    pub burst: f64,
    #[serde(default)]
    pub home_regions: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    pub max_header_bytes: f64,
    pub max_body_bytes: f64,
    pub header_timeout_ms: f64,
    pub idle_timeout_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16384.0,
            max_body_bytes: 67_108_864.0,
            header_timeout_ms: 3000.0,
            idle_timeout_ms: 15000.0,
        }
    }
}

fn one() -> u32 {
    1
}

impl Configuration {
    pub fn parse(text: &[u8]) -> Result<Configuration, ValidationError> {
        let document: serde_json::Value =
            serde_json::from_slice(text).map_err(|error| ValidationError::new("document", error))?;
        let version = document.get("version").and_then(serde_json::Value::as_u64);
        let limits = match document.get("limits").filter(|limits| !limits.is_null()) {
            None => Limits::default(),
            Some(limits) => serde_json::from_value(limits.clone())
                .map_err(|error| ValidationError::new("limits", error))?,
        };
        let configuration = Configuration {
            version: version.ok_or_else(|| ValidationError::new("version", "is no whole number"))?,
            routes: rows(&document, "routes")?,
            services: rows(&document, "services")?,
            tenants: rows(&document, "tenants")?,
            limits,
        };
        validation::check(&configuration)?;
        Ok(configuration)
    }
}
