//! `store`: the store of configuration.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetyoke_store::daemon::program(lexopt::Parser::from_env())
}
