//! `barograph`: the store of configuration.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetyoke_barograph::daemon::program(lexopt::Parser::from_env())
}
