//! What the repository's tools know about the source tree itself: the shape of its crates ([`structure`]), and the tables of
//! `docs/CAPACITY.md` ([`capacity`]).
//!
//! The program `xtask` runs proofs and prints figures; this library holds what its tests need as well.

pub mod capacity;
pub mod structure;
