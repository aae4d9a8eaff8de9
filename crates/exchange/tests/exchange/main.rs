//! Tests of an exchange with a port that records its calls.

#![cfg(test)]

mod attempts;
mod claims;
mod counter;
mod deadlines;
mod support;
