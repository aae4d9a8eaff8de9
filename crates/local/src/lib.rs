//! Runs the complete system on one machine, for demonstrations and tests.
//!
//! [`System`] runs the three programs as real processes; each machine of a [`Topology`] has its own loopback address.
//! [`Platform`] is a stub of the platform's list of backends, and [`Backend`] a stub of a backend; [`client`] sends
//! requests as clients and operators do.
//!
//! [`upgrade`] replaces the processes of a system by those of another build ([`Programs`]), one after the other,
//! while clients and an operator use it.
//!
//! [`soak`] runs clients whose operations must be executed only once, while processes are killed, paused and
//! restarted.
//!
//! Other checks are in the crate's tests. The program `violetyoke-local` starts a system and prints commands to try.

pub mod backend;
pub mod client;
mod platform;
mod programs;
mod replacement;
pub mod soak;
mod system;
pub mod upgrade;

pub use backend::Backend;
pub use platform::Platform;
pub use programs::{Daemon, Programs};
pub use replacement::ProcessRef;
pub use system::{CoreMachine, EdgeMachine, Placement, System, Topology};
