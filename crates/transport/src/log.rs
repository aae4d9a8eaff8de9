//! The log of a process, written to standard error. Only changes of state are logged; everything else is counted in metrics.

use slog::{o, Drain, Logger};
use std::sync::Mutex;

/// Creates the log of a process.
pub fn logger(program: &'static str, node: &str) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_custom_timestamp(|_| Ok(())).build();
    Logger::root(Mutex::new(drain).fuse(), o!("program" => program, "node" => node.to_owned()))
}
