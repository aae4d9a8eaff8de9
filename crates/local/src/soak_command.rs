//! `violetyoke-local soak`: a soak of a given length and seed, with its report.

use std::process::ExitCode;
use std::time::Duration;
use violetyoke_api::configuration::RouteKind;
use violetyoke_local::soak::{self, SoakOptions};
use violetyoke_local::Programs;

const DEFAULT: SoakOptions =
    SoakOptions { seed: 1, duration: Duration::from_secs(60), route_kind: RouteKind::Keyed };
/// Exit status if the command line is wrong.
const USAGE: u8 = 2;

/// Runs a soak with this program; fails if a rule was violated.
pub(crate) fn run(arguments: lexopt::Parser) -> ExitCode {
    let options = match parse(arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("violetyoke-local: {error}; see --help");
            return ExitCode::from(USAGE);
        }
    };
    let report = std::env::current_exe().and_then(|program| soak::run(&Programs::Single(program), options));
    match report {
        Ok(report) => {
            print!("seed {}, {:?}\n{report}", options.seed, options.duration);
            for line in &report.logs {
                println!("{line}");
            }
            if report.violations.is_empty() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("violetyoke-local: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut arguments: lexopt::Parser) -> Result<SoakOptions, lexopt::Error> {
    let mut options = DEFAULT;
    while let Some(argument) = arguments.next()? {
        match argument {
            lexopt::Arg::Long("seed") => options.seed = value(&mut arguments)?,
            lexopt::Arg::Long("seconds") => options.duration = Duration::from_secs(value(&mut arguments)?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(options)
}

fn value(arguments: &mut lexopt::Parser) -> Result<u64, lexopt::Error> {
    use lexopt::ValueExt;
    arguments.value()?.parse()
}
