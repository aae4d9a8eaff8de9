//! What a hosted ingress knows of its tenants, without I/O and without a clock.
//!
//! - [`model`] has the resources that administrators write, and the rules for their fields: [`model::Tenant`],
//!   [`model::Plan`], [`model::Account`], [`model::Route`].
//! - [`snapshot`] has the form in which ingresses get them: a [`snapshot::Snapshot`] is applied to a
//!   [`snapshot::TenantDirectory`].
//! - [`account_number`] makes a number of an account's name.
//!
//! Storing resources and serving snapshots belong to `violetyoke_control`; counting an account's requests belongs to the
//! decision module and the counting service. `violetyoke_quota` has the rate limits of the other product: there a tenant
//! has one limit, counted by one registry for all proxies. Here a tenant has many accounts, each with the quotas of its
//! plan. So neither has use for the rules of the other.
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
