//! Logs: counters first, lines only for changes of state; to standard error.

use slog::{o, Drain, Logger};
use std::sync::Mutex;

/// The log of one process.
pub fn logger(program: &'static str, node: &str) -> Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_custom_timestamp(|_| Ok(())).build();
    Logger::root(Mutex::new(drain).fuse(), o!("program" => program, "node" => node.to_owned()))
}
