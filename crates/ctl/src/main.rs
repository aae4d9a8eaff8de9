//! `violetyoke-ctl`: what a change would do, and the operators' calls.

use std::process::ExitCode;
use violetyoke_ctl::command_line::{CommandLine, HELP};
use violetyoke_ctl::commands::run;

fn main() -> ExitCode {
    let line = match CommandLine::parse(lexopt::Parser::from_env()) {
        Ok(line) => line,
        Err(error) => {
            eprintln!("violetyoke-ctl: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    if line.help {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("violetyoke-ctl: {error}");
            return ExitCode::from(3);
        }
    };
    match runtime.block_on(run(&line, &mut std::io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetyoke-ctl: {error}");
            ExitCode::from(error.exit_status())
        }
    }
}
