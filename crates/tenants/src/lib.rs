//! The tenants of a hosted ingress. The crate does no I/O and reads no clock.
//!
//! - [`model`] defines the resources that administrators manage, and validates their fields: [`model::Tenant`],
//!   [`model::Plan`], [`model::Account`], [`model::Route`].
//! - [`snapshot`] defines how ingresses receive them: a [`snapshot::Snapshot`] is applied to a
//!   [`snapshot::TenantDirectory`].
//! - [`account_number`] maps an account to its number.
//!
//! `violetyoke_control` stores the resources and serves the snapshots; the decision module and the counter service count
//! the requests of accounts. `violetyoke_quota` is not used here: it implements the rate limits of the other product, where
//! a tenant has one limit that a registry counts for all proxies. Here a tenant has many accounts, each with the quotas of
//! its plan.
//!
//! ```
//! use violetyoke_tenants::model::{Account, Resource};
//!
//! let account = Account { name: "customer-1".into(), plan: "no such name".into() };
//! assert_eq!(account.validate()[0].field, "plan");
//! ```

mod account_number;
pub mod model;
pub mod snapshot;

pub use account_number::account_number;
