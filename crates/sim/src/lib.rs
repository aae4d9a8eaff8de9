//! The decision module on the simulator's wire. The program `nettlehub-drill` keeps its old name, by which
//! `deploy/balancer.toml` starts it.

#![allow(
    clippy::semicolon_if_nothing_returned,
    clippy::wildcard_imports,
    missing_docs,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod wire;
