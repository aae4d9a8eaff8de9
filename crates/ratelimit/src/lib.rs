//! Decisions about rate limit requests, without I/O and without a clock.
//!
//! - [`quota_queries`] turns the descriptors of a request into queries about quotas, by a [`Mapping`]; [`combine`] makes one
//!   result of theirs.
//! - [`claim`] finds out whether an attempt has been counted before.
//! - [`external_limiter`] decides what the replies of an external rate limit server mean, in time or late; a [`breaker`] suspends
//!   queries to one that fails.
//!
//! The quotas themselves are kept by the decision module, and messages are sent by the ingress. Times are microseconds.
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
