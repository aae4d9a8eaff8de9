//! The whole system on one machine, to try it and to test it.
//!
//! [`System`] runs the three programs as real processes: each machine of a [`Topology`] has a loopback address of its
//! own. [`Platform`] stands in for the platform's list of backends, and [`Backend`] for what serves requests;
//! [`client`] sends what clients and operators send.
//!
//! [`upgrade`] replaces the processes of a system by those of another build ([`Programs`]), one after the other, while
//! clients and an operator use it.
//!
//! [`soak`] runs clients whose requests have to be executed once, while processes are killed, frozen and restarted.
//!
//! The crate checks nothing else itself: its tests hold what a request or a change must find, and the program
//! `violetyoke-local` prints what to try.

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
