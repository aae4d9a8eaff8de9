//! The program. With no arguments it is one real ingress of the platform: it reads its configuration, serves
//! until SIGTERM, and exits 0 once all is answered. Its commands serve several pools by a file of our own.

mod demo;

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use tokio::task::LocalSet;
use violetyoke_ingress::{config, platform, service};

/// A quota-keeping ingress: requests are admitted by each account's quota, and answered once and in time.
///
/// With no command it is one ingress of the platform, configured by EDGE_CONFIG.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Serves the pools of a configuration file; SIGHUP reads it again, SIGTERM ends.
    Serve { file: PathBuf },
    /// Checks a configuration file: exits 0 if it is good, else 2 with all that is wrong with it.
    Check { file: PathBuf },
    /// Starts a service with two pools and stand-in nodes on this machine, and prints what to try.
    Demo {
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
    },
}

/// What `check` and `serve` exit with for a bad file.
const BAD_FILE: u8 = 2;

fn main() -> ExitCode {
    // The platform's form takes no arguments, and is not to be kept waiting by their parser.
    if std::env::args_os().len() == 1 {
        return match config::load() {
            Ok(config) => run(|runtime| LocalSet::new().block_on(runtime, platform::serve(config))),
            Err(error) => fail(error),
        };
    }
    match Cli::parse().command {
        None => fail("a command is needed: see --help"),
        Some(Command::Check { file }) => match service::read(&file) {
            Ok(config) => {
                println!("{}: {} pools, {} routes", file.display(), config.pools.len(), config.routes.len());
                ExitCode::SUCCESS
            }
            Err(errors) => bad_file(&errors),
        },
        Some(Command::Serve { file }) => match service::read(&file) {
            Ok(config) => run(|runtime| runtime.block_on(service::serve(file, config))),
            Err(errors) => bad_file(&errors),
        },
        Some(Command::Demo { listen }) => match demo::start(listen) {
            Ok((file, config)) => run(|runtime| runtime.block_on(service::serve(file, config))),
            Err(error) => fail(error),
        },
    }
}

fn run(serve: impl FnOnce(&Runtime) -> std::io::Result<()>) -> ExitCode {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(format!("no runtime: {error}")),
    };
    match serve(&runtime) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error.to_string()),
    }
}

fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("violetyoke: {error}");
    ExitCode::FAILURE
}

fn bad_file(errors: &str) -> ExitCode {
    eprint!("{errors}");
    ExitCode::from(BAD_FILE)
}
