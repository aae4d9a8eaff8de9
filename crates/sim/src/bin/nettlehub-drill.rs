//! Hosts instances of the decision module for the simulator: reads batches from standard input and writes one
//! reply for each to standard output. A malformed frame ends the program with one line on standard error.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match violetyoke_sim::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("nettlehub-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
