//! The registry: which proxies and backends there are, and the outside calls of operators and of clients that ask
//! where to go. `sessions`, `backends`, `orders`, `contact` and `waits` decide, apart from sockets and clocks; `daemon` is the
//! process round them.

#![allow(
    clippy::let_underscore_must_use,
    clippy::too_many_lines,
    missing_docs,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

pub mod backends;
pub mod contact;
pub mod daemon;
pub mod orders;
pub mod platform;
pub mod sessions;
pub mod waits;

/// Milliseconds of a clock that only advances.
pub type Millis = u64;
