//! Logs panics. The programs abort on a panic, so these lines are the last ones of the process.

use slog::{crit, Logger};
use std::backtrace::Backtrace;
use std::panic::{self, PanicHookInfo};

/// How the names of this workspace's functions start in a backtrace.
const OWN_FUNCTION_PREFIX: &str = "violetyoke_";
/// Functions of a backtrace that belong to the panic hook itself.
const HOOK_FUNCTION: &str = "panic_log";
/// Maximum number of functions that are logged.
const MAX_FUNCTIONS: usize = 4;

/// Logs each panic of this process from now on, before the hook that is installed already runs.
///
/// The first line has the location and the message. A panic in time or number arithmetic is located in the standard library,
/// so a second line names the functions of this workspace that led to it.
pub fn install(log: Logger) {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        record(&log, panic);
        previous(panic);
    }));
}

fn record(log: &Logger, panic: &PanicHookInfo<'_>) {
    let location = panic.location().map_or_else(String::new, ToString::to_string);
    let message = message_of(panic);
    crit!(log, "panic"; "reason" => message, "at" => location);
    // Logged separately, because resolving the names of functions takes longer than the end of a process should.
    let backtrace = Backtrace::force_capture().to_string();
    let functions = own_functions(&backtrace);
    crit!(log, "panic called from"; "functions" => functions.join(" < "));
}

/// The message of a panic, which is a literal or was formatted.
fn message_of<'a>(panic: &'a PanicHookInfo<'_>) -> &'a str {
    let payload = panic.payload();
    let formatted = || payload.downcast_ref::<String>().map(String::as_str);
    payload.downcast_ref::<&str>().copied().or_else(formatted).unwrap_or("no message")
}

/// The functions of this workspace in a formatted backtrace, innermost first.
fn own_functions(backtrace: &str) -> Vec<&str> {
    let names = backtrace.lines().filter_map(|line| line.trim().split_once(": ")).map(|(_, name)| name);
    let is_own = |name: &&str| {
        name.trim_start_matches('<').starts_with(OWN_FUNCTION_PREFIX) && !name.contains(HOOK_FUNCTION)
    };
    names.filter(is_own).take(MAX_FUNCTIONS).collect()
}
