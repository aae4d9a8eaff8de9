//! The program with its commands: several pools by a file of our own.

#[path = "../demo.rs"]
mod demo;

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use violetyoke_ingress::service;

/// A quota-keeping ingress: requests are admitted by each account's quota, and answered once and in time.
///
/// Without a command, `violetyoke` is one ingress of the platform, configured by EDGE_CONFIG.
#[derive(Parser)]
#[command(name = "violetyoke", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
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
    match Cli::parse().command {
        Command::Check { file } => match service::read(&file) {
            Ok(config) => {
                println!("{}: {} pools, {} routes", file.display(), config.pools.len(), config.routes.len());
                ExitCode::SUCCESS
            }
            Err(errors) => bad_file(&errors),
        },
        Command::Serve { file } => match service::read(&file) {
            Ok(config) => run(|runtime| runtime.block_on(service::serve(file, config))),
            Err(errors) => bad_file(&errors),
        },
        Command::Demo { listen } => match demo::start(listen) {
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
