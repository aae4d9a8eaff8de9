//! An experiment: fleet, load, faults, and what is varied. [`parse`] reads it from a file and checks it as a whole;
//! `docs/operators/laboratory.md` lists the keys.
//!
//! The file is read by [`violetyoke_config::Section`] and not by serde, which ends at the first error: an operator gets all
//! errors at once, each with its line and key.

mod model;
mod read;
mod tables;
mod variants;

pub use model::{Arrivals, Class, Clients, Counter, Experiment, Links, Load, Nodes, Plan, Vary};
pub use variants::{parse, variants, Variant};
