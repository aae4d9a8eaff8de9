//! An exchange over a port that records what it is asked for.

#![cfg(test)]

mod attempts;
mod claims;
mod counter;
mod deadlines;
mod support;
