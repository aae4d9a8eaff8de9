//! Hot restart: a new process of an ingress replaces the old one, without I/O and without a clock.
//!
//! [`seal`] and [`open`] encode and decode the state that is handed over; the encoding shows whether it is complete and
//! meant for this process. [`StateHandover`] decides when the old process hands over its state and takes it back, and
//! [`Predecessor`] whether the old process is still alive.
//!
//! ```text
//!   new: requests the state ----> old: hands over its state; both processes use it
//!   new: accepts or rejects it
//!   new: serves ----------------> old: accepts no more work, completes its open requests
//!   new: is alone <-------------- old: reports its end
//!   (new: never serves) --------> old: takes the state back and continues to serve
//! ```

mod handover;
mod sealed;

pub use handover::{
    HandoverAction, Predecessor, StateHandover, HANDOVER_TIMEOUT, PREDECESSOR_TIMEOUT, TAKE_BACK_AFTER,
};
pub use sealed::{open, seal, Header, OpenError, SealError, VERSION};

/// Microseconds: a point of Unix time, or a duration.
pub type Micros = u64;
