//! The registry: which proxies and backends there are, and the outside calls of operators and of clients that ask
//! where to go. `sessions` and `backends` decide, apart from sockets and clocks; `daemon` is the process round them.

pub mod backends;
pub mod daemon;
pub mod platform;
pub mod sessions;

/// Milliseconds of a clock that only advances.
pub type Millis = u64;
