//! `windvane`: the registry.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The registry: one process on each core machine, which takes the outside calls for the store beside it too.";
    violetyoke_mast::program::run("windvane", about, violetyoke_windvane::daemon::run)
}
