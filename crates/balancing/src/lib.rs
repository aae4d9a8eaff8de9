//! Which backend gets a request, how many at once, and whether a request may be sent again. Nothing here does I/O or
//! reads a clock; chance is seeded.

#![allow(clippy::unused_self, missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

pub mod backend;
pub mod budget;
pub mod choose;
pub mod cold;
pub mod fleet;
pub mod queue;
pub mod report;
pub mod retry;

/// Milliseconds of a clock that only advances.
pub type Millis = u64;

pub use choose::{Choice, Wanted};
pub use fleet::Fleet;
