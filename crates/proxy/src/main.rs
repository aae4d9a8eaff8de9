//! The `proxy` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetyoke_proxy::daemon::program(lexopt::Parser::from_env())
}
