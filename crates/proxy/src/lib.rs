//! The proxy forwards clients' requests to backends. One process runs on each edge machine ([`daemon`]).
//!
//! The **data path**: `downstream` accepts clients' connections, `request` looks up the route and the tenant
//! of a request and checks the tenant's limit, `forward` selects backends and queues requests while none has
//! capacity (`pending`), and `upstream` makes one attempt on one connection.
//!
//! The **control path**: `control_client` keeps connections to all registries and applies their updates:
//! configurations (`configuration`), backend lists (`backends`), membership (`registries`). `quota_client`
//! checks each request against its tenant's limit at the owner of the tenant's counter. `operations` claims
//! requests that must be executed at most once. `freshness` asks whether there is a newer configuration
//! before a request is denied. `readiness` serves the platform's readiness checks.
//!
//! Backend selection, retry decisions and rate limits are implemented without I/O in `violetyoke-balancing`
//! and `violetyoke-quota`. The proxy stores nothing on disk: after a restart it gets its state from the
//! registries.

mod backends;
mod clock;
mod configuration;
mod control_client;
pub mod daemon;
mod downstream;
mod forward;
mod freshness;
mod metrics;
mod operations;
mod pending;
mod quota_client;
mod readiness;
mod readiness_gate;
mod registries;
mod replies;
mod request;
mod request_body;
mod retry_budgets;
mod serving;
mod split;
mod state;
mod upstream;
