//! One owner at a time for work that is done on behalf of the fleet.
//!
//! A *duty* is such work, cut into *shards*. A shard's *lease* is given out by the control plane, the [`grantor`], to
//! one process, its [`holder`], each time with an *epoch* that never comes again. Time alone keeps two holders apart
//! as long as clocks run about equally fast; [`fence`]s keep them apart where a process was stopped between its last
//! look at the lease and its effect. [`deal`] says whose shard is whose, [`epochs`] where epochs come from, and
//! [`duty`] what an operators' file may declare.
//!
//! Nothing here does I/O or reads a clock: times are microseconds of the caller's own monotonic clock, and grantor
//! and holder never compare theirs.

#![allow(
    clippy::needless_pass_by_value,
    clippy::unused_self,
    missing_docs,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod candidates;
mod change;
pub mod deal;
pub mod duty;
pub mod epochs;
pub mod fence;
pub mod grantor;
pub mod holder;
pub mod record;
mod seen;
mod weakness;
mod words;

pub use record::Record;
pub use words::{Answer, Ask, Claim, Given, Lost, Name, Renewal};

/// Microseconds of a monotonic clock that goes on while a process is stopped.
pub type Micros = u64;

/// The number of one grant. Higher is newer, over all shards of all duties.
pub type Epoch = u64;

/// The part of a length by which a holder stops early, so that clocks may differ in speed by that much (1/50) and
/// nobody has two.
pub const DRIFT: u64 = 50;
