//! `violetyoke-local`: the whole system on this machine, to be tried.

mod demo;
mod soak_command;

use std::process::ExitCode;

const HELP: &str = "violetyoke-local

The whole system on this machine: one core, two edges, four stand-in backends; prints what to try.
It runs until its standard input ends or it is interrupted.

violetyoke-local proxy | registry | store   one of the three programs, as deploy/system.toml runs it
violetyoke-local soak [--seed N] [--seconds N]   operations that run once, while processes are killed, frozen and restarted

Exit status: 0 fine, 1 it can't run, 2 the command line is wrong.";

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let command = arguments.next().map(|word| word.to_string_lossy().into_owned());
    let rest = lexopt::Parser::from_args(arguments);
    match command.as_deref() {
        Some("proxy") => violetyoke_proxy::daemon::program(rest),
        Some("registry") => violetyoke_registry::daemon::program(rest),
        Some("store") => violetyoke_store::daemon::program(rest),
        Some("soak") => soak_command::run(rest),
        Some("--help" | "-h") => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Some(other) => {
            eprintln!("violetyoke-local: unknown command {other:?}; see --help");
            ExitCode::from(2)
        }
        None => match demo::run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("violetyoke-local: {error}");
                ExitCode::FAILURE
            }
        },
    }
}
