//! A holder at work: [`office`] keeps its leases and runs its workers, [`desk`] is how it reaches the grantor,
//! [`fleet`] the kinds of work that an ingress may own, and [`call`] one HTTP call. What a lease means is said in
//! `violetyoke-ownership`.

#![allow(
    clippy::let_underscore_must_use,
    clippy::semicolon_if_nothing_returned,
    clippy::too_many_lines,
    clippy::unused_self,
    missing_docs,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod call;
pub mod clock;
pub mod desk;
pub mod fleet;
mod gate;
pub mod lease;
pub mod office;
mod probe;
mod report;
pub mod uses;
