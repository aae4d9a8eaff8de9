//! How each daemon begins: its command line, its settings, its log, its one thread.

use crate::lifecycle::Lifecycle;
use crate::net::{listen, Listener};
use error_stack::{Report, ResultExt};
use lexopt::prelude::*;
use slog::Logger;
use std::fmt::{self, Debug};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use violetyoke_api::Settings;

const REST: &str = "
  --settings FILE  settings (default: the file that $VIOLETYOKE_CONFIG names)
  --check          read the settings, say what is wrong with them, and end
  --help           this text

Exit status: 0 fine, 1 it can't run, 2 the command line is wrong.";

/// Why a daemon can't run; what is wrong is attached.
#[derive(Clone, Copy, Debug)]
pub struct StartError(pub &'static str);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the {} can't run", self.0)
    }
}

impl std::error::Error for StartError {}

/// Listens at the address that the settings name in `field`.
///
/// # Errors
///
/// If the address is missing or can't be listened at: the report names the field.
pub fn bind(
    program: &'static str,
    address: Option<SocketAddr>,
    field: &str,
) -> Result<Listener, Report<StartError>> {
    let failed = StartError(program);
    let address = address.ok_or_else(|| Report::new(failed).attach(format!("{field} is missing")))?;
    listen(address).change_context(failed).attach_with(|| format!("{field}: {address}"))
}

/// What the command line says.
#[derive(Debug, PartialEq, Eq)]
pub enum CommandLine {
    Run { settings: PathBuf, check: bool },
    Help,
}

/// Reads a daemon's command line; `standard` is the settings file where none is named.
pub fn command_line(
    parser: &mut lexopt::Parser,
    standard: Option<PathBuf>,
) -> Result<CommandLine, lexopt::Error> {
    let (mut file, mut check) = (standard, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Long("check") => check = true,
            Long("help") | Short('h') => return Ok(CommandLine::Help),
            other => return Err(other.unexpected()),
        }
    }
    match file {
        Some(settings) => Ok(CommandLine::Run { settings, check }),
        None => Err(format!("no settings: give --settings or ${}", Settings::VARIABLE).into()),
    }
}

/// Runs a daemon until it ends; `arguments` are those after its name.
pub fn run<F, E>(
    program: &'static str,
    about: &str,
    mut arguments: lexopt::Parser,
    main: impl FnOnce(Settings, Lifecycle, Logger) -> F,
) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: Debug,
{
    let standard = std::env::var_os(Settings::VARIABLE).map(PathBuf::from);
    let (file, check) = match command_line(&mut arguments, standard) {
        Ok(CommandLine::Run { settings, check }) => (settings, check),
        Ok(CommandLine::Help) => {
            println!("{program} [--settings FILE] [--check]\n\n{about}\n{REST}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{program}: {error}");
            return ExitCode::from(2);
        }
    };
    let settings = match Settings::read(&file) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{program}: {report:?}");
            return ExitCode::FAILURE;
        }
    };
    if check {
        return ExitCode::SUCCESS;
    }
    let log = crate::log::logger(program, &settings.local.node);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = runtime.map(|runtime| {
        tokio::task::LocalSet::new().block_on(&runtime, async {
            let life = Lifecycle::of_process(file, settings.clone(), log.clone());
            let life = life.map_err(|error| error.to_string())?;
            main(settings, life, log).await.map_err(|report| format!("{report:?}"))
        })
    });
    match ended.map_err(|error| error.to_string()) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(why)) | Err(why) => {
            eprintln!("{program}: {why}");
            ExitCode::FAILURE
        }
    }
}
