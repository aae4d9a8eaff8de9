//! What operators' calls mean, free of I/O and without a clock: which nodes are out by hand, and how an ingress
//! that drains, is taken over by its successor, or ends treats its clients' connections.

#![allow(missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod duty;
mod hand;

pub use duty::{Duty, Idle};
pub use hand::Hand;

/// Microseconds, a time or a span.
pub type Micros = u64;
