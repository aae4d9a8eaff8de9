//! Decisions about rate limit requests. The crate does no I/O and reads no clock; times are in microseconds.
//!
//! - [`quota_queries`] maps the descriptors of a request to quota queries, according to a [`Mapping`]; [`combine`] combines
//!   their results.
//! - [`claim`] determines whether an attempt has been counted before.
//! - [`external_limiter`] handles queries to an external rate limit server, whose replies may be late or lost; a [`breaker`]
//!   suspends queries to a failing server.
//!
//! The decision module keeps the quotas, and the ingress sends the messages.
//!
//! ```
//! use std::collections::BTreeMap;
//! use violetyoke_ratelimit::{quota_queries, Descriptor, DescriptorRule, Domain, Mapping, RequestLimits, UnknownPolicy};
//!
//! let rule = DescriptorRule {
//!     pool: 0,
//!     when: BTreeMap::new(),
//!     account_key: "account".into(),
//!     plan_key: None,
//!     default_plan: Some("basic".into()),
//!     attempt_key: None,
//! };
//! let domain = Domain { rules: vec![rule], unknown_descriptor: UnknownPolicy::OverLimit };
//! let mapping = Mapping::new(BTreeMap::from([("rooms".into(), domain)]), UnknownPolicy::OverLimit).unwrap();
//! let descriptor = Descriptor { entries: vec![("account", "customer-1")], ..Descriptor::default() };
//! let queries = quota_queries(&mapping, &RequestLimits::default(), "rooms", &[descriptor], 3).unwrap();
//! assert_eq!(queries[0].as_ref().unwrap().units, 3.0);
//! ```

pub mod breaker;
pub mod claim;
pub mod external_limiter;
pub mod grpc_timeout;
mod mapping;
mod query;

pub use mapping::{DescriptorRule, Domain, DuplicateRules, Mapping, UnknownPolicy};
pub use query::{combine, quota_queries, Combined, Descriptor, InvalidRequest, QuotaQuery, RequestLimits};
