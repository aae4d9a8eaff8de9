//! `barograph`: the store of configuration.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The store of configuration: one process on each core machine.";
    violetyoke_mast::program::run("barograph", about, violetyoke_barograph::daemon::run)
}
