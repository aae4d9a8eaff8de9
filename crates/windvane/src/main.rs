//! `windvane`: the registry.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetyoke_windvane::daemon::program(lexopt::Parser::from_env())
}
