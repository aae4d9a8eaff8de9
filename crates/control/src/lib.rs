//! The control plane of the hosted service: the configuration of tenants, and the leases of the fleet's singleton roles.
//!
//! [`store`] keeps its state as documents in SQLite, [`api`] serves administrators and ingresses over HTTP, [`keys`] says
//! who may do what, and [`rate_limit`] how often. [`roles`] grants leases by the rules of `violetyoke-ownership`, and
//! [`upkeep`] is the role that control planes run themselves. What tenants are, and which of them are valid, is said in
//! `violetyoke-tenants`.

pub mod api;
pub mod keys;
pub mod rate_limit;
pub mod roles;
pub mod store;
pub mod upkeep;
