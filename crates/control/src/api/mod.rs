//! The administration API, `/v1`.
//!
//! Each endpoint is one row of [`ENDPOINTS`]. The router, what a key may do, and the OpenAPI page are made from that
//! table, so that nothing can be reached that is not in it. Handlers are plain functions of a call; `http` serves them.

mod app;
mod call;
mod creation;
mod documents;
mod endpoint;
mod endpoints;
mod findings;
mod http;
mod ingress_state;
mod keys;
mod leases;
mod openapi;
mod problem;
mod refresh;
mod reply;
mod resources;
mod roles;
mod schemas;
mod snapshots;
mod tenants;
mod usage;
mod wire;

pub use app::{App, FirstKeyError, Options};
pub use endpoint::{Access, Endpoint};
pub use endpoints::{openapi, ENDPOINTS};
pub use http::serve;
pub(crate) use tenants::purge;
