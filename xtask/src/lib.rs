//! What the repository's tools know about the source tree itself: the shape of its crates ([`structure`]).
//!
//! The program `xtask` runs proofs and prints figures; this library holds what its tests need as well.

pub mod structure;
