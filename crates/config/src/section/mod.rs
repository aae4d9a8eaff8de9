//! One table of the file, read key by key. Errors are collected, so that a file gets all of them in one go; a key that
//! nobody has read is an error too.

mod lists;
mod scalars;
mod source;
mod table;

pub use table::{read, Section};
