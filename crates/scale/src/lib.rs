//! Scale runs: real registries, stores and a few real proxies as processes on loopback addresses, before them any number
//! of *hollow* ingresses: the protocol of a proxy on real sockets, without its data plane. A run measures what each role
//! spends at several sizes ([`run`]), fits how each figure grows ([`fit`]), and writes what `docs/CAPACITY.md` quotes
//! ([`record`], [`page`]).

#![allow(
    clippy::let_underscore_must_use,
    missing_docs,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod crowd;
pub mod documents;
pub mod figures;
pub mod fit;
pub mod hollow;
pub mod ingress;
pub mod page;
pub mod probe;
pub mod reckon;
pub mod record;
pub mod run;
pub mod seen;
pub mod stage;
pub mod state;
pub mod traffic;
pub mod troubles;
