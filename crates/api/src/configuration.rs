//! The configuration of the system: routes, services, tenants and limits. It is accepted or rejected as a unit.
//!
//! Fields have the names of the operators' document (`schema/configuration.schema.json`), in snake case. Between processes,
//! the types are encoded by the position of their fields, so fields must not be removed or moved. A new field must be the
//! last one, and must not be encoded when it has its default value: rows without the field then keep their encoding and
//! their digest, and older builds can decode them.
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

use crate::quantity::{ByteCount, Milliseconds, Seconds};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The largest [`Route::timeout_ms`]: ten minutes.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// A configuration. [`Configuration::parse`] parses and validates one that an operator sends; [`Configuration::decode`] reads
/// one that has been accepted.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
pub struct Configuration {
    /// The version, which operators assign.
    pub version: u64,
    /// The routes, which map requests to services.
    pub routes: Vec<Route>,
    /// The services, which consist of backends.
    pub services: Vec<Service>,
    /// The tenants, which send requests. If there are none, requests need no API key.
    pub tenants: Vec<Tenant>,
    /// The limits of clients' connections and requests.
    pub limits: Limits,
}

/// How often requests of a route may be executed.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Nonidempotent,
    /// At most once for each operation key ([`OPERATION_KEY`](crate::calls::header::OPERATION_KEY)) of a tenant, no matter how
    /// often the request is sent.
    Keyed,
}

/// Maps requests to a service, and defines how they are handled.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Route {
    /// The name, which is unique among routes.
    pub name: String,
    /// The host of the requests, without a port. Not case-sensitive.
    pub host: String,
    /// The prefix of the requests' paths, which starts with a slash. The route with the longest matching prefix applies.
    pub path_prefix: String,
    /// How often its requests may be executed.
    pub route_kind: RouteKind,
    /// The time-out of requests (ms): above 0, and at most [`MAX_TIMEOUT`].
    pub timeout_ms: Milliseconds,
    /// The latency target (ms): a response within this time has its full value. The default is `timeout_ms`.
    #[serde(default)]
    pub target_ms: Option<Milliseconds>,
    /// The priority of requests whose tenant has none; 0 is the highest.
    #[serde(default)]
    pub priority: i64,
    /// The services among which its requests are divided.
    #[serde(default)]
    pub split: Option<Vec<WeightedService>>,
    /// The maximum number of backends that one request is sent to.
    #[serde(default = "one")]
    pub attempts: u32,
    /// Whether its requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// The regions whose backends may execute its requests; all regions if empty.
    #[serde(default)]
    pub home_regions: Vec<String>,
    /// The service of its requests if there is no split.
    #[serde(default)]
    pub service: Option<String>,
}

/// A service in the split of a route.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: String,
    /// Its share of the requests relative to the other weights; 0 or more.
    pub weight: f64,
}

/// A service and the settings of its backends.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Service {
    /// The name, which is unique among services.
    pub name: String,
    /// The path of the backends' health check.
    #[serde(default)]
    pub health_path: Option<String>,
    /// The maximum number of connections of all proxies to one backend; unlimited if absent.
    #[serde(default)]
    pub max_conns: Option<f64>,
    /// The duration of a backend's slow start (s).
    #[serde(default)]
    pub cold_s: Seconds,
    /// The maximum rate of requests from all proxies to a backend during its slow start (requests per second).
    #[serde(default)]
    pub cold_rate_s: f64,
    /// Whether its backends keep their own record of operation keys, so that an operation whose execution was interrupted may
    /// be sent again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub self_dedup: bool,
}

/// A sender of requests, identified by an API key.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Tenant {
    /// The name, which is unique among tenants.
    pub name: String,
    /// The values of the credential header that identify the tenant. A value belongs to only one tenant.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Overrides the route's priority; 0 is the highest.
    #[serde(default)]
    pub priority: Option<i64>,
    /// The rate limit (requests per second); 0 means no limit.
    #[serde(default)]
    pub rate_per_s: f64,
    /// The burst of the rate limit (requests).
    #[serde(default)]
    pub burst: f64,
    /// The regions whose backends may execute its requests; all regions if empty.
    #[serde(default)]
    pub home_regions: Vec<String>,
}

/// The limits of clients' connections and requests.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "kebab-case", default)]
pub struct Limits {
    /// The maximum size of a request's head (bytes).
    pub max_header_bytes: ByteCount,
    /// The maximum size of a request's body (bytes).
    pub max_body_bytes: ByteCount,
    /// The maximum time from the first byte of a request's head to its end (ms).
    pub header_timeout_ms: Milliseconds,
    /// The maximum idle time of a connection between requests (ms).
    pub idle_timeout_ms: Milliseconds,
}

impl Limits {
    const DEFAULT: Limits = Limits {
        max_header_bytes: ByteCount::new(16_384.0),
        max_body_bytes: ByteCount::new(67_108_864.0),
        header_timeout_ms: Milliseconds::new(3_000.0),
        idle_timeout_ms: Milliseconds::new(15_000.0),
    };

    /// The limits with the default in place of each that is invalid. [`Configuration::parse`] rejects invalid limits, but
    /// one may be in force that an earlier build accepted.
    fn valid(self) -> Limits {
        let size = |limit: ByteCount, default| if limit.is_valid() { limit } else { default };
        let time = |limit: Milliseconds, default| if limit.is_valid() { limit } else { default };
        Limits {
            max_header_bytes: size(self.max_header_bytes, Limits::DEFAULT.max_header_bytes),
            max_body_bytes: size(self.max_body_bytes, Limits::DEFAULT.max_body_bytes),
            header_timeout_ms: time(self.header_timeout_ms, Limits::DEFAULT.header_timeout_ms),
            idle_timeout_ms: time(self.idle_timeout_ms, Limits::DEFAULT.idle_timeout_ms),
        }
    }

    /// The maximum size of a request's head (bytes).
    #[must_use]
    pub fn max_head_bytes(self) -> u64 {
        self.valid().max_header_bytes.to_bytes()
    }

    /// The maximum size of a request's body (bytes).
    #[must_use]
    pub fn max_body_bytes(self) -> u64 {
        self.valid().max_body_bytes.to_bytes()
    }

    /// The maximum time from the first byte of a request's head to its end.
    #[must_use]
    pub fn head_timeout(self) -> Duration {
        self.valid().header_timeout_ms.to_duration()
    }

    /// The maximum idle time of a connection between requests.
    #[must_use]
    pub fn idle_timeout(self) -> Duration {
        self.valid().idle_timeout_ms.to_duration()
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits::DEFAULT
    }
}

/// The version of a document, even if the rest of the document is invalid.
#[must_use]
pub fn document_version(text: &[u8]) -> Option<u64> {
    let document: serde_json::Value = serde_json::from_slice(text).ok()?;
    document.get("version")?.as_u64()
}

fn one() -> u32 {
    1
}
