//! Runs the singleton roles of one process: its leases, and the workers that do the work.
//!
//! [`supervisor`] requests leases, starts a worker for each, and stops the worker when its lease is lost. It reaches
//! the lease manager through a [`lease_client::LeaseClient`], which [`control_client::ControlClient`] implements over
//! HTTP. A worker checks its [`lease::LeaseHandle`] before each operation. [`ingress_worker`] runs the roles of an
//! ingress, and [`usage`] counts the attempts of its tenants.
//!
//! The rules of leases are in `violetyoke-ownership`; the lease manager's side is in `violetyoke-control`.

pub mod clock;
pub mod control_client;
mod health_probe;
pub mod holder;
pub mod http_client;
pub mod ingress_worker;
pub mod lease;
pub mod lease_client;
mod pause_point;
pub mod supervisor;
pub mod usage;
mod usage_report;
