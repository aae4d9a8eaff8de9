//! What operators' calls mean for an ingress, without I/O and without a clock.
//!
//! [`ManualEjections`] are the nodes that operators have taken out of use. [`ServingState`] says how an ingress that
//! drains, is taken over by its successor (hot restart), or shuts down treats its clients' connections.

mod manual_ejections;
mod serving_state;

pub use manual_ejections::ManualEjections;
pub use serving_state::{IdlePolicy, ServingState};

/// Microseconds, a time or a span.
pub type Micros = u64;
