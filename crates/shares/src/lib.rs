//! How several pools share one process, without input or output and without a clock: [`Turns`] says whose turn
//! on the core is next, [`Stock`] says who may take one more of something that there is only so much of
//! (descriptors, bytes buffered).

#![allow(missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod stock;
mod turns;

pub use stock::Stock;
pub use turns::Turns;

/// One of those who share. Numbers are given by the caller and may be given again once removed.
pub type Member = usize;
