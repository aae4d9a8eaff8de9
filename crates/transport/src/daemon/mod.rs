//! The start of a daemon: its command line, settings, log, single-threaded runtime and listeners.

mod command_line;

use crate::lifecycle::Lifecycle;
use crate::log::logger;
use crate::net::{listen, Listener};
use crate::panic_log;
use command_line::{CommandLine, OPTIONS};
use error_stack::{Report, ResultExt};
use slog::Logger;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::task::LocalSet;
use violetyoke_api::Settings;

/// The exit status if the command line is invalid.
const USAGE_STATUS: u8 = 2;

/// The daemon with this name can't run. The reason is attached to the report.
#[derive(Clone, Copy, Debug)]
pub struct StartError(pub &'static str);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the {} can't run", self.0)
    }
}

impl std::error::Error for StartError {}

/// Listens on the address from the settings field `field`.
///
/// # Errors
///
/// If the address is missing or can't be listened on. The report names the field.
pub fn bind(
    program: &'static str,
    address: Option<SocketAddr>,
    field: &str,
) -> Result<Listener, Report<StartError>> {
    let failed = StartError(program);
    let address = address.ok_or_else(|| Report::new(failed).attach(format!("{field} is missing")))?;
    listen(address).change_context(failed).attach_with(|| format!("{field}: {address}"))
}

/// Runs a daemon until it ends: parses the command line, reads the settings file, and runs `main` with the settings.
/// `arguments` are the arguments after the program's name. Errors are printed to standard error.
pub fn run<F>(
    program: &'static str,
    about: &str,
    mut arguments: lexopt::Parser,
    main: impl FnOnce(Settings, Lifecycle, Logger) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), Report<StartError>>>,
{
    let default_settings = std::env::var_os(Settings::VARIABLE).map(PathBuf::from);
    match CommandLine::parse(&mut arguments, default_settings) {
        Ok(CommandLine::Help) => {
            println!("{program} [--settings FILE] [--check]\n\n{about}\n{OPTIONS}");
            ExitCode::SUCCESS
        }
        Ok(CommandLine::Run { settings: file, check }) => match Settings::read(&file) {
            Ok(_) if check => ExitCode::SUCCESS,
            Ok(settings) => exit_code(program, run_until_end(program, file, settings, main)),
            Err(report) => exit_code(program, Err(report)),
        },
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::from(USAGE_STATUS)
        }
    }
}

fn exit_code<E>(program: &str, result: Result<(), Report<E>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{program}: {report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Runs `main` on one thread, with the lifecycle of this process.
fn run_until_end<F>(
    program: &'static str,
    file: PathBuf,
    settings: Settings,
    main: impl FnOnce(Settings, Lifecycle, Logger) -> F,
) -> Result<(), Report<StartError>>
where
    F: Future<Output = Result<(), Report<StartError>>>,
{
    let failed = StartError(program);
    let log = logger(program, &settings.local.node);
    panic_log::install(log.clone());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.change_context(failed)?, async {
        let lifecycle = Lifecycle::of_process(file, settings.clone(), log.clone());
        main(settings, lifecycle.change_context(failed)?, log).await
    })
}
