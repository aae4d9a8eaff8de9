//! The platform's program: one ingress. It reads its configuration, serves until SIGTERM, and exits with 0 once
//! all requests have a response. With arguments it executes `violetyoke-service` from the same directory. That
//! is a separate program because an ingress of the platform must not hold memory for a command line and a
//! configuration file that it never uses.

#![allow(clippy::needless_pass_by_value, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use violetyoke_ingress::{config, platform};

fn main() -> ExitCode {
    if std::env::args_os().len() > 1 {
        return become_service();
    }
    let config = match config::load() {
        Ok(config) => config,
        Err(error) => return fail(error),
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(format!("no runtime: {error}")),
    };
    match LocalSet::new().block_on(&runtime, platform::serve(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error.to_string()),
    }
}

/// Replaces this process. Returns only if that fails.
fn become_service() -> ExitCode {
    let service = match std::env::current_exe() {
        Ok(program) => program.with_file_name("violetyoke-service"),
        Err(error) => return fail(format!("path of this program: {error}")),
    };
    let error = Command::new(&service).args(std::env::args_os().skip(1)).exec();
    fail(format!("{}: {error} (cargo build makes both programs)", service.display()))
}

fn fail(error: String) -> ExitCode {
    eprintln!("violetyoke: {error}");
    ExitCode::FAILURE
}
