//! One real ingress: reads its configuration, serves until SIGTERM, and exits 0 once all is answered.

use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use violetyoke_ingress::{self as ingress, config};

fn main() -> ExitCode {
    let config = match config::load() {
        Ok(config) => config,
        Err(error) => return fail(error),
    };
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(format!("no runtime: {error}")),
    };
    match LocalSet::new().block_on(&runtime, ingress::serve(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(error.to_string()),
    }
}

fn fail(error: String) -> ExitCode {
    eprintln!("violetyoke: {error}");
    ExitCode::FAILURE
}
