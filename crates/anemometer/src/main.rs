//! `anemometer`: the proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    let about = "The proxy: carries clients' requests to backends; one process on each edge machine.";
    violetyoke_mast::program::run("anemometer", about, violetyoke_anemometer::daemon::run)
}
