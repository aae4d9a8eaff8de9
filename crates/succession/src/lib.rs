//! Hot restart: one process of an ingress takes the place of another, without I/O and without a clock.
//!
//! [`seal`] and [`open`] encode the state that is handed over, in a form that shows whether it is complete and meant for
//! this process. [`StateHandover`] decides when the older process hands its state over and takes it back, and
//! [`Predecessor`] when the newer one is alone.
//!
//! ```text
//!   new: requests --------------> old: hands its state over; both use it
//!   new: accepts it or does not
//!   new: serves ----------------> old: was taken over, completes what it has
//!   new: alone <----------------- old: reports its end
//!   (new: never serves) --------> old: takes back, goes on
//! ```

mod handover;
mod sealed;

pub use handover::{
    HandoverAction, Predecessor, StateHandover, HANDOVER_TIMEOUT, PREDECESSOR_TIMEOUT, TAKE_BACK_AFTER,
};
pub use sealed::{open, seal, Header, OpenError, SealError, VERSION};

/// Microseconds of Unix time, or a span.
pub type Micros = u64;
