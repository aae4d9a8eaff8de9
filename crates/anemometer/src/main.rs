//! `anemometer`: the proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetyoke_anemometer::daemon::program(lexopt::Parser::from_env())
}
