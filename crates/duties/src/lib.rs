//! Runs the singleton roles of one process: keeps its leases and the workers that do their work.
//!
//! [`supervisor`] requests leases, starts a worker for each and stops it when the lease is lost. It reaches the lease
//! manager through a [`lease_client::LeaseClient`], over HTTP by [`control_client::ControlClient`]. A worker checks
//! its [`lease::LeaseHandle`] before each operation. [`ingress_worker`] has the roles that an ingress can run, and
//! [`usage`] counts what its tenants use.
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
