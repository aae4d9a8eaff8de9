//! The program with all commands: the service with several pools, the control plane and tools.

#![allow(
    clippy::let_underscore_must_use,
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    unreachable_pub,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

#[path = "../admin.rs"]
mod admin;
#[path = "../client.rs"]
mod client;
#[path = "../control.rs"]
mod control;
#[path = "../demo.rs"]
mod demo;
#[path = "../demo_tenants.rs"]
mod demo_tenants;
#[path = "../duties.rs"]
mod duties;
#[path = "../lab.rs"]
mod lab;
#[path = "../table.rs"]
mod table;

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::{Builder, Runtime};
use violetyoke_ingress::service;

/// An ingress with quotas: admits requests by the quota of each account, and responds once and in time.
///
/// Without a command, `violetyoke` runs one ingress of the platform, configured by EDGE_CONFIG.
#[derive(Parser)]
#[command(name = "violetyoke", bin_name = "violetyoke", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves the pools of a configuration file. SIGHUP reloads the file, SIGTERM ends the process.
    Serve { file: PathBuf },
    /// Checks a configuration file: exits with 0 if it is valid, otherwise with 2 after all faults.
    Check { file: PathBuf },
    /// Starts a service with two pools and stub nodes on this machine, and prints what to try.
    Demo {
        #[arg(long, default_value = "127.0.0.1:8080")]
        listen: SocketAddr,
        /// Adds a control plane and two tenants, one of which floods the service.
        #[arg(long)]
        tenants: bool,
    },
    /// Runs the control plane: stores tenants in a file and serves the administration API. The first start
    /// prints an operator's key.
    Control(control::Arguments),
    /// Manages tenants by the administration API.
    Tenant(admin::Arguments),
    /// Manages the plans of a tenant.
    Plan(admin::Arguments),
    /// Manages the accounts of a tenant.
    Account(admin::Arguments),
    /// Manages the routes of a tenant.
    Route(admin::Arguments),
    /// Manages keys of the administration API: those of a tenant, or without a tenant those of operators and
    /// ingresses.
    Key(admin::Arguments),
    /// Manages the singleton roles of the fleet: their owners, and handover between processes.
    Duties(duties::Arguments),
    /// Runs experiments on an emulated fleet of hundreds of ingresses, in virtual time.
    Lab(lab::Arguments),
}

/// Exit code of `check` and `serve` for an invalid file.
const INVALID_FILE: u8 = 2;

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match Cli::parse().command {
        Command::Check { file } => match service::read(&file) {
            Ok(config) => {
                println!("{}: {} pools, {} routes", file.display(), config.pools.len(), config.routes.len());
                ExitCode::SUCCESS
            }
            Err(errors) => invalid_file(&errors),
        },
        Command::Serve { file } => match service::read(&file) {
            Ok(config) => run(|runtime| runtime.block_on(service::serve(file, config))),
            Err(errors) => invalid_file(&errors),
        },
        Command::Control(arguments) => run(|runtime| runtime.block_on(control::serve(arguments))),
        Command::Tenant(arguments) => administrate("tenants", arguments),
        Command::Plan(arguments) => administrate("plans", arguments),
        Command::Account(arguments) => administrate("accounts", arguments),
        Command::Route(arguments) => administrate("routes", arguments),
        Command::Key(arguments) => administrate("keys", arguments),
        Command::Duties(arguments) => {
            run(|runtime| runtime.block_on(duties::run(arguments)).map_err(std::io::Error::other))
        }
        Command::Lab(arguments) => lab::run(arguments),
        Command::Demo { listen, tenants } => match start_demo(listen, tenants) {
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

fn start_demo(listen: SocketAddr, tenants: bool) -> Result<(PathBuf, violetyoke_config::Service), String> {
    if tenants {
        demo_tenants::start(listen)
    } else {
        demo::start(listen)
    }
}

fn administrate(collection: &'static str, arguments: admin::Arguments) -> ExitCode {
    run(|runtime| runtime.block_on(admin::run(collection, arguments)).map_err(std::io::Error::other))
}

fn fail(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("violetyoke: {error}");
    ExitCode::FAILURE
}

fn invalid_file(errors: &str) -> ExitCode {
    eprint!("{errors}");
    ExitCode::from(INVALID_FILE)
}
