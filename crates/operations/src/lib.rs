//! The state that operators change in an ingress: manually ejected nodes, and whether the ingress serves clients. The
//! crate does no I/O and reads no clock; callers pass the time.
//!
//! [`ManualEjections`] holds the nodes that operators have ejected. [`ServingState`] decides how an ingress treats the
//! connections of its clients while it drains, after a newer process has taken over from it (hot restart), and while it
//! shuts down.

mod manual_ejections;
mod serving_state;

pub use manual_ejections::ManualEjections;
pub use serving_state::{IdlePolicy, ServingState};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
