//! Reads tables of a TOML file key by key. Errors are collected, so that all errors of a file are reported at once. Keys
//! that were not read are unknown, and reported as errors too.

mod lists;
mod scalars;
mod source;
mod table;

pub use table::{read, Section};
