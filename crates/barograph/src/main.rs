//! `barograph`: the store of configuration.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The store of configuration: one process on each core machine.";
    violetyoke_mast::program::run("barograph", about, |_, settings, log| {
        violetyoke_barograph::daemon::run(settings, log)
    })
}
