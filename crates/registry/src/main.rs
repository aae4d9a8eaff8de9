//! `registry`: the registry.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetyoke_registry::daemon::program(lexopt::Parser::from_env())
}
